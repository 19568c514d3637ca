"""Clients' connections: what is read, what is malformed, health, and many requests on one connection."""

from __future__ import annotations

import asyncio

import pytest

from sagetrack.config.platform import stable_hash
from tests.sockets import (
    configuration,
    http_response,
    no_response,
    on_event_loop,
    request,
    respond_with,
    running_gateway,
    scripted_server,
    wait_until,
)


@on_event_loop
async def test_headers_become_fields_of_the_request() -> None:
    from sagetrack.policy.events import RequestArrived

    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        told: list[RequestArrived] = []
        handle = run.gateway.balancer.handle

        def listen(now_us: int, event: object) -> object:
            if isinstance(event, RequestArrived):
                told.append(event)
            return handle(now_us, event)  # type: ignore[arg-type]

        run.gateway.balancer.handle = listen  # type: ignore[method-assign,assignment]
        data = request("hold", b"x", budget_ms=480, x_call_cost="61000", x_again="1", x_caller="zeta")
        assert (await run.request(data)).status == 200
        (event,) = told
        assert (event.class_index, event.client_timeout_us, event.work_us) == (1, 480_000, 61_000)
        assert event.is_retry and event.tenant == 1
        assert event.key == stable_hash("7f3a9c21e0b4d655", 8)
        data = b"GET /search HTTP/1.1\r\nHost: b\r\nX-Call-Id: bare\r\n\r\n"
        assert (await run.request(data)).status == 200
        assert told[1].key is None and told[1].client_timeout_us == 20_000_000 and not told[1].is_retry


@on_event_loop
async def test_white_space_round_a_value_is_no_part_of_it() -> None:
    answer = b"HTTP/1.1 200 OK \r\nContent-Length: \t4 \t\r\nConnection:  keep-alive  \r\n\r\nfine"
    async with (
        scripted_server(respond_with(answer)) as upstream,
        running_gateway(configuration(upstream)) as run,
    ):
        for before, after in ((b"", b" \t"), (b"\t ", b"")):
            first, *lines = request("hold", b"slip", expect="100-continue").split(b"\r\n")[:-2]
            lines = [line.replace(b": ", b":" + before) + after for line in lines]
            answer_to_it = await run.request(b"\r\n".join([first, *lines]) + b"\r\n\r\nslip")
            assert (answer_to_it.status, answer_to_it.body) == (200, b"fine")
        assert [e.message.body for e in upstream.exchanges] == [b"slip"] * 2


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x00\x01\x02 what\r\n\r\n", 400),
        (b"GET /search/1 HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (b"GET /search/1 HTTP/9.9\r\n\r\n", 400),
        (b"POST /transfer/1 HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST /transfer/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"POST /transfer/1 HTTP/1.1\r\nContent-Length: " + b"9" * 30 + b"\r\n\r\n", 400),
        (b"POST /transfer/1 HTTP/1.1\r\nContent-Length: 33554433\r\n\r\n", 413),
        (b"GET /search/1 HTTP/1.1\r\nX-Long: " + b"x" * 70_000, 431),
        (request("search", x_call_class="loan"), 400),
        (request("search", x_call_class="hold"), 400),
        (request("search", x_call_id=""), 400),
        (request("search", x_budget_ms="soon"), 400),
        (request("search", x_budget_ms="-5"), 400),
        (request("search", x_call_cost="1e3"), 400),
        (request("hold", idempotency_key=""), 400),
        (b"GET /nowhere HTTP/1.1\r\nHost: b\r\nX-Call-Id: i\r\n\r\n", 404),
        (b"GET / HTTP/1.1\r\nHost: b\r\nX-Call-Id: i\r\n\r\n", 404),
        (b"POST /search/1 HTTP/1.1\r\nHost: b\r\nX-Call-Id: i\r\nContent-Length: 0\r\n\r\n", 405),
        (b"GET /transfer/1 HTTP/1.1\r\nHost: b\r\nX-Call-Id: i\r\n\r\n", 405),
        (b"GET /search/1 HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
    ],
)
@on_event_loop
async def test_invalid_requests_are_answered_and_the_gateway_goes_on(data: bytes, status: int) -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        answer = await run.request(data)
        assert answer.status == status
        assert answer.status not in (429, 503)
        assert ("allow" in answer.headers) is (status == 405)
        assert not upstream.exchanges and not run.gateway.in_flight
        assert (await run.request(request())).status == 200


@on_event_loop
async def test_a_body_comes_in_pieces_or_chunks() -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        data = request("transfer", b"in many pieces")
        for at in range(len(data)):
            client.send(data[at : at + 1])
            await asyncio.sleep(0)
        assert (await client.read_response()).status == 200
        head = request("transfer", content_length="", transfer_encoding="chunked")
        client.send(head + b"3\r\nabc\r\n")
        client.send(b"2\r\nde\r\n0\r\n\r\n")
        assert (await client.read_response()).status == 200
        assert [e.message.body for e in upstream.exchanges] == [b"in many pieces", b"abcde"]
        assert "transfer-encoding" not in upstream.exchanges[1].message.headers
        client.close()


@on_event_loop
async def test_a_body_of_the_largest_size_passes_both_ways() -> None:
    body = bytes(range(256)) * 256
    async with (
        scripted_server(respond_with(http_response(200, body))) as upstream,
        running_gateway(configuration(upstream)) as run,
    ):
        answer = await run.request(request("transfer", body))
        assert answer.body == body == upstream.exchanges[0].message.body


@on_event_loop
async def test_requests_on_one_connection_are_answered_in_turn() -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        client.send(b"".join(request("transfer", b"%d" % n) for n in range(40)))
        for _ in range(40):
            assert (await client.read_response()).status == 200
        assert [e.message.body for e in upstream.exchanges] == [b"%d" % n for n in range(40)]
        client.close()


@on_event_loop
async def test_a_good_request_before_a_bad_one_is_answered_first() -> None:
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        client.send(request("transfer") + b"rubbish\r\n\r\n")
        await wait_until(lambda: upstream.exchanges)
        upstream.exchanges[0].respond(http_response())
        assert (await client.read_response()).status == 200
        answer = await client.read_response()
        assert answer.status == 400 and answer.headers["connection"] == "close"
        assert await client.reader.read() == b""
        client.close()


@on_event_loop
async def test_a_client_that_says_close_is_closed_after_its_answer() -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        answer = await client.request(request(connection="close"))
        assert answer.status == 200 and answer.headers["connection"] == "close"
        assert await client.reader.read() == b""
        client.close()


@on_event_loop
async def test_an_id_in_flight_is_rejected() -> None:
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        data = request("transfer")
        first = await run.connect()
        first.send(data)
        await wait_until(lambda: upstream.exchanges)
        assert (await run.request(data)).status == 400
        upstream.exchanges[0].respond(http_response())
        assert (await first.read_response()).status == 200
        assert len(upstream.exchanges) == 1
        first.close()


@on_event_loop
async def test_ready_means_that_requests_can_be_served() -> None:
    ready = b"GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n"
    async with scripted_server() as upstream:
        async with running_gateway(configuration(upstream)) as run:
            assert (await run.request(ready)).status == 200
            assert run.listener.standby()
            assert (await run.request(ready)).status == 503
        async with running_gateway(configuration()) as run:
            assert (await run.request(ready)).status == 503  # no host is known


@on_event_loop
async def test_a_rejection_carries_the_retry_after_of_the_policy() -> None:
    async with running_gateway(
        configuration("127.0.0.1:1", retryAfter=True, maxRetryAfterUs=2_000_000)
    ) as run:
        answer = await run.request(request())
        assert answer.status == 503
        assert 0 < float(answer.headers["retry-after"]) <= 2


@on_event_loop
async def test_on_the_way_out_a_new_connection_has_time_for_its_first_request() -> None:
    """It may bring what has crossed the end of an older connection, and that is sent only once more."""
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        run.listener.drain.begin_shutdown(asyncio.get_running_loop().time() - 60)
        client = await run.connect()
        await wait_until(lambda: run.listener.connections)
        (connection,) = run.listener.connections
        run.listener.close_idle()
        assert not connection.is_closing
        answer = await client.request(request("transfer"))
        assert answer.status == 200 and answer.headers["connection"] == "close"
        assert await client.reader.read() == b""
        silent_one = await run.connect()
        await wait_until(lambda: run.listener.connections)
        (connection,) = run.listener.connections
        connection.opened_s -= 60
        run.listener.close_idle()
        assert await silent_one.reader.read() == b""
        client.close()
        silent_one.close()


@on_event_loop
async def test_what_waits_to_be_read_keeps_its_connection() -> None:
    """The kernel is asked: a request may have reached the machine while the loop was elsewhere."""
    import socket

    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        with socket.create_connection(("127.0.0.1", run.port)) as client:
            await wait_until(lambda: run.listener.connections)
            (connection,) = run.listener.connections
            connection.exchange.has_responded = True
            run.listener.drain.begin_shutdown(asyncio.get_running_loop().time() - 60)
            client.sendall(request("transfer"))  # and the loop has had no turn since
            run.listener.close_idle()
            assert not connection.is_closing
            loop = asyncio.get_running_loop()
            answer = await loop.run_in_executor(None, client.recv, 65536)
            assert answer.startswith(b"HTTP/1.1 200 ")
