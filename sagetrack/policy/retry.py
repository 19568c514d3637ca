"""Retries and hedged requests: the policy that allows them and the budget that bounds them.

The budget is a token bucket that is filled by first tries, as the retry budgets of gRPC and Finagle are. It
bounds retries to a fraction of the first tries, so that retries do not amplify an overload. A first try is a
client's request that is not a retry by the client.
"""

from __future__ import annotations

from sagetrack.policy.attempt_deadline import attempt_deadline_us
from sagetrack.policy.event_context import EventContext
from sagetrack.policy.events import Outcome
from sagetrack.policy.latency import LatencyEstimator
from sagetrack.policy.load_shedding import LoadShedder
from sagetrack.policy.settings import Effect, Settings
from sagetrack.policy.state import Request

RETRIES_PER_FIRST_TRY = 0.2  # tokens added by each first try
# Tokens for a retry after an outcome other than a timeout. Such outcomes do not indicate overload.
CHEAP_RETRY = 0.5
MAX_TOKENS = 2.0  # kept low, because hundreds of gateways may spend their tokens at the same time
# Outcomes after which the complete body can still be sent
BODY_NOT_BEGUN = frozenset({Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class RetryBudget:
    """A token bucket for retries and hedged requests."""

    __slots__ = ("tokens",)

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    def add_first_try(self) -> None:
        """Add the tokens of a first try."""
        self.tokens = min(self.tokens + RETRIES_PER_FIRST_TRY, MAX_TOKENS)

    def can_spend(self, cost: float) -> bool:
        """Return whether there are at least `cost` tokens."""
        return self.tokens >= cost

    def spend(self, cost: float) -> None:
        """Remove `cost` tokens."""
        self.tokens -= cost


class RetryPolicy:
    """Decides whether a request may have another attempt, after a failed one or beside a stalled one."""

    def __init__(
        self, settings: Settings, budget: RetryBudget, latency: LatencyEstimator, shedder: LoadShedder
    ) -> None:
        self._settings = settings
        self._budget = budget
        self._latency = latency
        self._shedder = shedder

    def may_retry(self, context: EventContext, request: Request, outcome: Outcome) -> bool:
        """Return whether to retry a request after its last attempt in flight has failed."""
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
        """Charge the budget for a sent retry; it is free if no earlier attempt may have run."""
        if any(attempt.may_have_run for attempt in request.attempts[:-1]):
            self._budget.spend(_cost(outcome))

    def may_hedge(self, request: Request) -> bool:
        """Return whether to hedge a stalled request; never while load is shed."""
        if not self._settings.hedging or not self._budget.can_spend(1.0):
            return False
        if self._shedder.shed_fraction > 0.0:
            return False
        return len(request.attempts) < self._settings.max_attempts

    def charge_hedge(self) -> None:
        """Charge the budget for a sent hedge."""
        self._budget.spend(1.0)


def _cost(outcome: Outcome) -> float:
    return 1.0 if outcome is Outcome.TIMEOUT else CHEAP_RETRY
