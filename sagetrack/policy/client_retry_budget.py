"""A budget for clients' retries, in two tiers: by tenant, and for all tenants together.

It bounds the retries that clients send; those that this gateway makes itself have a budget of their own.
Each first attempt earns a fraction of a token and each retry costs one (Finagle's retry budget). Two tiers,
since retries feed an overload: one tenant's retries cannot use up what the first attempts of others earned.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class TokenBucket:
    """Tokens for retries, up to a maximum."""

    tokens: float
    maximum: float

    def add(self, tokens: float) -> None:
        """Add tokens; what exceeds the maximum is lost."""
        self.tokens = min(self.maximum, self.tokens + tokens)

    def take(self) -> bool:
        """Take one token; False, and nothing taken, if there is not a whole one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class ClientRetryBudget:
    """Decides whether a client's retry may be admitted while capacity is short."""

    def __init__(self, tenants: int, ratio: float = 0.2, burst: float = 10.0) -> None:
        """Start with full buckets.

        Args:
            tenants: How many tenants there are.
            ratio: Retries that each first attempt pays for.
            burst: Retries of one tenant that can be saved up; all tenants together save up twice that.
        """
        self.ratio = ratio
        self.tenants = [TokenBucket(burst, burst) for _ in range(tenants)]
        self.total = TokenBucket(2 * burst, 2 * burst)

    def record_first_attempt(self, tenant: int) -> None:
        """Earn a part of a token."""
        self.tenants[tenant].add(self.ratio)
        self.total.add(self.ratio)

    def try_retry(self, tenant: int) -> bool:
        """Whether a retry is within both budgets; if so, it has been paid for."""
        if self.total.tokens < 1.0 or not self.tenants[tenant].take():
            return False
        return self.total.take()
