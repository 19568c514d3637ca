"""The load balancer of one gateway: dispatches events to the components that make the decisions.

In the usual case a request arrives, weighted random selection picks a server whose circuit breaker allows the
request, and the outcome of the attempt updates the server's breaker and weight. docs/design.md describes the
rules and when each of them applies.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from sagetrack.policy.actions import Action, RejectReason, WatchEndpoints
from sagetrack.policy.admission import AdmissionController
from sagetrack.policy.admission_gate import AdmissionGate
from sagetrack.policy.arrivals import Arrivals
from sagetrack.policy.attempts import AttemptSender
from sagetrack.policy.capacity_wait import CapacityWait
from sagetrack.policy.class_priorities import ClassPriorities
from sagetrack.policy.client_timeouts import ClientTimeouts
from sagetrack.policy.endpoint_ring import Ring
from sagetrack.policy.endpoints import Endpoints
from sagetrack.policy.event_context import EventContext
from sagetrack.policy.events import (
    AttemptEnded,
    AttemptSent,
    EndpointList,
    Event,
    FleetSizeChanged,
    ObservationsReceived,
    PeerDemands,
    ProcessCountChanged,
    RequestArrived,
    RequestCancelled,
    ShutdownStarted,
    StreamStarted,
    TenantSharesChanged,
    TimerFired,
    TrafficShift,
)
from sagetrack.policy.fleet_size import FleetSize
from sagetrack.policy.gossip import HealthGossip
from sagetrack.policy.in_flight import InFlightAttempts
from sagetrack.policy.latency import LatencyEstimator
from sagetrack.policy.load_shedding import LoadShedder
from sagetrack.policy.ordered_keys import OrderedKeys
from sagetrack.policy.outcomes import AttemptOutcomes
from sagetrack.policy.peer_observations import ClassLatency, Observation
from sagetrack.policy.policy_context import PolicyContext
from sagetrack.policy.request_factory import RequestFactory
from sagetrack.policy.request_lifecycle import RequestLifecycle
from sagetrack.policy.retry import RetryBudget, RetryPolicy
from sagetrack.policy.retry_after import RetryAfter
from sagetrack.policy.selection import ServerSelector
from sagetrack.policy.server_health import OutlierDetector
from sagetrack.policy.settings import Settings
from sagetrack.policy.slow_start import SlowStart
from sagetrack.policy.state import Request, Server
from sagetrack.policy.subset_size import SubsetSize
from sagetrack.policy.tenant_quota import TenantQuota
from sagetrack.policy.timers import TimerPurpose, Timers


class LoadBalancer:
    """Makes the load-balancing decisions of one gateway.

    The caller passes events to `handle` in the order in which they occur, and carries out the actions that
    each call returns.
    """

    def __init__(self, settings: Settings, seed: int, fleet: FleetSize | None = None) -> None:
        """Create all components.

        Args:
            settings: The settings of the load balancer.
            seed: Seed of the random number generator.
            fleet: The size of the fleet; None to derive it from the settings.
        """
        self.settings = settings
        self.context = EventContext(seed)
        self.fleet = fleet or FleetSize(settings)
        self.timers = Timers(self.context)
        self.latency = LatencyEstimator(settings.classes)
        self.policy_context = PolicyContext(settings, self.context, self.timers, self.fleet, self.latency)
        self.admission = _admission(settings)
        self.client_timeouts = ClientTimeouts(settings.classes, settings.clients_mark_retries)
        self.priorities = ClassPriorities(settings, self.latency)
        self.shedder = LoadShedder(
            settings, self.latency, self.client_timeouts, self.priorities, self.admission
        )
        self._make_servers()
        self._make_requests()
        self._make_entry_points()
        self._handlers = self._event_handlers()

    def _make_servers(self) -> None:
        """Create the components that track servers, select servers and send attempts."""
        policy_context, settings = self.policy_context, self.settings
        # Holds the servers whose status is READY.
        self.ring = Ring[Server](settings.gateway_index, settings.gateway_count)
        self.subset_size = SubsetSize()
        self.slow_start = SlowStart(settings, self.fleet, self.latency, self.subset_size, self.ring)
        self.endpoints = Endpoints(policy_context, self.ring, self.slow_start)
        self.outliers = OutlierDetector(self.context, self.endpoints, self.latency, self.client_timeouts)
        self.gossip = HealthGossip(policy_context, self.endpoints, self.ring, self.slow_start)
        self.in_flight = InFlightAttempts(policy_context)
        self.selector = ServerSelector(policy_context, self.ring, self.slow_start, self.subset_size)
        self.sender = AttemptSender(
            policy_context, self.endpoints, self.selector, self.slow_start, self.subset_size, self.in_flight
        )

    def _make_requests(self) -> None:
        """Create the components that track requests and decide on retries."""
        policy_context, settings = self.policy_context, self.settings
        self.capacity_wait = CapacityWait(policy_context, self.priorities, self.selector, self.sender)
        self.ordered_keys = OrderedKeys()
        retry_after = RetryAfter(self.context, settings, self.endpoints, self.admission)
        self.requests = RequestLifecycle(
            policy_context, self.admission, self.ordered_keys, self.capacity_wait, retry_after, self.sender
        )
        self.retry_budget = RetryBudget()
        self.retry_policy = RetryPolicy(settings, self.retry_budget, self.latency, self.shedder)
        self.tenant_quota = TenantQuota(settings.tenants, settings.over_quota_priority)
        self.factory = RequestFactory(
            settings,
            self.client_timeouts,
            self.priorities,
            self.retry_budget,
            self.tenant_quota,
            self.admission,
        )

    def _make_entry_points(self) -> None:
        """Create the components that handle arriving requests and the outcomes of attempts."""
        gate = self._admission_gate()
        self.arrivals = Arrivals(
            self.policy_context,
            self.factory,
            self.requests,
            gate,
            self.shedder,
            self.sender,
            self.ordered_keys,
            self.capacity_wait,
        )
        self.outcomes = AttemptOutcomes(
            self.policy_context,
            self.requests,
            gate,
            self.sender,
            self.in_flight,
            self.shedder,
            self.priorities,
            self.outliers,
            self.retry_policy,
        )

    def _admission_gate(self) -> AdmissionGate | None:
        if self.admission is None:
            return None
        return AdmissionGate(
            self.admission,
            self.policy_context,
            self.ring,
            self.priorities,
            self.shedder,
            self.selector,
            self.sender,
            self.in_flight,
        )

    def _event_handlers(self) -> Mapping[type, Callable[[Any], None]]:
        """Return the handler of each event type; events of other types are ignored."""
        handlers: dict[type, Callable[[Any], None]] = {
            AttemptEnded: self._on_attempt_ended,
            RequestArrived: self.arrivals.handle_arrival,
            TimerFired: self._on_timer,
            RequestCancelled: self._on_cancelled,
            EndpointList: self._on_endpoint_list,
            StreamStarted: self._on_stream_started,
            AttemptSent: self.outcomes.body_sent,
            ProcessCountChanged: lambda event: self.fleet.set_processes(event.processes),
            FleetSizeChanged: lambda event: self.fleet.set_alive(event.alive),
            ObservationsReceived: self.gossip.receive,
            ShutdownStarted: lambda event: self.requests.shut_down(event.at_us),
            TrafficShift: self.selector.shift_traffic,
        }
        if self.admission is not None:
            handlers[TenantSharesChanged] = self._on_tenant_shares
            handlers[PeerDemands] = self._on_peer_demands
        return handlers

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event and return the resulting actions in the order to carry them out."""
        context = self.context
        context.begin(now_us)
        self.in_flight.advance_time(context.now_us)
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        return context.actions

    # Read-only queries

    @property
    def servers(self) -> Mapping[int, Server]:
        """The servers of the endpoint list, by server id."""
        return self.endpoints.servers

    def unhealthy_count(self) -> int:
        """Return the number of listed servers whose circuit breaker is open."""
        return self.endpoints.open_count()

    def own_observations(self) -> tuple[list[Observation], list[ClassLatency]]:
        """Return this gateway's own observations of servers, and its latencies by class."""
        return self.gossip.own_observations(), self.latency.own_latencies()

    # Events

    def _on_cancelled(self, event: RequestCancelled) -> None:
        request = self.requests.get(event.request)
        if request is not None and not request.finished:
            self.requests.finish(request)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        if self.outcomes.attempt_ended(event):
            self.arrivals.serve_waiting()

    def _on_stream_started(self, event: StreamStarted) -> None:
        if self.outcomes.stream_started(event):
            self.arrivals.serve_waiting()

    # Timers

    def _on_timer(self, event: TimerFired) -> None:
        timer = self.timers.fire(event.token)
        if timer is None:
            return
        if timer.purpose is TimerPurpose.CONCURRENCY_SHARE:
            self.in_flight.timer_fired()
            self.arrivals.serve_waiting()
        elif timer.purpose is TimerPurpose.ENDPOINT_LIST:
            if not self.settings.endpoints_are_pushed:
                self.context.actions.append(WatchEndpoints())
        elif timer.request is not None and timer.purpose is TimerPurpose.QUEUE_WAIT:
            self.arrivals.queue_wait_expired(timer.request)
        elif timer.request is not None:
            self._on_request_timer(timer.request)

    def _on_request_timer(self, request: Request) -> None:
        if request.finished:
            if request.in_flight == 0:
                self.requests.release(request)
        elif request.in_flight == 0:
            self.requests.reject_or_fail(request, RejectReason.QUEUE)  # still queued behind its key
        else:
            self.outcomes.handle_stall(request)

    # Endpoint list and tenants

    def _on_endpoint_list(self, event: EndpointList) -> None:
        if self.endpoints.update(event):
            self.arrivals.serve_waiting()

    def _on_tenant_shares(self, event: TenantSharesChanged) -> None:
        if self.admission is not None:
            self.admission.set_shares(event.shares)

    def _on_peer_demands(self, event: PeerDemands) -> None:
        if self.admission is not None:
            demands = list(event.demands)
            self.admission.record_peer_demands(
                event.gateway_index, demands, self.context.now_us, self.fleet.gateways
            )


def _admission(settings: Settings) -> AdmissionController[Request] | None:
    """Return the admission controller, or None if admission control is off.

    Without configured tenants, all requests belong to one tenant that has the whole capacity.
    """
    if settings.admission is None:
        return None
    shares = [tenant.share for tenant in settings.tenants] or [1.0]
    return AdmissionController[Request](settings.admission, shares)
