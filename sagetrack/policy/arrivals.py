"""Handles arriving requests: each is sent, queued or rejected."""

from __future__ import annotations

from sagetrack.policy.actions import Fail, RejectReason
from sagetrack.policy.admission import AdmissionDenial
from sagetrack.policy.admission_gate import AdmissionGate
from sagetrack.policy.attempt_deadline import attempt_deadline_us
from sagetrack.policy.attempts import AttemptSender
from sagetrack.policy.capacity_wait import CapacityWait
from sagetrack.policy.events import RequestArrived
from sagetrack.policy.load_shedding import LoadShedder
from sagetrack.policy.ordered_keys import OrderedKeys, Turn
from sagetrack.policy.policy_context import PolicyContext
from sagetrack.policy.request_factory import RequestFactory
from sagetrack.policy.request_lifecycle import RequestLifecycle
from sagetrack.policy.state import Request
from sagetrack.policy.timers import TimerPurpose


class Arrivals:
    """Handles arriving requests, and sends queued ones when capacity becomes available."""

    def __init__(
        self,
        policy_context: PolicyContext,
        factory: RequestFactory,
        requests: RequestLifecycle,
        gate: AdmissionGate | None,
        shedder: LoadShedder,
        sender: AttemptSender,
        ordered_keys: OrderedKeys,
        capacity_wait: CapacityWait,
    ) -> None:
        self._context = policy_context.event_context
        self._settings = policy_context.settings
        self._factory = factory
        self._requests = requests
        self._gate = gate
        self._shedder = shedder
        self._sender = sender
        self._latency = policy_context.latency
        self._ordered_keys = ordered_keys
        self._capacity_wait = capacity_wait
        self._timers = policy_context.timers

    def handle_arrival(self, event: RequestArrived) -> None:
        """Handle the arrival of a request."""
        context, requests = self._context, self._requests
        if event.request in requests:
            context.log(
                f"request {event.request} arrived again while still in progress; the duplicate is ignored"
            )
            return
        if not 0 <= event.class_index < len(self._settings.classes):
            context.log(f"request {event.request} has unknown class {event.class_index}")
            context.actions.append(Fail(event.request))
            return
        request = self._factory.make(event, context.now_us, self._sender.stops_at_us)
        requests.add(request)
        if request.mirror_target >= 0:
            self._admit_mirrored(request)
        elif self._gate is not None and not self._settings.classes[request.class_index].in_order:
            denial = self._gate.admit(request, event.is_retry)
            if denial is not None:
                self._deny(self._gate, request, denial)
        elif self._shedder.should_reject(context, request):
            requests.reject_or_fail(request, RejectReason.SHED)
        elif not (
            self._waits_its_turn(request)
            or self._sender.try_send(request)
            or self._capacity_wait.join(request)
        ):
            requests.reject_or_fail(request, RejectReason.NO_CAPACITY)

    def _admit_mirrored(self, request: Request) -> None:
        """Send a mirrored request if there is spare capacity, otherwise drop it."""
        queued = len(self._capacity_wait) > 0 or (self._gate is not None and self._gate.has_queue)
        if self._shedder.is_active or queued or not self._sender.try_send(request):
            self._requests.reject_or_fail(request)

    def _deny(self, gate: AdmissionGate, request: Request, reason: AdmissionDenial) -> None:
        gate.count_denial(reason)
        self._requests.reject_or_fail(request, RejectReason.QUEUE)

    def _waits_its_turn(self, request: Request) -> bool:
        """Queue a request of an in-order class behind others with its key, or reject it as too late.

        Returns:
            False if the request may be sent now.
        """
        request_class, now_us = self._settings.classes[request.class_index], self._context.now_us
        if request.key is None or not request_class.in_order:
            return False
        expected_us = self._latency.expected_us(request.class_index, request.relative_work)
        latest_send_us = attempt_deadline_us(request, request_class, now_us) - int(expected_us)
        turn = self._ordered_keys.join(request, request.key, now_us, expected_us, latest_send_us)
        if turn is Turn.TOO_LATE:
            self._requests.reject_or_fail(request)
        elif turn is Turn.WAITS:
            self._timers.set(latest_send_us, TimerPurpose.REQUEST, request)
        return turn is not Turn.NOW

    def serve_waiting(self) -> None:
        """Send queued requests while there is capacity."""
        if self._gate is not None:
            self._gate.serve()
        self._capacity_wait.serve()

    def queue_wait_expired(self, request: Request) -> None:
        """Reject a request that has reached its maximum wait, if it is still queued."""
        if self._gate is not None and self._gate.is_queued(request):
            self._deny(self._gate, request, AdmissionDenial.WAIT_TOO_LONG)
        elif request in self._capacity_wait:
            self._requests.reject_or_fail(request, RejectReason.NO_CAPACITY)
