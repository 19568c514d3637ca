"""Writes the messages of a request to the state machine of a connection, as flow control allows."""

from __future__ import annotations

import h2.exceptions

from sagetrack.grpc.http2_protocol import Http2Protocol
from sagetrack.grpc.upstream_attempt import GrpcAttempt


def write_request(protocol: Http2Protocol, attempt: GrpcAttempt) -> bool:
    """Write what flow control and the transport take of a request, and END_STREAM with the last of it.

    Nothing is flushed. If the stream is closed by now, nothing is written: the event that ends the attempt
    is still to be read.

    Returns:
        Whether the request is complete with this.
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
    """Write messages until there are no more or the transport is full; False if the window is used up."""
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
