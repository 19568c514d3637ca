"""Settings, events and actions of the load balancer: data without decisions.

Times are whole microseconds. An absolute time is a reading of the caller's clock, which only moves forward;
everything else is a duration. Servers, requests, classes and zones are plain identifiers that are compared
and never interpreted.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from sagetrack.policy.admission import AdmissionSettings
from sagetrack.policy.peer_observations import ClassLatency, Observation


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


class ServerStatus(Enum):
    """The state of an endpoint in service discovery."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How an EndpointList event is to be read."""

    DELTA = "delta"  # changed servers only
    FULL = "full"  # every server; one that is missing is gone
    DISK = "disk"  # every server as last stored by this gateway, possibly stale
    ERROR = "error"  # a fetch failed or the watch was lost; the old list stands


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # an error response; may have run
    REJECTED = "full"  # by the server; never ran, unless `Settings.rejection_may_have_run`
    TIMEOUT = "timeout"  # may have run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # connection lost with the attempt in flight; may have run
    CANCELLED = "cancelled"  # may have run
    NOT_SENT = "moot"  # never sent


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


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


class Reports(Enum):
    """How servers report their load."""

    ANSWERS = "answers"  # with each response
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
    proxies: int = 1  # how many gateways share the servers
    proxy: int = 0  # this gateway's own number among them
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
    reports: Reports = Reports.NONE
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
        minimums: dict[str, float] = dict.fromkeys((*durations, "proxy", "cpu_us_per_s"), 0)
        counts = (
            "proxies",
            "max_attempts",
            "overload_window_us",
            "attempts_per_connection",
            "overload_multiple",
        )
        _check(self, minimums | dict.fromkeys(counts, 1), fractions=("start_capacity", "over_quota_priority"))
        if self.proxy >= self.proxies:
            raise ValueError("proxy is not below proxies")


# Events


@dataclass(slots=True, frozen=True)
class ListedServer:
    """One server, as service discovery lists it."""

    server: int
    status: ServerStatus = ServerStatus.READY
    weight: float = 1.0  # a factor in weighted selection
    zone: int = 0
    group: int = 0
    kind: int = 0
    started_us: int = 0  # when this incarnation started, by the caller's clock; 0: long ago


@dataclass(slots=True, frozen=True)
class EndpointList:
    """Service discovery has sent a list or a change of it, or could not be reached.

    Sent by the discovery client; also once at the start, with the list as it was stored.
    """

    kind: ListKind
    servers: tuple[ListedServer, ...] = ()
    wall_us: int = 0  # the present time on the clock of `ListedServer.started_us`; 0: as the event's time
    unheard_us: int | None = None  # how long before it the list was not known to be current; None: not known


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client has sent a request. Sent by the listener of its protocol.

    Unless the client cancels it, it ends with one final action, Reject or Fail, or with an AttemptEnded
    that is OK or `finished`.
    """

    request: str
    klass: int  # its place in the settings
    client_timeout_us: int  # until the client abandons this attempt of its own
    key: int | None = None  # affinity key; for classes in order, the key of that order
    work_us: int | None = None  # expected work on a standard core
    is_retry: bool = False  # the client marks it as a retry
    tenant: int = 0  # its place in the settings
    uploading: bool = False  # its body is still being received, for one server only: see AttemptSent
    client: int = 0  # within the tenant; 0: not known; below 0: an address that several clients may share
    mirror_target: int = -1  # a mirrored request: 1 for gRPC servers only, 0 for all others; -1: not mirrored
    waited_us: int = 0  # how much of its timeout was over already, as it waited behind others


@dataclass(slots=True, frozen=True)
class LoadReport:
    """What a server reports of its load, late and noisy; None where it does not report it.

    The field names are keys of the report on the wire.
    """

    inflight: float | None = None  # requests in flight
    queue: float | None = None  # requests queued
    util: float | None = None  # utilization of its cores
    latency_ms: float | None = None
    qps: float | None = None  # requests a second
    eps: float | None = None  # errors a second


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended, in whatever way. Sent by the upstream, exactly once for each SendAttempt."""

    request: str
    attempt: int  # its number within the request, from 0
    server: int
    outcome: Outcome
    latency_us: int  # since SendAttempt
    finished: bool = False  # the request has had its final response
    load: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class RequestCancelled:
    """The client has cancelled its request or disconnected: no response is due. Sent by the listener."""

    request: str


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """A streamed response has begun: from now on no deadline applies to the attempt. Sent by the upstream."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class AttemptSent:
    """A request that was `uploading` has been sent completely: its latency counts from now on."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The timer of a SetTimer is due."""

    token: int


@dataclass(slots=True, frozen=True)
class Probed:
    """The result of a Probe, sent by the upstream."""

    server: int
    outcome: Outcome
    latency_us: int
    load: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message that another gateway sent by SendToPeers."""

    sender: int  # its number among the gateways
    payload: bytes


@dataclass(slots=True, frozen=True)
class ProcessCountChanged:
    """How many processes are this gateway now: two during a hot restart. They share its quotas."""

    processes: int


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """Graceful shutdown has started: requests, also those yet to come, are answered by its end."""

    at_us: int  # when the shutdown ends, by the caller's clock


@dataclass(slots=True, frozen=True)
class ObservationsReceived:
    """Health observations of other gateways, or of this one before it was restarted."""

    observations: tuple[Observation, ...]
    latencies: tuple[ClassLatency, ...] = ()


@dataclass(slots=True, frozen=True)
class FleetSizeChanged:
    """How many gateways, this one included, are not known to be dead. Sent by the membership protocol."""

    alive: int


@dataclass(slots=True, frozen=True)
class TrafficShift:
    """Classes and tenants with a share of gRPC traffic of their own; a tenant's overrides a class's.

    By number: factors on the weights of servers of the old protocol and of gRPC servers, for their requests.
    """

    classes: Mapping[int, tuple[float, float]]
    tenants: Mapping[int, tuple[float, float]]


@dataclass(slots=True, frozen=True)
class TenantSharesChanged:
    """The operator has changed the tenants' shares; in the order of the settings."""

    shares: tuple[float, ...]


@dataclass(slots=True, frozen=True)
class PeerDemands:
    """Demand at another gateway by tenant, in microseconds of work a second. Sent by demand gossip."""

    proxy: int
    demands: tuple[float, ...]


Event = (
    ObservationsReceived
    | ShutdownStarted
    | TenantSharesChanged
    | TrafficShift
    | PeerDemands
    | FleetSizeChanged
    | EndpointList
    | RequestArrived
    | AttemptEnded
    | RequestCancelled
    | StreamStarted
    | AttemptSent
    | TimerFired
    | Probed
    | PeerMessage
    | ProcessCountChanged
)


# Actions


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send an attempt of a request; the attempts of one request are numbered from 0 in the order sent."""

    request: str
    server: int
    timeout_us: int  # after which it ends with Outcome.TIMEOUT
    begin_by_us: int = field(default=0, repr=False)  # from this time on it may not be sent; 0: no limit


class RejectReason(Enum):
    """Why a request is rejected. The values are exported."""

    SHED = "shed"  # load is shed, and its priority is the lowest
    NO_CAPACITY = "no_room"  # no server has capacity for it, or none in time
    QUEUE = "turn"  # admission control rejects it, or the requests before it in its order take too long
    ATTEMPTS_FAILED = "unserved"  # its attempts have failed, and no other may be made
    OTHER = "other"


@dataclass(slots=True, frozen=True)
class Reject:
    """Final response: the request had no effect, and a retry is harmless."""

    request: str
    retry_after_us: int = 0  # Retry-After; 0: none is given
    reason: RejectReason = field(default=RejectReason.OTHER, compare=False, repr=False)


@dataclass(slots=True, frozen=True)
class Fail:
    """Final response: the request failed, and may have had its effect or not."""

    request: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt in flight; its AttemptEnded still comes."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Send a TimerFired with this token when the time has come."""

    due_us: int  # by the caller's clock
    token: int


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Watch the endpoint list for changes, or stop watching it."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(slots=True, frozen=True)
class Probe:
    """Ask a server for its load report; the result comes as Probed."""

    server: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the idle connections of this gateway to a server."""

    server: int


@dataclass(slots=True, frozen=True)
class SendToPeers:
    """Send a message to other gateways, unreliably."""

    payload: bytes  # 256 bytes at most
    peer: int = -1  # -1: all


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the log."""

    line: str
    server: int | None = None  # the server that it is about


Action = (
    SendAttempt
    | Reject
    | Fail
    | Cancel
    | SetTimer
    | WatchEndpoints
    | FetchEndpoints
    | Probe
    | CloseIdle
    | SendToPeers
    | Log
)
