"""Values of gRPC metadata: timeouts and binary fields."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sagetrack.grpc.errors import TranslationError
from sagetrack.grpc.metadata import decode_binary, encode_binary, format_timeout, parse_timeout_us


@given(st.integers(1, 10**15))
def test_a_time_out_has_eight_digits_and_is_never_longer_than_it_was(us: int) -> None:
    text = format_timeout(us)
    assert (
        len(text) <= 9 and us * 0.98 - 1_000_000 <= parse_timeout_us(text) <= us
    ) or us >= 99_999_999 * 10**6


@pytest.mark.parametrize("text", ["", "5", "123456789S", "5x", "-1S", "1.5S", "\u0663S"])
def test_a_time_out_that_is_none_is_named(text: str) -> None:
    with pytest.raises(TranslationError):
        parse_timeout_us(text)


@given(st.binary(max_size=255))
def test_binary_values_come_back_with_and_without_padding(value: bytes) -> None:
    assert decode_binary(encode_binary(value)) == value
    assert decode_binary(encode_binary(value) + "=" * (-len(encode_binary(value)) % 4)) == value
