"""Outcome of an attempt by how its stream ended: the table of docs/protocol-2.md.

A request that certainly never ran may be retried whatever its class: a stream above GOAWAY's last id, one
that was refused (RFC 9113, 8.7), a request that its server says it has rejected. Any other may have run.
"""

from __future__ import annotations

from enum import IntEnum

from sagetrack.policy.events import Outcome


class StatusCode(IntEnum):
    """Status codes of gRPC."""

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


class Http2ErrorCode(IntEnum):
    """Error codes of HTTP/2 (RFC 9113, section 7)."""

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


REJECTION_STATUSES = frozenset({StatusCode.RESOURCE_EXHAUSTED, StatusCode.UNAVAILABLE})


def of_status(status: int | None, complete: bool, rejected: bool) -> Outcome:
    """Outcome of a stream that ended with trailers.

    Args:
        status: Value of `grpc-status`; None if it is missing or no number: an error that may have run.
        complete: Whether a complete message came before.
        rejected: Whether the trailers have `x-rejected: 1`.
    """
    if status == StatusCode.OK:
        return Outcome.OK if complete else Outcome.ERROR
    if status in REJECTION_STATUSES and rejected and not complete:
        return Outcome.REJECTED
    return Outcome.ERROR


def of_reset(code: int, request_sent: bool) -> Outcome:
    """Outcome of a stream that its server ended with RST_STREAM."""
    if code == Http2ErrorCode.REFUSED_STREAM:
        return Outcome.REJECTED
    return Outcome.RESET if request_sent else Outcome.ERROR


def of_goaway(stream_id: int, last_stream_id: int) -> Outcome | None:
    """Outcome of a stream when GOAWAY names the last one that is worked on; None if it goes on."""
    return Outcome.NOT_SENT if stream_id > last_stream_id else None


def of_loss(headers_sent: bool) -> Outcome:
    """Outcome when the connection broke; once headers were sent, the request may have run."""
    return Outcome.RESET if headers_sent else Outcome.CONNECT_FAILED


def of_deadline(headers_sent: bool) -> Outcome:
    """Outcome when the deadline has passed; once headers were sent, the request may have run."""
    return Outcome.TIMEOUT if headers_sent else Outcome.CONNECT_FAILED
