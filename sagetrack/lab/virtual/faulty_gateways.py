"""Deliberate faults of a gateway, to show that the judges catch them. In virtual time only.

Each takes the place of the gateway's driver and breaks one rule, on some of the calls.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from sagetrack.lab.virtual.simulation import Held, VirtualGateway
from sagetrack.policy.actions import Action, Fail, Reject, SendAttempt
from sagetrack.policy.events import (
    AttemptEnded,
    EndpointList,
    Event,
    FleetSizeChanged,
    ListedServer,
    ObservationsReceived,
    Outcome,
    RequestArrived,
    ServerStatus,
)
from sagetrack.policy.fleet_size import FleetSize
from sagetrack.policy.load_balancer import LoadBalancer
from sagetrack.policy.peer_observations import ClassLatency, Observation

EVERY = 20  # calls of which one is mistreated


class AnswersTwice(VirtualGateway):
    """Gives some calls a second final answer."""

    def close(self, held: Held) -> None:
        super().close(held)
        if hash_of(held.this.call) % EVERY == 0:
            self.fleet.to_client(held.this, "served", 0)


def hash_of(call: str) -> int:
    """A number that is the same in every process."""
    return sum(call.encode())


class Wrapped:
    """The module with its events and actions in between."""

    def __init__(self, balancer: LoadBalancer, gateway: VirtualGateway) -> None:
        self.balancer, self.gateway = balancer, gateway

    def handle(self, now_us: int, event: Event) -> list[Action]:
        return self.balancer.handle(now_us, event)

    def own_observations(self) -> tuple[list[Observation], list[ClassLatency]]:
        """For the gateway's store."""
        return self.balancer.own_observations()


class IgnoresDrains(Wrapped):
    """Takes servers that drain for ready ones, until they are gone."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        if isinstance(event, EndpointList):
            entries = tuple(
                ListedServer(e.server, ServerStatus.READY, e.weight, e.zone, e.group, e.kind, e.started_us)
                if e.status is ServerStatus.DRAINING
                else e
                for e in event.servers
            )
            event = EndpointList(event.kind, entries)
        return self.balancer.handle(now_us, event)


class CrowdsCold(Wrapped):
    """Sends everything to the server that started last, for as long as it is cold."""

    newest = -1
    started_us = 0

    def handle(self, now_us: int, event: Event) -> list[Action]:
        if isinstance(event, EndpointList):
            for entry in event.servers:
                if entry.started_us > self.started_us and entry.status is ServerStatus.READY:
                    self.newest, self.started_us = entry.server, entry.started_us
        actions = self.balancer.handle(now_us, event)
        cold = now_us - self.started_us < 8_000_000
        return [
            SendAttempt(a.request, self.newest, a.timeout_us)
            if isinstance(a, SendAttempt) and cold and self.newest >= 0
            else a
            for a in actions
        ]


class HoldsRefusals(Wrapped):
    """Keeps refusals back until shortly before the client stops waiting."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        actions = []
        for action in self.balancer.handle(now_us, event):
            held = self.gateway.held.get(action.request) if isinstance(action, Reject | Fail) else None
            if held is None or not isinstance(action, Reject | Fail):
                actions.append(action)
                continue
            due = held.this.sent_us + int(held.this.budget_us * 0.95)
            self.gateway.clock.at(
                due,
                lambda a=action: self.gateway.answer(a.request, "refused", 0),  # type: ignore[misc]
            )
        return actions


class LeavesRack(Wrapped):
    """Sends a keyed call again to any server of another rack, as soon as an attempt has failed."""

    def __init__(self, balancer: LoadBalancer, gateway: VirtualGateway) -> None:
        super().__init__(balancer, gateway)
        self.racks: dict[int, int] = {}
        self.keyed: set[str] = set()

    def handle(self, now_us: int, event: Event) -> list[Action]:
        if isinstance(event, EndpointList):
            self.racks |= {entry.server: entry.group for entry in event.servers}
        elif isinstance(event, RequestArrived) and event.key is not None:
            self.keyed.add(event.request)
        actions = self.balancer.handle(now_us, event)
        if not isinstance(event, AttemptEnded) or event.request not in self.keyed:
            return actions
        if event.outcome in (Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT):
            others = [n for n, rack in self.racks.items() if rack != self.racks.get(event.server)]
            mine = [
                a
                for a in actions
                if not (isinstance(a, Reject | Fail | SendAttempt) and a.request == event.request)
            ]
            if others:
                return [*mine, SendAttempt(event.request, min(others), 500_000)]
        return actions


class WholePlaces(FleetSize):
    """Keeps no share over time: each gateway has a whole place at every server, however many they are."""

    def is_concurrency_scarce(self) -> bool:
        """Never: gateways take whole places."""
        return False


class TakesWholePlaces(Wrapped):
    """Holds one attempt at each server, as all others do; nothing keeps the sum."""

    def __init__(self, balancer: LoadBalancer, gateway: VirtualGateway) -> None:
        settings, seed = balancer.settings, balancer.context.random.getrandbits(64)
        super().__init__(LoadBalancer(settings, seed, WholePlaces(settings)), gateway)


# The parts of all places alone keep cold servers within their budgets, whatever is not counted of these (0.6
# to 1.0 of one at the most in the cases below): the two faults that follow do without, or nothing would show
# them.


class CountsOthersOnly(TakesWholePlaces):
    """Does not count what it sends to cold servers itself: its part of their budget never ends."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        actions = self.balancer.handle(now_us, event)
        forget_spent(self.balancer)
        return actions


class ThreeForGranted(Wrapped):
    """Takes a fleet of three for granted, whatever the settings and the others say."""

    def __init__(self, balancer: LoadBalancer, gateway: VirtualGateway) -> None:
        settings = balancer.settings
        three = replace(settings, gateway_count=3, gateway_index=settings.gateway_index % 3)
        super().__init__(LoadBalancer(three, balancer.context.random.getrandbits(64)), gateway)

    def handle(self, now_us: int, event: Event) -> list[Action]:
        return [] if isinstance(event, FleetSizeChanged) else self.balancer.handle(now_us, event)


class ForgetsSpent(TakesWholePlaces):
    """Forgets at a restart what it has sent to cold servers: each life spends the whole part anew."""

    listed = False

    def handle(self, now_us: int, event: Event) -> list[Action]:
        if isinstance(event, ObservationsReceived):
            return []
        actions = self.balancer.handle(now_us, event)
        if isinstance(event, EndpointList) and not self.listed:
            self.listed = True
            forget_spent(self.balancer)
        return actions


def forget_spent(balancer: LoadBalancer) -> None:
    for server in balancer.servers.values():
        server.slow_start_used_us = 0.0


WRAPS: dict[str, type[Wrapped]] = {
    "late-to-draining": IgnoresDrains,
    "crowds-cold": CrowdsCold,
    "holds-refusals": HoldsRefusals,
    "leaves-rack": LeavesRack,
}
COLD_WRAPS: dict[str, type[Wrapped]] = {
    "counts-others-only": CountsOthersOnly,
    "three-for-granted": ThreeForGranted,
    "forgets-spent": ForgetsSpent,
}
JAM_WRAPS: dict[str, type[Wrapped]] = {"whole-places": TakesWholePlaces}
FAULTS = ("answers-twice", *WRAPS)
SHOWN_BY = {
    "answers-twice": ("everyday", "one_answer"),
    "late-to-draining": ("rolling-deploy", "drains"),
    "crowds-cold": ("rolling-deploy", "cold_budget"),
    "holds-refusals": ("burst", "late_refusals"),
    "leaves-rack": ("bad-servers", "repeats"),
}
"""The scenario that catches each fault, and the rule that it breaks there."""
COLD_FAULTS = tuple(COLD_WRAPS)
JAM_FAULTS = tuple(JAM_WRAPS)  # shown by lab/jams.py
COLD_SHOWN_BY = {
    "counts-others-only": "most-jump",
    "three-for-granted": "most-jump",
    "forgets-spent": "restarts",
}
"""The case of `lab cold` that catches each of these at 30 gateways, by the rule `cold_sum`.

Three gateways hold too few attempts at a server at once to break it, whatever the fault.
"""


def maker(fault: str) -> Callable[..., VirtualGateway]:
    """What makes gateways with this fault; KeyError for an unknown one."""
    if fault == "answers-twice":
        return AnswersTwice
    wrap = (WRAPS | COLD_WRAPS | JAM_WRAPS)[fault]

    def make(*arguments: object) -> VirtualGateway:
        gateway = VirtualGateway(*arguments)  # type: ignore[arg-type]
        gateway.balancer = wrap(gateway.balancer, gateway)  # type: ignore[assignment]
        return gateway

    return make
