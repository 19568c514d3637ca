"""Values of gRPC metadata: timeouts and binary fields."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sagetrack.grpc.errors import TranslationError
from sagetrack.grpc.metadata import decode_binary, encode_binary, format_timeout, parse_timeout_us


@given(st.integers(1, 10**15))
def test_a_formatted_timeout_has_at_most_eight_digits_and_is_rounded_down(us: int) -> None:
    text = format_timeout(us)
    assert (
        len(text) <= 9 and us * 0.98 - 1_000_000 <= parse_timeout_us(text) <= us
    ) or us >= 99_999_999 * 10**6


@pytest.mark.parametrize("text", ["", "5", "123456789S", "5x", "-1S", "1.5S", "\u0663S"])
def test_an_invalid_timeout_is_rejected(text: str) -> None:
    with pytest.raises(TranslationError):
        parse_timeout_us(text)


@given(st.binary(max_size=255))
def test_binary_values_are_decoded_with_and_without_padding(value: bytes) -> None:
    assert decode_binary(encode_binary(value)) == value
    assert decode_binary(encode_binary(value) + "=" * (-len(encode_binary(value)) % 4)) == value
