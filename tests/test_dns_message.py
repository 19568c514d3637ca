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

from sagetrack.dns.answer import encode_reply, parse_answer
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
def test_no_bytes_break_the_reading_of_a_query(data: bytes) -> None:
    with contextlib.suppress(MessageError):
        made = parse_query(data)
        assert dns.message.from_wire(encode_error(made, Rcode.SERVFAIL), ignore_trailing=True).id == made.id
    for rcode in (Rcode.FORMERR, Rcode.BADVERS):
        said = encode_error_for_unreadable(data, rcode)
        assert said is None or len(said) <= max(23, len(data))


@settings(max_examples=400)
@given(st.integers(0, 200), st.integers(0, 255), st.integers(0, 200), st.binary(max_size=4))
def test_no_mutated_answer_breaks_or_passes_for_another(at: int, byte: int, cut: int, tail: bytes) -> None:
    asked = parse_query(query("b.example.", use_edns=0))
    wire = bytearray(response_to(encode_upstream_query(asked, 77), records=3))
    wire[at % len(wire)] = byte
    data = bytes(wire[: len(wire) - cut % len(wire)]) + tail
    try:
        made = parse_answer(data, asked, 77)
    except MessageError:
        return
    if made is not None:
        assert data[:2] == b"\0\x4d" and len(encode_reply(asked, made, 65_535, 5)) <= len(data) + 64


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
        (query(kind="AXFR"), Rcode.NOTIMP),
        (query(use_edns=1), Rcode.BADVERS),
        (query(use_edns=0)[:-1], Rcode.FORMERR),
        (query(use_edns=0)[:-2] + b"\0\5\0\x0a\0\x09x", Rcode.FORMERR),
    ],
)
def test_a_query_that_cannot_be_answered_gets_an_error_with_the_reason(
    data: bytes, rcode: Rcode | None
) -> None:
    with pytest.raises(MessageError) as caught:
        parse_query(data)
    assert caught.value.rcode == rcode


def test_a_pointer_loop_in_an_answer_ends() -> None:
    asked = parse_query(query())
    wire = bytearray(response_to(encode_upstream_query(asked, 5)))
    at = 12 + len(asked.question)
    wire[at : at + 2] = (0xC000 | at).to_bytes(2)  # a name that points to itself: nobody follows it
    assert parse_answer(bytes(wire), asked, 5) is not None


def test_letter_case_is_the_clients_and_ttls_are_less_their_age() -> None:
    asked = parse_query(query("mIxEd.Example."))
    other = parse_query(query("MIXED.example.", use_edns=0, want_dnssec=False))
    assert asked.cache_key == other.cache_key
    answer = parse_answer(response_to(encode_upstream_query(asked, 9), ttl=100), asked, 9)
    assert answer is not None and answer.ttl == 100
    said = dns.message.from_wire(encode_reply(other, answer, 65_535, age_s=40))
    assert said.id == other.id and said.question[0].name.to_text() == "MIXED.example."
    assert said.answer[0].ttl == 60 and said.edns == 0


def test_a_negative_answer_is_kept_by_its_soa_and_a_failure_not_at_all() -> None:
    asked = parse_query(query())
    negative = parse_answer(response_to(encode_upstream_query(asked, 1), ttl=30, is_nxdomain=True), asked, 1)
    failed = parse_answer(response_to(encode_upstream_query(asked, 1), rcode=2), asked, 1)
    assert negative is not None and negative.ttl == 30 and negative.rcode == Rcode.NXDOMAIN
    assert failed is not None and failed.ttl == 0


def test_what_does_not_fit_is_cut_with_tc() -> None:
    asked = parse_query(query())
    answer = parse_answer(response_to(encode_upstream_query(asked, 1), records=100), asked, 1)
    assert answer is not None
    said = dns.message.from_wire(encode_reply(asked, answer, 512))
    assert said.flags & dns.flags.TC and not said.answer
