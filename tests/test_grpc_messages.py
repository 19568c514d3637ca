"""Framing of gRPC messages."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sagetrack.grpc.errors import MessageError
from sagetrack.grpc.messages import MAX_MESSAGE_BYTES, Unpacker, pack


@given(st.lists(st.binary(max_size=50), max_size=6), st.integers(1, 20))
def test_messages_are_unpacked_from_parts_of_any_size(messages: list[bytes], size: int) -> None:
    data, unpacker = b"".join(map(pack, messages)), Unpacker()
    unpacked = [m for at in range(0, len(data), size) for m in unpacker.feed(data[at : at + size])]
    assert unpacked == messages and not unpacker.incomplete_bytes


@pytest.mark.parametrize("data", [b"\1\0\0\0\1x", b"\0" + (MAX_MESSAGE_BYTES + 1).to_bytes(4)])
def test_compressed_and_oversized_messages_are_not_buffered(data: bytes) -> None:
    with pytest.raises(MessageError):
        list(Unpacker().feed(data))
