"""Writes a response to the HTTP/2 connection of its client, as far as flow control allows."""

from __future__ import annotations

from sagetrack.grpc.downstream_stream import DownstreamStream
from sagetrack.grpc.http2_protocol import Http2Protocol

HEAD = ((":status", "200"), ("content-type", "application/grpc+proto"))


def write_response(protocol: Http2Protocol, stream: DownstreamStream) -> None:
    """Pass a response to `h2`: headers, messages and trailers. The caller must flush the connection.

    Raises:
        h2.exceptions.H2Error: The client has closed the stream.
    """
    if stream.trailers is not None and stream.is_trailers_only:
        _write_trailers(protocol, stream, [*HEAD, *stream.trailers])
        return
    if stream.needs_headers:
        stream.on_headers_sent()
        protocol.h2.send_headers(stream.id, list(HEAD))
    while stream.pending and not protocol.write_paused:
        window = min(protocol.h2.local_flow_control_window(stream.id), protocol.h2.max_outbound_frame_size)
        if window <= 0:
            return
        protocol.h2.send_data(stream.id, bytes(stream.pending[:window]))
        stream.on_data_sent(window)
    if stream.trailers is not None and not stream.pending:
        _write_trailers(protocol, stream, stream.trailers)


def _write_trailers(
    protocol: Http2Protocol, stream: DownstreamStream, trailers: list[tuple[str, str]]
) -> None:
    """Write the trailers, which end the response and its stream."""
    protocol.h2.send_headers(stream.id, trailers, end_stream=True)
    stream.on_trailers_sent()
