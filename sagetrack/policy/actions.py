"""Actions returned by the load balancer, which the rest of the gateway carries out in order.

Times are whole microseconds. Absolute times are readings of the caller's monotonic clock; all other times are
durations.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send an attempt of a request to a server. The attempts of a request are numbered from 0 in order."""

    request: str
    server: int
    timeout_us: int  # the attempt ends with Outcome.TIMEOUT after this
    begin_by_us: int = field(default=0, repr=False)  # must not be sent at or after this time; 0: no limit


class RejectReason(Enum):
    """Reason for the rejection of a request. The values are exported in metrics and the event trace."""

    SHED = "shed"  # rejected by load shedding, or too late to be of use
    NO_CAPACITY = "no_room"  # no server has capacity for it in time
    QUEUE = "turn"  # denied by admission control, or queued too long behind requests with its key
    ATTEMPTS_FAILED = "unserved"  # its attempts failed and no further attempt is allowed
    OTHER = "other"


@dataclass(slots=True, frozen=True)
class Reject:
    """Send a final response that says that the client may safely retry the request."""

    request: str
    retry_after_us: int = 0  # value of Retry-After; 0: none
    reason: RejectReason = field(default=RejectReason.OTHER, compare=False, repr=False)


@dataclass(slots=True, frozen=True)
class Fail:
    """Send a final response that says that the request failed and may or may not have taken effect."""

    request: str


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt in flight. Its AttemptEnded event still follows."""

    request: str
    attempt: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Send a TimerFired event with this token at the given time."""

    due_us: int  # on the caller's clock
    token: int


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Start or stop watching the endpoint list for changes."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(slots=True, frozen=True)
class Probe:
    """Request a load report from a server. The result arrives as a Probed event."""

    server: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close this gateway's idle connections to a server."""

    server: int


@dataclass(slots=True, frozen=True)
class SendToPeers:
    """Send a message to other gateways, without guaranteed delivery."""

    payload: bytes  # at most 256 bytes
    peer: int = -1  # index of the receiving gateway; -1: all


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the log."""

    line: str
    server: int | None = None  # the server that the line concerns


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
