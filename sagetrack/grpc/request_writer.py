"""Writes the messages of a request to an HTTP/2 connection, as far as flow control allows."""

from __future__ import annotations

import h2.exceptions

from sagetrack.grpc.http2_protocol import Http2Protocol
from sagetrack.grpc.upstream_attempt import GrpcAttempt


def write_request(protocol: Http2Protocol, attempt: GrpcAttempt) -> bool:
    """Write as much of a request as flow control and the transport allow, and END_STREAM at its end.

    The caller must flush the connection. If the server has closed the stream, nothing is written; the event
    that ends the attempt is handled later.

    Returns:
        True if the request is now complete.
    """
    try:
        if not write_messages(protocol, attempt) or not attempt.all_sent:
            return False
        protocol.h2.end_stream(attempt.stream_id)
    except h2.exceptions.H2Error:
        return False
    attempt.on_request_sent()
    return True


def write_messages(protocol: Http2Protocol, attempt: GrpcAttempt) -> bool:
    """Write messages until none is left or the transport is full; returns False at the end of the window."""
    connection = protocol.h2
    while not protocol.write_paused and attempt.load_pending():
        window = min(
            connection.local_flow_control_window(attempt.stream_id), connection.max_outbound_frame_size
        )
        if window <= 0:
            return False
        connection.send_data(attempt.stream_id, attempt.take_pending(window))
        attempt.on_data_sent()
    return True
