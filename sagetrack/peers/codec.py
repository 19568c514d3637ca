"""Encoding of the UDP datagrams that gateways exchange.

A datagram has at most 256 bytes: one byte of version, a CRC-32 of the body (as in ISO 3309, by zlib) in four
bytes, and the body, a MessagePack array of the sender, its incarnation and a list of messages. Each message
is an array that begins with the tag of its type. Field names are not on the wire: the order of the fields and
the tags define the format. A datagram that cannot be decoded is rejected as a whole.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta

from sagetrack.peers.errors import CodecError

VERSION = 1
DATAGRAM_LIMIT = 256  # maximum size of a datagram in bytes
VERSION_BYTES = 1
CHECKSUM_BYTES = 4
HEADER_BYTES = VERSION_BYTES + CHECKSUM_BYTES
ENVELOPE_BYTES = 16  # upper bound for the sender, the incarnation and the array headers
MemberId = Annotated[int, Meta(ge=0, le=65_535)]
NonNegative = Annotated[int, Meta(ge=0, le=2**62)]
UInt8 = Annotated[int, Meta(ge=0, le=255)]


class Ping(msgspec.Struct, tag=1, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Requests an acknowledgement from `target`.

    A process that runs at the address of another member does not acknowledge a ping of that member.
    """

    sequence: NonNegative
    target: MemberId


class Ack(msgspec.Struct, tag=2, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Acknowledges the ping of `target` with this sequence number."""

    sequence: NonNegative
    target: MemberId


class PingRequest(msgspec.Struct, tag=3, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Asks the receiver to ping `target` on behalf of the sender (SWIM's ping-req)."""

    sequence: NonNegative
    target: MemberId


class Nack(msgspec.Struct, tag=4, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Reports that an indirect ping of `target` has not been acknowledged yet (Lifeguard)."""

    sequence: NonNegative
    target: MemberId


class Update(msgspec.Struct, tag=5, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Announces the state of a member in one of its incarnations.

    Attributes:
        member: The member whose state is announced.
        state: The `MemberState`: alive (0), suspected (1) or dead (2).
        incarnation: The incarnation of the member to which the state applies.
        reporter: The member that suspects `member` or has declared it dead.
    """

    member: MemberId
    state: Annotated[int, Meta(ge=0, le=2)]
    incarnation: NonNegative
    reporter: MemberId


class WarmStartRequest(msgspec.Struct, tag=6, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Requests the receiver's observations of servers; sent by a gateway that has just started."""

    request_id: NonNegative


class ServerEntry(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The sender's own observation of one server, in units that keep the entry under 20 bytes.

    Attributes:
        server: Id of the server.
        start_id: Start time of the server in milliseconds, modulo 2**24; distinguishes its incarnations.
        state: State of the circuit breaker for the server: closed, open or half-open.
        overloaded: True if the server is overloaded.
        weight: Load-balancing weight of the server, in hundredths.
        cooldown: Time until the circuit breaker leaves the open state, in tenths of a second.
        age: Time since the observation was made, in hundredths of a second.
        slow_start_used: Work that the server has done during its slow start, in milliseconds.
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
        class_index: Index of the request class.
        smoothed: Smoothed latency.
        baseline: Latency without queueing.
    """

    class_index: UInt8
    smoothed: Annotated[int, Meta(ge=1, lt=2**32)]
    baseline: Annotated[int, Meta(ge=1, lt=2**32)]


class WarmStartResponse(msgspec.Struct, tag=7, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One part of the response to a `WarmStartRequest`; each part can be used without the others.

    Attributes:
        request_id: Id of the request.
        part: Index of this part, from 0.
        parts: Number of parts of the response.
        classes: Latencies of request classes.
        servers: Observations of servers.
    """

    request_id: NonNegative
    part: UInt8
    parts: Annotated[int, Meta(ge=1, le=255)]
    classes: Annotated[list[LatencyEntry], Meta(max_length=64)]
    servers: Annotated[list[ServerEntry], Meta(max_length=64)]


class DemandGossip(msgspec.Struct, tag=8, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The recent demand of tenants at the sender.

    Attributes:
        demands: Pairs of the index of a tenant and its demand, in milliseconds of work per second.
    """

    demands: Annotated[list[tuple[MemberId, Annotated[int, Meta(ge=0, lt=2**32)]]], Meta(max_length=24)]


Message = Ping | Ack | PingRequest | Nack | Update | WarmStartRequest | WarmStartResponse | DemandGossip


class Datagram(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The content of one datagram.

    Attributes:
        sender: Number of the member that sends the datagram.
        incarnation: Incarnation of the sender.
        messages: Messages to the receiver.
    """

    sender: MemberId
    incarnation: NonNegative
    messages: Annotated[list[Message], Meta(max_length=64)]


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(Datagram)


def encode(datagram: Datagram) -> bytes:
    """Encode a datagram.

    Raises:
        CodecError: The encoded datagram is larger than `DATAGRAM_LIMIT`.
    """
    body = _encoder.encode(datagram)
    if len(body) + HEADER_BYTES > DATAGRAM_LIMIT:
        size = len(body) + HEADER_BYTES
        raise CodecError(f"datagram too large: {size} bytes, at most {DATAGRAM_LIMIT} are allowed")
    return bytes((VERSION,)) + zlib.crc32(body).to_bytes(CHECKSUM_BYTES) + body


def encoded_size(messages: Iterable[Message]) -> int:
    """Return an upper bound for the size in bytes of a datagram with these messages."""
    return HEADER_BYTES + ENVELOPE_BYTES + sum(len(_encoder.encode(message)) for message in messages)


def encoded_entry_size(entry: LatencyEntry | ServerEntry) -> int:
    """Return the size in bytes of an entry within a datagram."""
    return len(_encoder.encode(entry))


def decode(data: bytes) -> Datagram:
    """Decode a datagram; any sequence of bytes may be passed.

    Raises:
        CodecError: The bytes are not a complete and valid datagram of this version.
    """
    if not HEADER_BYTES < len(data) <= DATAGRAM_LIMIT:
        raise CodecError(f"datagram of {len(data)} bytes, {HEADER_BYTES + 1} to {DATAGRAM_LIMIT} are allowed")
    if data[0] != VERSION:
        raise CodecError(f"datagram version {data[0]} is not supported, expected {VERSION}")
    body = data[HEADER_BYTES:]
    if zlib.crc32(body) != int.from_bytes(data[VERSION_BYTES:HEADER_BYTES]):
        raise CodecError("datagram checksum mismatch")
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CodecError(f"datagram body is malformed: {error}") from None
