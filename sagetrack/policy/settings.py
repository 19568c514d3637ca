"""Settings of the load balancer: data, checked for what no decision could be made from.

Times are durations in whole microseconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from sagetrack.policy.admission import AdmissionSettings


class Effect(Enum):
    """What running a request a second time would do."""

    SAFE = "safe"  # nothing, it is idempotent: retry at will
    KEYED = "keyed"  # nothing within one scope and for a while: servers deduplicate by idempotency key
    UNSAFE = "unsafe"  # the effect would happen twice


class Scope(Enum):
    """Which servers deduplicate each other's requests by idempotency key."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"


def _check(settings: object, minimums: Mapping[str, float], fractions: tuple[str, ...] = ()) -> None:
    """Check that fields are finite, that none is below its minimum, and that fractions are within 0 to 1.

    Raises:
        ValueError: A field is not; the message names it.
    """
    for name in (*minimums, *fractions):
        value = getattr(settings, name)
        if not math.isfinite(value):
            raise ValueError(f"{name} is not a finite number")
        if value < minimums.get(name, 0):
            raise ValueError(f"{name} is below {minimums.get(name, 0)}")
        if name in fractions and value > 1:
            raise ValueError(f"{name} is above 1")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """What the requests of one class are worth, how long they may take and whether they may be retried.

    Raises:
        ValueError: A value is out of its range.
    """

    latency_objective_us: int  # a response within this has the full priority weight
    request_timeout_us: int  # the client's timeout over all its attempts
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0  # fraction of the priority weight left after the latency objective
    effect: Effect = Effect.UNSAFE
    scope: Scope = Scope.ALL  # for KEYED
    window_us: int = 0  # for KEYED: how long servers deduplicate, from when the first attempt is sent
    in_order: bool = False  # requests with one key run one at a time, in the order of their arrival
    # The latency objective grows by this many times the request's own work, up to the timeout.
    latency_objective_stretch: float = 0.0

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
    """How the operator weighs the measures of good service against each other.

    Each is the fraction of the priority weight that is served in time.

    Raises:
        ValueError: A weight is below 0 or not finite.
    """

    overall: float = 1.0
    worst_window: float = 0.0  # the worst period of the day
    worst_class: float = 0.0
    worst_tenant: float = 0.0  # of its requests within its quota

    def __post_init__(self) -> None:
        _check(self, minimums=dict.fromkeys(("overall", "worst_window", "worst_class", "worst_tenant"), 0))


@dataclass(slots=True, frozen=True)
class Tenant:
    """The quota of one tenant.

    Raises:
        ValueError: The share is not within 0 to 1, or the allowance is below 0.
    """

    share: float = 0.0  # of the service; 0: none is guaranteed
    allowance_per_s: float = math.inf  # requests a second that are within its quota, over all gateways

    def __post_init__(self) -> None:
        _check(self, minimums={}, fractions=("share",))
        if not self.allowance_per_s >= 0:
            raise ValueError("allowance_per_s is below 0")


@dataclass(slots=True, frozen=True)
class Prices:
    """What each of these costs, in points of the operator's score; all 0 or more.

    Raises:
        ValueError: A price is below 0 or not finite.
    """

    cross_zone: float = 0.0  # an attempt to another zone
    handshake: float = 0.0  # a new connection
    waste: float = 0.0  # server work without a response that was used
    late_fail: float = 0.0  # priority weight left unserved after its latency objective
    connection: float = 0.0  # a hundred open connections to one server
    probe: float = 0.0
    peer: float = 0.0  # a message of 256 bytes to one peer
    endpoint_list: float = 0.0  # a hundred entries of endpoint lists

    def __post_init__(self) -> None:
        _check(self, minimums=dict.fromkeys(self.__dataclass_fields__, 0))


class LoadReporting(Enum):
    """How servers report their load."""

    RESPONSES = "answers"  # with each response
    PROBES = "probes"  # in responses to probes only
    NONE = "none"


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of one gateway's load balancer.

    Raises:
        ValueError: There are no classes, or a value is out of its range.
    """

    classes: tuple[RequestClass, ...]
    goal: Goal = field(default_factory=Goal)
    priority_per_work: bool = False  # priority weight counts for each unit of work, not for each request
    gateway_count: int = 1  # how many gateways share the servers
    gateway_index: int = 0  # this gateway's own number among them
    zone: int = 0  # of this gateway
    prices: Prices = field(default_factory=Prices)
    tenants: tuple[Tenant, ...] = ()
    over_quota_priority: float = 1.0  # fraction of the priority weight of a request beyond its tenant's quota
    clients_mark_retries: bool = False
    grpc_kinds: frozenset[int] = frozenset()  # kinds of servers that speak gRPC
    max_attempts: int = 3  # of one request
    may_cancel: bool = True  # whether attempts can be cancelled
    hedging: bool = False  # whether two attempts of one request may be in flight together
    may_probe: bool = False
    may_message_peers: bool = False
    reports: LoadReporting = LoadReporting.NONE
    attempts_per_connection: int = 1  # at the same time
    keepalive_us: int = 60_000_000  # idle connections are closed after this
    connect_timeout_us: int = 1_000_000
    answer_slack_us: int = 0  # a final response may be this late
    stop_sending_within_us: int = 0  # after an endpoint list says that a server is draining or gone
    cpu_us_per_s: int = 0  # for this gateway's decisions; 0: no limit known
    warm_keys: bool = False  # a server that has served a key lately serves it for less work
    endpoints_are_pushed: bool = True  # False: changes come only after WatchEndpoints
    max_poll_interval_us: int = 10_000_000  # between two requests to service discovery without a watch
    max_retry_after_us: int = 1_000_000
    start_capacity: float = 1.0  # fraction of its full capacity that a starting server has at the least
    warm_after_us: int = 0  # a starting server has its full capacity after this
    # A warming server that is sent more than this times its present capacity, for this long, is overloaded.
    overload_multiple: float = 1.0
    overload_window_us: int = 1_000_000
    rejection_may_have_run: bool = False  # Outcome.REJECTED does not prove that the attempt never ran
    lossy: bool = False  # an attempt may be lost in transit without any sign, as a datagram is
    # Attempts in flight at one server, of all gateways together; 0: the load balancer's own bound.
    max_concurrency: float = 0.0
    admission: AdmissionSettings | None = None  # fair queues and limits; None: off
    key_cooldown_us: int = 0  # in order: how long a key rests after an attempt that may still be running

    def __post_init__(self) -> None:
        """Check what no decision could be made from."""
        if not self.classes:
            raise ValueError("classes is empty")
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
            raise ValueError("gateway_index is not below gateway_count")
