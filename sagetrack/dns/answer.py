"""Parsing of upstream DNS responses, and their encoding for clients.

Only the TTLs and the OPT record are located; all other records are forwarded as bytes, as parsing them would
slow down the hot path. The response to a client has the client's id and its question in the client's letter
case. Implements RFC 1035 (messages), RFC 2181 (TTLs) and RFC 2308 (negative responses).
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

from sagetrack.dns.message import (
    AA,
    AD,
    HEADER,
    HEADER_BYTES,
    OPCODE_MASK,
    OPT,
    QR,
    RA,
    RCODE_MASK,
    RD,
    RECORD_HEADER_BYTES,
    SOA,
    TC,
    ExtendedError,
    MessageError,
    Query,
    Rcode,
    encode_error,
    encode_opt,
    lower_case,
    skip_name,
)

MAX_TTL_S = 86_400 * 7  # upper limit on the time that a response may be cached
TTL_OFFSET = 4  # offset of the TTL in a record header, after type and class
MIN_SOA_BYTES = 20  # an SOA record ends in five 32-bit numbers, of which MINIMUM is the last
CACHEABLE_RCODES = (Rcode.NOERROR, Rcode.NXDOMAIN)


@dataclass(slots=True, frozen=True)
class DnsResponse:
    """A response as received from upstream, with the offsets of its TTLs and its OPT record."""

    data: bytes
    rcode: int
    truncated: bool
    ttl_offsets: tuple[int, ...]
    ttl: int  # time in seconds that the response may be cached; 0 if it must not be cached
    opt_offset: int  # -1 if there is no OPT record
    records_end: int  # end of the records, excluding the OPT record if it is the last

    @property
    def size(self) -> int:
        """Size of the message in bytes."""
        return len(self.data)


def parse_response(data: bytes, query: Query, id_: int) -> DnsResponse | None:
    """Parse a response to a query.

    A response matches if it has the id that was sent and the same question, with the name in any letter
    case. An off-path attacker has to guess both, and the source port, to spoof one.

    Returns:
        The response; None if it does not match the query.

    Raises:
        MessageError: The response matches but is malformed.
    """
    if len(data) < HEADER_BYTES:
        return None
    received_id, flags, questions, answers, authorities, additional = HEADER.unpack_from(data)
    if received_id != id_ or not flags & QR or flags & OPCODE_MASK:
        return None
    end = HEADER_BYTES + len(query.question)
    if (
        questions != 1
        or lower_case(data[HEADER_BYTES : end - 4]) != query.name
        or data[end - 4 : end] != query.question[-4:]
    ):
        return None
    return read_records(data, flags, end, answers, authorities, additional)


def read_record_header(data: bytes, offset: int) -> tuple[int, int, int]:
    """Return type, TTL and data length of the record whose name ends at `offset`.

    Raises:
        MessageError: The record extends past the end of the message.
    """
    if offset + RECORD_HEADER_BYTES > len(data):
        raise MessageError("record header extends past the end of the message")
    rdtype, _, ttl, length = struct.unpack_from("!HHIH", data, offset)
    if offset + RECORD_HEADER_BYTES + length > len(data):
        raise MessageError("record data extends past the end of the message")
    return rdtype, ttl, length


def read_records(
    data: bytes, flags: int, offset: int, answers: int, authorities: int, additional: int
) -> DnsResponse:
    """Parse the records from `offset`, the end of the question; raises MessageError if one is incomplete."""
    rcode = flags & RCODE_MASK
    truncated = bool(flags & TC)
    ttl_offsets: list[int] = []
    min_ttl = MAX_TTL_S
    soa_ttl = -1
    opt_offset = -1
    records_end = offset
    for number in range(answers + authorities + additional):
        record_start = offset
        offset = skip_name(data, offset)
        rdtype, ttl, length = read_record_header(data, offset)
        if rdtype == OPT:
            opt_offset = record_start
            rcode |= (ttl >> 24) << 4
        else:
            ttl = 0 if ttl >= 2**31 else ttl  # a TTL with the top bit set counts as 0 (RFC 2181, section 8)
            ttl_offsets.append(offset + TTL_OFFSET)
            min_ttl = min(min_ttl, ttl)
            if rdtype == SOA and answers <= number < answers + authorities and length >= MIN_SOA_BYTES:
                minimum = int.from_bytes(
                    data[offset + RECORD_HEADER_BYTES + length - 4 : offset + RECORD_HEADER_BYTES + length]
                )
                soa_ttl = min(ttl, minimum)
        offset += RECORD_HEADER_BYTES + length
        if rdtype != OPT:
            records_end = offset
    if 0 <= opt_offset < records_end:
        records_end = offset  # the OPT record is not the last record, and cannot be cut off
    # A negative response is cached for the TTL that follows from its SOA record (RFC 2308, section 5).
    ttl = min_ttl if ttl_offsets and answers else soa_ttl
    is_cacheable = rcode in CACHEABLE_RCODES and not truncated and ttl > 0
    return DnsResponse(
        data, rcode, truncated, tuple(ttl_offsets), ttl if is_cacheable else 0, opt_offset, records_end
    )


def encode_response(
    query: Query,
    response: DnsResponse,
    max_bytes: int,
    age_s: int = 0,
    stale_ttl: int | None = None,
    extended_error: ExtendedError | None = None,
) -> bytes:
    """Encode a response for a client, with the id and question of its query and this gateway's OPT record.

    Args:
        query: The client's query.
        response: The response from upstream or from the cache.
        max_bytes: Largest response that the client accepts; a longer one is truncated to the question, with
            TC set.
        age_s: Time in the cache, which is subtracted from each TTL.
        stale_ttl: Replaces each TTL, if given.
        extended_error: Extended error for the OPT record.
    """
    _, flags, questions, answers, authorities, additional = HEADER.unpack_from(response.data)
    flags = (flags & ~RD) | QR | RA | (query.flags & RD)
    strips_opt = response.opt_offset >= 0 and response.opt_offset >= response.records_end
    if strips_opt:
        additional -= 1
    has_no_opt = strips_opt or response.opt_offset < 0
    body = bytearray(response.data[: response.records_end] if has_no_opt else response.data)
    body[HEADER_BYTES : HEADER_BYTES + len(query.question)] = query.question
    if age_s or stale_ttl is not None:
        for offset in response.ttl_offsets:
            ttl = stale_ttl if stale_ttl is not None else int.from_bytes(body[offset : offset + 4]) - age_s
            body[offset : offset + 4] = max(0, ttl).to_bytes(4)
    if query.has_edns and has_no_opt:
        body += encode_opt(response.rcode, query.dnssec_ok, extended_error)
        additional += 1
    body[:HEADER_BYTES] = HEADER.pack(query.id, flags, 1, answers, authorities, additional)
    if len(body) <= max_bytes:
        return bytes(body)
    return encode_error(query, Rcode.NOERROR, flags=(flags & (AA | AD)) | TC)
