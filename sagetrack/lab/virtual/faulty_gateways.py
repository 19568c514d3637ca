"""Deliberate faults of gateways, to show that the judges catch them. In virtual time only.

Each breaks one rule, on some of the requests. Most are proxies in the place of the decision module.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from functools import partial

from sagetrack.lab.virtual.gateway import ProxiedRequest, VirtualGateway
from sagetrack.lab.virtual.gateways import GatewayFactory
from sagetrack.policy.actions import Action, Fail, Reject, SendAttempt
from sagetrack.policy.admission import AdmissionController
from sagetrack.policy.events import (
    AttemptEnded,
    EndpointList,
    Event,
    FleetSizeChanged,
    ObservationsReceived,
    Outcome,
    RequestArrived,
    ServerStatus,
)
from sagetrack.policy.fleet_size import FleetSize
from sagetrack.policy.load_balancer import LoadBalancer
from sagetrack.policy.peer_observations import ClassLatency, Observation
from sagetrack.policy.state import Request, Server

SECOND_RESPONSE_INTERVAL = 20  # one request of so many gets a second response
OVERLOADED_AGE_US = 8_000_000  # up to this age a server that warms up is overloaded
REJECTION_DELAY = 0.95  # of the client's budget
RETRY_TIMEOUT_US = 500_000


class AnswersTwice(VirtualGateway):
    """Gives some requests a second final response."""

    def close(self, request: ProxiedRequest) -> None:
        """Close the request, and respond once more to one of `SECOND_RESPONSE_INTERVAL`."""
        super().close(request)
        if _stable_hash(request.id) % SECOND_RESPONSE_INTERVAL == 0:
            self.network.respond(request.client_attempt, "served", 0)


def _stable_hash(text: str) -> int:
    """A number that is the same in every process."""
    return sum(text.encode())


class BalancerProxy:
    """Passes everything on; subclasses alter events or actions."""

    def __init__(self, balancer: LoadBalancer, gateway: VirtualGateway) -> None:
        self.balancer = balancer
        self.gateway = gateway

    @property
    def admission(self) -> AdmissionController[Request] | None:
        """The admission control, if the settings have any."""
        return self.balancer.admission

    @property
    def servers(self) -> Mapping[int, Server]:
        """The listed servers by number."""
        return self.balancer.servers

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event; returns what to do, in order."""
        return self.balancer.handle(now_us, event)

    def own_observations(self) -> tuple[list[Observation], list[ClassLatency]]:
        """What this gateway itself has seen of servers and classes."""
        return self.balancer.own_observations()


class IgnoresDraining(BalancerProxy):
    """Takes draining servers for ready ones until they are gone."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event; draining servers are shown as ready."""
        if isinstance(event, EndpointList):
            entries = tuple(
                replace(entry, status=ServerStatus.READY) if entry.status is ServerStatus.DRAINING else entry
                for entry in event.servers
            )
            event = EndpointList(event.kind, entries)
        return self.balancer.handle(now_us, event)


class OverloadsNewServer(BalancerProxy):
    """Sends everything to the server that started last, for as long as it warms up."""

    def __init__(self, balancer: LoadBalancer, gateway: VirtualGateway) -> None:
        super().__init__(balancer, gateway)
        self._newest: int | None = None
        self._started_us = 0

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event; attempts go to the newest server."""
        if isinstance(event, EndpointList):
            for entry in event.servers:
                if entry.started_us > self._started_us and entry.status is ServerStatus.READY:
                    self._newest = entry.server
                    self._started_us = entry.started_us
        actions = self.balancer.handle(now_us, event)
        if self._newest is None or now_us - self._started_us >= OVERLOADED_AGE_US:
            return actions
        return [
            SendAttempt(action.request, self._newest, action.timeout_us)
            if isinstance(action, SendAttempt)
            else action
            for action in actions
        ]


class DelaysRejections(BalancerProxy):
    """Holds rejections back until shortly before the client stops waiting."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event; rejections and failures are carried out later."""
        return [
            action
            for action in self.balancer.handle(now_us, event)
            if not (isinstance(action, Reject | Fail) and self._delay(action.request))
        ]

    def _delay(self, request_id: str) -> bool:
        """Schedule the response to a request; False if there is no such request."""
        request = self.gateway.requests.get(request_id)
        if request is None:
            return False
        attempt = request.client_attempt
        due_us = attempt.sent_us + int(attempt.budget_us * REJECTION_DELAY)
        self.gateway.clock.call_at(due_us, partial(self.gateway.respond, request_id, "refused", 0))
        return True


class RetriesOutsideRack(BalancerProxy):
    """Retries a keyed request on a server of another rack as soon as an attempt has failed."""

    def __init__(self, balancer: LoadBalancer, gateway: VirtualGateway) -> None:
        super().__init__(balancer, gateway)
        self._racks: dict[int, int] = {}
        self._keyed: set[str] = set()

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event; after a failed attempt of a keyed request, a retry replaces what is decided."""
        if isinstance(event, EndpointList):
            self._racks |= {entry.server: entry.group for entry in event.servers}
        elif isinstance(event, RequestArrived) and event.key is not None:
            self._keyed.add(event.request)
        actions = self.balancer.handle(now_us, event)
        if not isinstance(event, AttemptEnded) or event.request not in self._keyed:
            return actions
        if event.outcome not in (Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT):
            return actions
        rack = self._racks.get(event.server)
        others = [server for server, other in self._racks.items() if other != rack]
        if not others:
            return actions
        kept = [action for action in actions if not _decides(action, event.request)]
        return [*kept, SendAttempt(event.request, min(others), RETRY_TIMEOUT_US)]


def _decides(action: Action, request_id: str) -> bool:
    """Whether an action decides how a request goes on."""
    return isinstance(action, Reject | Fail | SendAttempt) and action.request == request_id


class UnsharedConcurrency(FleetSize):
    """Lets each gateway have an attempt in flight at every server, however many gateways there are."""

    def is_concurrency_scarce(self) -> bool:
        """Never: gateways do not share a server's concurrency."""
        return False


class IgnoresConcurrencyLimit(BalancerProxy):
    """Has an attempt in flight at each server, as all others do; nothing limits the sum."""

    def __init__(self, balancer: LoadBalancer, gateway: VirtualGateway) -> None:
        settings, seed = balancer.settings, balancer.context.random.getrandbits(64)
        super().__init__(LoadBalancer(settings, seed, UnsharedConcurrency(settings)), gateway)


# The limit on concurrency alone keeps servers that warm up within their budgets, whatever is not counted of
# these (0.6 to 1.0 of one at the most in the cases below): two of the faults that follow do without the
# limit, or nothing would show them.


class IgnoresOwnSlowStartUse(IgnoresConcurrencyLimit):
    """Does not count what it sends to servers in slow start: its part of their budget never ends."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event; what was sent is forgotten after it."""
        actions = self.balancer.handle(now_us, event)
        _forget_slow_start_use(self.balancer)
        return actions


class AssumesThreeGateways(BalancerProxy):
    """Assumes a fleet of three gateways, whatever the settings and the others say."""

    def __init__(self, balancer: LoadBalancer, gateway: VirtualGateway) -> None:
        settings = balancer.settings
        three = replace(settings, gateway_count=3, gateway_index=settings.gateway_index % 3)
        super().__init__(LoadBalancer(three, balancer.context.random.getrandbits(64)), gateway)

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event; changes of the fleet's size are ignored."""
        return [] if isinstance(event, FleetSizeChanged) else self.balancer.handle(now_us, event)


class ForgetsSlowStartUse(IgnoresConcurrencyLimit):
    """Forgets at a restart what it sent to servers in slow start: each process spends the whole part anew."""

    def __init__(self, balancer: LoadBalancer, gateway: VirtualGateway) -> None:
        super().__init__(balancer, gateway)
        self._has_list = False

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event; what others have observed, and the use known at the start, are ignored."""
        if isinstance(event, ObservationsReceived):
            return []
        actions = self.balancer.handle(now_us, event)
        if isinstance(event, EndpointList) and not self._has_list:
            self._has_list = True
            _forget_slow_start_use(self.balancer)
        return actions


def _forget_slow_start_use(balancer: LoadBalancer) -> None:
    for server in balancer.servers.values():
        server.slow_start_used_us = 0.0


# The keys are values of command-line options and of stored results.
_EVERYDAY: dict[str, type[BalancerProxy]] = {
    "late-to-draining": IgnoresDraining,
    "crowds-cold": OverloadsNewServer,
    "holds-refusals": DelaysRejections,
    "leaves-rack": RetriesOutsideRack,
}
_SLOW_START: dict[str, type[BalancerProxy]] = {
    "counts-others-only": IgnoresOwnSlowStartUse,
    "three-for-granted": AssumesThreeGateways,
    "forgets-spent": ForgetsSlowStartUse,
}
_OVERLOAD: dict[str, type[BalancerProxy]] = {"whole-places": IgnoresConcurrencyLimit}
FAULTS = ("answers-twice", *_EVERYDAY)
DETECTED_BY = {
    "answers-twice": ("everyday", "one_answer"),
    "late-to-draining": ("rolling-deploy", "drains"),
    "crowds-cold": ("rolling-deploy", "cold_budget"),
    "holds-refusals": ("burst", "late_refusals"),
    "leaves-rack": ("bad-servers", "repeats"),
}
"""The scenario that catches each fault, and the rule that it breaks there."""
SLOW_START_FAULTS = tuple(_SLOW_START)
OVERLOAD_FAULTS = tuple(_OVERLOAD)  # shown by lab/benchmarks/overload.py
SLOW_START_FAULT_CASES = {
    "counts-others-only": "most-jump",
    "three-for-granted": "most-jump",
    "forgets-spent": "restarts",
}
"""The case of `lab slow-start` that catches each of these at 30 gateways, by the rule `cold_sum`.

Three gateways have too few attempts in flight at a server to break it, whatever the fault.
"""


def faulty_gateway_factory(fault: str) -> GatewayFactory:
    """What makes gateways with this fault; KeyError for an unknown one."""
    if fault == "answers-twice":
        return AnswersTwice
    return partial(VirtualGateway, wrap=(_EVERYDAY | _SLOW_START | _OVERLOAD)[fault])
