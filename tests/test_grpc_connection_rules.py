"""Timeouts and limits of a connection, and decoding of a response, without a socket."""

from __future__ import annotations

import pytest

from sagetrack.grpc.calls_pb2 import Answer
from sagetrack.grpc.errors import MessageError, TranslationError
from sagetrack.grpc.flood_guard import MAX_CONTROL_FRAMES_PER_S, FloodGuard
from sagetrack.grpc.liveness import IDLE_TIMEOUT_S, MAX_AGE_S, PING_AFTER_S, PING_TIMEOUT_S, Liveness
from sagetrack.grpc.messages import pack
from sagetrack.grpc.response_reader import BUFFERED_RESPONSE_BYTES, ResponseReader
from sagetrack.policy.events import Outcome

SECOND_US = 1_000_000


def test_an_idle_or_old_connection_drains() -> None:
    liveness = Liveness(SECOND_US)
    liveness.on_idle(5 * SECOND_US)
    limit = int((5 + IDLE_TIMEOUT_S) * SECOND_US)
    assert not liveness.should_drain(limit, True) and liveness.should_drain(limit + 1, True)
    assert not liveness.should_drain(limit + 1, False)
    old = int((1 + MAX_AGE_S) * SECOND_US)
    assert not liveness.should_drain(old, False) and liveness.should_drain(old + 1, False)


def test_a_silent_connection_is_pinged_once_and_times_out_without_an_acknowledgement() -> None:
    liveness = Liveness(SECOND_US)
    due = int((1 + PING_AFTER_S) * SECOND_US) + 1
    assert not liveness.ping_due(due - 1) and liveness.ping_due(due)
    liveness.on_ping_sent(due)
    assert not liveness.ping_due(due + 1)
    late = due + int(PING_TIMEOUT_S * SECOND_US) + 1
    assert not liveness.ping_timed_out(late - 1) and liveness.ping_timed_out(late)
    liveness.on_ping_ack()
    liveness.on_received(late)
    assert not liveness.ping_timed_out(late) and not liveness.ping_due(late)


def test_control_frames_and_resets_are_limited_in_windows_of_one_second() -> None:
    guard = FloodGuard(0, max_resets_per_s=2)
    assert [guard.record(1, resets=1) for _ in range(3)] == [False, False, True]
    assert not guard.record(SECOND_US + 1, resets=1)
    guard = FloodGuard(0)
    exceeded = [guard.record(SECOND_US, control_frames=1) for _ in range(MAX_CONTROL_FRAMES_PER_S + 1)]
    assert exceeded.count(True) == 1 and exceeded[-1]
    assert not guard.record(2 * SECOND_US + 2, control_frames=1)
    assert not any(guard.record(2 * SECOND_US + 2, resets=1) for _ in range(5000))


def response(trailers: dict[str, str], *messages: Answer) -> ResponseReader:
    reader = ResponseReader()
    for message in messages:
        for chunk in reader.feed(pack(message.SerializeToString())):
            reader.buffer(chunk)
    reader.add_headers(iter(trailers.items()))
    return reader


def test_a_response_is_complete_with_its_announced_length_and_status() -> None:
    complete = response({"grpc-status": "0"}, Answer(body=b"ab", length=3), Answer(body=b"c"))
    assembled = complete.response()
    assert complete.outcome() is Outcome.OK and assembled is not None and assembled.body == b"abc"
    for trailers, messages in (
        ({"grpc-status": "0"}, [Answer(body=b"ab", length=3)]),
        ({"grpc-status": "0", ":status": "500"}, [Answer(body=b"a")]),
        ({"grpc-status": "\u0660"}, [Answer(body=b"a")]),
        ({}, [Answer(body=b"a")]),
        ({"grpc-status": "0"}, []),
    ):
        assert response(trailers, *messages).outcome() is Outcome.ERROR
    rejected = {"grpc-status": "8", "x-rejected": "1"}
    assert response(rejected).outcome() is Outcome.REJECTED and response(rejected).response() is None
    assert response(rejected, Answer(body=b"a")).outcome() is Outcome.ERROR


def test_a_response_that_exceeds_the_buffer_is_streamed() -> None:
    reader = response({}, Answer(body=bytes(BUFFERED_RESPONSE_BYTES)))
    assert not reader.exceeds_buffer
    reader.buffer(b"x")
    assert reader.exceeds_buffer and len(reader.take_buffered()) == BUFFERED_RESPONSE_BYTES + 1
    assert not reader.exceeds_buffer and not reader.exceeds_limit


@pytest.mark.parametrize(
    ("data", "error"), [(b"\1\0\0\0\0", MessageError), (pack(b"\xff\xff"), TranslationError)]
)
def test_a_malformed_response_is_an_error(data: bytes, error: type[Exception]) -> None:
    with pytest.raises(error):
        list(ResponseReader().feed(data))
