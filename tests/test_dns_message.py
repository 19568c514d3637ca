"""Reading and writing of DNS messages."""

from __future__ import annotations

import contextlib

import dns.edns
import dns.flags
import dns.message
import dns.rcode
import dns.rdatatype
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sagetrack.dns.answer import encode_response, parse_response
from sagetrack.dns.message import (
    MessageError,
    Rcode,
    encode_error,
    encode_error_for_unreadable,
    encode_upstream_query,
    parse_query,
)
from tests.dns_helpers import (
    query,
    response_to,
)


@given(st.binary(max_size=600))
def test_parsing_a_query_raises_only_message_errors(data: bytes) -> None:
    with contextlib.suppress(MessageError):
        parsed = parse_query(data)
        assert (
            dns.message.from_wire(encode_error(parsed, Rcode.SERVFAIL), ignore_trailing=True).id == parsed.id
        )
    for rcode in (Rcode.FORMERR, Rcode.BADVERS):
        response = encode_error_for_unreadable(data, rcode)
        assert response is None or len(response) <= max(23, len(data))


@settings(max_examples=400)
@given(st.integers(0, 200), st.integers(0, 255), st.integers(0, 200), st.binary(max_size=4))
def test_mutated_response_is_rejected_or_matches_the_query(at: int, byte: int, cut: int, tail: bytes) -> None:
    parsed_query = parse_query(query("b.example.", use_edns=0))
    wire = bytearray(response_to(encode_upstream_query(parsed_query, 77), records=3))
    wire[at % len(wire)] = byte
    data = bytes(wire[: len(wire) - cut % len(wire)]) + tail
    try:
        parsed = parse_response(data, parsed_query, 77)
    except MessageError:
        return
    if parsed is not None:
        assert (
            data[:2] == b"\0\x4d" and len(encode_response(parsed_query, parsed, 65_535, 5)) <= len(data) + 64
        )


@pytest.mark.parametrize(
    ("data", "rcode"),
    [
        (b"", None),
        (b"\0" * 11, None),
        (response_to(query()), None),
        (b"\0\1\x28\0\0\1\0\0\0\0\0\0" + query()[12:], Rcode.NOTIMP),
        (b"\0\1\0\0\0\2\0\0\0\0\0\0" + query()[12:] * 2, Rcode.FORMERR),
        (query()[:-1], Rcode.FORMERR),
        (b"\0\1\0\0\0\1\0\0\0\0\0\0\xc0\x0c\0\1\0\1", Rcode.FORMERR),
        (b"\0\1\0\0\0\1\0\0\0\0\0\0" + (b"\x3f" + b"a" * 63) * 4 + b"\x01e\0\0\1\0\1", Rcode.FORMERR),
        (query(rdtype="AXFR"), Rcode.NOTIMP),
        (query(use_edns=1), Rcode.BADVERS),
        (query(use_edns=0)[:-1], Rcode.FORMERR),
        (query(use_edns=0)[:-2] + b"\0\5\0\x0a\0\x09x", Rcode.FORMERR),
    ],
)
def test_invalid_query_raises_an_error_with_the_rcode(data: bytes, rcode: Rcode | None) -> None:
    with pytest.raises(MessageError) as caught:
        parse_query(data)
    assert caught.value.rcode == rcode


def test_compression_pointer_loop_is_not_followed() -> None:
    parsed_query = parse_query(query())
    wire = bytearray(response_to(encode_upstream_query(parsed_query, 5)))
    at = 12 + len(parsed_query.question)
    wire[at : at + 2] = (0xC000 | at).to_bytes(2)  # a name that points to itself: nobody follows it
    assert parse_response(bytes(wire), parsed_query, 5) is not None


def test_response_has_letter_case_of_the_query_and_ttls_reduced_by_age() -> None:
    parsed_query = parse_query(query("mIxEd.Example."))
    other = parse_query(query("MIXED.example.", use_edns=0, want_dnssec=False))
    assert parsed_query.cache_key == other.cache_key
    parsed_response = parse_response(
        response_to(encode_upstream_query(parsed_query, 9), ttl=100), parsed_query, 9
    )
    assert parsed_response is not None and parsed_response.ttl == 100
    response = dns.message.from_wire(encode_response(other, parsed_response, 65_535, age_s=40))
    assert response.id == other.id and response.question[0].name.to_text() == "MIXED.example."
    assert response.answer[0].ttl == 60 and response.edns == 0


def test_negative_response_is_cached_by_soa_ttl_and_failure_is_not_cached() -> None:
    parsed_query = parse_query(query())
    negative = parse_response(
        response_to(encode_upstream_query(parsed_query, 1), ttl=30, is_nxdomain=True), parsed_query, 1
    )
    failed = parse_response(response_to(encode_upstream_query(parsed_query, 1), rcode=2), parsed_query, 1)
    assert negative is not None and negative.ttl == 30 and negative.rcode == Rcode.NXDOMAIN
    assert failed is not None and failed.ttl == 0


def test_oversized_response_is_truncated_with_tc() -> None:
    parsed_query = parse_query(query())
    parsed_response = parse_response(
        response_to(encode_upstream_query(parsed_query, 1), records=100), parsed_query, 1
    )
    assert parsed_response is not None
    response = dns.message.from_wire(encode_response(parsed_query, parsed_response, 512))
    assert response.flags & dns.flags.TC and not response.answer
