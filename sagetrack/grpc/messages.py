"""gRPC's length-prefixed messages: a byte for compression, four of length, the message."""

from __future__ import annotations

import struct
from collections.abc import Iterator

from sagetrack.grpc.errors import MessageError

PREFIX = struct.Struct("!BI")
MAX_MESSAGE_BYTES = 1024 * 1024  # a longer body comes in several messages
GOAWAY_FRAME_HEADER = b"\0\0\x08\x07\0\0\0\0\0"  # RFC 9113, 4.1 and 6.8: length 8, type 7, stream 0


def pack(data: bytes) -> bytes:
    """Frame one message, not compressed."""
    return PREFIX.pack(0, len(data)) + data


def goaway_frame(last_stream_id: int) -> bytes:
    """Encode a GOAWAY frame with NO_ERROR.

    By hand, as `h2` would take its connection for closed, while streams up to the last id go on.
    """
    return GOAWAY_FRAME_HEADER + last_stream_id.to_bytes(4) + bytes(4)


class Unpacker:
    """Splits a stream of bytes into messages; the bytes may arrive in parts of any size."""

    __slots__ = ("_buffer", "_limit")

    def __init__(self, limit: int = MAX_MESSAGE_BYTES) -> None:
        self._buffer = bytearray()
        self._limit = limit

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield each message that is complete with `data`.

        Raises:
            MessageError: A message is compressed, or longer than the limit; raised before it is buffered.
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
        """Buffered bytes of a message that is not complete."""
        return len(self._buffer)
