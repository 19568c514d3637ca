"""Reservations for rejected clients: a client that retries at its Retry-After is admitted ahead of others.

Times are readings of the caller's clock in whole microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

# Part of a Retry-After by which a client may retry early; a client that retries earlier has ignored it.
EARLY_FRACTION = 0.2
EXPIRY_US = 3_000_000  # an unclaimed reservation expires this long after its time
JITTER = 0.1  # maximum random extension of a Retry-After; spreads the retries of clients rejected together
MAX_RESERVATIONS_PER_CLIENT = 64  # keeps one client from lengthening the schedule for others
MIN_RETRY_AFTER_US = 10_000  # a shorter wait does not justify another round trip


class Requester(NamedTuple):
    """Identifies the sender of a request as far as the gateway knows it."""

    tenant: int  # index in `Settings.tenants`
    client: int  # 0: unknown; negative: an address that several clients may share
    key: int  # affinity key of the request; 0: none


class RetryAfterLimits(NamedTuple):
    """Limits and jitter of the Retry-After of a rejected request."""

    jitter_draw: float  # uniform random number in [0, 1) for the jitter
    max_wait_us: int  # maximum Retry-After
    client_timeout_us: int  # time until the client gives up; nothing is reserved beyond it


class Reservations:
    """Reservations by requester, and the numbers of issued, honored and ignored Retry-Afters by tenant.

    Each tenant has a schedule: a rejected request is scheduled for when the tenant's share of the service has
    completed all work reserved before it. A client that retries at that time is admitted ahead of new
    requests, whose waits take the reserved work into account.
    """

    def __init__(self, tenants: int, capacity: int) -> None:
        """Create an empty schedule with at most `capacity` unclaimed reservations at once."""
        # By requester: the scheduled time of each reservation, and the earliest time to claim it
        self.table: OrderedDict[Requester, list[tuple[int, int]]] = OrderedDict()
        self.capacity, self.count = capacity, 0
        self.count_by_client: dict[tuple[int, int], int] = {}  # for known clients, by tenant and client
        self.booked_until_us = [0.0] * tenants
        self.issued, self.honored, self.ignored = [0] * tenants, [0] * tenants, [0] * tenants

    def wait_us(self, tenant: int, now_us: int) -> float:
        """Return how long the tenant's share of the service is already reserved from now on."""
        return max(0.0, self.booked_until_us[tenant] - now_us)

    def reserve(
        self,
        now_us: int,
        requester: Requester,
        backlog_us: float,
        service_us: float,
        limits: RetryAfterLimits,
    ) -> int:
        """Choose the Retry-After of a rejected request and, if possible, reserve service for the retry.

        Nothing is reserved if the wait exceeds the maximum or the client's timeout, so that clients that will
        not retry do not lengthen the schedule; nor if there are too many reservations.

        Args:
            now_us: Current time.
            requester: Sender of the request.
            backlog_us: Time that the tenant's share of the service needs for its queued requests.
            service_us: Time that it needs for this request.
            limits: Limits and jitter of the wait.

        Returns:
            The Retry-After in microseconds.
        """
        tenant, client, _ = requester
        start_us = max(self.booked_until_us[tenant], now_us + backlog_us)
        wait_us = max(float(MIN_RETRY_AFTER_US), start_us - now_us) * (1.0 + JITTER * limits.jitter_draw)
        self.issued[tenant] += 1
        client_count = self.count_by_client.get((tenant, client), 0)
        at_capacity = self.count >= self.capacity or client_count >= MAX_RESERVATIONS_PER_CLIENT
        if wait_us > min(limits.max_wait_us, limits.client_timeout_us) or at_capacity:
            return min(int(wait_us), limits.max_wait_us)
        self.booked_until_us[tenant] = start_us + service_us
        slots = self.table.setdefault(requester, [])
        slots.append((now_us + int(wait_us), now_us + int((1.0 - EARLY_FRACTION) * wait_us)))
        self.table.move_to_end(requester)
        self.count += 1
        if client:
            self.count_by_client[tenant, client] = client_count + 1
        return int(wait_us)

    def claim(self, requester: Requester, now_us: int) -> int | None:
        """Claim the earliest reservation of a client that retries.

        Returns:
            0 if the reservation has been claimed; the remaining wait in microseconds if it is too early; None
            if there is no reservation.
        """
        self._expire(now_us)
        slots = self.table.get(requester)
        if not slots:
            return None
        start_us, earliest_us = min(slots)
        if now_us < earliest_us:
            return start_us - now_us
        slots.remove((start_us, earliest_us))
        self._release(requester, 1)
        self.honored[requester.tenant] += 1
        if not slots:
            del self.table[requester]
        return 0

    def record_ignored(self, tenant: int) -> None:
        """Count a retry that arrived before its Retry-After had passed."""
        self.ignored[tenant] += 1

    def _release(self, requester: Requester, count: int) -> None:
        self.count -= count
        tenant, client, _ = requester
        if client:
            self.count_by_client[tenant, client] -= count
            if not self.count_by_client[tenant, client]:
                del self.count_by_client[tenant, client]

    def _expire(self, now_us: int) -> None:
        """Drop expired reservations, of at most two requesters per call, oldest first."""
        for _ in range(2):
            requester = next(iter(self.table), None)
            if requester is None or max(self.table[requester])[0] > now_us - EXPIRY_US:
                return
            self._release(requester, len(self.table.pop(requester)))
