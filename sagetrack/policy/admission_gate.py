"""Connects admission control to the load balancer: limits, fair queues, and sending of queued requests."""

from __future__ import annotations

from sagetrack.policy.admission import RESERVATION_PRIORITY, AdmissionController, AdmissionDenial
from sagetrack.policy.attempts import AttemptSender
from sagetrack.policy.class_priorities import ClassPriorities
from sagetrack.policy.endpoint_ring import Ring
from sagetrack.policy.events import AttemptEnded, Outcome
from sagetrack.policy.in_flight import InFlightAttempts
from sagetrack.policy.load_shedding import LoadShedder
from sagetrack.policy.policy_context import PolicyContext
from sagetrack.policy.reservations import Requester
from sagetrack.policy.selection import ServerSelector
from sagetrack.policy.state import Request, Server
from sagetrack.policy.timers import TimerPurpose

# Outcomes that update the work estimates and the concurrency limit
COST_OUTCOMES = frozenset({Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT})


class AdmissionGate:
    """Applies the admission controller to requests before they are sent."""

    def __init__(
        self,
        admission: AdmissionController[Request],
        policy_context: PolicyContext,
        ring: Ring[Server],
        priorities: ClassPriorities,
        shedder: LoadShedder,
        selector: ServerSelector,
        sender: AttemptSender,
        in_flight: InFlightAttempts,
    ) -> None:
        self._admission = admission
        self._context = policy_context.event_context
        self._settings = policy_context.settings
        self._fleet = policy_context.fleet
        self._ring = ring
        self._latency = policy_context.latency
        self._priorities = priorities
        self._shedder = shedder
        self._selector = selector
        self._sender = sender
        self._in_flight = in_flight
        self._timers = policy_context.timers

    @property
    def has_queue(self) -> bool:
        """True if any request is queued."""
        return self._admission.queued > 0

    def is_queued(self, request: Request) -> bool:
        """Return whether a request is queued."""
        return self._admission.is_queued(request)

    def count_denial(self, reason: AdmissionDenial) -> None:
        """Count a denial for the metrics."""
        self._admission.record_denial(reason)

    def admit(self, request: Request, is_retry: bool) -> AdmissionDenial | None:
        """Send a request or queue it.

        A request that cannot be served in time is denied now instead of after its maximum wait.

        Returns:
            The reason if the request is denied, else None.
        """
        admission = self._admission
        work_us = admission.estimated_work_us(request.class_index, request.relative_work)
        denial = self._check_limits(request, work_us, is_retry)
        if denial is not None:
            return denial
        if self._shedder.should_reject(self._context, request):
            return AdmissionDenial.OVER_QUOTA
        idle = not admission.queued and admission.has_capacity(self._in_flight.count)
        if idle and self._sender.try_send(request):
            return None  # nothing is queued, so it overtakes no other request
        return self._queue(request, work_us)

    def _check_limits(self, request: Request, work_us: float, is_retry: bool) -> AdmissionDenial | None:
        """Check reservations, rate limits, the memory bound and the retry budget."""
        requester = Requester(request.admission_tenant, request.client, request.key or 0)
        now_us, class_index = self._context.now_us, request.class_index
        decision = self._admission.check_arrival(now_us, requester, class_index, work_us, is_retry)
        if decision.denial is not None:
            request.retry_after_us = decision.retry_after_us or -1
            return decision.denial
        request.has_reservation = decision.reserved
        return None

    def _queue(self, request: Request, work_us: float) -> AdmissionDenial | None:
        """Queue a request and send it at once if it is next; return the reason if it is denied."""
        admission, now_us = self._admission, self._context.now_us
        late, max_wait_us = self._max_wait_us(request)
        if not self._selector.any_eligible(request.class_index):
            return AdmissionDenial.NO_SERVER
        self._set_minimums()
        requester = Requester(request.admission_tenant, request.client, request.key or 0)
        wait_us = admission.wait_us(requester.tenant, requester.client) if admission.queued else 0.0
        if wait_us > max_wait_us and not request.has_reservation:
            return AdmissionDenial.WAIT_TOO_LONG
        late_weight = self._settings.classes[request.class_index].late_priority_weight
        gain = self._priorities.gains()[request.class_index] * (late_weight if late else 1.0)
        priority = gain + RESERVATION_PRIORITY * request.has_reservation
        admission.enqueue(request, requester, work_us, priority, request.objective_at_us)
        self.serve()
        if not request.attempts and not request.finished:
            if max_wait_us <= 0:
                return AdmissionDenial.WAIT_TOO_LONG
            self._timers.set(now_us + int(max_wait_us), TimerPurpose.QUEUE_WAIT, request)
        return None

    def _max_wait_us(self, request: Request) -> tuple[bool, float]:
        """Return whether the request can only be served late, and how long it may be queued."""
        now_us = self._context.now_us
        needed_us = self._latency.expected_baseline_us(request.class_index, request.relative_work)
        left_us = request.deadline_us - now_us - needed_us
        late_weight = self._settings.classes[request.class_index].late_priority_weight
        late = late_weight > 0.0 and (request.has_reservation or now_us >= request.objective_at_us)
        slack_us = left_us if late else min(request.objective_at_us - now_us - needed_us, left_us)
        return late, self._admission.settings.max_wait_fraction * slack_us

    def _set_minimums(self) -> None:
        """Set the assumed service rate and the minimum concurrency from the number of servers.

        By Little's law, the number of requests in flight equals the latency served per unit of time.
        """
        servers = len(self._ring.ranked)
        self._admission.set_assumed_service_rate(float(servers * self._fleet.max_in_flight_per_server()))
        self._admission.set_minimum_concurrency(max(1.0, servers / self._fleet.gateways))

    def serve(self) -> None:
        """Send queued requests in order while there is capacity."""
        admission = self._admission
        while (request := admission.peek(self._in_flight.count)) is not None:
            if not self._sender.try_send(request):
                return
            admission.dequeue(request, self._context.now_us)

    def attempt_ended(self, request: Request, event: AttemptEnded) -> None:
        """Update the concurrency limit and the work estimates at the end of an attempt.

        Must be called before the attempt is removed from the attempts in flight.
        """
        if event.outcome in COST_OUTCOMES:
            succeeded, rejected = event.outcome is Outcome.OK, event.outcome is Outcome.REJECTED
            in_flight, size = self._in_flight.count, request.relative_work
            self._admission.record_completion(
                request.class_index, event.latency_us, size, in_flight, succeeded, rejected
            )

    def count_served(self, request: Request) -> None:
        """Count a served request for the metrics."""
        if request.mirror_target < 0:
            self._admission.record_served(request.admission_tenant)
