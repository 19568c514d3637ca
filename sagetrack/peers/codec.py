"""Datagrams between gateways: at most 256 bytes, with a version and a checksum; unreadable ones are rejected.

A datagram is one byte of version, four of CRC-32 (as in ISO 3309, by zlib) over what follows it, and a
MessagePack array: sender, its incarnation, and messages. Each message is an array that begins with its type's
number. Names are not on the wire: the order of fields and the tags are the format.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta

from sagetrack.peers.errors import CodecError

VERSION = 1
DATAGRAM_LIMIT = 256  # bytes
VERSION_BYTES = 1
CHECKSUM_BYTES = 4
HEADER_BYTES = VERSION_BYTES + CHECKSUM_BYTES
ENVELOPE_BYTES = 16  # at most, of sender, incarnation and the beginnings of arrays
MemberId = Annotated[int, Meta(ge=0, le=65_535)]
NonNegative = Annotated[int, Meta(ge=0, le=2**62)]
UInt8 = Annotated[int, Meta(ge=0, le=255)]


class Ping(msgspec.Struct, tag=1, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Asks `target` for an acknowledgement; a member that has another's address does not answer for it."""

    sequence: NonNegative
    target: MemberId


class Ack(msgspec.Struct, tag=2, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Acknowledges the ping of `target` with this sequence number."""

    sequence: NonNegative
    target: MemberId


class PingRequest(msgspec.Struct, tag=3, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Asks the receiver for an indirect ping of `target` (SWIM's ping-req)."""

    sequence: NonNegative
    target: MemberId


class Nack(msgspec.Struct, tag=4, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Says that an indirect ping of `target` has not been acknowledged yet (Lifeguard)."""

    sequence: NonNegative
    target: MemberId


class Update(msgspec.Struct, tag=5, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Says that a member is alive (0), suspected (1) or dead (2) in an incarnation.

    Attributes:
        member: The member that it is about.
        state: A `MemberState`.
        incarnation: The incarnation that it is about.
        reporter: The member that suspects it, or has declared it dead.
    """

    member: MemberId
    state: Annotated[int, Meta(ge=0, le=2)]
    incarnation: NonNegative
    reporter: MemberId


class WarmStartRequest(msgspec.Struct, tag=6, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Asks for what the receiver has observed of servers, as the sender has just started."""

    request_id: NonNegative


class ServerEntry(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The sender's own observation of one server, in units that keep it under 20 bytes.

    Attributes:
        server: The server's id.
        start_id: The lowest 24 bits of its start, in milliseconds and distinguishes its incarnations.
        state: Of its circuit breaker: closed, open, half-open.
        overloaded: Whether it is.
        weight: In hundredths.
        cooldown: Left of its circuit breaker's, in tenths of a second.
        age: Since it was observed, in hundredths of a second.
        slow_start_used: Work done while it is warming up, in milliseconds.
    """

    server: Annotated[int, Meta(ge=0, le=2**62)]
    start_id: Annotated[int, Meta(ge=0, lt=2**24)]
    state: Annotated[int, Meta(ge=0, le=2)]
    overloaded: bool
    weight: Annotated[int, Meta(ge=0, le=100)]
    cooldown: UInt8
    age: Annotated[int, Meta(ge=0, le=65_535)]
    slow_start_used: Annotated[int, Meta(ge=0, le=65_535)] = 0


class LatencyEntry(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Latencies of one request class, in tenths of a millisecond.

    Attributes:
        class_index: The class's number.
        smoothed: Smoothed latency.
        baseline: Latency without queueing.
    """

    class_index: UInt8
    smoothed: Annotated[int, Meta(ge=1, lt=2**32)]
    baseline: Annotated[int, Meta(ge=1, lt=2**32)]


class WarmStartResponse(msgspec.Struct, tag=7, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One part of the response to a `WarmStartRequest`; of use without the others.

    Attributes:
        request_id: The request's.
        part: Which part this is, from 0.
        parts: How many there are.
        classes: Latencies by request class.
        servers: Observations of servers.
    """

    request_id: NonNegative
    part: UInt8
    parts: Annotated[int, Meta(ge=1, le=255)]
    classes: Annotated[list[LatencyEntry], Meta(max_length=64)]
    servers: Annotated[list[ServerEntry], Meta(max_length=64)]


class DemandGossip(msgspec.Struct, tag=8, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The demand of tenants at the sender of late.

    Attributes:
        demands: A tenant's index, and milliseconds of work for a second.
    """

    demands: Annotated[list[tuple[MemberId, Annotated[int, Meta(ge=0, lt=2**32)]]], Meta(max_length=24)]


Message = Ping | Ack | PingRequest | Nack | Update | WarmStartRequest | WarmStartResponse | DemandGossip


class Datagram(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The content of one datagram.

    Attributes:
        sender: The member that sends it.
        incarnation: The sender's incarnation.
        messages: What it says.
    """

    sender: MemberId
    incarnation: NonNegative
    messages: Annotated[list[Message], Meta(max_length=64)]


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(Datagram)


def encode(datagram: Datagram) -> bytes:
    """Return the bytes of a datagram.

    Raises:
        CodecError: They are more than `DATAGRAM_LIMIT`.
    """
    body = _encoder.encode(datagram)
    if len(body) + HEADER_BYTES > DATAGRAM_LIMIT:
        size = len(body) + HEADER_BYTES
        raise CodecError(f"datagram of {size} bytes; at most {DATAGRAM_LIMIT} are allowed")
    return bytes((VERSION,)) + zlib.crc32(body).to_bytes(CHECKSUM_BYTES) + body


def encoded_size(messages: Iterable[Message]) -> int:
    """Return how many bytes a datagram with these messages has at the most."""
    return HEADER_BYTES + ENVELOPE_BYTES + sum(len(_encoder.encode(message)) for message in messages)


def encoded_entry_size(entry: LatencyEntry | ServerEntry) -> int:
    """Return how many bytes of a datagram an entry takes."""
    return len(_encoder.encode(entry))


def decode(data: bytes) -> Datagram:
    """Read a datagram.

    Raises:
        CodecError: These bytes, whatever they are, are no complete datagram of this version.
    """
    if not HEADER_BYTES < len(data) <= DATAGRAM_LIMIT:
        raise CodecError(f"datagram of {len(data)} bytes; {HEADER_BYTES + 1} to {DATAGRAM_LIMIT} are allowed")
    if data[0] != VERSION:
        raise CodecError(f"datagram of version {data[0]}; {VERSION} is read here")
    body = data[HEADER_BYTES:]
    if zlib.crc32(body) != int.from_bytes(data[VERSION_BYTES:HEADER_BYTES]):
        raise CodecError("datagram with a wrong checksum")
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CodecError(f"datagram of unknown content: {error}") from None
