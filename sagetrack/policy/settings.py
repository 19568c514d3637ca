"""Validated settings of the load balancer.

Times are durations in whole microseconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from sagetrack.policy.admission import AdmissionSettings


class Effect(Enum):
    """The effect of executing the same request a second time."""

    SAFE = "safe"  # idempotent: it can be retried without restrictions
    KEYED = "keyed"  # servers of one scope deduplicate by idempotency key for a limited time
    UNSAFE = "unsafe"  # the effect would occur twice


class Scope(Enum):
    """The set of servers that share their idempotency keys and so deduplicate each other's requests."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"


def _check(settings: object, minimums: Mapping[str, float], fractions: tuple[str, ...] = ()) -> None:
    """Check that the named fields are finite and in range: at least the minimum, or 0 to 1 for fractions.

    Raises:
        ValueError: A field is out of range; the message names it.
    """
    for name in (*minimums, *fractions):
        value = getattr(settings, name)
        if not math.isfinite(value):
            raise ValueError(f"{name} must be a finite number")
        if value < minimums.get(name, 0):
            raise ValueError(f"{name} must be at least {minimums.get(name, 0)}")
        if name in fractions and value > 1:
            raise ValueError(f"{name} must be at most 1")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """The priority, latency objective, timeout and retry rules of one class of requests.

    Raises:
        ValueError: A value is out of range.
    """

    latency_objective_us: int  # a response within this time earns the full priority weight
    request_timeout_us: int  # the client's timeout, over all of the client's own retries
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0  # fraction of the weight earned by later responses
    effect: Effect = Effect.UNSAFE
    scope: Scope = Scope.ALL  # used if the effect is KEYED
    # Used if the effect is KEYED: the deduplication period, which starts when the first attempt is sent.
    window_us: int = 0
    in_order: bool = False  # requests with the same key run one at a time, in order of arrival
    # The latency objective is extended by the request's expected work times this factor, up to the timeout.
    latency_objective_stretch: float = 0.0
    streams_responses: bool = False  # a response has no deadline once it has begun

    def __post_init__(self) -> None:
        minimums = {
            "latency_objective_us": 1,
            "request_timeout_us": 1,
            "priority_weight": 0,
            "window_us": 0,
            "latency_objective_stretch": 0,
        }
        _check(self, minimums, fractions=("late_priority_weight",))


@dataclass(slots=True, frozen=True)
class Goal:
    """The operator's weights of four measures of service quality.

    Each measure is the fraction of the priority weight that is served in time.

    Raises:
        ValueError: A weight is below 0 or not finite.
    """

    overall: float = 1.0  # weight of the measure over all requests
    worst_window: float = 0.0  # weight of the measure in the worst time window of the day
    worst_class: float = 0.0  # weight of the measure for the class that is served worst
    # Weight of the measure for the tenant that is served worst, counting only requests within its quota.
    worst_tenant: float = 0.0

    def __post_init__(self) -> None:
        _check(self, minimums=dict.fromkeys(("overall", "worst_window", "worst_class", "worst_tenant"), 0))


@dataclass(slots=True, frozen=True)
class Tenant:
    """The quota of one tenant.

    Raises:
        ValueError: The share is not from 0 to 1, or the allowance is negative.
    """

    share: float = 0.0  # guaranteed fraction of all requests; 0 if nothing is guaranteed
    allowance_per_s: float = math.inf  # requests per second within the quota, summed over all gateways

    def __post_init__(self) -> None:
        _check(self, minimums={}, fractions=("share",))
        if not self.allowance_per_s >= 0:
            raise ValueError("allowance_per_s must be at least 0")


@dataclass(slots=True, frozen=True)
class Prices:
    """Prices of resources and failures, in points of the operator's score; none is negative.

    Raises:
        ValueError: A price is below 0 or not finite.
    """

    cross_zone: float = 0.0  # price per attempt to a server in another zone
    handshake: float = 0.0  # price per new connection
    waste: float = 0.0  # price per unit of server work whose response is not used
    late_fail: float = 0.0  # price per priority weight that is not served within the latency objective
    connection: float = 0.0  # price per hundred open connections to one server
    probe: float = 0.0  # price per health probe
    peer: float = 0.0  # price per message of 256 bytes to one peer
    endpoint_list: float = 0.0  # price per hundred entries of received endpoint lists

    def __post_init__(self) -> None:
        _check(self, minimums=dict.fromkeys(self.__dataclass_fields__, 0))


class LoadReporting(Enum):
    """The way in which servers report their load."""

    RESPONSES = "answers"  # servers report their load in each response
    PROBES = "probes"  # servers report their load only in responses to probes
    NONE = "none"  # servers do not report their load


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of one gateway's load balancer.

    Raises:
        ValueError: There are no classes, or a value is out of range.
    """

    classes: tuple[RequestClass, ...]
    goal: Goal = field(default_factory=Goal)
    priority_per_work: bool = False  # priority weights apply per unit of work instead of per request
    gateway_count: int = 1  # number of gateways that share the servers
    gateway_index: int = 0  # this gateway's number, from 0
    zone: int = 0  # zone of this gateway
    prices: Prices = field(default_factory=Prices)
    tenants: tuple[Tenant, ...] = ()
    over_quota_priority: float = 1.0  # factor applied to the weight of requests over quota
    clients_mark_retries: bool = False  # clients flag requests that are their own retries
    grpc_kinds: frozenset[int] = frozenset()  # values of `ListedServer.kind` that denote gRPC servers
    max_attempts: int = 3  # maximum attempts per request
    may_cancel: bool = True  # attempts can be cancelled
    hedging: bool = False  # two attempts of one request may be in flight at the same time
    may_probe: bool = False  # the gateway may send health probes
    may_message_peers: bool = False  # the gateway may exchange messages with other gateways
    reports: LoadReporting = LoadReporting.NONE
    attempts_per_connection: int = 1  # concurrent attempts per connection
    keepalive_us: int = 60_000_000  # idle connections are closed after this time
    connect_timeout_us: int = 1_000_000  # timeout for opening a connection to a server
    answer_slack_us: int = 0  # time after its deadline for which a final response is accepted
    # Time allowed to stop sending after an endpoint list reports a server as draining or gone.
    stop_sending_within_us: int = 0
    cpu_us_per_s: int = 0  # CPU budget of this gateway; 0: no known limit
    warm_keys: bool = False  # a server needs less work for a key that it has served recently
    endpoints_are_pushed: bool = True  # if False, changes are sent only after a WatchEndpoints action
    max_poll_interval_us: int = 10_000_000  # longest time between two polls of service discovery
    max_retry_after_us: int = 1_000_000  # longest Retry-After that may be sent to a client
    start_capacity: float = 1.0  # fraction of full capacity that a starting server has at least
    warm_after_us: int = 0  # a server reaches full capacity this long after its start
    # A server that is warming up is overloaded if it is sent more than `overload_multiple` times its current
    # capacity for `overload_window_us`.
    overload_multiple: float = 1.0
    overload_window_us: int = 1_000_000
    rejection_may_have_run: bool = False  # an attempt with Outcome.REJECTED may have been executed
    lossy: bool = False  # attempts can be lost silently in transit, as UDP datagrams can
    # Limit on attempts in flight at one server, from all gateways together; 0: a built-in default.
    max_concurrency: float = 0.0
    admission: AdmissionSettings | None = None  # fair queueing and limits; None: disabled
    # For classes in order: time for which a key is blocked after an attempt that may still be running.
    key_cooldown_us: int = 0

    def __post_init__(self) -> None:
        """Validate the settings."""
        if not self.classes:
            raise ValueError("classes must not be empty")
        durations = (
            "max_poll_interval_us",
            "warm_after_us",
            "max_retry_after_us",
            "key_cooldown_us",
            "keepalive_us",
            "connect_timeout_us",
            "answer_slack_us",
            "stop_sending_within_us",
        )
        minimums: dict[str, float] = dict.fromkeys((*durations, "gateway_index", "cpu_us_per_s"), 0)
        counts = (
            "gateway_count",
            "max_attempts",
            "overload_window_us",
            "attempts_per_connection",
            "overload_multiple",
        )
        _check(self, minimums | dict.fromkeys(counts, 1), fractions=("start_capacity", "over_quota_priority"))
        if self.gateway_index >= self.gateway_count:
            raise ValueError("gateway_index must be less than gateway_count")
