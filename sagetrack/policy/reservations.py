"""Reservations behind Retry-After: when a rejected client may come back and is admitted ahead of others.

All times are readings of the caller's clock in whole microseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

EARLY_FRACTION = 0.2  # of a Retry-After: a client that comes back sooner than the rest of it has ignored it
EXPIRY_US = 3_000_000  # an unclaimed reservation is void this long after its time
JITTER = 0.1  # of a Retry-After, added at random: clients rejected together come back apart
MAX_RESERVATIONS_PER_CLIENT = 64  # one client's many requests do not lengthen the schedule for others
MIN_RETRY_AFTER_US = 10_000  # a shorter wait is not worth another round trip


class Requester(NamedTuple):
    """Who sends a request, as far as the gateway knows."""

    tenant: int  # its place in the settings
    client: int  # 0: not known; below 0: an address that several clients may share
    key: int  # the request's affinity key; 0: none


class RetryAfterLimits(NamedTuple):
    """What bounds the Retry-After of a rejected request."""

    jitter_draw: float  # even between 0 and 1, for the jitter
    max_wait_us: int  # no longer Retry-After is ever sent
    client_timeout_us: int  # until the client gives up; nothing is reserved beyond it


class Reservations:
    """Reserved times by client, and how many clients came back at theirs.

    Each tenant has a schedule: a rejected request is due when the tenant's share of the service has done all
    work that was reserved before it. A client that comes back at its time is admitted ahead of new requests,
    whose own wait counts the work that is still reserved.
    """

    def __init__(self, tenants: int, capacity: int) -> None:
        """Start empty; `capacity` bounds the reservations that are open at once."""
        # By requester: when each of its requests is due, and the earliest time at which it may come.
        self.table: OrderedDict[Requester, list[tuple[int, int]]] = OrderedDict()
        self.capacity, self.count = capacity, 0
        self.count_by_client: dict[tuple[int, int], int] = {}  # by tenant and client, where that is known
        self.booked_until_us = [0.0] * tenants
        self.issued, self.honored, self.ignored = [0] * tenants, [0] * tenants, [0] * tenants

    def wait_us(self, tenant: int, now_us: int) -> float:
        """For how long the tenant's share of the service is reserved already."""
        return max(0.0, self.booked_until_us[tenant] - now_us)

    def reserve(
        self,
        now_us: int,
        requester: Requester,
        backlog_us: float,
        service_us: float,
        limits: RetryAfterLimits,
    ) -> int:
        """Choose the Retry-After of a rejected request and reserve service for it where possible.

        A wait beyond the maximum or beyond the client's timeout is returned without a reservation, so that a
        client that will not come back does not lengthen the schedule.

        Args:
            now_us: The time.
            requester: Whose request it is.
            backlog_us: How long the tenant's share of the service takes for what is queued already.
            service_us: How long it takes for this request.
            limits: Bounds of the wait.

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
        """Use the reservation of a client that retries.

        Returns:
            0 if one is due about now and has been used up; how long the client still has to wait, in
            microseconds, if it is too early; None if there is no reservation.
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
        """Count a client that came back before its Retry-After was over."""
        self.ignored[tenant] += 1

    def _release(self, requester: Requester, count: int) -> None:
        self.count -= count
        tenant, client, _ = requester
        if client:
            self.count_by_client[tenant, client] -= count
            if not self.count_by_client[tenant, client]:
                del self.count_by_client[tenant, client]

    def _expire(self, now_us: int) -> None:
        """Drop unclaimed reservations: those of the two oldest requesters at the most."""
        for _ in range(2):
            requester = next(iter(self.table), None)
            if requester is None or max(self.table[requester])[0] > now_us - EXPIRY_US:
                return
            self._release(requester, len(self.table.pop(requester)))
