"""DNS responses with records: their TTLs and OPT are found, the rest is forwarded as it is.

RFC 1035 (messages), RFC 2181 (TTLs), RFC 2308 (negative answers). A response is forwarded as bytes under the
client's id, question and letter case, as parsing it would cost the hot path.
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

MAX_TTL_S = 86_400 * 7  # longer TTLs count as this
TTL_OFFSET = 4  # of a record's TTL, behind its name
MIN_SOA_BYTES = 20  # of the data of an SOA record: its five numbers, of which MINIMUM is the last
CACHEABLE_RCODES = (Rcode.NOERROR, Rcode.NXDOMAIN)


@dataclass(slots=True, frozen=True)
class DnsResponse:
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


def parse_response(data: bytes, query: Query, id_: int) -> DnsResponse | None:
    """Read a response to a query; None if it is not a response to it.

    It needs the id that was sent and the same question, the name in any letter case: who forges one has to
    guess both, and the port.

    Raises:
        MessageError: It is malformed.
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
    """Type, TTL and length of the data of the record whose name ends at `offset`.

    Raises:
        MessageError: The record is incomplete.
    """
    if offset + RECORD_HEADER_BYTES > len(data):
        raise MessageError("a record is incomplete")
    rdtype, _, ttl, length = struct.unpack_from("!HHIH", data, offset)
    if offset + RECORD_HEADER_BYTES + length > len(data):
        raise MessageError("a record is incomplete")
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
            ttl = 0 if ttl >= 2**31 else ttl  # RFC 2181, section 8
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
        records_end = offset  # the OPT stands between others, and stays
    # A negative answer is cached by its SOA (RFC 2308, section 5).
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
    """Encode a response for a client: its id, its question in its letter case, and an OPT of this gateway.

    Args:
        query: The client's query.
        response: The response from upstream or the cache.
        max_bytes: Bytes that the client takes; a longer response is cut to its question with TC set.
        age_s: Subtracted from each TTL.
        stale_ttl: In place of each TTL.
        extended_error: Extended error for the OPT.
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
