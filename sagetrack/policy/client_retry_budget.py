"""A retry budget for clients, with one token bucket for each tenant and one for all tenants together.

It bounds the retries that clients send; retries made by this gateway have a separate budget (see `retry`).
Each first try of a client adds a fraction of a token and each retry takes one, as in Finagle's retry budget.
Because retries amplify an overload, the bucket of each tenant keeps its retries from spending the tokens that
the first tries of other tenants have added.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class TokenBucket:
    """Retry tokens, up to a maximum."""

    tokens: float
    maximum: float

    def add(self, tokens: float) -> None:
        """Add tokens; tokens beyond the maximum are discarded."""
        self.tokens = min(self.maximum, self.tokens + tokens)

    def take(self) -> bool:
        """Take one token; return False without a change if there is less than one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class ClientRetryBudget:
    """Decides whether a client's retry is admitted while capacity is short."""

    def __init__(self, tenants: int, ratio: float = 0.2, burst: float = 10.0) -> None:
        """Start with full buckets.

        Args:
            tenants: Number of tenants.
            ratio: Tokens added by each first try.
            burst: Maximum number of tokens of one tenant; the bucket of all tenants holds twice as many.
        """
        self.ratio = ratio
        self.tenants = [TokenBucket(burst, burst) for _ in range(tenants)]
        self.total = TokenBucket(2 * burst, 2 * burst)

    def record_first_try(self, tenant: int) -> None:
        """Add the tokens of a first try to both buckets."""
        self.tenants[tenant].add(self.ratio)
        self.total.add(self.ratio)

    def try_retry(self, tenant: int) -> bool:
        """Take a token from both buckets; return False if either has less than one."""
        if self.total.tokens < 1.0 or not self.tenants[tenant].take():
            return False
        return self.total.take()
