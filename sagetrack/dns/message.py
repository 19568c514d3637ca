"""Parsing of DNS queries, and encoding of queries and of responses without records.

Implements RFC 1035 (messages and names), RFC 6891 (EDNS) and RFC 8914 (extended errors). The module `answer`
handles responses with records.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from sagetrack.dns.errors import DnsError

HEADER = struct.Struct("!HHHHHH")
HEADER_BYTES = HEADER.size
MAX_MESSAGE_BYTES = 65_535
MAX_LABEL_BYTES = 63
MAX_NAME_BYTES = 255
MAX_EXTRA_TEXT_BYTES = 64  # limit on the text of extended errors that this gateway sends
EDE_OPTION = 15  # option code of an extended DNS error (RFC 8914, section 2)
MIN_UDP_PAYLOAD_BYTES = 512  # largest UDP response if the query has no EDNS (RFC 1035, 4.2.1)
EDNS_UDP_PAYLOAD_BYTES = 1232  # UDP payload size that this gateway advertises (DNS Flag Day 2020)

# Record types
SOA = 6
OPT = 41
IXFR = 251
AXFR = 252

# Header flags (RFC 1035, 4.1.1; RFC 4035, 3.1.6 and 3.2.2)
QR = 0x8000  # set in responses, clear in queries
AA = 0x0400  # authoritative answer
TC = 0x0200  # truncated
RD = 0x0100  # recursion desired
RA = 0x0080  # recursion available
AD = 0x0020  # authentic data
CD = 0x0010  # checking disabled
OPCODE_MASK = 0x7800
RCODE_MASK = 0xF

DO_FLAG = 0x8000  # DNSSEC OK, in the TTL field of an OPT record (RFC 6891, 6.1.3)
RECORD_HEADER_BYTES = 10  # type, class, TTL and data length, which follow the name of a record
COMPRESSION_POINTER = 0xC0  # a length byte of at least this value starts a compression pointer


class Rcode(IntEnum):
    """Response codes (RFC 1035, 4.1.1; RFC 6891, section 9)."""

    NOERROR = 0
    FORMERR = 1
    SERVFAIL = 2
    NXDOMAIN = 3
    NOTIMP = 4
    REFUSED = 5
    BADVERS = 16


class ExtendedError(IntEnum):
    """Info codes of extended DNS errors (RFC 8914)."""

    OTHER = 0
    STALE_ANSWER = 3
    NOT_READY = 14
    PROHIBITED = 18
    STALE_NXDOMAIN = 19
    NOT_AUTHORITATIVE = 20
    NO_REACHABLE_AUTHORITY = 22
    NETWORK_ERROR = 23


class MessageError(DnsError):
    """Raised for a malformed or unsupported message.

    Args:
        reason: Describes the fault.
        rcode: The response code for the sender; None if no response is sent.
    """

    def __init__(self, reason: str, rcode: Rcode | None = None) -> None:
        super().__init__(reason)
        self.rcode = rcode


@dataclass(slots=True, frozen=True)
class Query:
    """A parsed query of a client."""

    id: int
    flags: int
    question: bytes  # name in the sender's letter case, type and class, as received
    name: bytes  # the queried name in wire format and lower case
    type: int
    query_class: int
    has_edns: bool = False
    udp_payload_bytes: int = MIN_UDP_PAYLOAD_BYTES  # largest UDP response that the sender accepts
    dnssec_ok: bool = False  # the DO bit

    @property
    def cache_key(self) -> tuple[bytes, int, int, int]:
        """A key that is equal for queries that can share a response."""
        return self.name, self.type, self.query_class, (self.flags & (RD | CD)) | self.dnssec_ok


class Edns(NamedTuple):
    """EDNS parameters of a query (RFC 6891).

    Attributes:
        is_present: True if the query has an OPT record.
        udp_payload_bytes: The size of the largest UDP response that the sender accepts.
        dnssec_ok: The DO bit.
    """

    is_present: bool
    udp_payload_bytes: int
    dnssec_ok: bool


NO_EDNS = Edns(False, MIN_UDP_PAYLOAD_BYTES, False)


def skip_name(data: bytes, offset: int) -> int:
    """Return the offset after a name, which may be compressed (RFC 1035, 4.1.4).

    Compression pointers are not followed.

    Raises:
        MessageError: The name extends past the end of the message, or has a label of an unknown type.
    """
    while True:
        if offset >= len(data):
            raise MessageError("name extends past the end of the message")
        length = data[offset]
        if length >= COMPRESSION_POINTER:
            if offset + 2 > len(data):
                raise MessageError("compression pointer extends past the end of the message")
            return offset + 2
        if length > MAX_LABEL_BYTES:
            raise MessageError("unknown label type in a name")
        offset += 1 + length
        if length == 0:
            return offset


def parse_query(data: bytes) -> Query:
    """Parse a query.

    Raises:
        MessageError: The message is malformed or unsupported; `data` can cause no other exception.
    """
    if len(data) < HEADER_BYTES:
        raise MessageError("message shorter than a DNS header")
    id_, flags, questions, answers, authorities, additional = HEADER.unpack_from(data)
    if flags & QR:
        raise MessageError("message is a response, not a query")
    if flags & OPCODE_MASK:
        raise MessageError("unsupported opcode, only QUERY is supported", Rcode.NOTIMP)
    if questions != 1 or answers or authorities:
        raise MessageError(
            f"query with {questions} questions; exactly one, and no answer or authority record, is allowed",
            Rcode.FORMERR,
        )
    try:
        name_end = skip_question_name(data)
        rdtype, query_class = struct.unpack_from("!HH", data, name_end)
    except (IndexError, struct.error):
        raise MessageError("question extends past the end of the message", Rcode.FORMERR) from None
    end = name_end + 4
    question = data[HEADER_BYTES:end]
    name = lower_case(data[HEADER_BYTES:name_end])
    edns = parse_edns(data, end, additional) if additional else NO_EDNS
    if rdtype in (AXFR, IXFR):
        raise MessageError("zone transfers are not supported", Rcode.NOTIMP)
    return Query(
        id_,
        flags,
        question,
        name,
        rdtype,
        query_class,
        edns.is_present,
        edns.udp_payload_bytes,
        edns.dnssec_ok,
    )


def skip_question_name(data: bytes) -> int:
    """Return the offset after the name of the question.

    The name cannot be compressed, as no name precedes it that a pointer could refer to.

    Raises:
        MessageError: The name is compressed or too long.
        IndexError: The name extends past the end of the message.
    """
    offset = HEADER_BYTES
    while (length := data[offset]) != 0:
        if length > MAX_LABEL_BYTES:
            raise MessageError("compressed name in the question", Rcode.FORMERR)
        offset += 1 + length
        if offset - HEADER_BYTES >= MAX_NAME_BYTES:
            raise MessageError("name in the question is longer than 255 bytes", Rcode.FORMERR)
    return offset + 1


def parse_edns(data: bytes, offset: int, additional: int) -> Edns:
    """Parse the additional section of a query.

    Args:
        data: The message.
        offset: Start of the section.
        additional: Number of records in the section.

    Raises:
        MessageError: The section is malformed, or the EDNS version is unsupported.
    """
    edns = NO_EDNS
    for _ in range(additional):
        try:
            offset = skip_name(data, offset)
            rdtype, payload_bytes, ttl, length = struct.unpack_from("!HHIH", data, offset)
        except (MessageError, struct.error):
            raise MessageError("truncated record in the additional section", Rcode.FORMERR) from None
        options_start = offset + RECORD_HEADER_BYTES
        end = options_start + length
        if end > len(data):
            raise MessageError("truncated record in the additional section", Rcode.FORMERR)
        if rdtype == OPT:
            if edns.is_present or data[offset - 1] != 0:
                raise MessageError("more than one OPT record, or one with a name", Rcode.FORMERR)
            edns = Edns(True, max(MIN_UDP_PAYLOAD_BYTES, payload_bytes), bool(ttl & DO_FLAG))
            if ttl >> 16 & 0xFF:
                raise MessageError("unsupported EDNS version, only 0 is supported", Rcode.BADVERS)
            if not are_options_complete(data[options_start:end]):
                raise MessageError("truncated EDNS option", Rcode.FORMERR)
        offset = end
    return edns


def lower_case(name: bytes) -> bytes:
    """Return a name in wire format in lower case, for comparison.

    The length bytes of labels are unchanged: they are below 64, and capital letters start at 65.
    """
    return name.lower()


def are_options_complete(data: bytes) -> bool:
    """Return whether the EDNS options fill the data of their record exactly."""
    offset = 0
    while offset < len(data):
        if offset + 4 > len(data):
            return False
        offset += 4 + int.from_bytes(data[offset + 2 : offset + 4])
    return offset == len(data)


def encode_opt(
    rcode: int, dnssec_ok: bool, extended_error: ExtendedError | None = None, extra_text: str = ""
) -> bytes:
    """Encode an OPT record (RFC 6891, 6.1), with an extended DNS error (RFC 8914) if one is given."""
    options = b""
    if extended_error is not None:
        encoded_text = extra_text.encode()[:MAX_EXTRA_TEXT_BYTES]
        options = struct.pack("!HHH", EDE_OPTION, 2 + len(encoded_text), extended_error) + encoded_text
    ttl = (rcode >> 4) << 24 | (DO_FLAG if dnssec_ok else 0)
    return b"\0" + struct.pack("!HHIH", OPT, EDNS_UDP_PAYLOAD_BYTES, ttl, len(options)) + options


def encode_error(
    query: Query,
    rcode: Rcode,
    extended_error: ExtendedError | None = None,
    extra_text: str = "",
    flags: int = 0,
) -> bytes:
    """Encode a response to a query that has no records besides OPT."""
    flags |= QR | RA | (query.flags & (RD | CD | OPCODE_MASK)) | (rcode & RCODE_MASK)
    tail = encode_opt(rcode, query.dnssec_ok, extended_error, extra_text) if query.has_edns else b""
    return HEADER.pack(query.id, flags, 1, 0, 0, int(query.has_edns)) + query.question + tail


def encode_error_for_invalid(data: bytes, rcode: Rcode) -> bytes | None:
    """Encode a response to a message of which only the header can be parsed.

    Returns:
        The response; None if the message is shorter than a header or is itself a response.
    """
    if len(data) < HEADER_BYTES or data[2] & 0x80:
        return None
    id_, flags = struct.unpack_from("!HH", data)
    head = HEADER.pack(
        id_, QR | (flags & (RD | OPCODE_MASK)) | (rcode & RCODE_MASK), 0, 0, 0, int(rcode > RCODE_MASK)
    )
    return head + (encode_opt(rcode, False) if rcode > RCODE_MASK else b"")


def encode_upstream_query(query: Query, id_: int) -> bytes:
    """Encode a query for an upstream server.

    The client's EDNS options are not forwarded, as they apply to one hop only (RFC 6891, 6.2.6).
    """
    flags = query.flags & (RD | CD | AD)
    return HEADER.pack(id_, flags, 1, 0, 0, 1) + query.question + encode_opt(0, query.dnssec_ok)
