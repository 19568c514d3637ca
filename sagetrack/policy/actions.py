"""Actions that the load balancer decides on, for the rest of the gateway to carry out in order.

Times are whole microseconds. An absolute time is a reading of the caller's clock, which only moves forward;
everything else is a duration.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


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
