"""Translation between HTTP/1.1 and gRPC."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sagetrack.grpc.errors import TranslationError
from sagetrack.grpc.metadata import decode_binary
from sagetrack.grpc.translate import (
    request_to_grpc,
    request_to_http1,
    response_to_grpc,
    response_to_http1,
    untranslatable_reason,
)
from tests.grpc_helpers import (
    HEAD,
)

NAMES = st.text("abcXYZ019-_.!#$%&'*+^`|~", min_size=1, max_size=20).map(lambda n: b"X-T-" + n.encode())

VALUES = st.binary(max_size=60).map(
    lambda v: bytes(b for b in v if b == 9 or 32 <= b < 127 or b >= 128).strip(b" \t")
)


@given(
    st.lists(st.tuples(NAMES, VALUES), max_size=12),
    st.binary(max_size=300),
    st.binary(min_size=1, max_size=255).map(lambda v: bytes(33 + b % 94 for b in v)),
    st.text("abc/%20?=&~", max_size=40),
)
def test_requests_and_responses_are_unchanged_after_translation_both_ways(
    fields: list[tuple[bytes, bytes]], body: bytes, key: bytes, tail: str
) -> None:
    lines = [*fields, (b"Idempotency-KEY", key)]
    head = HEAD.replace(b"/hold/7", b"/hold/" + tail.encode())
    head += b"".join(b"%s: %s\r\n" % line for line in lines)
    headers, message = request_to_grpc(head, body, None, 1_500_000, "h:1")
    metadata = dict(headers)
    assert (
        metadata["grpc-timeout"] == "1500000u"
        and metadata["x-caller"] == "acme"
        and metadata["x-call-id"] == "a1"
    )
    assert decode_binary(metadata["idempotency-key-bin"]) == key
    translated_head, translated_body, length, budget = request_to_http1(headers, message)
    assert translated_head == head + b"Content-Length: %d\r\n" % len(body)
    assert (translated_body, length, budget) == (body, None, 1_500_000)
    response, _ = response_to_http1(response_to_grpc(fields, body))
    assert (response.headers, response.body) == (fields, body)


def test_an_idempotency_key_of_255_printable_characters_is_unchanged() -> None:
    key = (bytes(range(33, 127)) * 3)[:255]
    headers, message = request_to_grpc(HEAD + b"Idempotency-Key: %s\r\n" % key, b"", None, 1, "h")
    assert b"Idempotency-Key: " + key in request_to_http1(headers, message)[0]


@pytest.mark.parametrize(
    ("line", "expected_text"),
    [(b"X-Caller: \xe9\r\n", "X-Caller"), (b"X-Odd: a\x01\r\n", "X-Odd"), (b"no colon\r\n", "no colon")],
)
def test_the_reason_names_a_field_that_cannot_be_translated(line: bytes, expected_text: str) -> None:
    reason = untranslatable_reason(HEAD + line)
    assert reason is not None and expected_text in reason and untranslatable_reason(HEAD) is None


@pytest.mark.parametrize(
    "message",
    [b"\xff\xff", response_to_grpc([(b"bad name", b"x")], b""), response_to_grpc([(b"a", b"x\r\n")], b"")],
)
def test_an_untranslatable_response_is_an_error(message: bytes) -> None:
    with pytest.raises(TranslationError):
        response_to_http1(message)
