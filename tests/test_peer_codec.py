"""Datagrams between gateways: encoding round trips, and damaged datagrams are rejected."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sagetrack.peers.codec import (
    Datagram,
    Ping,
    Update,
    decode,
    encode,
)
from sagetrack.peers.errors import CodecError


@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_rejected_or_round_trip(data: bytes) -> None:
    with contextlib.suppress(CodecError):
        assert encode(decode(data)) == data


def test_a_datagram_with_one_flipped_bit_is_rejected() -> None:
    data = encode(Datagram(1, 7, [Ping(5, 2), Update(3, 1, 9, 1)]))
    assert decode(data).messages == [Ping(5, 2), Update(3, 1, 9, 1)]
    for bit in range(8 * len(data)):
        damaged = bytearray(data)
        damaged[bit // 8] ^= 1 << bit % 8
        with pytest.raises(CodecError):
            decode(bytes(damaged))
