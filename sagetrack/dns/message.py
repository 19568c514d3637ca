"""DNS messages: header, question and EDNS(0) are parsed, the rest is forwarded as it is.

RFC 1035 (messages, names), RFC 2181 (TTLs), RFC 6891 (EDNS), RFC 8914 (extended errors). A response is
forwarded as bytes under the client's id, question and letter case, as parsing it would cost the hot path.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

from sagetrack.dns.errors import DnsError

HEADER = struct.Struct("!HHHHHH")
HEADER_BYTES = HEADER.size
MAX_MESSAGE_BYTES = 65_535
MAX_LABEL_BYTES = 63
MAX_TTL_S = 86_400 * 7  # longer TTLs count as this
MAX_NAME_BYTES = 255
MAX_EXTRA_TEXT_BYTES = 64  # of an extended error that this gateway sends
EDE_OPTION = 15  # RFC 8914, section 2
MIN_UDP_PAYLOAD_BYTES = 512  # of a UDP response without EDNS (RFC 1035, 4.2.1)
EDNS_UDP_PAYLOAD_BYTES = 1232  # of a UDP response that is offered to be taken (DNS Flag Day 2020)
OPT, SOA, NS, ANY, AXFR, IXFR = 41, 6, 2, 255, 252, 251
QR, AA, TC, RD, RA, AD, CD = 0x8000, 0x0400, 0x0200, 0x0100, 0x0080, 0x0020, 0x0010
OPCODE_MASK = 0x7800
COMPRESSION_POINTER = 0xC0


class Rcode(IntEnum):
    """Response codes (RFC 1035, 4.1.1; RFC 6891, section 9)."""

    NOERROR = 0
    FORMERR = 1
    SERVFAIL = 2
    NXDOMAIN = 3
    NOTIMP = 4
    REFUSED = 5
    BADVERS = 16


CACHEABLE_RCODES = (Rcode.NOERROR, Rcode.NXDOMAIN)


class ExtendedError(IntEnum):
    """Info codes of extended errors (RFC 8914)."""

    OTHER = 0
    STALE_ANSWER = 3
    NOT_READY = 14
    PROHIBITED = 18
    STALE_NXDOMAIN = 19
    NOT_AUTHORITATIVE = 20
    NO_REACHABLE_AUTHORITY = 22
    NETWORK_ERROR = 23


class MessageError(DnsError):
    """A message that cannot be used.

    Args:
        reason: What is wrong with it.
        rcode: For the response to its sender; None if there is to be none.
    """

    def __init__(self, reason: str, rcode: Rcode | None = None) -> None:
        super().__init__(reason)
        self.rcode = rcode


@dataclass(slots=True, frozen=True)
class Query:
    """One question of a client."""

    id: int
    flags: int
    question: bytes  # as it came: name in the sender's letter case, type and class
    name: bytes  # in lower case, in wire form
    type: int
    query_class: int
    edns: bool = False
    size: int = MIN_UDP_PAYLOAD_BYTES  # of a UDP response that the sender takes
    dnssec: bool = False  # the DO bit

    @property
    def cache_key(self) -> tuple[bytes, int, int, int]:
        """Equal for queries that have the same answer."""
        return self.name, self.type, self.query_class, (self.flags & (RD | CD)) | self.dnssec


def skip_name(data: bytes, at: int) -> int:
    """Offset behind a name that may be compressed (RFC 1035, 4.1.4).

    Raises:
        MessageError: The name runs out of the message, or has a label of unknown kind.
    """
    while True:
        if at >= len(data):
            raise MessageError("a name runs out of the message")
        length = data[at]
        if length >= COMPRESSION_POINTER:
            if at + 2 > len(data):
                raise MessageError("a pointer runs out of the message")
            return at + 2
        if length > MAX_LABEL_BYTES:
            raise MessageError("a label of unknown kind")
        at += 1 + length
        if length == 0:
            return at


def parse_query(data: bytes) -> Query:
    """Read a query.

    Raises:
        MessageError: It is none that can be answered; nothing else is raised, whatever the bytes.
    """
    if len(data) < HEADER_BYTES:
        raise MessageError("shorter than a header")
    id_, flags, questions, answers, authorities, additional = HEADER.unpack_from(data)
    if flags & QR:
        raise MessageError("an answer, not a query")
    if flags & OPCODE_MASK:
        raise MessageError("another operation than QUERY", Rcode.NOTIMP)
    if questions != 1 or answers or authorities:
        raise MessageError(f"{questions} questions", Rcode.FORMERR)
    try:
        name_end = skip_question_name(data)
        type_, query_class = struct.unpack_from("!HH", data, name_end)
    except (IndexError, struct.error):
        raise MessageError("the question is incomplete", Rcode.FORMERR) from None
    end = name_end + 4
    question = data[HEADER_BYTES:end]
    name = lower_case(data[HEADER_BYTES:name_end])
    edns, size, dnssec = False, MIN_UDP_PAYLOAD_BYTES, False
    if additional:
        edns, size, dnssec = parse_edns(data, end, additional)
    if type_ in (AXFR, IXFR):
        raise MessageError("zone transfers are not made here", Rcode.NOTIMP)
    return Query(id_, flags, question, name, type_, query_class, edns, size, dnssec)


def skip_question_name(data: bytes) -> int:
    """Offset behind the question's name, which is not compressed: there is nothing before it to point to.

    Raises:
        MessageError: The name is compressed or too long.
        IndexError: The name runs out of the message.
    """
    at = HEADER_BYTES
    while (length := data[at]) != 0:
        if length > MAX_LABEL_BYTES:
            raise MessageError("a question's name is compressed", Rcode.FORMERR)
        at += 1 + length
        if at - HEADER_BYTES >= MAX_NAME_BYTES:
            raise MessageError("a name is too long", Rcode.FORMERR)
    return at + 1


def parse_edns(data: bytes, at: int, additional: int) -> tuple[bool, int, bool]:
    """Read a query's additional section (RFC 6891): whether it has EDNS, the UDP payload size, the DO bit.

    Raises:
        MessageError: The section is malformed, or the version of EDNS unknown.
    """
    edns, size, dnssec = False, MIN_UDP_PAYLOAD_BYTES, False
    for _ in range(additional):
        try:
            at = skip_name(data, at)
            kind, size_, ttl, length = struct.unpack_from("!HHIH", data, at)
        except (MessageError, struct.error):
            raise MessageError("the additional section is incomplete", Rcode.FORMERR) from None
        if at + 10 + length > len(data):
            raise MessageError("the additional section is incomplete", Rcode.FORMERR)
        if kind == OPT:
            if edns or data[at - 1] != 0:
                raise MessageError("more than one OPT, or one with a name", Rcode.FORMERR)
            edns, size, dnssec = True, max(MIN_UDP_PAYLOAD_BYTES, size_), bool(ttl & 0x8000)
            if ttl >> 16 & 0xFF:
                raise MessageError("an unknown version of EDNS", Rcode.BADVERS)
            if not are_options_complete(data[at + 10 : at + 10 + length]):
                raise MessageError("an EDNS option is incomplete", Rcode.FORMERR)
        at += 10 + length
    return edns, size, dnssec


def lower_case(name: bytes) -> bytes:
    """A name for comparison. Lengths of labels are below 64, and so none is taken for a capital letter."""
    return name.lower()


def are_options_complete(data: bytes) -> bool:
    """Whether the EDNS options fill their record exactly."""
    at = 0
    while at < len(data):
        if at + 4 > len(data):
            return False
        at += 4 + int.from_bytes(data[at + 2 : at + 4])
    return at == len(data)


def encode_opt(rcode: int, dnssec: bool, extended: ExtendedError | None = None, text: str = "") -> bytes:
    """Encode an OPT record (RFC 6891, 6.1), with an extended error (RFC 8914) if one is given."""
    options = b""
    if extended is not None:
        extra_text = text.encode()[:MAX_EXTRA_TEXT_BYTES]
        options = struct.pack("!HHH", EDE_OPTION, 2 + len(extra_text), extended) + extra_text
    ttl = (rcode >> 4) << 24 | (0x8000 if dnssec else 0)
    return b"\0" + struct.pack("!HHIH", OPT, EDNS_UDP_PAYLOAD_BYTES, ttl, len(options)) + options


def encode_error(
    query: Query, rcode: Rcode, extended: ExtendedError | None = None, text: str = "", flags: int = 0
) -> bytes:
    """Encode a response without records."""
    flags |= QR | RA | (query.flags & (RD | CD | OPCODE_MASK)) | (rcode & 0xF)
    tail = encode_opt(rcode, query.dnssec, extended, text) if query.edns else b""
    return HEADER.pack(query.id, flags, 1, 0, 0, int(query.edns)) + query.question + tail


def encode_error_for_unreadable(data: bytes, rcode: Rcode) -> bytes | None:
    """Encode the response to a message of which only the header is readable; None if not even that is."""
    if len(data) < HEADER_BYTES or data[2] & 0x80:
        return None
    id_, flags = struct.unpack_from("!HH", data)
    head = HEADER.pack(id_, QR | (flags & (RD | OPCODE_MASK)) | (rcode & 0xF), 0, 0, 0, int(rcode > 15))
    return head + (encode_opt(rcode, False) if rcode > 15 else b"")


def encode_upstream_query(query: Query, id_: int) -> bytes:
    """Encode the query for an upstream server.

    The client's EDNS options are not forwarded: they are for one hop (RFC 6891, 6.2.6).
    """
    flags = query.flags & (RD | CD | AD)
    return HEADER.pack(id_, flags, 1, 0, 0, 1) + query.question + encode_opt(0, query.dnssec)


@dataclass(slots=True, frozen=True)
class Answer:
    """A response as it came from upstream, and where its TTLs stand."""

    data: bytes
    rcode: int
    truncated: bool
    ttl_offsets: tuple[int, ...]
    ttl: int  # for how long it may be cached, in seconds; 0: not at all
    opt_offset: int  # -1: it has no OPT record
    records_end: int  # of its records, without the OPT if that is the last

    @property
    def size(self) -> int:
        """Bytes of the message."""
        return len(self.data)


def parse_answer(data: bytes, query: Query, id_: int) -> Answer | None:
    """Read a response to a query; None if it is not a response to it.

    It needs the id that was sent and the same question, the name in any letter case: who forges one has to
    guess both, and the port.

    Raises:
        MessageError: It is malformed.
    """
    if len(data) < HEADER_BYTES:
        return None
    id_received, flags, questions, answers, authorities, additional = HEADER.unpack_from(data)
    if id_received != id_ or not flags & QR or flags & OPCODE_MASK:
        return None
    end = HEADER_BYTES + len(query.question)
    if (
        questions != 1
        or lower_case(data[HEADER_BYTES : end - 4]) != query.name
        or data[end - 4 : end] != query.question[-4:]
    ):
        return None
    return read_records(data, flags, end, answers, authorities, additional)


def read_records(data: bytes, flags: int, at: int, answers: int, authorities: int, additional: int) -> Answer:
    """Walk over the records of a response, from the end of its question.

    Raises:
        MessageError: A record is incomplete.
    """
    rcode, truncated = flags & 0xF, bool(flags & TC)
    ttl_offsets: list[int] = []
    min_ttl, soa_ttl = MAX_TTL_S, -1
    opt_offset, records_end = -1, at
    for number in range(answers + authorities + additional):
        record = at
        at = skip_name(data, at)
        if at + 10 > len(data):
            raise MessageError("a record is incomplete")
        kind, _, ttl, length = struct.unpack_from("!HHIH", data, at)
        if at + 10 + length > len(data):
            raise MessageError("a record is incomplete")
        if kind == OPT:
            opt_offset, rcode = record, rcode | (ttl >> 24) << 4
        else:
            ttl = 0 if ttl >= 2**31 else ttl  # RFC 2181, section 8
            ttl_offsets.append(at + 4)
            min_ttl = min(min_ttl, ttl)
            if kind == SOA and answers <= number < answers + authorities and length >= 20:
                minimum = int.from_bytes(data[at + 10 + length - 4 : at + 10 + length])
                soa_ttl = min(ttl, minimum)
        at += 10 + length
        if kind != OPT:
            records_end = at
    if 0 <= opt_offset < records_end:
        records_end = at  # the OPT stands between others, and stays
    # A negative answer is cached by its SOA (RFC 2308, section 5).
    ttl = min_ttl if ttl_offsets and answers else soa_ttl
    cacheable = rcode in CACHEABLE_RCODES and not truncated and ttl > 0
    return Answer(
        data, rcode, truncated, tuple(ttl_offsets), ttl if cacheable else 0, opt_offset, records_end
    )


def encode_reply(
    query: Query,
    answer: Answer,
    limit: int,
    age_s: int = 0,
    stale_ttl: int | None = None,
    extended: ExtendedError | None = None,
) -> bytes:
    """Encode a response for a client: its id, its question in its letter case, and an OPT of this gateway.

    Args:
        query: The client's query.
        answer: The response from upstream or the cache.
        limit: Bytes that the client takes; a longer response is cut to its question with TC set.
        age_s: Subtracted from each TTL.
        stale_ttl: In place of each TTL.
        extended: Extended error for the OPT.
    """
    _, flags, questions, answers, authorities, additional = HEADER.unpack_from(answer.data)
    flags = (flags & ~RD) | QR | RA | (query.flags & RD)
    strips_opt = answer.opt_offset >= 0 and answer.opt_offset >= answer.records_end
    if strips_opt:
        additional -= 1
    has_no_opt = strips_opt or answer.opt_offset < 0
    body = bytearray(answer.data[: answer.records_end] if has_no_opt else answer.data)
    body[HEADER_BYTES : HEADER_BYTES + len(query.question)] = query.question
    if age_s or stale_ttl is not None:
        for at in answer.ttl_offsets:
            left = stale_ttl if stale_ttl is not None else int.from_bytes(body[at : at + 4]) - age_s
            body[at : at + 4] = max(0, left).to_bytes(4)
    if query.edns and has_no_opt:
        body += encode_opt(answer.rcode, query.dnssec, extended)
        additional += 1
    body[:HEADER_BYTES] = HEADER.pack(query.id, flags, 1, answers, authorities, additional)
    if len(body) <= limit:
        return bytes(body)
    return encode_error(query, Rcode.NOERROR, flags=(flags & (AA | AD)) | TC)
