"""Requests from bytes, without a socket: in pieces, ahead, in parts, and beyond limits."""

from __future__ import annotations

import pytest

from sagetrack.core.bodies import BodyMemoryBudget
from sagetrack.http1.codec import BODY_LIMIT
from sagetrack.http1.request_reader import RequestReader
from tests.sockets import request


def reader() -> RequestReader:
    return RequestReader(BodyMemoryBudget(64))


@pytest.mark.parametrize("size", [1, 7, 10_000])
def test_requests_are_read_in_any_pieces(size: int) -> None:
    made = reader()
    data = request("transfer", b"first") + request("transfer", b"second")
    for at in range(0, len(data), size):
        made.feed(data[at : at + size], 16)
        assert made.has_partial_request or at + size >= len(data) or made.requests
    assert [b"".join(one.body) for one in made.requests] == [b"first", b"second"]
    assert not made.has_partial_request and not made.has_failed


def test_no_more_is_parsed_while_enough_requests_wait() -> None:
    made = reader()
    one = request("transfer", b"x" * 4000)
    made.feed(one * 10, 2)
    assert 2 <= len(made.requests) < 10 and made.unparsed and made.has_partial_request
    waiting = len(made.unparsed)
    made.feed(b"", 2)
    assert len(made.unparsed) == waiting
    made.requests.clear()
    while made.unparsed:
        made.feed(b"", 2)
        made.requests.clear()
    assert not made.has_partial_request


def test_a_long_body_is_handed_over_before_it_is_complete() -> None:
    made = reader()
    length = 3 * BODY_LIMIT
    made.feed(request("transfer", content_length=str(length)) + bytes(1000), 16)
    (taken,) = made.requests
    assert (
        taken.streamed_body is not None
        and taken.streamed_body.length == length
        and made.streamed_body is taken.streamed_body
    )
    assert not taken.streamed_body.is_complete and made.in_body and made.body_received == 1000


def test_what_cannot_be_read_comes_after_what_could_and_ends_the_reading() -> None:
    made = reader()
    made.feed(request("transfer", b"good") + b"rubbish\r\n\r\n" + request("transfer"), 16)
    good, bad = made.requests
    assert good.error is None and bad.error is not None and bad.error.status == 400
    assert made.has_failed and not made.unparsed


def test_a_break_within_a_long_body_is_told_where_the_body_is() -> None:
    made = reader()
    made.feed(request("transfer", content_length="", transfer_encoding="chunked"), 16)
    made.feed(b"%x\r\n%s\r\n" % (2 * BODY_LIMIT, bytes(2 * BODY_LIMIT)), 16)
    (taken,) = made.requests
    assert taken.streamed_body is not None
    taken.streamed_body.discard()
    made.feed(b"", 16)
    made.feed(b"no size\r\n", 16)
    assert taken.error is not None and list(made.requests) == [taken]
    assert taken.streamed_body.is_finished and not taken.streamed_body.is_complete
