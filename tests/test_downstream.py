"""Client connections: parsing, invalid requests, readiness, and pipelined requests."""

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
        arrived: list[RequestArrived] = []
        handle = run.gateway.balancer.handle

        def record_arrivals(now_us: int, event: object) -> object:
            if isinstance(event, RequestArrived):
                arrived.append(event)
            return handle(now_us, event)  # type: ignore[arg-type]

        run.gateway.balancer.handle = record_arrivals  # type: ignore[method-assign,assignment]
        data = request("hold", b"x", budget_ms=480, x_call_cost="61000", x_again="1", x_caller="zeta")
        assert (await run.request(data)).status == 200
        (event,) = arrived
        assert (event.class_index, event.client_timeout_us, event.work_us) == (1, 480_000, 61_000)
        assert event.is_retry and event.tenant == 1
        assert event.key == stable_hash("7f3a9c21e0b4d655", 8)
        data = b"GET /search HTTP/1.1\r\nHost: b\r\nX-Call-Id: bare\r\n\r\n"
        assert (await run.request(data)).status == 200
        assert (
            arrived[1].key is None and arrived[1].client_timeout_us == 20_000_000 and not arrived[1].is_retry
        )


@on_event_loop
async def test_white_space_around_a_header_value_is_removed() -> None:
    raw_response = b"HTTP/1.1 200 OK \r\nContent-Length: \t4 \t\r\nConnection:  keep-alive  \r\n\r\nfine"
    async with (
        scripted_server(respond_with(raw_response)) as upstream,
        running_gateway(configuration(upstream)) as run,
    ):
        for before, after in ((b"", b" \t"), (b"\t ", b"")):
            first, *lines = request("hold", b"slip", expect="100-continue").split(b"\r\n")[:-2]
            lines = [line.replace(b": ", b":" + before) + after for line in lines]
            response = await run.request(b"\r\n".join([first, *lines]) + b"\r\n\r\nslip")
            assert (response.status, response.body) == (200, b"fine")
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
async def test_invalid_requests_get_an_error_response_and_the_gateway_continues(
    data: bytes, status: int
) -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        response = await run.request(data)
        assert response.status == status
        assert response.status not in (429, 503)
        assert ("allow" in response.headers) is (status == 405)
        assert not upstream.exchanges and not run.gateway.in_flight
        assert (await run.request(request())).status == 200


# Guards against running a request that offers an upgrade with an empty body (review/1).
@on_event_loop
async def test_a_request_that_offers_an_upgrade_is_forwarded_whole_and_gets_one_response() -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        connection = "Upgrade, HTTP2-Settings"
        client.send(request("hold", b"slip", connection=connection, upgrade="h2c", http2_settings="AAMA"))
        assert (await client.read_response()).status == 200
        client.send(request("hold", b"next"))
        assert (await client.read_response()).status == 200
        first, second = (exchange.message for exchange in upstream.exchanges)
        assert (first.body, second.body) == (b"slip", b"next")
        assert not {"upgrade", "http2-settings"} & first.headers.keys()
        client.close()


@on_event_loop
async def test_a_body_is_received_in_pieces_or_chunks() -> None:
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
async def test_the_largest_buffered_body_is_forwarded_in_both_directions() -> None:
    body = bytes(range(256)) * 256
    async with (
        scripted_server(respond_with(http_response(200, body))) as upstream,
        running_gateway(configuration(upstream)) as run,
    ):
        response = await run.request(request("transfer", body))
        assert response.body == body == upstream.exchanges[0].message.body


@on_event_loop
async def test_pipelined_requests_are_handled_in_order() -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        client.send(b"".join(request("transfer", b"%d" % n) for n in range(40)))
        for _ in range(40):
            assert (await client.read_response()).status == 200
        assert [e.message.body for e in upstream.exchanges] == [b"%d" % n for n in range(40)]
        client.close()


@on_event_loop
async def test_a_valid_request_before_a_malformed_one_gets_its_response_first() -> None:
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        client.send(request("transfer") + b"rubbish\r\n\r\n")
        await wait_until(lambda: upstream.exchanges)
        upstream.exchanges[0].respond(http_response())
        assert (await client.read_response()).status == 200
        response = await client.read_response()
        assert response.status == 400 and response.headers["connection"] == "close"
        assert await client.reader.read() == b""
        client.close()


@on_event_loop
async def test_connection_close_from_the_client_is_honoured() -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        response = await client.request(request(connection="close"))
        assert response.status == 200 and response.headers["connection"] == "close"
        assert await client.reader.read() == b""
        client.close()


@on_event_loop
async def test_a_request_id_that_is_in_flight_is_rejected() -> None:
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
            assert (await run.request(ready)).status == 503  # no server is known


@on_event_loop
async def test_a_rejection_carries_the_retry_after_of_the_policy() -> None:
    async with running_gateway(
        configuration("127.0.0.1:1", retryAfter=True, maxRetryAfterUs=2_000_000)
    ) as run:
        response = await run.request(request())
        assert response.status == 503
        assert 0 < float(response.headers["retry-after"]) <= 2


@on_event_loop
async def test_during_a_shutdown_a_new_connection_has_time_for_its_first_request() -> None:
    """Its request may be the only retry of one that was sent as an earlier connection was closed."""
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        run.listener.drain.begin_shutdown(asyncio.get_running_loop().time() - 60)
        client = await run.connect()
        await wait_until(lambda: run.listener.connections)
        (connection,) = run.listener.connections
        run.listener.close_idle()
        assert not connection.is_closing
        response = await client.request(request("transfer"))
        assert response.status == 200 and response.headers["connection"] == "close"
        assert await client.reader.read() == b""
        silent_client = await run.connect()
        await wait_until(lambda: run.listener.connections)
        (connection,) = run.listener.connections
        connection.opened_s -= 60
        run.listener.close_idle()
        assert await silent_client.reader.read() == b""
        client.close()
        silent_client.close()


@on_event_loop
async def test_a_connection_with_unread_data_is_not_closed_as_idle() -> None:
    """A request may be in the receive buffer of the kernel before the event loop has processed it."""
    import socket

    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        with socket.create_connection(("127.0.0.1", run.port)) as client:
            await wait_until(lambda: run.listener.connections)
            (connection,) = run.listener.connections
            connection.exchange.has_responded = True
            run.listener.drain.begin_shutdown(asyncio.get_running_loop().time() - 60)
            client.sendall(request("transfer"))  # the event loop has not run since
            run.listener.close_idle()
            assert not connection.is_closing
            loop = asyncio.get_running_loop()
            response = await loop.run_in_executor(None, client.recv, 65536)
            assert response.startswith(b"HTTP/1.1 200 ")
