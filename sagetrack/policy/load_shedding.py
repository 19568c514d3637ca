"""Load shedding: which requests to reject before they cost a server anything.

Two fractions of the requested work are shed: of the low-priority classes, and of all others. Both are moved
by feedback: up with each response that queued for too long, down with a prompt one.
"""

from __future__ import annotations

from sagetrack.policy.admission import AdmissionController
from sagetrack.policy.class_priorities import ClassPriorities
from sagetrack.policy.client_timeouts import ClientTimeouts
from sagetrack.policy.event_context import EventContext
from sagetrack.policy.events import Outcome
from sagetrack.policy.latency import STALL_FACTOR, LatencyEstimator
from sagetrack.policy.settings import Settings
from sagetrack.policy.state import Request

MAX_QUEUED_SHARE = 0.5  # of the slack under the latency objective: an answer that queued longer is late
LOW_PRIORITY = (
    0.5  # of the mean gain for work: classes below are shed for queueing, the rest only for lateness
)
MIN_OVERLOAD_SHARE = 0.05  # of the slack under the objective: queueing for less is never an overload
OVERLOAD_FACTOR = 4.0  # times the baseline latency: answers of overloaded servers, whatever the objective
SHED_STEP = 0.1  # of the requested work: more or less is shed by this after one answer at the usual pace
MIN_SHED_STEP, SHED_STEP_PER_S = 0.02, 4.0  # with many answers: at the least, and by the time since the last
SPARSE_SHED_STEP_PER_S = 0.4  # the same with few answers, where it makes the step larger than SHED_STEP
MAX_OUTCOME_GAP_US = 500_000  # one answer speaks for no longer: a single late one on a quiet day is chance
MAX_SHED = 0.95  # the outcomes of the rest show when to shed less
MIN_USEFUL_SHARE = 0.5  # of the baseline latency: a request with less time left is not sent
LOAD_OUTCOMES = frozenset(
    {Outcome.OK, Outcome.TIMEOUT, Outcome.REJECTED}
)  # outcomes that show whether requests queue


class LoadShedder:
    """Owns the fractions that are shed, and decides which requests are."""

    def __init__(
        self,
        settings: Settings,
        latency: LatencyEstimator,
        client_timeouts: ClientTimeouts,
        priorities: ClassPriorities,
        admission: AdmissionController[Request] | None = None,
    ) -> None:
        self._classes = settings.classes
        self._latency = latency
        self._client_timeouts = client_timeouts
        self._priorities = priorities
        self._admission = admission
        self.shed_fraction = 0.0  # of the work of low-priority classes
        self.shed_fraction_high_priority = 0.0  # of all other work
        self.adjusted_at_us = 0

    @property
    def is_active(self) -> bool:
        """Whether anything is shed at all."""
        return self.shed_fraction > 0.0 or self.shed_fraction_high_priority > 0.0

    def is_too_late(self, now_us: int, request: Request) -> bool:
        """Whether an answer would come too late to be of any use."""
        if now_us >= request.deadline_us:
            return True
        request_class = self._classes[request.class_index]
        if request_class.late_priority_weight <= 0.0 and now_us >= request.objective_at_us:
            return True
        useful_us = MIN_USEFUL_SHARE * self._latency.baseline_us[request.class_index] * request.relative_work
        varying_timeouts = self._client_timeouts.has_varying_timeouts(request.class_index, request.tenant)
        return varying_timeouts and request.deadline_us - now_us < useful_us

    def should_reject(self, context: EventContext, request: Request) -> bool:
        """Whether to reject a request: a hopeless one, or one of those that gain least while load is shed."""
        if self.is_too_late(context.now_us, request):
            return True
        if self.shed_fraction <= 0.0 and self.shed_fraction_high_priority <= 0.0:
            return False
        if request.has_reservation:
            return False
        if self._admission is None and context.random.random() < request.quota_excess:
            return True
        return self._is_shed(context, request)

    def _is_shed(self, context: EventContext, request: Request) -> bool:
        """Draw a point in the request's class's part of all work, in order of gain; the lowest are shed."""
        gains = self._priorities.gains()
        gain = gains[request.class_index]
        work = self._priorities.work()
        total = sum(work) or 1.0
        below = sum(w for w, g in zip(work, gains, strict=True) if g < gain) / total
        point = below + work[request.class_index] / total * context.random.random()
        mean = sum(w * g for w, g in zip(work, gains, strict=True)) / total
        high = gain >= LOW_PRIORITY * mean
        shed = self.shed_fraction_high_priority if high else self.shed_fraction
        if self._admission is not None:  # a client within its fair share is not shed
            shed = self._admission.rejection_fraction(
                context.now_us, request.admission_tenant, request.client, shed, high
            )
        return point < shed

    def adjust(self, now_us: int, request: Request, outcome: Outcome, latency_us: int) -> None:
        """Shed more after an outcome of `TELL_LOAD` that queued for too long, less after a prompt one."""
        request_class = self._classes[request.class_index]
        baseline_us = self._latency.baseline_us[request.class_index]
        slack_us = request_class.latency_objective_us - baseline_us
        queued_us = latency_us - baseline_us * request.relative_work
        failed = outcome is not Outcome.OK
        step = self._step(now_us)
        late = failed or queued_us > MAX_QUEUED_SHARE * slack_us
        self.shed_fraction = _adjusted(self.shed_fraction, step if late else -step)
        overload_threshold_us = max(
            (OVERLOAD_FACTOR - 1.0) * baseline_us * request.relative_work, MIN_OVERLOAD_SHARE * slack_us
        )
        overloaded = failed or queued_us > overload_threshold_us
        stall_us = STALL_FACTOR * self._latency.expected_us(request.class_index, request.relative_work)
        if outcome is Outcome.TIMEOUT and request_class.late_priority_weight <= 0.0 and latency_us < stall_us:
            change = step / 4  # cut short at the objective: as likely a lost connection as an overload
        else:
            change = step if overloaded else -step
        self.shed_fraction_high_priority = _adjusted(self.shed_fraction_high_priority, change)

    def _step(self, now_us: int) -> float:
        """How much to change by, from the time since the last answer.

        With few answers an overload must be noticed as soon as with many; with many, a handful that waits
        for new connections must not shed nearly everything.
        """
        gap_s = min(now_us - self.adjusted_at_us, MAX_OUTCOME_GAP_US) / 1e6
        self.adjusted_at_us = now_us
        return max(MIN_SHED_STEP, min(SHED_STEP, SHED_STEP_PER_S * gap_s), SPARSE_SHED_STEP_PER_S * gap_s)


def _adjusted(fraction: float, change: float) -> float:
    """A fraction after a change, within 0 and `MAX_SHED`."""
    return min(MAX_SHED, max(0.0, fraction + change))
