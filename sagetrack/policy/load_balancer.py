"""The load balancer of one gateway: hands events to the components that decide.

The usual path of a request: it arrives, a weighted random draw selects among the servers whose circuit
breaker lets it through, and its outcome moves the server's breaker and weight. docs/design.md says which
rules there are and when exactly they act.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any

from sagetrack.policy.admission import AdmissionController, AdmissionDenial
from sagetrack.policy.admission_gate import AdmissionGate
from sagetrack.policy.arrivals import RequestFactory
from sagetrack.policy.attempt_deadline import attempt_deadline_us
from sagetrack.policy.attempts import AttemptSender
from sagetrack.policy.capacity_wait import CapacityWait
from sagetrack.policy.class_priorities import ClassPriorities
from sagetrack.policy.client_timeouts import ClientTimeouts
from sagetrack.policy.endpoint_ring import Ring
from sagetrack.policy.endpoints import Endpoints
from sagetrack.policy.event_context import EventContext
from sagetrack.policy.fleet_size import FleetSize
from sagetrack.policy.gossip import HealthGossip
from sagetrack.policy.in_flight import InFlightAttempts
from sagetrack.policy.interface import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    AttemptSent,
    EndpointList,
    Event,
    Fail,
    FleetSizeChanged,
    ObservationsReceived,
    Outcome,
    PeerDemands,
    ProcessCountChanged,
    RejectReason,
    RequestArrived,
    RequestCancelled,
    Settings,
    ShutdownStarted,
    StreamStarted,
    TenantSharesChanged,
    TimerFired,
    TrafficShift,
    WatchEndpoints,
)
from sagetrack.policy.latency import LatencyEstimator
from sagetrack.policy.load_shedding import TELL_LOAD, LoadShedder
from sagetrack.policy.ordered_keys import OrderedKeys, Turn
from sagetrack.policy.peer_observations import ClassLatency, Observation
from sagetrack.policy.request_lifecycle import RequestLifecycle
from sagetrack.policy.retry import RetryBudget, RetryPolicy
from sagetrack.policy.retry_after import RetryAfter
from sagetrack.policy.selection import ServerSelector
from sagetrack.policy.server_health import OutlierDetector
from sagetrack.policy.slow_start import SlowStart
from sagetrack.policy.state import Attempt, Request, Server
from sagetrack.policy.subset_size import SubsetSize
from sagetrack.policy.tenant_quota import TenantQuota
from sagetrack.policy.timers import TimerPurpose, Timers

MAY_STILL_RUN = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})


class LoadBalancer:
    """Decides for one gateway. Feed it events in order; carry out the actions that each returns."""

    def __init__(self, settings: Settings, seed: int, fleet: FleetSize | None = None) -> None:
        """Make all components; `fleet` replaces what follows from the settings."""
        self.settings = settings
        self.context = context = EventContext(seed)
        self.fleet = fleet = fleet or FleetSize(settings)
        self.timers = timers = Timers(context)
        self.ring = ring = Ring[Server](settings.proxy, settings.proxies)  # of the servers that are ready
        self.subset_size = subset = SubsetSize()
        self.latency = latency = LatencyEstimator(settings.classes)
        self.client_timeouts = timeouts = ClientTimeouts(settings.classes, settings.clients_mark_retries)
        self.priorities = priorities = ClassPriorities(settings, latency)
        self.admission = admission = _admission(settings)
        self.shedder = shedder = LoadShedder(settings, latency, timeouts, priorities, admission)
        self.slow_start = slow_start = SlowStart(settings, fleet, latency, subset, ring)
        self.endpoints = endpoints = Endpoints(context, settings, ring, slow_start, timers)
        self.in_flight = in_flight = InFlightAttempts(context, fleet, timers)
        self.selector = selector = ServerSelector(context, settings, fleet, ring, latency, slow_start, subset)
        self.sender = sender = AttemptSender(
            context, settings, fleet, endpoints, selector, slow_start, subset, in_flight, latency, timers
        )
        self.capacity_wait = CapacityWait(context, settings, latency, priorities, selector, sender, timers)
        self.ordered_keys = OrderedKeys()
        retry_after = RetryAfter(context, settings, endpoints, admission)
        self.requests = RequestLifecycle(
            context, settings, admission, self.ordered_keys, self.capacity_wait, retry_after, sender, timers
        )
        self.retry_budget = RetryBudget()
        self.retry_policy = RetryPolicy(settings, self.retry_budget, latency, shedder)
        self.tenant_quota = TenantQuota(settings.tenants, settings.over_quota_priority)
        self.factory = RequestFactory(
            settings, timeouts, priorities, self.retry_budget, self.tenant_quota, admission
        )
        self.outliers = OutlierDetector(context, endpoints, latency, timeouts)
        self.gossip = HealthGossip(context, settings.proxy, endpoints, ring, latency, slow_start)
        self._gate = self._admission_gate()
        self._handlers = self._event_handlers()

    def _admission_gate(self) -> AdmissionGate | None:
        if self.admission is None:
            return None
        return AdmissionGate(
            self.admission,
            self.context,
            self.settings,
            self.fleet,
            self.ring,
            self.latency,
            self.priorities,
            self.shedder,
            self.selector,
            self.sender,
            self.in_flight,
            self.timers,
        )

    def _event_handlers(self) -> Mapping[type, Callable[[Any], None]]:
        """What takes each kind of event; all others are ignored."""
        handlers: dict[type, Callable[[Any], None]] = {
            AttemptEnded: self._on_attempt_ended,
            RequestArrived: self._on_arrival,
            TimerFired: self._on_timer,
            RequestCancelled: self._on_cancelled,
            EndpointList: self._on_endpoint_list,
            StreamStarted: self._on_stream_started,
            AttemptSent: self._on_body_sent,
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
        """Take one event; returns what to do, in order."""
        context = self.context
        context.begin(now_us)
        self.in_flight.pass_time(context.now_us)
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        return context.actions

    # Queries, which change nothing

    @property
    def servers(self) -> Mapping[int, Server]:
        """The listed servers by number."""
        return self.endpoints.servers

    def unhealthy_count(self) -> int:
        """How many listed servers get nothing, as their breaker is open."""
        return self.endpoints.open_count()

    def own_observations(self) -> tuple[list[Observation], list[ClassLatency]]:
        """What this gateway itself has seen of servers and classes."""
        return self.gossip.own_observations(), self.latency.observed()

    # Requests

    def _on_arrival(self, event: RequestArrived) -> None:
        context, requests = self.context, self.requests
        if event.request in requests:
            context.log(f"request {event.request} came twice; the second is ignored")
            return
        if not 0 <= event.klass < len(self.settings.classes):
            context.log(f"request {event.request} is of unknown class {event.klass}")
            context.actions.append(Fail(event.request))
            return
        request = self.factory.make(event, context.now_us, self.sender.stops_at_us)
        requests.add(request)
        if request.mirror_target >= 0:
            self._admit_mirrored(request)
        elif self._gate is not None and not self.settings.classes[request.klass].in_order:
            denial = self._gate.admit(request, event.is_retry)
            if denial is not None:
                self._deny(self._gate, request, denial)
        elif self.shedder.should_reject(context, request):
            requests.answer_unserved(request, RejectReason.SHED)
        elif not (
            self._waits_its_turn(request) or self.sender.try_send(request) or self.capacity_wait.join(request)
        ):
            requests.answer_unserved(request, RejectReason.NO_ROOM)

    def _admit_mirrored(self, request: Request) -> None:
        """A mirrored request yields to all others: nobody waits for it, and it waits for nothing."""
        queued = len(self.capacity_wait) > 0 or (self._gate is not None and self._gate.has_queue)
        if self.shedder.is_active or queued or not self.sender.try_send(request):
            self.requests.answer_unserved(request)

    def _deny(self, gate: AdmissionGate, request: Request, reason: AdmissionDenial) -> None:
        gate.count_denial(reason)
        self.requests.answer_unserved(request, RejectReason.TURN)

    def _waits_its_turn(self, request: Request) -> bool:
        """Queue a request of an in-order class behind others of its key, or reject it as too late.

        False where it may be sent now.
        """
        klass, now_us = self.settings.classes[request.klass], self.context.now_us
        if request.key is None or not klass.in_order:
            return False
        expected_us = self.latency.expected_us(request.klass, request.relative_work)
        last_us = attempt_deadline_us(request, klass, now_us) - int(expected_us)
        turn = self.ordered_keys.join(request, request.key, now_us, expected_us, last_us)
        if turn is Turn.TOO_LATE:
            self.requests.answer_unserved(request)
        elif turn is Turn.WAITS:
            self.timers.set(last_us, TimerPurpose.REQUEST, request)
        return turn is not Turn.NOW

    def _serve_waiting(self) -> None:
        """Send what waits for capacity, as far as there is any."""
        if self._gate is not None:
            self._gate.serve()
        self.capacity_wait.serve()

    def _on_cancelled(self, event: RequestCancelled) -> None:
        request = self.requests.get(event.request)
        if request is not None and not request.answered:
            self.requests.finish(request)

    # Attempts

    def _attempt(self, request: Request | None, number: int) -> Attempt | None:
        if request is None or not 0 <= number < len(request.attempts):
            return None
        return request.attempts[number]

    def _on_stream_started(self, event: StreamStarted) -> None:
        request = self.requests.get(event.request)
        attempt = self._attempt(request, event.attempt)
        if request is None or attempt is None or request.answered:
            return
        request.streaming = True
        request.response_began_us = self.context.now_us
        self.in_flight.remove(attempt)  # its server has done the work
        self.requests.cancel_attempts(request, spared=event.attempt)
        self._serve_waiting()

    def _on_body_sent(self, event: AttemptSent) -> None:
        request = self.requests.get(event.request)
        attempt = self._attempt(request, event.attempt)
        if request is not None and request.uploading and attempt is not None and not attempt.ended:
            self.sender.body_sent(request, attempt)

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request)
        attempt = self._attempt(request, event.attempt)
        if request is None or attempt is None or attempt.ended:
            return
        self._end_attempt(request, attempt, event)
        if self.outliers.judge(request, attempt, event) and event.outcome in TELL_LOAD:
            self._learn_load(request, event)
        if request.answered:
            if request.in_flight == 0:
                self.requests.release(request)
        elif event.finished or event.outcome is Outcome.OK:
            self._on_answered(request, event.outcome)
        elif request.in_flight == 0:
            self._retry(request, event.outcome)
        self._serve_waiting()

    def _end_attempt(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """Note the end of an attempt, whatever it says of its server."""
        outcome = event.outcome
        attempt.ended = True
        rejection_may_have_run = outcome is Outcome.REJECTED and self.settings.rejection_may_have_run
        attempt.may_have_run = outcome not in NEVER_RAN or rejection_may_have_run
        if outcome in MAY_STILL_RUN:
            request.key_cooldown_until_us = self.context.now_us + self.settings.key_cooldown_us
        request.in_flight -= 1
        if self._gate is not None:
            self._gate.attempt_ended(request, event)
        self.in_flight.remove(attempt)

    def _learn_load(self, request: Request, event: AttemptEnded) -> None:
        """Move what is shed and this gateway's share of concurrency by how long an answer has queued."""
        unqueued_us = self.latency.unqueued_us(request.klass, request.relative_work)
        if event.outcome is Outcome.OK:
            self.in_flight.learn((event.latency_us - unqueued_us) / max(1.0, unqueued_us))
        else:
            self.in_flight.learn(math.inf)
        self.shedder.adjust(self.context.now_us, request, event.outcome, event.latency_us)

    def _on_answered(self, request: Request, outcome: Outcome) -> None:
        if outcome is Outcome.OK:
            answered_at_us = request.response_began_us or self.context.now_us
            if request.is_first_try and answered_at_us <= request.objective_at_us:
                self.priorities.count_served(request.klass)
            if self._gate is not None:
                self._gate.count_served(request)
        self.requests.finish(request)

    def _retry(self, request: Request, outcome: Outcome) -> None:
        """After the last attempt in flight has failed: another one, or the final answer."""
        may_retry = self.retry_policy.may_retry(self.context, request, outcome)
        if may_retry and self.sender.try_send(request):
            self.retry_policy.pay_retry(request, outcome)
        else:
            self.requests.answer_unserved(request, RejectReason.UNSERVED)

    def _on_stall(self, request: Request) -> None:
        """An attempt should have been answered by now: where the class allows, hedge the request."""
        stalled = [attempt for attempt in request.attempts if not attempt.ended]
        for attempt in stalled:
            attempt.stalled = True
        if not stalled or request.streaming or not self.retry_policy.may_hedge(request):
            return
        if self.sender.try_send(request):
            self.retry_policy.pay_hedge()

    # Timers

    def _on_timer(self, event: TimerFired) -> None:
        timer = self.timers.fire(event.token)
        if timer is None:
            return
        if timer.purpose is TimerPurpose.CONCURRENCY_SHARE:
            self.in_flight.timer_fired()
            self._serve_waiting()
        elif timer.purpose is TimerPurpose.ENDPOINT_LIST:
            if not self.settings.endpoints_are_pushed:
                self.context.actions.append(WatchEndpoints())
        elif timer.request is not None and timer.purpose is TimerPurpose.QUEUE_WAIT:
            self._on_wait_over(timer.request)
        elif timer.request is not None:
            self._on_request_timer(timer.request)

    def _on_wait_over(self, request: Request) -> None:
        if self._gate is not None and self._gate.is_queued(request):
            self._deny(self._gate, request, AdmissionDenial.LATE)
        elif request in self.capacity_wait:
            self.requests.answer_unserved(request, RejectReason.NO_ROOM)

    def _on_request_timer(self, request: Request) -> None:
        if request.answered:
            if request.in_flight == 0:
                self.requests.release(request)
        elif request.in_flight == 0:
            self.requests.answer_unserved(request, RejectReason.TURN)  # its turn has not come
        else:
            self._on_stall(request)

    # The endpoint list and tenants

    def _on_endpoint_list(self, event: EndpointList) -> None:
        if self.endpoints.update(event):
            self._serve_waiting()

    def _on_tenant_shares(self, event: TenantSharesChanged) -> None:
        if self.admission is not None:
            self.admission.set_shares(event.shares)

    def _on_peer_demands(self, event: PeerDemands) -> None:
        if self.admission is not None:
            demands = list(event.demands)
            self.admission.hear(event.proxy, demands, self.context.now_us, self.fleet.gateways)


def _admission(settings: Settings) -> AdmissionController[Request] | None:
    """Admission control, where it is on; without tenants there is one with all of the service."""
    if settings.admission is None:
        return None
    shares = [tenant.share for tenant in settings.tenants] or [1.0]
    return AdmissionController[Request](settings.admission, shares)
