"""Determines the outcome of an attempt from how its stream ended; docs/protocol-2.md has the full table.

A request that was certainly not run may be retried regardless of its class: one on a stream above the last id
in GOAWAY, one on a refused stream (RFC 9113, section 8.7), and one that the server reports as rejected. Any
other failed request may have run.
"""

from __future__ import annotations

from enum import IntEnum

from sagetrack.policy.events import Outcome


class StatusCode(IntEnum):
    """gRPC status codes."""

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
    """HTTP/2 error codes (RFC 9113, section 7)."""

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
    """Return the outcome of a stream that ended with trailers.

    Args:
        status: The value of `grpc-status`; None if it is missing or invalid, which counts as an error after
            which the request may have run.
        complete: True if at least one message arrived before, and none is incomplete.
        rejected: True if the trailers contain `x-rejected: 1`.
    """
    if status == StatusCode.OK:
        return Outcome.OK if complete else Outcome.ERROR
    if status in REJECTION_STATUSES and rejected and not complete:
        return Outcome.REJECTED
    return Outcome.ERROR


def of_reset(code: int, request_sent: bool) -> Outcome:
    """Return the outcome of a stream that the server reset; it was not processed if it was refused."""
    if code == Http2ErrorCode.REFUSED_STREAM:
        return Outcome.REJECTED
    return Outcome.RESET if request_sent else Outcome.ERROR


def of_goaway(stream_id: int, last_stream_id: int) -> Outcome | None:
    """Return the outcome of a stream that GOAWAY ends; None if the server still processes the stream."""
    return Outcome.NOT_SENT if stream_id > last_stream_id else None


def of_loss(headers_sent: bool) -> Outcome:
    """Return the outcome after a connection loss; the request may have run if its headers were sent."""
    return Outcome.RESET if headers_sent else Outcome.CONNECT_FAILED


def of_deadline(headers_sent: bool) -> Outcome:
    """Return the outcome of a timeout; the request may have run if its headers were sent."""
    return Outcome.TIMEOUT if headers_sent else Outcome.CONNECT_FAILED
