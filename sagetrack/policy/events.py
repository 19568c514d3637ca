"""Events that the load balancer decides on, sent by the rest of the gateway.

Times are whole microseconds. An absolute time is a reading of the caller's clock, which only moves forward;
everything else is a duration. Servers, requests, classes and zones are plain identifiers that are compared
and never interpreted.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from sagetrack.policy.peer_observations import ClassLatency, Observation


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
    staleness_us: int | None = None  # time since the list was last known to be current; None: unknown


@dataclass(slots=True, frozen=True)
class RequestArrived:
    """A client has sent a request. Sent by the listener of its protocol.

    Unless the client cancels it, it ends with one final action, Reject or Fail, or with an AttemptEnded
    that is OK or `finished`.
    """

    request: str
    class_index: int  # its place in the settings
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
