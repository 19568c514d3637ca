"""DNS messages on the hot path: header, question and EDNS(0) by hand, the rest passed on as it is. No I/O.

After RFC 1035 (messages, names), RFC 2181 (TTLs), RFC 6891 (EDNS), RFC 8914 (extended errors). What does not
need to be understood is not parsed: an answer goes on as bytes, under the client's id, question and letter
case.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

HEADER = struct.Struct("!HHHHHH")
MOST = 65_535
NAME_LIMIT = 255
PLAIN_SIZE = 512  # of a UDP answer without EDNS
OUR_SIZE = 1232  # of a UDP answer that we say we take (DNS Flag Day 2020)
OPT, SOA, NS, ANY, AXFR, IXFR = 41, 6, 2, 255, 252, 251
QR, AA, TC, RD, RA, AD, CD = 0x8000, 0x0400, 0x0200, 0x0100, 0x0080, 0x0020, 0x0010
OPCODE = 0x7800
POINTER = 0xC0


class Rcode(IntEnum):
    NOERROR = 0
    FORMERR = 1
    SERVFAIL = 2
    NXDOMAIN = 3
    NOTIMP = 4
    REFUSED = 5
    BADVERS = 16


class Extended(IntEnum):
    """Info codes of extended errors (RFC 8914)."""

    OTHER = 0
    STALE_ANSWER = 3
    NOT_READY = 14
    PROHIBITED = 18
    STALE_NXDOMAIN = 19
    NOT_AUTHORITATIVE = 20
    NO_REACHABLE_AUTHORITY = 22
    NETWORK_ERROR = 23


class MessageError(ValueError):
    """This message cannot be used; `rcode` is what its sender is told, or None where it gets nothing."""

    def __init__(self, why: str, rcode: Rcode | None = None) -> None:
        super().__init__(why)
        self.rcode = rcode


@dataclass(slots=True, frozen=True)
class Query:
    """One question. Two with the same `subject` have the same answer."""

    id: int
    flags: int
    question: bytes  # as it came: name in the sender's letter case, type and class
    name: bytes  # in lower case, in wire form
    type: int
    klass: int
    edns: bool = False
    size: int = PLAIN_SIZE  # of a UDP answer that the sender takes
    dnssec: bool = False  # the DO bit

    @property
    def subject(self) -> tuple[bytes, int, int, int]:
        return self.name, self.type, self.klass, (self.flags & (RD | CD)) | self.dnssec


def skip_name(data: bytes, at: int) -> int:
    """Where a name that may be compressed ends; MessageError if it runs out of the message."""
    while True:
        if at >= len(data):
            raise MessageError("a name runs out of the message")
        length = data[at]
        if length >= POINTER:
            if at + 2 > len(data):
                raise MessageError("a pointer runs out of the message")
            return at + 2
        if length > 63:
            raise MessageError("a label of unknown kind")
        at += 1 + length
        if length == 0:
            return at


def parse_query(data: bytes) -> Query:
    """Read a query; MessageError, whatever the bytes, if it is none that can be answered."""
    if len(data) < 12:
        raise MessageError("shorter than a header")
    id_, flags, questions, answers, authorities, additional = HEADER.unpack_from(data)
    if flags & QR:
        raise MessageError("an answer, not a query")
    if flags & OPCODE:
        raise MessageError("another operation than QUERY", Rcode.NOTIMP)
    if questions != 1 or answers or authorities:
        raise MessageError(f"{questions} questions", Rcode.FORMERR)
    try:
        # A question's name is not compressed: there is nothing before it to point to.
        at = 12
        while (length := data[at]) != 0:
            if length > 63:
                raise MessageError("a question's name is compressed", Rcode.FORMERR)
            at += 1 + length
            if at - 12 >= NAME_LIMIT:
                raise MessageError("a name is too long", Rcode.FORMERR)
        end = at + 5
        type_, klass = struct.unpack_from("!HH", data, at + 1)
    except (IndexError, struct.error):
        raise MessageError("the question is not whole", Rcode.FORMERR) from None
    question = data[12:end]
    name = lowered(data[12 : at + 1])
    edns, size, dnssec = False, PLAIN_SIZE, False
    at = end
    for _ in range(additional):
        try:
            at = skip_name(data, at)
            kind, size_, ttl, length = struct.unpack_from("!HHIH", data, at)
        except (MessageError, struct.error):
            raise MessageError("the additional section is not whole", Rcode.FORMERR) from None
        if at + 10 + length > len(data):
            raise MessageError("the additional section is not whole", Rcode.FORMERR)
        if kind == OPT:
            if edns or data[at - 1] != 0:
                raise MessageError("more than one OPT, or one with a name", Rcode.FORMERR)
            edns, size, dnssec = True, max(PLAIN_SIZE, size_), bool(ttl & 0x8000)
            if ttl >> 16 & 0xFF:
                raise MessageError("an unknown version of EDNS", Rcode.BADVERS)
            if not options_are_whole(data[at + 10 : at + 10 + length]):
                raise MessageError("an EDNS option is not whole", Rcode.FORMERR)
        at += 10 + length
    if type_ in (AXFR, IXFR):
        raise MessageError("zone transfers are not made here", Rcode.NOTIMP)
    return Query(id_, flags, question, name, type_, klass, edns, size, dnssec)


def lowered(name: bytes) -> bytes:
    """A name for comparison. Lengths of labels are below 64, so that none is taken for a capital letter."""
    return name.lower()


def options_are_whole(data: bytes) -> bool:
    at = 0
    while at < len(data):
        if at + 4 > len(data):
            return False
        at += 4 + int.from_bytes(data[at + 2 : at + 4])
    return at == len(data)


def opt(rcode: int, dnssec: bool, extended: Extended | None = None, text: str = "") -> bytes:
    """An OPT record of ours, with an extended error if there is one to tell."""
    options = b""
    if extended is not None:
        said = text.encode()[:64]
        options = struct.pack("!HHH", 15, 2 + len(said), extended) + said
    ttl = (rcode >> 4) << 24 | (0x8000 if dnssec else 0)
    return b"\0" + struct.pack("!HHIH", OPT, OUR_SIZE, ttl, len(options)) + options


def error(
    query: Query, rcode: Rcode, extended: Extended | None = None, text: str = "", flags: int = 0
) -> bytes:
    """An answer without records."""
    flags |= QR | RA | (query.flags & (RD | CD | OPCODE)) | (rcode & 0xF)
    tail = opt(rcode, query.dnssec, extended, text) if query.edns else b""
    return HEADER.pack(query.id, flags, 1, 0, 0, int(query.edns)) + query.question + tail


def refused_unread(data: bytes, rcode: Rcode) -> bytes | None:
    """What is answered to a message that could not be read but for its header; None if not even that."""
    if len(data) < 12 or data[2] & 0x80:
        return None
    id_, flags = struct.unpack_from("!HH", data)
    head = HEADER.pack(id_, QR | (flags & (RD | OPCODE)) | (rcode & 0xF), 0, 0, 0, int(rcode > 15))
    return head + (opt(rcode, False) if rcode > 15 else b"")


def upstream_query(query: Query, id_: int) -> bytes:
    """The question as it goes on: one OPT of ours, no options of the client's (they are for this hop)."""
    flags = query.flags & (RD | CD | AD)
    return HEADER.pack(id_, flags, 1, 0, 0, 1) + query.question + opt(0, query.dnssec)


@dataclass(slots=True, frozen=True)
class Answer:
    """An answer as it came from upstream, and where its TTLs stand."""

    data: bytes
    rcode: int
    truncated: bool
    ttls: tuple[int, ...]  # offsets
    ttl: int  # for how long it may be kept, in seconds; 0: not at all
    opt_at: int  # offset of its OPT record; -1: none
    end: int  # of its records, less the OPT if that is the last

    @property
    def size(self) -> int:
        return len(self.data)


def parse_answer(data: bytes, query: Query, id_: int) -> Answer | None:
    """Read an answer to what was asked; None if it is not that, MessageError if it is spoilt.

    It has to have our id and our question, the name in whatever letter case; whoever forges one has to guess
    both, and the port that it is sent to.
    """
    if len(data) < 12:
        return None
    got, flags, questions, answers, authorities, additional = HEADER.unpack_from(data)
    if got != id_ or not flags & QR or flags & OPCODE:
        return None
    end = 12 + len(query.question)
    if (
        questions != 1
        or lowered(data[12 : end - 4]) != query.name
        or data[end - 4 : end] != query.question[-4:]
    ):
        return None
    rcode, at = flags & 0xF, end
    ttls: list[int] = []
    least = 86_400 * 7
    negative, soa_ttl = answers == 0, -1
    opt_at, records_end = -1, end
    for number in range(answers + authorities + additional):
        record = at
        at = skip_name(data, at)
        if at + 10 > len(data):
            raise MessageError("a record is not whole")
        kind, _, ttl, length = struct.unpack_from("!HHIH", data, at)
        if at + 10 + length > len(data):
            raise MessageError("a record is not whole")
        if kind == OPT:
            opt_at, rcode = record, rcode | (ttl >> 24) << 4
        else:
            ttl = 0 if ttl >= 2**31 else ttl  # RFC 2181, section 8
            ttls.append(at + 4)
            least = min(least, ttl)
            if kind == SOA and answers <= number < answers + authorities and length >= 20:
                minimum = int.from_bytes(data[at + 10 + length - 4 : at + 10 + length])
                soa_ttl = min(ttl, minimum)  # RFC 2308, section 5
        at += 10 + length
        if kind != OPT:
            records_end = at
    truncated = bool(flags & TC)
    keep = least if ttls and not negative else soa_ttl
    kept = rcode in (Rcode.NOERROR, Rcode.NXDOMAIN) and not truncated and keep > 0
    if opt_at >= 0 and opt_at < records_end:
        records_end = at  # the OPT stands between others: it stays
    return Answer(data, rcode, truncated, tuple(ttls), keep if kept else 0, opt_at, records_end)


def reply(
    query: Query,
    answer: Answer,
    limit: int,
    age_s: int = 0,
    stale_ttl: int | None = None,
    extended: Extended | None = None,
    text: str = "",
) -> bytes:
    """An answer for this client: its id, its question in its letter case, TTLs less their age, our OPT.

    Over `limit` bytes it is cut to its question with TC set, so that the client asks again over TCP.
    """
    _, flags, questions, answers, authorities, additional = HEADER.unpack_from(answer.data)
    flags = (flags & ~RD) | QR | RA | (query.flags & RD)
    own_opt = answer.opt_at >= 0 and answer.opt_at >= answer.end
    if own_opt:
        additional -= 1
    body = bytearray(answer.data[: answer.end] if own_opt or answer.opt_at < 0 else answer.data)
    body[12 : 12 + len(query.question)] = query.question
    if age_s or stale_ttl is not None:
        for at in answer.ttls:
            left = stale_ttl if stale_ttl is not None else int.from_bytes(body[at : at + 4]) - age_s
            body[at : at + 4] = max(0, left).to_bytes(4)
    add_opt = query.edns and (own_opt or answer.opt_at < 0)
    if add_opt:
        body += opt(answer.rcode, query.dnssec, extended, text)
        additional += 1
    body[:12] = HEADER.pack(query.id, flags, 1, answers, authorities, additional)
    if len(body) <= limit:
        return bytes(body)
    return error(query, Rcode(0), flags=(flags & (AA | AD)) | TC)
