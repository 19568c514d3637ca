"""Datagrams between gateways: at most 256 bytes, versioned, with a checksum; what cannot be read is rejected.

A datagram is one byte of version, four of CRC-32 (as in ISO 3309, by zlib) over what follows it, and a
MessagePack array: sender, its incarnation, and messages. Each message is an array that begins with its
number.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta

VERSION = 1
LIMIT = 256  # bytes of a datagram
HEAD = 5
Member = Annotated[int, Meta(ge=0, le=65_535)]
Number = Annotated[int, Meta(ge=0, le=2**62)]
Small = Annotated[int, Meta(ge=0, le=255)]


class Ping(msgspec.Struct, tag=1, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Are you there? For `target`, so that one who has another's address does not answer for it."""

    number: Number
    target: Member


class Ack(msgspec.Struct, tag=2, array_like=True, frozen=True, forbid_unknown_fields=True):
    """`target` is there."""

    number: Number
    target: Member


class PingRequest(msgspec.Struct, tag=3, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Ask `target` for me."""

    number: Number
    target: Member


class Nack(msgspec.Struct, tag=4, array_like=True, frozen=True, forbid_unknown_fields=True):
    """I asked `target` for you and heard nothing, but I hear you (Lifeguard)."""

    number: Number
    target: Member


class Update(msgspec.Struct, tag=5, array_like=True, frozen=True, forbid_unknown_fields=True):
    """A member is alive (0), suspected by someone (1) or dead (2) in its so-and-so-manieth incarnation."""

    member: Member
    state: Annotated[int, Meta(ge=0, le=2)]
    incarnation: Number
    by: Member


class Ask(msgspec.Struct, tag=6, array_like=True, frozen=True, forbid_unknown_fields=True):
    """I have just started: what do you know of the servers?"""

    number: Number


class ServerFact(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What the sender itself has seen of one server. Times in units that keep a fact under 20 bytes."""

    server: Annotated[int, Meta(ge=0, le=2**62)]
    life: Annotated[int, Meta(ge=0, lt=2**24)]  # of its start, in milliseconds, the lowest 24 bits
    state: Annotated[int, Meta(ge=0, le=2)]  # closed, open, half-open
    jammed: bool
    weight: Annotated[int, Meta(ge=0, le=100)]  # hundredths
    cooldown: Small  # left, in tenths of a second
    age: Annotated[int, Meta(ge=0, le=65_535)]  # since it was seen, in hundredths of a second
    spent: Annotated[int, Meta(ge=0, le=65_535)] = 0  # while cold, in milliseconds of work


class ClassFact(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Latencies of one class, in tenths of a millisecond."""

    klass: Small
    smoothed: Annotated[int, Meta(ge=1, lt=2**32)]
    unhindered: Annotated[int, Meta(ge=1, lt=2**32)]


class Tell(msgspec.Struct, tag=7, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One part of an answer to Ask."""

    number: Number
    part: Small
    parts: Annotated[int, Meta(ge=1, le=255)]
    classes: Annotated[list[ClassFact], Meta(max_length=64)]
    servers: Annotated[list[ServerFact], Meta(max_length=64)]


class Wanted(msgspec.Struct, tag=8, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Work that the sender was asked for of late, by member: (place, milliseconds for a second)."""

    demands: Annotated[list[tuple[Member, Annotated[int, Meta(ge=0, lt=2**32)]]], Meta(max_length=24)]


Message = Ping | Ack | PingRequest | Nack | Update | Ask | Tell | Wanted


class Datagram(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What one datagram says."""

    sender: Member
    incarnation: Number
    messages: Annotated[list[Message], Meta(max_length=64)]


class CodecError(ValueError):
    """These bytes are no datagram of this version."""


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(Datagram)


def encode(datagram: Datagram) -> bytes:
    """The bytes of a datagram; ValueError if they are more than the limit."""
    body = _encoder.encode(datagram)
    if len(body) + HEAD > LIMIT:
        raise ValueError(f"a datagram of {len(body) + HEAD} bytes")
    return bytes((VERSION,)) + zlib.crc32(body).to_bytes(4) + body


def size(messages: Iterable[Message]) -> int:
    """How many bytes a datagram with these has at the most."""
    return HEAD + 16 + sum(len(_encoder.encode(message)) for message in messages)


def decode(data: bytes) -> Datagram:
    """Read a datagram; CodecError, whatever the bytes, if it cannot be read whole."""
    if not HEAD < len(data) <= LIMIT:
        raise CodecError(f"{len(data)} bytes")
    if data[0] != VERSION:
        raise CodecError(f"version {data[0]}")
    body = data[HEAD:]
    if zlib.crc32(body) != int.from_bytes(data[1:HEAD]):
        raise CodecError("checksum")
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise CodecError(str(error)) from None
