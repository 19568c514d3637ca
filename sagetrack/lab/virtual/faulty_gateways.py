"""Deliberate faults of gateways, to verify that the judges detect them. In virtual time only.

Each fault breaks one rule, for some of the requests. Most are proxies that replace the decision module.
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

SECOND_RESPONSE_INTERVAL = 20  # one in this many requests gets a second response
OVERLOADED_AGE_US = 8_000_000  # a new server is overloaded until it has this age
REJECTION_DELAY = 0.95  # when a rejection is sent, as a share of the client's timeout
RETRY_TIMEOUT_US = 500_000


class RespondsTwice(VirtualGateway):
    """Sends a second final response to some requests."""

    def close(self, request: ProxiedRequest) -> None:
        """Close the request; send a second response for one in `SECOND_RESPONSE_INTERVAL` requests."""
        super().close(request)
        if _stable_hash(request.id) % SECOND_RESPONSE_INTERVAL == 0:
            self.network.respond(request.client_attempt, "served", 0)


def _stable_hash(text: str) -> int:
    """Return a hash that, unlike `hash`, is the same in every process."""
    return sum(text.encode())


class BalancerProxy:
    """Passes events and actions through unchanged; subclasses alter them."""

    def __init__(self, balancer: LoadBalancer, gateway: VirtualGateway) -> None:
        self.balancer = balancer
        self.gateway = gateway

    @property
    def admission(self) -> AdmissionController[Request] | None:
        """The admission control, if the settings have any."""
        return self.balancer.admission

    @property
    def servers(self) -> Mapping[int, Server]:
        """The servers of the endpoint list by number."""
        return self.balancer.servers

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event and return the actions to carry out, in order."""
        return self.balancer.handle(now_us, event)

    def own_observations(self) -> tuple[list[Observation], list[ClassLatency]]:
        """Return this gateway's own observations of servers, and its latencies by class."""
        return self.balancer.own_observations()


class IgnoresDraining(BalancerProxy):
    """Treats draining servers as ready until they are removed."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event, with draining servers marked as ready."""
        if isinstance(event, EndpointList):
            entries = tuple(
                replace(entry, status=ServerStatus.READY) if entry.status is ServerStatus.DRAINING else entry
                for entry in event.servers
            )
            event = EndpointList(event.kind, entries)
        return self.balancer.handle(now_us, event)


class OverloadsNewServer(BalancerProxy):
    """Sends every attempt to the server that started last, until it has reached `OVERLOADED_AGE_US`."""

    def __init__(self, balancer: LoadBalancer, gateway: VirtualGateway) -> None:
        super().__init__(balancer, gateway)
        self._newest: int | None = None
        self._started_us = 0

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event, and redirect all attempts to the newest server."""
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
    """Delays rejections until shortly before the client stops waiting."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event, and delay its rejections and failures."""
        return [
            action
            for action in self.balancer.handle(now_us, event)
            if not (isinstance(action, Reject | Fail) and self._delay(action.request))
        ]

    def _delay(self, request_id: str) -> bool:
        """Schedule a refusal of a request; False if the request is unknown."""
        request = self.gateway.requests.get(request_id)
        if request is None:
            return False
        attempt = request.client_attempt
        due_us = attempt.sent_us + int(attempt.budget_us * REJECTION_DELAY)
        self.gateway.clock.call_at(due_us, partial(self.gateway.respond, request_id, "refused", 0))
        return True


class RetriesOutsideRack(BalancerProxy):
    """Retries a keyed request on a server of another rack as soon as an attempt fails."""

    def __init__(self, balancer: LoadBalancer, gateway: VirtualGateway) -> None:
        super().__init__(balancer, gateway)
        self._racks: dict[int, int] = {}
        self._keyed: set[str] = set()

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event; after a failed attempt of a keyed request, a retry replaces the decision."""
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
        kept = [action for action in actions if not _is_decision(action, event.request)]
        return [*kept, SendAttempt(event.request, min(others), RETRY_TIMEOUT_US)]


def _is_decision(action: Action, request_id: str) -> bool:
    """Whether an action sends an attempt of a request or ends the request."""
    return isinstance(action, Reject | Fail | SendAttempt) and action.request == request_id


class UnsharedConcurrency(FleetSize):
    """Allows each gateway one attempt in flight on every server, regardless of the number of gateways."""

    def is_concurrency_scarce(self) -> bool:
        """Always False: gateways do not divide a server's concurrency among themselves."""
        return False


class IgnoresConcurrencyLimit(BalancerProxy):
    """Has one attempt in flight on each server, like every other gateway; nothing limits the total."""

    def __init__(self, balancer: LoadBalancer, gateway: VirtualGateway) -> None:
        settings, seed = balancer.settings, balancer.context.random.getrandbits(64)
        super().__init__(LoadBalancer(settings, seed, UnsharedConcurrency(settings)), gateway)


# The concurrency limit alone keeps warming servers within their slow start budget, even if a gateway
# does not count its use of that budget (it peaks at 0.6 to 1.0 of the budget in the cases below). Two of the
# following faults therefore also disable that limit; otherwise no judge could detect them.


class IgnoresOwnSlowStartUse(IgnoresConcurrencyLimit):
    """Does not count its own requests to servers in slow start, so it never exhausts its budget share."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event, then reset the slow start use."""
        actions = self.balancer.handle(now_us, event)
        _forget_slow_start_use(self.balancer)
        return actions


class AssumesThreeGateways(BalancerProxy):
    """Assumes a fleet of three gateways, regardless of the settings and of the membership."""

    def __init__(self, balancer: LoadBalancer, gateway: VirtualGateway) -> None:
        settings = balancer.settings
        three_gateways = replace(settings, gateway_count=3, gateway_index=settings.gateway_index % 3)
        super().__init__(LoadBalancer(three_gateways, balancer.context.random.getrandbits(64)), gateway)

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event, but ignore changes of the fleet size."""
        return [] if isinstance(event, FleetSizeChanged) else self.balancer.handle(now_us, event)


class ForgetsSlowStartUse(IgnoresConcurrencyLimit):
    """Forgets the slow start use on restart, so each new process uses its full budget share again."""

    def __init__(self, balancer: LoadBalancer, gateway: VirtualGateway) -> None:
        super().__init__(balancer, gateway)
        self._has_list = False

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event, but ignore received observations and reset the use known at the start."""
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
_GENERAL: dict[str, type[BalancerProxy]] = {
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
FAULTS = ("answers-twice", *_GENERAL)
DETECTED_BY = {
    "answers-twice": ("everyday", "one_answer"),
    "late-to-draining": ("rolling-deploy", "drains"),
    "crowds-cold": ("rolling-deploy", "cold_budget"),
    "holds-refusals": ("burst", "late_refusals"),
    "leaves-rack": ("bad-servers", "repeats"),
}
"""The scenario that detects each fault, and the rule that the fault breaks in it."""
SLOW_START_FAULTS = tuple(_SLOW_START)
OVERLOAD_FAULTS = tuple(_OVERLOAD)  # detected by lab/benchmarks/overload.py
SLOW_START_FAULT_CASES = {
    "counts-others-only": "most-jump",
    "three-for-granted": "most-jump",
    "forgets-spent": "restarts",
}
"""The case of `lab slow-start` that detects each fault with 30 gateways, by the rule `cold_sum`.

Three gateways never have enough attempts in flight on a server to break the rule, whatever the fault.
"""


def faulty_gateway_factory(fault: str) -> GatewayFactory:
    """Return a factory of gateways with this fault; KeyError if the fault is unknown."""
    if fault == "answers-twice":
        return RespondsTwice
    return partial(VirtualGateway, wrap=(_GENERAL | _SLOW_START | _OVERLOAD)[fault])
