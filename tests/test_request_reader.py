"""Unit tests of the request parser: split data, pipelining, streamed bodies and invalid data."""

from __future__ import annotations

import pytest

from sagetrack.core.bodies import MIN_CHUNK
from sagetrack.core.memory_budget import MemoryBudget, MemoryClaim
from sagetrack.http1.codec import BODY_LIMIT, MAX_HEADERS, ResponseError, ResponseReader
from sagetrack.http1.request_reader import RequestReader
from tests.sockets import request


def new_reader() -> RequestReader:
    return RequestReader(MemoryBudget(64))


@pytest.mark.parametrize("size", [1, 7, 10_000])
def test_requests_are_parsed_from_data_split_anywhere(size: int) -> None:
    reader = new_reader()
    data = request("transfer", b"first") + request("transfer", b"second")
    for at in range(0, len(data), size):
        reader.feed(data[at : at + size], 16)
        assert reader.has_partial_request or at + size >= len(data) or reader.requests
    assert [b"".join(one.body) for one in reader.requests] == [b"first", b"second"]
    assert not reader.has_partial_request and not reader.has_failed


def test_parsing_stops_while_enough_requests_are_waiting() -> None:
    reader = new_reader()
    one = request("transfer", b"x" * 4000)
    reader.feed(one * 10, 2)
    assert 2 <= len(reader.requests) < 10 and reader.unparsed and reader.has_partial_request
    waiting = len(reader.unparsed)
    reader.feed(b"", 2)
    assert len(reader.unparsed) == waiting
    reader.requests.clear()
    while reader.unparsed:
        reader.feed(b"", 2)
        reader.requests.clear()
    assert not reader.has_partial_request


def test_a_request_with_a_long_body_is_queued_before_it_is_complete() -> None:
    reader = new_reader()
    length = 3 * BODY_LIMIT
    reader.feed(request("transfer", content_length=str(length)) + bytes(1000), 16)
    (streamed_request,) = reader.requests
    assert (
        streamed_request.streamed_body is not None
        and streamed_request.streamed_body.length == length
        and reader.streamed_body is streamed_request.streamed_body
    )
    assert not streamed_request.streamed_body.is_complete and reader.in_body and reader.body_received == 1000


def test_invalid_data_is_reported_after_valid_requests_and_stops_parsing() -> None:
    reader = new_reader()
    reader.feed(request("transfer", b"good") + b"rubbish\r\n\r\n" + request("transfer"), 16)
    valid, invalid = reader.requests
    assert valid.error is None and invalid.error is not None and invalid.error.status == 400
    assert reader.has_failed and not reader.unparsed


def test_an_error_within_a_streamed_body_is_set_on_its_request() -> None:
    reader = new_reader()
    reader.feed(request("transfer", content_length="", transfer_encoding="chunked"), 16)
    reader.feed(b"%x\r\n%s\r\n" % (2 * BODY_LIMIT, bytes(2 * BODY_LIMIT)), 16)
    (streamed_request,) = reader.requests
    assert streamed_request.streamed_body is not None
    streamed_request.streamed_body.discard()
    reader.feed(b"", 16)
    reader.feed(b"no size\r\n", 16)
    assert streamed_request.error is not None and list(reader.requests) == [streamed_request]
    assert streamed_request.streamed_body.is_finished and not streamed_request.streamed_body.is_complete


UPGRADE_OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA\r\n"


# Guards against taking a request that offers an upgrade as complete after its head (review/1).
@pytest.mark.parametrize("size", [1, 7, 10_000])
@pytest.mark.parametrize(
    ("framing", "body", "expected"),
    [
        (b"", b"", b""),
        (b"Content-Length: 4\r\n", b"slip", b"slip"),
        (b"Transfer-Encoding: chunked\r\n", b"4\r\nslip\r\n0\r\nX-Trailer: a\r\n\r\n", b"slip"),
    ],
)
def test_an_offer_to_upgrade_is_ignored(framing: bytes, body: bytes, expected: bytes, size: int) -> None:
    reader = new_reader()
    data = b"POST /transfer HTTP/1.1\r\n" + framing + UPGRADE_OFFER + b"\r\n" + body
    data += request("transfer", b"next")
    for at in range(0, len(data), size):
        reader.feed(data[at : at + size], 16)
    offering, following = reader.requests
    assert b"".join(offering.body) == expected and offering.error is None and offering.keep_alive
    assert b"".join(following.body) == b"next"
    assert not reader.has_partial_request and not reader.has_failed


def test_a_long_body_behind_an_offer_to_upgrade_is_awaited() -> None:
    reader = new_reader()
    length = 2 * BODY_LIMIT
    head = b"POST /transfer HTTP/1.1\r\nContent-Length: %d\r\n" % length + UPGRADE_OFFER + b"\r\n"
    reader.feed(head + bytes(1000), 16)
    (offering,) = reader.requests
    assert offering.streamed_body is not None and not offering.streamed_body.is_complete
    assert (offering.streamed_body.length, offering.streamed_body.received) == (length, 1000)


def test_connect_is_one_invalid_request() -> None:
    reader = new_reader()
    reader.feed(b"CONNECT backend:1 HTTP/1.1\r\nHost: backend:1\r\n\r\n" + request(), 16)
    (connect,) = reader.requests
    assert connect.error is not None and connect.error.status == 404 and reader.has_failed


# Guards against the memory of many small objects for one body or head (issue 34).
def test_a_body_of_tiny_chunks_is_held_in_few_objects() -> None:
    reader = new_reader()
    reader.feed(request("transfer", content_length="", transfer_encoding="chunked"), 16)
    for _ in range(10):
        reader.feed(b"2\r\nab\r\n" * 3000, 16)
    assert reader.current_request is not None and len(reader.current_request.body) <= BODY_LIMIT // MIN_CHUNK
    reader.feed(b"2\r\nab\r\n" * 10_000, 16)
    (streamed_request,) = reader.requests
    assert streamed_request.streamed_body is not None
    assert (
        len(streamed_request.streamed_body.chunks) <= streamed_request.streamed_body.buffered // MIN_CHUNK + 1
    )
    received = b""
    while streamed_request.streamed_body.chunks:
        received += streamed_request.streamed_body.take()
    assert received == b"ab" * (len(received) // 2) and len(received) > BODY_LIMIT


@pytest.mark.parametrize(("count", "is_valid"), [(MAX_HEADERS - 1, True), (MAX_HEADERS, False)])
def test_the_number_of_headers_is_limited(count: int, is_valid: bool) -> None:
    reader = new_reader()
    reader.feed(b"GET /search HTTP/1.1\r\nHost: b\r\n" + b"a:\r\n" * count + b"\r\n", 16)
    (parsed,) = reader.requests
    assert (parsed.error is None) is is_valid
    responses = ResponseReader()
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + b"a:\r\n" * count + b"\r\n"
    if is_valid:
        assert responses.feed(head) is not None
    else:
        with pytest.raises(ResponseError):
            responses.feed(head)


def test_held_memory_follows_what_is_waiting() -> None:
    reader = new_reader()
    assert reader.held_bytes == 0
    data = request("transfer", b"x" * 50_000)
    reader.feed(data[:1000], 16)
    assert 50_000 < reader.held_bytes < 60_000  # the announced length counts from the head on
    reader.feed(data[1000:] + data[:10], 1)
    assert 50_000 < reader.held_bytes < 60_000
    reader.requests.clear()
    reader.feed(b"", 1)
    assert reader.held_bytes < 1000


def test_a_body_is_rejected_once_the_memory_budget_is_exhausted() -> None:
    budget = MemoryBudget(memory_mb=4)
    reader = RequestReader(budget)
    MemoryClaim(budget).update(budget.total_bytes)
    reader.feed(request("search") + request("transfer", b"slip"), 16)
    without_body, with_body = reader.requests
    assert without_body.error is None
    assert with_body.error is not None and with_body.error.status == 503
    metrics = budget.metric_values()
    assert metrics["request_memory_bytes"] == budget.total_bytes
    assert metrics["request_memory_rejected_total"] == 1
