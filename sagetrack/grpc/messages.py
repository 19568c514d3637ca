"""gRPC's messages in a stream of bytes: a byte for compression, four of length, the message. Pure."""

from __future__ import annotations

import struct
from collections.abc import Iterator

PREFIX = struct.Struct("!BI")
LIMIT = 1024 * 1024  # of one message; a long body comes in several


GOAWAY = b"\0\0\x08\x07\0\0\0\0\0"  # its head: RFC 9113, 6.8


class MessageError(ValueError):
    """These bytes are no messages of this format; says why."""


def pack(data: bytes) -> bytes:
    """One message, not compressed."""
    return PREFIX.pack(0, len(data)) + data


def goaway(last: int) -> bytes:
    """A GOAWAY frame without an error, by hand: `h2` would hold the connection for closed."""
    return GOAWAY + last.to_bytes(4) + bytes(4)


class Unpacker:
    """Takes bytes in pieces of any size, gives whole messages."""

    __slots__ = ("_buffer", "_limit")

    def __init__(self, limit: int = LIMIT) -> None:
        self._buffer = bytearray()
        self._limit = limit

    def feed(self, data: bytes) -> Iterator[bytes]:
        """MessageError for what is compressed or longer than the limit, before it is held."""
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
    def rest(self) -> int:
        """Bytes of a message that is not whole."""
        return len(self._buffer)
