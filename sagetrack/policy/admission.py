"""Admission control: which requests are admitted, in which order, and when rejected ones may come back.

Combines fair queues, rate and concurrency limits, a retry budget and reservations. It knows nothing of
servers: the load balancer asks here before it selects one. The caller supplies the time and all random draws.
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
# Memory of one entry of each kind of table, in bytes, as measured (docs/operators/fairness.md)
QUEUE_ENTRY_BYTES, FLOW_BYTES, RESERVATION_BYTES, RATE_ENTRY_BYTES = 3500, 700, 420, 240
MIN_MEMORY_BYTES = 64 * 1024
MAX_WAIT_FRACTION = 0.5  # upper bound of the setting max_wait_fraction
MAX_CATCH_UP_US = 1_000_000  # a tenant may catch up on the service that it could have had within this
RESERVATION_PRIORITY = 1e9  # above any class's: a client that honors its Retry-After goes first in its flow


@dataclass(slots=True, frozen=True)
class AdmissionSettings:
    """Fair queues and limits, as the operator configures them.

    Raises:
        ValueError: A value is out of its range.
    """

    shares: tuple[float, ...] = ()  # by tenant; empty: the tenants' shares of the platform's settings
    flows: int = 256  # that the clients of a tenant are hashed to
    max_wait_fraction: float = 0.5  # of the slack until its latency objective that a request may be queued
    memory_bytes: int = 16 * 1024 * 1024  # bound of all tables and queues together
    adaptive: bool = True  # whether latency limits the requests in flight
    retry_ratio: float = 0.2  # clients' retries that a first attempt pays for, while capacity is short
    tenant_rate: Rate | None = None
    client_rate: Rate | None = None
    class_rates: tuple[Rate | None, ...] = ()

    def __post_init__(self) -> None:
        if not 0.0 <= self.max_wait_fraction <= MAX_WAIT_FRACTION:
            raise ValueError(
                f"max_wait_fraction is {self.max_wait_fraction:g}, allowed are 0 to {MAX_WAIT_FRACTION:g}"
            )
        if self.flows < 1:
            raise ValueError(f"flows is {self.flows}, allowed are 1 and more")
        if self.memory_bytes < MIN_MEMORY_BYTES:
            raise ValueError(f"memory_bytes is {self.memory_bytes}, allowed are {MIN_MEMORY_BYTES} and more")


class AdmissionDenial(Enum):
    """Why admission control rejects a request. The values are exported in names of figures."""

    BEFORE_RETRY_AFTER = "early"  # its client came back before its Retry-After was over
    RATE_LIMIT = "rate"  # of its tenant, client or class
    MEMORY_LIMIT = "memory"  # the tables are at their bound in bytes
    RETRY_BUDGET = "repeat"  # a client's retry beyond the retry budget
    OVER_QUOTA = "share"  # load is shed, and its tenant or client exceeds its share
    NO_SERVER = "servers"  # no server is usable now
    WAIT_TOO_LONG = "late"  # it could not be served in time


class AdmissionDecision(NamedTuple):
    """What is decided of a request on its arrival."""

    denial: AdmissionDenial | None = None  # None: it may be queued
    retry_after_us: int = 0  # for a denial; 0: to be chosen by `AdmissionController.retry_after_us`
    reserved: bool = False  # whether it has used up a reservation, and so has priority


ADMITTED = AdmissionDecision()
RESERVED = AdmissionDecision(reserved=True)


@dataclass(slots=True)
class TenantCounters:
    """What became of one tenant's requests."""

    requested: int = 0
    served: int = 0
    rejected: int = 0
    waiting: int = 0  # now


class AdmissionController(Generic[Item]):
    """Admission control of one gateway.

    The cost of each operation depends on the numbers of tenants, classes and flows, not of clients.
    """

    def __init__(self, settings: AdmissionSettings, shares: Sequence[float]) -> None:
        """Start with empty queues.

        Args:
            settings: The operator's settings; their shares apply if there are as many as tenants.
            shares: The platform's shares by tenant; if all are 0, tenants are equal.
        """
        self.settings = settings
        configured = settings.shares if len(settings.shares) == len(shares) else shares
        self.shares = list(configured) if any(share > 0 for share in configured) else [1.0] * len(configured)
        count = len(self.shares)
        self.queues: FairQueues[Item] = FairQueues(self.shares, settings.flows)
        self.concurrency_limit = ConcurrencyLimit()
        self.demand = TenantDemand(self.shares)
        table_bytes = settings.memory_bytes // 4  # a quarter for each kind of table; a quarter for the queues
        self.reservations = Reservations(count, table_bytes // RESERVATION_BYTES)
        self.retry_budget = ClientRetryBudget(count, settings.retry_ratio)
        entries = table_bytes // (2 * RATE_ENTRY_BYTES)
        self.tenant_rate = RateLimiter(settings.tenant_rate, entries) if settings.tenant_rate else None
        self.client_rate = RateLimiter(settings.client_rate, entries) if settings.client_rate else None
        self.class_rates = [RateLimiter(rate, count) if rate else None for rate in settings.class_rates]
        limiters = (self.tenant_rate, self.client_rate, *self.class_rates)
        self.has_rate_limits = any(limiter is not None for limiter in limiters)
        self.counters = [TenantCounters() for _ in range(count)]
        self.reserve_bytes = min(settings.memory_bytes // 4, count * (QUEUE_ENTRY_BYTES + FLOW_BYTES))
        self.denials = dict.fromkeys(AdmissionDenial, 0)
        self.work = WorkEstimator()
        self.service_rate = ServiceRate()

    # Arrival

    def tenant_index(self, tenant: int) -> int:
        """The tenant itself, or 0 for one that the settings do not have."""
        return tenant if 0 <= tenant < len(self.counters) else 0

    def check_arrival(
        self, now_us: int, requester: Requester, class_index: int, work_us: float, is_retry: bool
    ) -> AdmissionDecision:
        """Record the demand and decide what can be decided at once.

        In this order: reservations, rate limits, the memory bound, the retry budget.

        A request with a reservation has passed the limits before and is not subject to them again.
        """
        tenant, client, _ = requester
        self.counters[tenant].requested += 1
        free_bytes = self.settings.memory_bytes - self.memory_used() - FLOW_BYTES
        flow = self.queues.flow_index(tenant, client)
        self.demand.record(tenant, flow, work_us, now_us, free_bytes >= 0)
        remaining_us = self.reservations.claim(requester, now_us) if self.reservations.count else None
        if remaining_us == 0:
            return RESERVED
        is_loaded = bool(len(self.queues)) or self.reservations.wait_us(tenant, now_us) > 0
        if remaining_us is not None and is_loaded and _is_same_client(requester, is_retry):
            # Its client's flow is charged for it, and the reservation stands.
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
        """The rate limiters that a request is subject to, each with the key that it counts by."""
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
        """Near the memory bound: whether its tenant has requests queued, or it costs more than their mean.

        What is queued is never dropped; the remaining memory is for tenants that have nothing queued.
        """
        return self.queues.count_of(tenant) > 0 or work_us > self._mean_queued_work_us()

    def _mean_queued_work_us(self) -> float:
        return self.queues.work_us / max(1, len(self.queues))

    def _spend_retry_budget(self, tenant: int, is_retry: bool, is_loaded: bool) -> bool:
        """Whether the retry budget admits the request; retries are bounded only while capacity is short."""
        if not is_retry:
            self.retry_budget.record_first_attempt(tenant)
            return True
        return not is_loaded or self.retry_budget.try_retry(tenant)

    def rejection_fraction(
        self, now_us: int, tenant: int, client: int, reject_fraction: float, high_priority: bool
    ) -> float:
        """Which fraction of a client's requests to reject, so that `reject_fraction` of all work is."""
        flow = self.queues.flow_index(tenant, client)
        return self.demand.rejection_fraction(tenant, flow, reject_fraction, now_us, high_priority)

    # The queue

    @property
    def queued(self) -> int:
        """How many requests are queued."""
        return len(self.queues)

    def is_queued(self, item: Item) -> bool:
        """Whether a request is in the queue."""
        return item in self.queues

    def wait_us(self, tenant: int, client: int) -> float:
        """How long a new request of a client would be queued."""
        return self.queues.work_ahead_us(tenant, client) / self.service_rate.per_us

    def enqueue(
        self, item: Item, requester: Requester, work_us: float, priority_weight: float, due_us: int
    ) -> None:
        """Queue a request; within its flow, by priority weight and then by due time."""
        self.queues.max_catch_up = self.service_rate.per_us * MAX_CATCH_UP_US / sum(self.shares)
        self.queues.enqueue(item, requester.tenant, requester.client, work_us, priority_weight, due_us)
        self.counters[requester.tenant].waiting += 1

    def has_capacity(self, in_flight: int) -> bool:
        """Whether the concurrency limit allows one more request in flight."""
        return not self.settings.adaptive or self.concurrency_limit.has_capacity(in_flight)

    def peek(self, in_flight: int) -> Item | None:
        """The request whose turn it is, if the concurrency limit allows one more; it stays in the queue."""
        return self.queues.peek() if self.has_capacity(in_flight) else None

    def dequeue(self, item: Item, now_us: int) -> None:
        """Take the request that `peek` gave out of the queue: it is being served."""
        entry = self.queues.dequeue(item)
        self.counters[entry.tenant].waiting -= 1
        self.service_rate.record(entry.work_us, now_us, len(self.queues) > 0)

    def remove(self, item: Item) -> None:
        """Take a request out of the queue that will not be served; nothing happens if it is not in there."""
        entry = self.queues.remove(item)
        if entry is not None:
            self.counters[entry.tenant].waiting -= 1
            if not len(self.queues):
                self.service_rate.stop_measuring()

    # Feedback

    def set_assumed_service_rate(self, rate: float) -> None:
        """Set the work a microsecond that is taken for the service rate until one has been measured."""
        self.service_rate.assumed_rate = rate

    def set_minimum_concurrency(self, requests: float) -> None:
        """Set what the concurrency limit never falls below."""
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
        """Learn from an attempt that ended.

        Args:
            class_index: Its class.
            latency_us: How long it took.
            size: Its work relative to the mean of its class.
            in_flight: How many attempts are in flight, itself excluded.
            succeeded: Whether it had a successful response.
            rejected: Whether its server rejected it.
        """
        if self.settings.adaptive and self.work.is_reliable(class_index):
            baseline_us = self.work.estimate_us(class_index, size)
            self.concurrency_limit.update(latency_us, baseline_us, in_flight, rejected)
        if succeeded:
            self.work.learn(class_index, latency_us, size, len(self.queues) > 0)

    def estimated_work_us(self, class_index: int, size: float) -> float:
        """Work of a request in microseconds, where `size` is its work relative to the mean of its class."""
        return self.work.estimate_us(class_index, size)

    def record_denial(self, denial: AdmissionDenial) -> None:
        """Count a request that admission control rejects, by reason."""
        self.denials[denial] += 1

    def record_rejected(self, tenant: int) -> None:
        """Count a tenant's request that was rejected, for whatever reason."""
        self.counters[tenant].rejected += 1

    def record_served(self, tenant: int) -> None:
        """Count a tenant's request that was answered."""
        self.counters[tenant].served += 1

    def retry_after_us(
        self, now_us: int, requester: Requester, work_us: float, limits: RetryAfterLimits
    ) -> int:
        """Choose when a rejected request may come back, in microseconds, and reserve service for it then."""
        tenant = requester.tenant
        rate = self.service_rate.per_us * self.queues.service_fraction(tenant)
        backlog_us = self.queues.work_us_of(tenant) / rate
        service_us = work_us / rate
        if self.memory_used() + RESERVATION_BYTES > self.settings.memory_bytes:
            limits = limits._replace(client_timeout_us=0)  # no further reservation
        return self.reservations.reserve(now_us, requester, backlog_us, service_us, limits)

    # Shares and figures

    def local_demands(self, now_us: int) -> list[float]:
        """This gateway's demand by tenant, in microseconds of work a second, for its peers."""
        return self.demand.local_demands(now_us)

    def record_peer_demands(self, gateway: int, demands: list[float], now_us: int, gateways: int) -> None:
        """Take the demand that another gateway reports: shares are to hold for all gateways together."""
        self.demand.record_peer_demands(gateway, demands, now_us)
        self.queues.set_shares(self.demand.local_shares(now_us, gateways))

    def set_shares(self, shares: Sequence[float]) -> None:
        """Apply new shares from now on; ignored if there are not as many as tenants."""
        if len(shares) == len(self.shares):
            self.shares[:] = shares
            self.queues.set_shares(shares)

    @property
    def open_reservations(self) -> int:
        """How many reservations have not been claimed yet."""
        return self.reservations.count

    def memory_used(self) -> int:
        """Bytes of all tables and queues, from their sizes and the measured memory of an entry."""
        limiters = (self.tenant_rate, self.client_rate)
        rate_entries = sum(len(limiter.table) for limiter in limiters if limiter is not None)
        queued = len(self.queues) * QUEUE_ENTRY_BYTES
        flows = (self.queues.flow_count + self.demand.flow_count) * FLOW_BYTES
        return queued + flows + self.reservations.count * RESERVATION_BYTES + rate_entries * RATE_ENTRY_BYTES

    def metrics(self, names: Sequence[str]) -> dict[str, float]:
        """Exported figures by name; `names` are the tenants', in order."""
        found: dict[str, float] = {
            "door_limit": round(self.concurrency_limit.limit, 1),
            "door_waiting": len(self.queues),
            "door_bytes": self.memory_used(),
            "door_promised": self.reservations.count,
        }
        for denial, count in self.denials.items():
            found[f"door_refused_{denial.value}_total"] = count
        for number, counters in enumerate(self.counters):
            name = names[number] if number < len(names) else str(number)
            found |= {
                f"member_{name}_share": round(self.shares[number] / sum(self.shares), 4),
                f"member_{name}_asked_total": counters.requested,
                f"member_{name}_served_total": counters.served,
                f"member_{name}_refused_total": counters.rejected,
                f"member_{name}_waiting": counters.waiting,
                f"member_{name}_advised_total": self.reservations.issued[number],
                f"member_{name}_kept_total": self.reservations.honored[number],
                f"member_{name}_ignored_total": self.reservations.ignored[number],
            }
        return found


def _is_same_client(requester: Requester, is_retry: bool) -> bool:
    """Whether a request surely comes from the client that a reservation was made for.

    An address alone may be that of many clients; a key, a marked retry or a client's own id is not.
    """
    return is_retry or requester.key != 0 or requester.client > 0
