"""How a stream that ended counts for the module: the table of docs/protocol-2.md. Pure.

What surely never ran may be sent again whatever its class: a stream above GOAWAY's last id, one that was
refused (RFC 9113, 8.7), a call that its server says it has turned away. All else may have run.
"""

from __future__ import annotations

from enum import IntEnum

from sagetrack.policy.events import Outcome


class Status(IntEnum):
    """gRPC's status codes."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


class Reset(IntEnum):
    """HTTP/2's error codes (RFC 9113, section 7)."""

    NO_ERROR = 0
    PROTOCOL_ERROR = 1
    INTERNAL_ERROR = 2
    FLOW_CONTROL_ERROR = 3
    SETTINGS_TIMEOUT = 4
    STREAM_CLOSED = 5
    FRAME_SIZE_ERROR = 6
    REFUSED_STREAM = 7
    CANCEL = 8
    COMPRESSION_ERROR = 9
    CONNECT_ERROR = 10
    ENHANCE_YOUR_CALM = 11
    INADEQUATE_SECURITY = 12
    HTTP_1_1_REQUIRED = 13


REFUSALS = frozenset({Status.RESOURCE_EXHAUSTED, Status.UNAVAILABLE})


def of_status(status: int | None, whole: bool, rejected: bool) -> Outcome:
    """Of trailers: the status, whether a whole message came before, and whether it says `x-rejected: 1`.

    No status, or one that is no number, is an answer that cannot be trusted: an error that may have run.
    """
    if status == Status.OK:
        return Outcome.OK if whole else Outcome.ERROR
    if status in REFUSALS and rejected and not whole:
        return Outcome.REJECTED
    return Outcome.ERROR


def of_reset(code: int, written: bool) -> Outcome:
    """Of a stream that its server ended with RST_STREAM."""
    if code == Reset.REFUSED_STREAM:
        return Outcome.REJECTED
    return Outcome.RESET if written else Outcome.ERROR


def of_goaway(stream: int, last: int) -> Outcome | None:
    """Of a stream when GOAWAY says which was the last that is worked on; None: it goes on."""
    return Outcome.NOT_SENT if stream > last else None


def of_loss(begun: bool) -> Outcome:
    """Of a connection that broke: what had begun to be sent may have run."""
    return Outcome.RESET if begun else Outcome.CONNECT_FAILED


def of_deadline(begun: bool) -> Outcome:
    """Of a deadline that is over: what had begun to be sent may have run."""
    return Outcome.TIMEOUT if begun else Outcome.CONNECT_FAILED
