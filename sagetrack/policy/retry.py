"""Retries and hedged requests: whether another attempt is allowed, and a budget that bounds them.

The budget is a token bucket that first tries fill (as in gRPC's and Finagle's retry budgets), so that retries
stay a share of the first tries and an overload does not feed itself.
"""

from __future__ import annotations

from sagetrack.policy.attempt_deadline import attempt_deadline_us
from sagetrack.policy.event_context import EventContext
from sagetrack.policy.events import Outcome
from sagetrack.policy.latency import LatencyEstimator
from sagetrack.policy.load_shedding import LoadShedder
from sagetrack.policy.settings import Effect, Settings
from sagetrack.policy.state import Request

RETRIES_PER_FIRST_TRY = 0.2  # that a first try pays for
CHEAP_RETRY = 0.5  # tokens for one after anything but a timeout: no sign of an overload
MAX_TOKENS = 2.0  # saved up at the most: hundreds of gateways spend theirs together
BODY_NOT_BEGUN = frozenset({Outcome.CONNECT_FAILED, Outcome.NOT_SENT})  # the complete body may still be sent


class RetryBudget:
    """Tokens for retries and hedged requests."""

    __slots__ = ("tokens",)

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    def add_first_try(self) -> None:
        """A first try pays for a share of a retry."""
        self.tokens = min(self.tokens + RETRIES_PER_FIRST_TRY, MAX_TOKENS)

    def can_spend(self, cost: float) -> bool:
        """Whether there are so many tokens."""
        return self.tokens >= cost

    def spend(self, cost: float) -> None:
        """Take tokens out."""
        self.tokens -= cost


class RetryPolicy:
    """Whether a request may have another attempt, after a failed one or beside a stalled one."""

    def __init__(
        self, settings: Settings, budget: RetryBudget, latency: LatencyEstimator, shedder: LoadShedder
    ) -> None:
        self._settings = settings
        self._budget = budget
        self._latency = latency
        self._shedder = shedder

    def may_retry(self, context: EventContext, request: Request, outcome: Outcome) -> bool:
        """Whether to try again after the last attempt in flight has failed."""
        request_class = self._settings.classes[request.class_index]
        left_us = attempt_deadline_us(request, request_class, context.now_us) - context.now_us
        in_time = left_us > self._latency.expected_baseline_us(request.class_index, request.relative_work)
        if outcome is Outcome.TIMEOUT:
            shed = self._shedder.shed_fraction > 0.0
        else:
            shed = self._shedder.should_reject(context, request)
        affordable = self._budget.can_spend(_cost(outcome)) and not shed
        may_have_run = any(attempt.may_have_run for attempt in request.attempts)
        allowed = not may_have_run or (request_class.effect is not Effect.UNSAFE and affordable)
        attempts_left = len(request.attempts) < self._settings.max_attempts
        has_body = not request.single_use_body or outcome in BODY_NOT_BEGUN
        return allowed and in_time and attempts_left and has_body

    def charge_retry(self, request: Request, outcome: Outcome) -> None:
        """Pay for a retry that was sent; free where no earlier attempt may have run."""
        if any(attempt.may_have_run for attempt in request.attempts[:-1]):
            self._budget.spend(_cost(outcome))

    def may_hedge(self, request: Request) -> bool:
        """Whether to send a hedged request beside one that stalls; never while load is shed."""
        if not self._settings.hedging or not self._budget.can_spend(1.0):
            return False
        if self._shedder.shed_fraction > 0.0:
            return False
        return len(request.attempts) < self._settings.max_attempts

    def charge_hedge(self) -> None:
        """Pay for a hedged request that was sent."""
        self._budget.spend(1.0)


def _cost(outcome: Outcome) -> float:
    return 1.0 if outcome is Outcome.TIMEOUT else CHEAP_RETRY
