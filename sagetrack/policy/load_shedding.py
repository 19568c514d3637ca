"""Load shedding: decides which requests to reject before they use capacity of a server.

There are two fractions of the requested work to shed, one for low-priority classes and one for all others.
Both follow feedback: each response that queued for too long raises them, each prompt response lowers them.
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

# Part of the slack until the latency objective; a response that queued for longer counts as late.
MAX_QUEUED_SHARE = 0.5
# Fraction of the mean gain per unit of work below which a class has low priority. Late responses shed
# low-priority classes; only overload sheds the others.
LOW_PRIORITY = 0.5
# Part of the slack until the latency objective; a shorter queueing delay never indicates overload.
MIN_OVERLOAD_SHARE = 0.05
# Multiple of the baseline latency; a higher latency indicates overload, whatever the latency objective is.
OVERLOAD_FACTOR = 4.0
SHED_STEP = 0.1  # change of the shed fraction after one response, at the usual rate of responses
# At a high rate of responses: the minimum step, and the step per second since the previous response
MIN_SHED_STEP, SHED_STEP_PER_S = 0.02, 4.0
# At a low rate of responses: the step per second, if that makes the step larger than SHED_STEP
SPARSE_SHED_STEP_PER_S = 0.4
# Longer gaps between responses count as this one, because a single late response at low load may be chance.
MAX_OUTCOME_GAP_US = 500_000
MAX_SHED = 0.95  # the outcomes of the remaining requests show when to shed less
# Part of the baseline latency; where client timeouts vary, a request with less time left is rejected.
MIN_USEFUL_SHARE = 0.5
# Outcomes that show whether requests queue at the servers
LOAD_OUTCOMES = frozenset({Outcome.OK, Outcome.TIMEOUT, Outcome.REJECTED})


class LoadShedder:
    """Maintains the shed fractions and decides which requests are shed."""

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
        self.shed_fraction = 0.0  # fraction of work to shed, for low-priority classes
        self.shed_fraction_high_priority = 0.0  # the same for all other classes
        self.adjusted_at_us = 0

    @property
    def is_active(self) -> bool:
        """True if either shed fraction is above 0."""
        return self.shed_fraction > 0.0 or self.shed_fraction_high_priority > 0.0

    def is_too_late(self, now_us: int, request: Request) -> bool:
        """Return whether a response would come too late to be of use."""
        if now_us >= request.deadline_us:
            return True
        request_class = self._classes[request.class_index]
        if request_class.late_priority_weight <= 0.0 and now_us >= request.objective_at_us:
            return True
        useful_us = MIN_USEFUL_SHARE * self._latency.baseline_us[request.class_index] * request.relative_work
        varying_timeouts = self._client_timeouts.has_varying_timeouts(request.class_index, request.tenant)
        return varying_timeouts and request.deadline_us - now_us < useful_us

    def should_reject(self, context: EventContext, request: Request) -> bool:
        """Return whether to reject a request, because it is too late or because it is shed."""
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
        """Decide at random whether a request is shed, so that the work of the lowest gain is shed first.

        All work is ordered by the gain of its class and scaled to the range 0 to 1. The request gets a random
        position within the part of its class, and is shed if the position is below the shed fraction.
        """
        gains = self._priorities.gains()
        gain = gains[request.class_index]
        work = self._priorities.work()
        total = sum(work) or 1.0
        below = sum(w for w, g in zip(work, gains, strict=True) if g < gain) / total
        point = below + work[request.class_index] / total * context.random.random()
        mean = sum(w * g for w, g in zip(work, gains, strict=True)) / total
        high = gain >= LOW_PRIORITY * mean
        shed = self.shed_fraction_high_priority if high else self.shed_fraction
        if self._admission is not None:  # rejects only clients that exceed their fair share
            shed = self._admission.rejection_fraction(
                context.now_us, request.admission_tenant, request.client, shed, high
            )
        return point < shed

    def adjust(self, now_us: int, request: Request, outcome: Outcome, latency_us: int) -> None:
        """Raise the shed fractions after an outcome that queued too long; lower them after a prompt one.

        The outcome must be one of `LOAD_OUTCOMES`.
        """
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
            change = step / 4  # ended at the objective: may be a lost connection instead of overload
        else:
            change = step if overloaded else -step
        self.shed_fraction_high_priority = _adjusted(self.shed_fraction_high_priority, change)

    def _step(self, now_us: int) -> float:
        """Return the step of the shed fractions, from the time since the previous outcome.

        With few responses, an overload must be detected as fast as with many. With many responses, a few that
        wait for new connections must not cause nearly all requests to be shed.
        """
        gap_s = min(now_us - self.adjusted_at_us, MAX_OUTCOME_GAP_US) / 1e6
        self.adjusted_at_us = now_us
        return max(MIN_SHED_STEP, min(SHED_STEP, SHED_STEP_PER_S * gap_s), SPARSE_SHED_STEP_PER_S * gap_s)


def _adjusted(fraction: float, change: float) -> float:
    """Return a fraction after a change, limited to the range from 0 to `MAX_SHED`."""
    return min(MAX_SHED, max(0.0, fraction + change))
