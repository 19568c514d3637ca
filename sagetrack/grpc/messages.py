"""Framing of gRPC messages: a compression flag of one byte, a length of four bytes, and the message."""

from __future__ import annotations

import struct
from collections.abc import Iterator

from sagetrack.grpc.errors import MessageError

PREFIX = struct.Struct("!BI")
MAX_MESSAGE_BYTES = 1024 * 1024  # a longer body is split into several messages
GOAWAY_FRAME_HEADER = b"\0\0\x08\x07\0\0\0\0\0"  # length 8, type 7, stream 0 (RFC 9113, 4.1 and 6.8)


def pack(data: bytes) -> bytes:
    """Frame one message without compression."""
    return PREFIX.pack(0, len(data)) + data


def goaway_frame(last_stream_id: int) -> bytes:
    """Encode a GOAWAY frame with the code NO_ERROR.

    It is not sent through `h2`, because `h2` would then treat the connection as closed, although streams up
    to the last id continue.
    """
    return GOAWAY_FRAME_HEADER + last_stream_id.to_bytes(4) + bytes(4)


class Unpacker:
    """Splits a byte stream, received in parts of any size, into messages."""

    __slots__ = ("_buffer", "_limit")

    def __init__(self, limit: int = MAX_MESSAGE_BYTES) -> None:
        self._buffer = bytearray()
        self._limit = limit

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Process received bytes, and yield each message that they complete.

        Raises:
            MessageError: A message is compressed or exceeds the limit; raised as soon as its prefix is read.
        """
        self._buffer += data
        while len(self._buffer) >= PREFIX.size:
            compressed, length = PREFIX.unpack_from(self._buffer)
            if compressed:
                raise MessageError("a compressed message, which was not asked for")
            if length > self._limit:
                raise MessageError(f"a message of {length} bytes, over {self._limit}")
            if len(self._buffer) < PREFIX.size + length:
                return
            message = bytes(self._buffer[PREFIX.size : PREFIX.size + length])
            del self._buffer[: PREFIX.size + length]
            yield message

    @property
    def incomplete_bytes(self) -> int:
        """The number of buffered bytes of an incomplete message."""
        return len(self._buffer)
