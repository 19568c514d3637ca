"""End-to-end tests of each attempt outcome, and of whether each request class is retried after it."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress

import pytest

from sagetrack.http1.codec import BODY_LIMIT
from sagetrack.policy.events import AttemptEnded, Outcome
from tests.sockets import (
    Exchange,
    RunningGateway,
    Script,
    configuration,
    endpoint,
    endpoint_list,
    http_response,
    no_response,
    on_event_loop,
    request,
    respond_with,
    running_gateway,
    scripted_server,
    server_id,
    wait_for_reusable_connections,
    wait_until,
)


def outcomes(run: RunningGateway) -> list[AttemptEnded]:
    """Return a list that collects the ended attempts reported to the load balancer from now on."""
    ended: list[AttemptEnded] = []
    handle = run.gateway.balancer.handle

    def record_event(now_us: int, event: object) -> object:
        if isinstance(event, AttemptEnded):
            ended.append(event)
        return handle(now_us, event)  # type: ignore[arg-type]

    run.gateway.balancer.handle = record_event  # type: ignore[method-assign,assignment]
    return ended


def reset(exchange: Exchange) -> None:
    exchange.reset()


def truncated_response(exchange: Exchange) -> None:
    exchange.respond(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
    exchange.writer.close()


def respond_and_close(data: bytes) -> Script:
    def script(exchange: Exchange) -> None:
        exchange.respond(data)
        exchange.writer.close()

    return script


def respond_and_reset(data: bytes) -> Script:
    async def script(exchange: Exchange) -> None:
        exchange.respond(data)
        await asyncio.sleep(0.05)  # so that the data is read before the reset
        linger = struct.pack("ii", 1, 0)
        exchange.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        exchange.reset()

    return script


CLOSED_PORT = "127.0.0.1:1"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
REJECTED_RESPONSE = http_response(503, b"", "X-Rejected: 1")


@pytest.mark.parametrize(
    ("script", "outcome", "status"),
    [
        (respond_with(http_response(200, b"a book")), Outcome.OK, 200),
        (respond_with(http_response(500)), Outcome.ERROR, 502),
        # Without X-Rejected, the request may have run.
        (respond_with(http_response(503)), Outcome.ERROR, 502),
        (respond_with(http_response(404, b"", "X-Rejected: 1")), Outcome.ERROR, 502),
        (respond_with(b"no HTTP at all\r\n\r\n"), Outcome.ERROR, 502),
        (respond_with(REJECTED_RESPONSE), Outcome.REJECTED, 503),
        (respond_with(http_response(504, b"", "X-Rejected: 1")), Outcome.REJECTED, 503),
        (reset, Outcome.RESET, 502),
        (truncated_response, Outcome.RESET, 502),  # a response must be complete
        # An invalid response is an error as soon as that is known; the gateway does not wait for the rest.
        (respond_with(b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 20_000), Outcome.ERROR, 502),
        (respond_with(b"HTTP/1.1 200 " + b"O" * 20_000), Outcome.ERROR, 502),
        (respond_with(b"HTTP/1.1 200 OK\r\n" + b"X-Pad: p\r\n" * 2_000), Outcome.ERROR, 502),
        (respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"), Outcome.ERROR, 502),
        (respond_with(b"HTTP/1.1 500 X\r\n\r\nno length"), Outcome.ERROR, 502),
        (respond_and_close(b"HTTP/1.1 200 OK\r\n\r\nno length"), Outcome.OK, 200),
        (respond_and_close(b"HTTP/1.1 200 OK\r\nX-Pad: no head"), Outcome.RESET, 502),
        (respond_and_reset(b"HTTP/1.1 200 OK\r\n\r\nno length"), Outcome.RESET, 502),
        (respond_with(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\ncoded"), Outcome.ERROR, 502),
        (
            respond_with(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
            Outcome.ERROR,
            502,
        ),
        (respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nfine"), Outcome.ERROR, 502),
        (respond_with(CHUNKED + b"Content-Length: 4\r\n\r\n4\r\nfine\r\n0\r\n\r\n"), Outcome.ERROR, 502),
        (respond_with(CHUNKED + b"\r\n4\r\nfine\r\nzz\r\n"), Outcome.ERROR, 502),
        (respond_with(b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"), Outcome.ERROR, 502),
        (respond_with(b"HTTP/0.9 200 OK\r\nContent-Length: 4\r\n\r\nfine"), Outcome.ERROR, 502),
        (respond_with(b"HTTP/1.1 100 X\r\n\r\n" * 9), Outcome.ERROR, 502),
        (respond_with(b"HTTP/1.1 100 X\r\n\r\n" * 3 + http_response(200, b"a book")), Outcome.OK, 200),
        (
            respond_with(http_response(200, b"a book", "X-Load-Report: TEXT queue=\xff, , =1")),
            Outcome.OK,
            200,
        ),
    ],
)
@on_event_loop
async def test_the_response_determines_the_outcome(script: Script, outcome: Outcome, status: int) -> None:
    async with scripted_server(script) as upstream, running_gateway(configuration(upstream)) as run:
        ended = outcomes(run)
        response = await run.request(request("transfer", b"42"))
        assert response.status == status
        assert [event.outcome for event in ended] == [outcome]
        assert ended[0].server == server_id(0) and ended[0].finished is (outcome is Outcome.OK)
        assert len(upstream.exchanges) == 1  # an unsafe request is sent only once
        assert not run.gateway.in_flight


@pytest.mark.parametrize("length", [9, 3 * BODY_LIMIT])
@on_event_loop
async def test_a_response_that_ends_with_its_connection_is_forwarded_whole(length: int) -> None:
    body = bytes(range(256)) * (length // 256) or b"no length"
    script = respond_and_close(b"HTTP/1.1 200 OK\r\n\r\n" + body)
    async with scripted_server(script) as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        client.send(request("transfer", b"42", connection="close"))
        head, _, received = (await client.reader.read()).partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert b"".join(received.split(b"\r\n")[1::2]) == body if b"chunked" in head else received == body


@on_event_loop
async def test_a_long_response_without_length_that_is_reset_has_no_end() -> None:
    script = respond_and_reset(b"HTTP/1.1 200 OK\r\n\r\n" + bytes(3 * BODY_LIMIT))
    async with scripted_server(script) as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        client.send(request("transfer", b"42"))
        with suppress(ConnectionError):
            received = await client.reader.read()
            assert received.startswith(b"HTTP/1.1 200") and b"chunked" in received[:200]
            assert not received.endswith(b"0\r\n\r\n")


@on_event_loop
async def test_a_refused_connection_is_reported_as_a_connect_failure() -> None:
    async with running_gateway(configuration(CLOSED_PORT)) as run:
        ended = outcomes(run)
        assert (await run.request(request("transfer"))).status == 503
        assert [event.outcome for event in ended] == [Outcome.CONNECT_FAILED]


@on_event_loop
async def test_a_connection_that_never_opens_times_out_as_configured() -> None:
    import socket

    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()
        backlog = [socket.socket() for _ in range(4)]
        for client_socket in backlog:  # with a full backlog, no further connection opens
            client_socket.setblocking(False)
            client_socket.connect_ex(address)
        config = configuration(f"127.0.0.1:{address[1]}", connectTimeoutUs=50_000)
        async with running_gateway(config) as run:
            ended = outcomes(run)
            assert (await run.request(request("transfer"))).status == 503
            assert [event.outcome for event in ended] == [Outcome.CONNECT_FAILED]
            assert run.assembly.pools.open_connections == 0
        for client_socket in backlog:
            client_socket.close()


@on_event_loop
async def test_a_timeout_closes_the_connection_and_fails_a_request_that_may_have_run() -> None:
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        ended = outcomes(run)
        assert (await run.request(request("transfer", budget_ms=60))).status == 504
        assert [event.outcome for event in ended] == [Outcome.TIMEOUT]
        # The server can notice that no client waits.
        await wait_until(lambda: upstream.closed_connections == 1)
        assert run.assembly.pools.open_connections == 0 and not run.gateway.in_flight


@on_event_loop
async def test_a_late_response_of_an_ended_attempt_is_dropped() -> None:
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        ended = outcomes(run)
        client = await run.connect()
        assert (await client.request(request("transfer", budget_ms=60))).status == 504
        upstream.exchanges[0].respond(http_response(200, b"too late"))
        upstream.script = respond_with(http_response(200, b"in time"))
        # After a timeout the load balancer may reject a few requests.
        while (response := await client.request(request())).status == 503:
            pass
        assert response.body == b"in time"
        assert [event.outcome for event in ended] == [Outcome.TIMEOUT, Outcome.OK]
        client.close()


@pytest.mark.parametrize(("class_name", "retried"), [("search", True), ("hold", True), ("transfer", False)])
@on_event_loop
async def test_after_a_reset_only_requests_that_may_run_twice_are_retried(
    class_name: str, retried: bool
) -> None:
    received: list[Exchange] = []

    def script(exchange: Exchange) -> None:
        received.append(exchange)
        if len(received) == 1:
            exchange.reset()
        else:
            exchange.respond(http_response())

    async with (
        scripted_server(script) as one,
        scripted_server(script) as two,
        running_gateway(configuration(one, two)) as run,
    ):
        response = await run.request(request(class_name))
        assert response.status == (200 if retried else 502)
        assert len(received) == (2 if retried else 1)
        keys = {exchange.message.headers.get("idempotency-key") for exchange in received}
        assert len(keys) == 1  # the retry carries the same key


@pytest.mark.parametrize("class_name", ["search", "hold", "transfer"])
@on_event_loop
async def test_every_class_is_retried_elsewhere_after_a_rejection_by_a_server(class_name: str) -> None:
    rejected: list[Exchange] = []

    def script(exchange: Exchange) -> None:
        if rejected:
            exchange.respond(http_response())
        else:
            rejected.append(exchange)
            exchange.respond(REJECTED_RESPONSE)

    async with (
        scripted_server(script) as one,
        scripted_server(script) as two,
        running_gateway(configuration(one, two)) as run,
    ):
        assert (await run.request(request(class_name))).status == 200
        assert len(one.exchanges) == len(two.exchanges) == 1


@on_event_loop
async def test_a_keyed_request_that_may_have_run_stays_in_its_group() -> None:
    async with scripted_server(reset) as one, scripted_server() as other:
        config = configuration(one)
        config["settings"]["lanes"][1]["group"] = "cell"
        config["known"] = endpoint_list(
            7, endpoint("s-0", one.address, group=1), endpoint("s-1", other.address, group=2)
        )
        async with running_gateway(config) as run:
            statuses = [(await run.request(request("hold"))).status for _ in range(8)]
            assert one.exchanges and set(statuses) == {200, 502}
            # A request that was reset at one server was not retried in the other group.
            reset_ids = {e.message.headers["x-call-id"] for e in one.exchanges}
            assert reset_ids.isdisjoint(e.message.headers["x-call-id"] for e in other.exchanges)


@on_event_loop
async def test_end_to_end_headers_are_forwarded_in_both_directions() -> None:
    script = respond_with(
        http_response(
            200, b"\x00\xff body", "Content-Type: text/x", "X-Hit: 1", "X-Load-Report: TEXT queue=2"
        )
    )
    async with scripted_server(script) as upstream, running_gateway(configuration(upstream)) as run:
        ended = outcomes(run)
        data = request("hold", b"slip", connection="keep-alive, x-hop", x_hop="1", budget_ms=5_000)
        response = await run.request(data)
        assert response.body == b"\x00\xff body"
        assert response.headers["content-type"] == "text/x" and response.headers["x-hit"] == "1"
        assert "x-load-report" not in response.headers
        message = upstream.exchanges[0].message
        assert message.start_line == "POST /hold/7f3a9c21e0b4d655 HTTP/1.1" and message.body == b"slip"
        assert message.headers["x-call-id"] and message.headers["idempotency-key"]
        assert 0 < int(message.headers["x-budget-ms"]) <= 5_000
        assert "x-hop" not in message.headers
        assert ended[0].load is not None and ended[0].load.queue == 2


@pytest.mark.parametrize("report", ["TEXT queue=lots", "JSON {}", "TEXT", "TEXT =,=", "\xff"])
@on_event_loop
async def test_an_invalid_load_report_is_ignored(report: str) -> None:
    data = b"HTTP/1.1 200 X\r\nContent-Length: 0\r\nX-Load-Report: " + report.encode("latin-1") + b"\r\n\r\n"
    async with (
        scripted_server(respond_with(data)) as upstream,
        running_gateway(configuration(upstream)) as run,
    ):
        assert (await run.request(request())).status == 200


@on_event_loop
async def test_chunked_and_interim_responses_are_read() -> None:
    data = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    data += b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    async with (
        scripted_server(respond_with(data)) as upstream,
        running_gateway(configuration(upstream)) as run,
    ):
        for _ in range(2):
            assert (await run.request(request())).body == b"abc"
            await wait_for_reusable_connections(run)
        assert upstream.opened_connections == 1


@on_event_loop
async def test_a_disconnect_cancels_the_attempt() -> None:
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        ended = outcomes(run)
        client = await run.connect()
        client.send(request("transfer"))
        await wait_until(lambda: upstream.exchanges)
        client.close()
        await wait_until(lambda: upstream.closed_connections == 1)
        await wait_until(lambda: ended)
        assert ended[0].outcome is Outcome.CANCELLED and ended[0].finished
        assert not run.gateway.in_flight and not run.gateway.balancer.requests


@on_event_loop
async def test_an_error_in_the_policy_fails_one_request_only() -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        handle = run.gateway.balancer.handle
        run.gateway.balancer.handle = None  # type: ignore[method-assign,assignment]
        assert (await run.request(request("transfer"))).status == 502
        run.gateway.balancer.handle = handle  # type: ignore[method-assign]
        assert (await run.request(request("transfer"))).status == 200


@on_event_loop
async def test_an_attempt_at_an_unlisted_server_is_not_sent() -> None:
    from sagetrack.policy.actions import SendAttempt

    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        ended = outcomes(run)
        client = await run.connect()
        upstream.script = no_response
        data = request("transfer")
        client.send(data)
        await wait_until(lambda: upstream.exchanges)
        id_ = upstream.exchanges[0].message.headers["x-call-id"]
        run.gateway.executor.execute(SendAttempt(id_, 12345, 1_000_000))  # a server that is not listed
        assert [event.outcome for event in ended] == [Outcome.NOT_SENT]
        client.close()
        await asyncio.sleep(0)
