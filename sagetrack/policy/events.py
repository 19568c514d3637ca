"""Events that the rest of the gateway sends to the load balancer.

Times are whole microseconds. Absolute times are readings of the caller's monotonic clock; all other times are
durations. Identifiers of servers, requests, classes and zones are only compared, never interpreted.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from sagetrack.policy.peer_observations import ClassLatency, Observation


class ServerStatus(Enum):
    """The status of a server in service discovery."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """The meaning of the server entries of an EndpointList event."""

    DELTA = "delta"  # only the servers that changed
    FULL = "full"  # all servers; a server that is not listed is gone
    DISK = "disk"  # all servers as last stored by this gateway; may be stale
    ERROR = "error"  # a fetch failed or the watch was lost; the previous list stays in use


class Outcome(Enum):
    """The way in which an attempt ended."""

    OK = "ok"
    ERROR = "error"  # error response; the request may have run
    # The server rejected it. The request did not run, unless `Settings.rejection_may_have_run` is set.
    REJECTED = "full"
    TIMEOUT = "timeout"  # the request may have run
    CONNECT_FAILED = "connect_failed"  # no connection; the request did not run
    RESET = "reset"  # the connection was lost while the attempt was in flight; the request may have run
    CANCELLED = "cancelled"  # the request may have run
    NOT_SENT = "moot"  # the attempt was not sent


NEVER_RAN = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


@dataclass(slots=True, frozen=True)
class ListedServer:
    """A server as listed by service discovery."""

    server: int
    status: ServerStatus = ServerStatus.READY
    weight: float = 1.0  # factor of the selection weight
    zone: int = 0
    group: int = 0
    kind: int = 0
    started_us: int = 0  # start time of this incarnation, on the clock of `EndpointList.wall_us`; 0: long ago


@dataclass(slots=True, frozen=True)
class EndpointList:
    """Service discovery has sent a list or changes to it, or could not be reached.

    Sent by the discovery client, and once at startup with the stored list.
    """

    kind: ListKind
    servers: tuple[ListedServer, ...] = ()
    # Current time on the clock that `ListedServer.started_us` was read from; 0 if that is the caller's clock
    wall_us: int = 0
    staleness_us: int | None = None  # time since the list was last known to be current; None: unknown


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client has sent a request. Sent by the listener of its protocol.

    Unless the client cancels it, the request ends either with one final action, Reject or Fail, or with an
    AttemptEnded event that has outcome OK or `finished` set.
    """

    request: str
    class_index: int  # index in `Settings.classes`
    client_timeout_us: int  # timeout of this try of the client, which may be a retry
    key: int | None = None  # affinity key; in-order classes run requests with the same key in order
    work_us: int | None = None  # expected work in microseconds of a standard core
    is_retry: bool = False  # the client marked the request as a retry
    tenant: int = 0  # index in `Settings.tenants`
    # The body is still being received, so that it can be sent to one server only. See AttemptSent.
    uploading: bool = False
    # Client number within the tenant; 0: unknown; negative: an address that several clients may share
    client: int = 0
    # -1: not mirrored; 1: mirrored to gRPC servers only; 0: mirrored to other servers only
    mirror_target: int = -1
    waited_us: int = 0  # part of the timeout that has passed, waiting behind other requests


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load figures reported by a server; delayed and noisy. None: not reported.

    The field names are keys of the report on the wire.
    """

    inflight: float | None = None  # requests in flight
    queue: float | None = None  # requests queued
    util: float | None = None  # CPU utilization
    latency_ms: float | None = None
    qps: float | None = None  # requests per second
    eps: float | None = None  # errors per second


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt has ended with any outcome. Sent by the upstream exactly once for each SendAttempt."""

    request: str
    attempt: int  # number within the request, from 0
    server: int
    outcome: Outcome
    latency_us: int  # time since SendAttempt
    finished: bool = False  # the client has received the final response
    load: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class RequestCancelled:
    """The client cancelled its request or disconnected, so no response is needed. Sent by the listener."""

    request: str


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """A streamed response has begun; the attempt has no deadline from now on. Sent by the upstream."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class AttemptSent:
    """The body of an `uploading` request has been sent completely; its latency is measured from now on."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by a SetTimer action has fired."""

    token: int


@dataclass(slots=True, frozen=True)
class Probed:
    """The result of a Probe action. Sent by the upstream."""

    server: int
    outcome: Outcome
    latency_us: int
    load: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """A message from another gateway's SendToPeers action."""

    sender: int  # index of the sending gateway
    payload: bytes


@dataclass(slots=True, frozen=True)
class ProcessCountChanged:
    """The number of processes of this gateway, which share its quotas, has changed. Hot restart has two."""

    processes: int


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """Graceful shutdown has started: every request, including later ones, must be answered by its end."""

    at_us: int  # time at which the shutdown ends, on the caller's clock


@dataclass(slots=True, frozen=True)
class ObservationsReceived:
    """Health observations from other gateways, or from this gateway before its restart."""

    observations: tuple[Observation, ...]
    latencies: tuple[ClassLatency, ...] = ()


@dataclass(slots=True, frozen=True)
class FleetSizeChanged:
    """The number of gateways not known to be dead, including this one. Sent by the membership protocol."""

    alive: int


@dataclass(slots=True, frozen=True)
class TrafficShift:
    """The classes and tenants whose share of gRPC traffic differs from the default.

    Each index maps to two factors that apply to the selection weights of its requests: one for servers of the
    old protocol, one for gRPC servers. The factors of a tenant take precedence over those of a class.
    """

    classes: Mapping[int, tuple[float, float]]
    tenants: Mapping[int, tuple[float, float]]


@dataclass(slots=True, frozen=True)
class TenantSharesChanged:
    """The operator has changed the shares of the tenants."""

    shares: tuple[float, ...]  # shares in the order of `Settings.tenants`


@dataclass(slots=True, frozen=True)
class PeerDemands:
    """Demand by tenant at another gateway, in microseconds of work per second. Sent by demand gossip."""

    gateway_index: int
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
