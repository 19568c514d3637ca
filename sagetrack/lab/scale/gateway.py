"""The gateway's own work, by tenants, servers, services and gateways: deciding, refusing, taking lists."""

from __future__ import annotations

import json
import random
from itertools import accumulate, pairwise

from sagetrack.config.platform import parse
from sagetrack.lab.scale.probe import Meter, Probe, Values, held_bytes
from sagetrack.lab.scale.world import KEYED, SAFE, FleetAhead
from sagetrack.policy.actions import SendAttempt, SetTimer
from sagetrack.policy.events import (
    AttemptEnded,
    EndpointList,
    Event,
    ListedServer,
    ListKind,
    Outcome,
    RequestArrived,
    ServerStatus,
    TimerFired,
)
from sagetrack.policy.load_balancer import LoadBalancer
from sagetrack.policy.settings import Settings

FEW_TENANTS, FEW_SERVERS = 10, 25  # what is held while another size grows
PATIENCE_US = 3_000_000
LATENCY_US = 4_000
BASE_US = 1_000_000_000
GAP_US = 8_200  # between calls: 122 a second
REST_US = 500_000  # after a planted error, so that breakers and repeats recover


class Hollow:
    """A gateway's module and what would be round it: each call is answered at once, timers are let fire."""

    def __init__(self, settings: Settings, servers: tuple[ListedServer, ...], seed: int = 1) -> None:
        self.balancer = LoadBalancer(settings, seed)
        self.draw = random.Random(seed)
        self.now_us, self.number = BASE_US, 0
        self.timers: list[int] = []  # set by the call that is under way
        self.tenants = len(settings.tenants)
        self.balancer.handle(self.now_us, EndpointList(ListKind.FULL, servers))

    def handle(self, event: Event) -> list[SendAttempt]:
        """Sendings that follow from an event; timers fire when the call is over."""
        sends = []
        for action in self.balancer.handle(self.now_us, event):
            if isinstance(action, SendAttempt):
                sends.append(action)
            elif isinstance(action, SetTimer):
                self.timers.append(action.token)
        return sends

    def call(self, class_index: int = SAFE, failures: int = 0) -> list[int]:
        """One call, whose first so many attempts end in errors; the servers that it was sent to."""
        self.number += 1
        self.timers = []
        name, tenant = f"{self.number:x}", self.draw.randrange(max(1, self.tenants))
        arrived = RequestArrived(name, class_index, PATIENCE_US, key=self.number, tenant=tenant)
        sent, attempt = self.handle(arrived), 0
        used: list[int] = []
        while sent:
            used.append(sent[0].server)
            self.now_us += LATENCY_US
            outcome = Outcome.ERROR if attempt < failures else Outcome.OK
            over = AttemptEnded(name, attempt, sent[0].server, outcome, LATENCY_US)
            sent, attempt = self.handle(over), attempt + 1
        for token in self.timers:
            self.handle(TimerFired(token))
        self.now_us += GAP_US
        return used

    def refuse(self) -> None:
        """A repeat that comes too late to earn anything: turned away with word of when to come back."""
        self.number += 1
        self.timers = []
        self.handle(RequestArrived(f"{self.number:x}", SAFE, 1_000, is_retry=True))

    def rest(self) -> None:
        """Calls that go well, so that repeats are paid for and breakers close."""
        for _ in range(6):
            self.call()
            self.now_us += REST_US


def module_bytes(fleet: FleetAhead, tenants: int, servers: int) -> float:
    """What a module of so many holds once it has its list; without the settings, which are counted apart."""
    settings, listed = fleet.settings(tenants), fleet.listed(servers)
    return held_bytes(lambda: Hollow(settings, listed))


def decision_by_tenants(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    hollow = Hollow(fleet.settings(size), fleet.listed(FEW_SERVERS))
    hollow.rest()
    held = held_bytes(lambda: Hollow(fleet.settings(size), fleet.listed(FEW_SERVERS)))
    return meter.event(hollow.call) | {"held_bytes": held, "each_bytes": held / size}


def decision_by_servers(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    hollow = Hollow(fleet.settings(FEW_TENANTS), fleet.listed(size))
    hollow.rest()
    held = module_bytes(fleet, FEW_TENANTS, size)
    return meter.event(hollow.call) | {"held_bytes": held, "each_bytes": held / size}


def decision_by_gateways(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    hollow = Hollow(fleet.settings(FEW_TENANTS, size, size // 2), fleet.listed(FEW_SERVERS))
    hollow.rest()
    return meter.event(hollow.call)


def decision_by_services(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    """A module for each service, as a program that knew services would have; calls in turn to each."""

    def make() -> list[Hollow]:
        settings = fleet.settings(FEW_TENANTS)
        ends = [0, *accumulate(fleet.services[:size])]
        return [Hollow(settings, fleet.listed(end - first, first)) for first, end in pairwise(ends)]

    modules = make()
    turn = [0]

    def call() -> None:
        turn[0] += 1
        modules[turn[0] % len(modules)].call()

    held = held_bytes(make)
    return meter.event(call) | {"held_bytes": held, "each_bytes": held / size}


def repeat_by_servers(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    hollow = Hollow(fleet.settings(FEW_TENANTS), fleet.listed(size))
    sent: list[int] = []
    values = meter.event(lambda: sent.append(len(hollow.call(KEYED, 1))), hollow.rest)
    return values | {"attempts": sum(sent) / len(sent)}


def refusal_by_servers(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    hollow = Hollow(fleet.settings(FEW_TENANTS), fleet.listed(size))
    hollow.rest()
    return meter.event(hollow.refuse)


def list_by_servers(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    settings, listed = fleet.settings(FEW_TENANTS), fleet.listed(size)
    made: list[LoadBalancer] = []

    def fresh() -> None:
        made[:] = [LoadBalancer(settings, 1)]

    event = EndpointList(ListKind.FULL, listed)
    return meter.event(lambda: made[0].handle(BASE_US, event), fresh, few=1)


def change_by_servers(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    """A server is replaced by another life of it."""
    listed = fleet.listed(size)
    hollow = Hollow(fleet.settings(FEW_TENANTS), listed)
    lives = [0]

    def change() -> None:
        lives[0] += 1
        old = listed[lives[0] % size]
        again = ListedServer(old.server, zone=old.zone, group=old.group, started_us=BASE_US + lives[0])
        hollow.balancer.handle(hollow.now_us, EndpointList(ListKind.DELTA, (again,)))

    return meter.event(change)


def zone_by_servers(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    """All servers of a zone go in one word."""
    listed = fleet.listed(size)
    hollow = Hollow(fleet.settings(FEW_TENANTS), listed)
    lost = [listed[number] for number in fleet.zone(0, size)]
    gone = tuple(ListedServer(entry.server, ServerStatus.GONE) for entry in lost)
    back = EndpointList(ListKind.DELTA, tuple(lost))

    def lose() -> None:
        hollow.balancer.handle(hollow.now_us, EndpointList(ListKind.DELTA, gone))

    values = meter.event(lose, lambda: hollow.balancer.handle(hollow.now_us, back), few=1)
    return values | {"entries": float(len(gone))}


def sights_by_servers(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    """What is kept each second and told to who asks; a second's calls have been answered."""
    hollow = Hollow(fleet.settings(FEW_TENANTS), fleet.listed(size))
    for _ in range(122):
        hollow.call()
    told = float(len(hollow.balancer.own_observations()[0]))
    return meter.event(hollow.balancer.own_observations) | {"entries": told}


def configuration_by_tenants(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    """The whole file is read again, as SIGHUP has it."""
    text = json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": fleet.platform(size)})
    held = held_bytes(lambda: parse(json.loads(text)))
    values = meter.event(lambda: parse(json.loads(text)), few=1)
    return values | {"bytes": float(len(text)), "held_bytes": held, "each_bytes": held / size}


POLICY = "sagetrack/policy"
HOLDS_TENANTS = f"{FEW_TENANTS} tenants, 1 gateway"
PROBES = (
    Probe(
        "decision-by-tenants",
        "gateway",
        "one call, decided and answered",
        "tenants",
        f"{FEW_SERVERS} servers, 1 gateway",
        f"{POLICY}/tenant_quota.py: excess",
        decision_by_tenants,
    ),
    Probe(
        "decision-by-servers",
        "gateway",
        "one call, decided and answered",
        "servers",
        HOLDS_TENANTS,
        f"{POLICY}/selection.py: subset, select",
        decision_by_servers,
        least=25,
    ),
    Probe(
        "decision-by-gateways",
        "gateway",
        "one call, decided and answered",
        "gateways",
        f"{FEW_TENANTS} tenants, {FEW_SERVERS} servers",
        f"{POLICY}/selection.py: select",
        decision_by_gateways,
        least=3,
    ),
    Probe(
        "decision-by-services",
        "gateway",
        "one call at one module for each service",
        "services",
        f"{FEW_TENANTS} tenants, services of the target's sizes",
        "none: the program knows one service",
        decision_by_services,
        least=4,
    ),
    Probe(
        "repeat-by-servers",
        "gateway",
        "a keyed call with one repeat",
        "servers",
        HOLDS_TENANTS,
        f"{POLICY}/selection.py: _retry_candidates",
        repeat_by_servers,
        least=25,
    ),
    Probe(
        "refusal-by-servers",
        "gateway",
        "a refusal with word of when to come back",
        "servers",
        HOLDS_TENANTS,
        f"{POLICY}/retry_after.py: wait_us",
        refusal_by_servers,
        least=25,
    ),
    Probe(
        "list-by-servers",
        "gateway",
        "the module takes a whole list",
        "servers",
        HOLDS_TENANTS,
        f"{POLICY}/endpoints.py: update",
        list_by_servers,
        least=25,
    ),
    Probe(
        "change-by-servers",
        "gateway",
        "the module takes one changed entry",
        "servers",
        HOLDS_TENANTS,
        f"{POLICY}/endpoints.py: update",
        change_by_servers,
        least=25,
    ),
    Probe(
        "zone-by-servers",
        "gateway",
        "the module hears that a zone's servers are gone",
        "servers",
        HOLDS_TENANTS,
        f"{POLICY}/endpoints.py: update",
        zone_by_servers,
        least=25,
    ),
    Probe(
        "sights-by-servers",
        "gateway",
        "what it has seen is gathered, each second",
        "servers",
        HOLDS_TENANTS,
        f"{POLICY}/gossip.py: own_observations",
        sights_by_servers,
        least=25,
    ),
    Probe(
        "configuration-by-tenants",
        "gateway",
        "the file is read again (SIGHUP)",
        "tenants",
        "no servers",
        "sagetrack/config/platform.py: parse",
        configuration_by_tenants,
    ),
)
