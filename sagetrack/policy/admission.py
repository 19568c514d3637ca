"""Admission control: decides which requests are admitted, in which order, and when rejected ones may retry.

It combines fair queues, rate and concurrency limits, a retry budget and reservations. It is independent of
servers; the load balancer consults it before it selects a server. The caller supplies the time and all random
numbers.
"""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Generic, NamedTuple, TypeVar

from sagetrack.policy.client_retry_budget import ClientRetryBudget
from sagetrack.policy.concurrency_limit import ConcurrencyLimit
from sagetrack.policy.fair_queue import FairQueues
from sagetrack.policy.rate_limit import Rate, RateLimiter
from sagetrack.policy.reservations import Requester, Reservations, RetryAfterLimits
from sagetrack.policy.service_rate import ServiceRate
from sagetrack.policy.tenant_demand import TenantDemand
from sagetrack.policy.work_estimate import WorkEstimator

Item = TypeVar("Item", bound=Hashable)
# Memory per entry of each kind of table, in bytes (docs/operators/fairness.md)
QUEUE_ENTRY_BYTES, FLOW_BYTES, RESERVATION_BYTES, RATE_ENTRY_BYTES = 3500, 700, 420, 240
MIN_MEMORY_BYTES = 64 * 1024
MAX_WAIT_FRACTION = 0.5  # upper bound of `AdmissionSettings.max_wait_fraction`
MAX_CATCH_UP_US = 1_000_000  # a tenant can catch up on unused service from at most this long ago
# Exceeds the priority of any class, so that a client that honors its Retry-After is first in its flow
RESERVATION_PRIORITY = 1e9


@dataclass(slots=True, frozen=True)
class AdmissionSettings:
    """The operator's settings of the fair queues and limits.

    Raises:
        ValueError: A value is out of its range.
    """

    shares: tuple[float, ...] = ()  # shares by tenant; empty: the shares from the platform's settings
    flows: int = 256  # number of flows per tenant; clients are hashed to flows
    # Maximum queueing time, as a fraction of the slack until the latency objective
    max_wait_fraction: float = 0.5
    memory_bytes: int = 16 * 1024 * 1024  # bound for all tables and queues together
    adaptive: bool = True  # True if an adaptive concurrency limit applies
    retry_ratio: float = 0.2  # client retries allowed per first try while capacity is short
    tenant_rate: Rate | None = None
    client_rate: Rate | None = None
    class_rates: tuple[Rate | None, ...] = ()

    def __post_init__(self) -> None:
        if not 0.0 <= self.max_wait_fraction <= MAX_WAIT_FRACTION:
            raise ValueError(
                f"max_wait_fraction is {self.max_wait_fraction:g}, must be from 0 to {MAX_WAIT_FRACTION:g}"
            )
        if self.flows < 1:
            raise ValueError(f"flows is {self.flows}, must be at least 1")
        if self.memory_bytes < MIN_MEMORY_BYTES:
            raise ValueError(f"memory_bytes is {self.memory_bytes}, must be at least {MIN_MEMORY_BYTES}")


class AdmissionDenial(Enum):
    """Reason for a denial by admission control. The values are part of metric names."""

    BEFORE_RETRY_AFTER = "early"  # the client retried before its Retry-After had passed
    RATE_LIMIT = "rate"  # the rate limit of its tenant, client or class is exceeded
    MEMORY_LIMIT = "memory"  # the tables and queues have reached their memory bound
    RETRY_BUDGET = "repeat"  # a client's retry that exceeds the retry budget
    OVER_QUOTA = "share"  # rejected by load shedding: too late, or its tenant or client exceeds its share
    NO_SERVER = "servers"  # no server is eligible at present
    WAIT_TOO_LONG = "late"  # it cannot be served in time


class AdmissionDecision(NamedTuple):
    """The decision on a request at its arrival."""

    denial: AdmissionDenial | None = None  # None: admitted, it may be queued
    retry_after_us: int = 0  # Retry-After of a denied request; 0: call `AdmissionController.retry_after_us`
    reserved: bool = False  # True if it has claimed a reservation, which gives it priority


ADMITTED = AdmissionDecision()
RESERVED = AdmissionDecision(reserved=True)


@dataclass(slots=True)
class TenantCounts:
    """Counts of the requests of one tenant."""

    requested: int = 0
    served: int = 0
    rejected: int = 0
    waiting: int = 0  # currently queued


class AdmissionController(Generic[Item]):
    """Admission control of one gateway.

    The cost of each operation depends on the numbers of tenants, classes and flows, but not of clients.
    """

    def __init__(self, settings: AdmissionSettings, shares: Sequence[float]) -> None:
        """Create empty queues and tables.

        Args:
            settings: The operator's settings; their shares apply if there is one for each tenant.
            shares: The platform's shares by tenant; if all are 0, all tenants have equal shares.
        """
        self.settings = settings
        configured = settings.shares if len(settings.shares) == len(shares) else shares
        self.shares = list(configured) if any(share > 0 for share in configured) else [1.0] * len(configured)
        count = len(self.shares)
        self.queues: FairQueues[Item] = FairQueues(self.shares, settings.flows)
        self.concurrency_limit = ConcurrencyLimit()
        self.demand = TenantDemand(self.shares)
        # A quarter of the memory for each kind of table, and a quarter for the queues.
        table_bytes = settings.memory_bytes // 4
        self.reservations = Reservations(count, table_bytes // RESERVATION_BYTES)
        self.retry_budget = ClientRetryBudget(count, settings.retry_ratio)
        entries = table_bytes // (2 * RATE_ENTRY_BYTES)
        self.tenant_rate = RateLimiter(settings.tenant_rate, entries) if settings.tenant_rate else None
        self.client_rate = RateLimiter(settings.client_rate, entries) if settings.client_rate else None
        self.class_rates = [RateLimiter(rate, count) if rate else None for rate in settings.class_rates]
        limiters = (self.tenant_rate, self.client_rate, *self.class_rates)
        self.has_rate_limits = any(limiter is not None for limiter in limiters)
        self.counts = [TenantCounts() for _ in range(count)]
        self.reserve_bytes = min(settings.memory_bytes // 4, count * (QUEUE_ENTRY_BYTES + FLOW_BYTES))
        self.denials = dict.fromkeys(AdmissionDenial, 0)
        self.work = WorkEstimator()
        self.service_rate = ServiceRate()

    # Arrival

    def tenant_index(self, tenant: int) -> int:
        """Return the index of a tenant, or 0 for a tenant that is not in the settings."""
        return tenant if 0 <= tenant < len(self.counts) else 0

    def check_arrival(
        self, now_us: int, requester: Requester, class_index: int, work_us: float, is_retry: bool
    ) -> AdmissionDecision:
        """Record the demand of an arriving request and check it against the limits.

        The checks are, in this order: reservations, rate limits, the memory bound and the retry budget. A
        request that claims a reservation skips the other checks, because it passed them before.
        """
        tenant, client, _ = requester
        self.counts[tenant].requested += 1
        free_bytes = self.settings.memory_bytes - self.memory_used() - FLOW_BYTES
        flow = self.queues.flow_index(tenant, client)
        self.demand.record(tenant, flow, work_us, now_us, free_bytes >= 0)
        remaining_us = self.reservations.claim(requester, now_us) if self.reservations.count else None
        if remaining_us == 0:
            return RESERVED
        is_loaded = bool(len(self.queues)) or self.reservations.wait_us(tenant, now_us) > 0
        if remaining_us is not None and is_loaded and _is_same_client(requester, is_retry):
            # The client's flow is charged for the early retry; the reservation remains valid.
            self.reservations.record_ignored(tenant)
            self.queues.charge(tenant, client, work_us)
            return AdmissionDecision(AdmissionDenial.BEFORE_RETRY_AFTER, remaining_us)
        limiters = self._rate_limiters(tenant, client, class_index) if self.has_rate_limits else []
        wait_us = max((limiter.wait_us(key, now_us) for limiter, key in limiters), default=0)
        if wait_us > 0:
            return AdmissionDecision(AdmissionDenial.RATE_LIMIT, wait_us)
        free_bytes -= QUEUE_ENTRY_BYTES + len(limiters) * RATE_ENTRY_BYTES
        if free_bytes < 0 or (free_bytes < self.reserve_bytes and self._is_costly(tenant, work_us)):
            return AdmissionDecision(AdmissionDenial.MEMORY_LIMIT)
        if not self._spend_retry_budget(tenant, is_retry, is_loaded):
            return AdmissionDecision(AdmissionDenial.RETRY_BUDGET)
        for limiter, key in limiters:
            limiter.take(key, now_us)
        return ADMITTED

    def _rate_limiters(
        self, tenant: int, client: int, class_index: int
    ) -> list[tuple[RateLimiter, Hashable]]:
        """Return the rate limiters that apply to a request, each with the key of its count."""
        found: list[tuple[RateLimiter, Hashable]] = []
        if self.tenant_rate is not None:
            found.append((self.tenant_rate, tenant))
        if self.client_rate is not None:
            found.append((self.client_rate, (tenant, client)))
        class_limiter = self.class_rates[class_index] if class_index < len(self.class_rates) else None
        if class_limiter is not None:
            found.append((class_limiter, tenant))
        return found

    def _is_costly(self, tenant: int, work_us: float) -> bool:
        """Return whether a request is denied when memory is nearly used up.

        That is the case if its tenant has queued requests, or if it costs more than the mean of the queued
        requests. Queued requests are never dropped, so the remaining memory is reserved for tenants that
        have none.
        """
        return self.queues.count_of(tenant) > 0 or work_us > self._mean_queued_work_us()

    def _mean_queued_work_us(self) -> float:
        return self.queues.work_us / max(1, len(self.queues))

    def _spend_retry_budget(self, tenant: int, is_retry: bool, is_loaded: bool) -> bool:
        """Return whether the retry budget allows a request; it limits retries only under load."""
        if not is_retry:
            self.retry_budget.record_first_try(tenant)
            return True
        return not is_loaded or self.retry_budget.try_retry(tenant)

    def rejection_fraction(
        self, now_us: int, tenant: int, client: int, reject_fraction: float, high_priority: bool
    ) -> float:
        """Return which fraction of a client's requests to reject to shed `reject_fraction` of all work."""
        flow = self.queues.flow_index(tenant, client)
        return self.demand.rejection_fraction(tenant, flow, reject_fraction, now_us, high_priority)

    # Queue

    @property
    def queued(self) -> int:
        """The number of queued requests."""
        return len(self.queues)

    def is_queued(self, item: Item) -> bool:
        """Return whether a request is queued."""
        return item in self.queues

    def wait_us(self, tenant: int, client: int) -> float:
        """Return how long a new request of a client would be queued, in microseconds."""
        return self.queues.work_ahead_us(tenant, client) / self.service_rate.per_us

    def enqueue(
        self, item: Item, requester: Requester, work_us: float, priority_weight: float, due_us: int
    ) -> None:
        """Queue a request; its flow is ordered by priority weight and then by due time."""
        self.queues.max_catch_up = self.service_rate.per_us * MAX_CATCH_UP_US / sum(self.shares)
        self.queues.enqueue(item, requester.tenant, requester.client, work_us, priority_weight, due_us)
        self.counts[requester.tenant].waiting += 1

    def has_capacity(self, in_flight: int) -> bool:
        """Return whether the concurrency limit allows one more request in flight."""
        return not self.settings.adaptive or self.concurrency_limit.has_capacity(in_flight)

    def peek(self, in_flight: int) -> Item | None:
        """Return the next request without removing it, or None if there is none or no capacity for it."""
        return self.queues.peek() if self.has_capacity(in_flight) else None

    def dequeue(self, item: Item, now_us: int) -> None:
        """Remove the request that `peek` returned from the queue, because it has been sent."""
        entry = self.queues.dequeue(item)
        self.counts[entry.tenant].waiting -= 1
        self.service_rate.record(entry.work_us, now_us, len(self.queues) > 0)

    def remove(self, item: Item) -> None:
        """Remove a request that will not be served from the queue, if it is queued."""
        entry = self.queues.remove(item)
        if entry is not None:
            self.counts[entry.tenant].waiting -= 1
            if not len(self.queues):
                self.service_rate.stop_measuring()

    # Feedback

    def set_assumed_service_rate(self, rate: float) -> None:
        """Set the service rate, in work per microsecond, to assume until a measurement is available."""
        self.service_rate.assumed_rate = rate

    def set_minimum_concurrency(self, requests: float) -> None:
        """Set the lower bound of the concurrency limit."""
        self.concurrency_limit.minimum = requests

    def record_completion(
        self,
        class_index: int,
        latency_us: float,
        size: float,
        in_flight: int,
        succeeded: bool,
        rejected: bool,
    ) -> None:
        """Update the concurrency limit and the work estimates with an attempt that has ended.

        Args:
            class_index: Class of the request.
            latency_us: Latency of the attempt.
            size: Work of the request relative to the mean of its class.
            in_flight: Number of other attempts in flight.
            succeeded: True if the attempt had a successful response.
            rejected: True if the server rejected the attempt.
        """
        if self.settings.adaptive and self.work.is_reliable(class_index):
            baseline_us = self.work.estimate_us(class_index, size)
            self.concurrency_limit.update(latency_us, baseline_us, in_flight, rejected)
        if succeeded:
            self.work.learn(class_index, latency_us, size, len(self.queues) > 0)

    def estimated_work_us(self, class_index: int, size: float) -> float:
        """Return the estimated work in microseconds; `size` is relative to the mean of the class."""
        return self.work.estimate_us(class_index, size)

    def record_denial(self, denial: AdmissionDenial) -> None:
        """Count a denial by admission control."""
        self.denials[denial] += 1

    def record_rejected(self, tenant: int) -> None:
        """Count a rejected request of a tenant, whatever the reason."""
        self.counts[tenant].rejected += 1

    def record_served(self, tenant: int) -> None:
        """Count a request of a tenant that was served."""
        self.counts[tenant].served += 1

    def retry_after_us(
        self, now_us: int, requester: Requester, work_us: float, limits: RetryAfterLimits
    ) -> int:
        """Return the Retry-After of a rejected request in microseconds, and reserve service for the retry."""
        tenant = requester.tenant
        rate = self.service_rate.per_us * self.queues.service_fraction(tenant)
        backlog_us = self.queues.work_us_of(tenant) / rate
        service_us = work_us / rate
        if self.memory_used() + RESERVATION_BYTES > self.settings.memory_bytes:
            limits = limits._replace(client_timeout_us=0)  # out of memory: make no reservation
        return self.reservations.reserve(now_us, requester, backlog_us, service_us, limits)

    # Shares and metrics

    def local_demands(self, now_us: int) -> list[float]:
        """Return this gateway's demand by tenant for its peers, in microseconds of work per second."""
        return self.demand.local_demands(now_us)

    def record_peer_demands(self, gateway: int, demands: list[float], now_us: int, gateways: int) -> None:
        """Record the demand of another gateway, and adapt the local shares.

        The configured shares apply to the service of all gateways together.
        """
        self.demand.record_peer_demands(gateway, demands, now_us)
        self.queues.set_shares(self.demand.local_shares(now_us, gateways))

    def set_shares(self, shares: Sequence[float]) -> None:
        """Apply new shares from now on; ignored unless there is one for each tenant."""
        if len(shares) == len(self.shares):
            self.shares[:] = shares
            self.queues.set_shares(shares)

    @property
    def open_reservations(self) -> int:
        """The number of unclaimed reservations."""
        return self.reservations.count

    def memory_used(self) -> int:
        """Return the estimated memory of all tables and queues in bytes, from the sizes of the entries."""
        limiters = (self.tenant_rate, self.client_rate)
        rate_entries = sum(len(limiter.table) for limiter in limiters if limiter is not None)
        queued = len(self.queues) * QUEUE_ENTRY_BYTES
        flows = (self.queues.flow_count + self.demand.flow_count) * FLOW_BYTES
        return queued + flows + self.reservations.count * RESERVATION_BYTES + rate_entries * RATE_ENTRY_BYTES

    def metric_values(self, names: Sequence[str]) -> dict[str, float]:
        """Return the exported metrics by name; `names` are the names of the tenants in order."""
        found: dict[str, float] = {
            "door_limit": round(self.concurrency_limit.limit, 1),
            "door_waiting": len(self.queues),
            "door_bytes": self.memory_used(),
            "door_promised": self.reservations.count,
        }
        for denial, count in self.denials.items():
            found[f"door_refused_{denial.value}_total"] = count
        for number, counts in enumerate(self.counts):
            name = names[number] if number < len(names) else str(number)
            found |= {
                f"member_{name}_share": round(self.shares[number] / sum(self.shares), 4),
                f"member_{name}_asked_total": counts.requested,
                f"member_{name}_served_total": counts.served,
                f"member_{name}_refused_total": counts.rejected,
                f"member_{name}_waiting": counts.waiting,
                f"member_{name}_advised_total": self.reservations.issued[number],
                f"member_{name}_kept_total": self.reservations.honored[number],
                f"member_{name}_ignored_total": self.reservations.ignored[number],
            }
        return found


def _is_same_client(requester: Requester, is_retry: bool) -> bool:
    """Return whether a request certainly comes from the client that holds the reservation.

    Several clients may share an address. A key, a retry mark or the client's own id identifies the client.
    """
    return is_retry or requester.key != 0 or requester.client > 0
