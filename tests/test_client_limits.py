"""Limits on clients: idle and slow clients, too many connections, and malformed requests."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from sagetrack.core.deadlines import REUSE_DELAY_S
from sagetrack.core.memory_budget import MAX_STREAM_BUFFER, STREAM_SHARE, MemoryClaim
from sagetrack.core.processes import NoSiblings
from sagetrack.core.send_rules import CloseReason
from sagetrack.http1 import connection_phases as phases_module
from sagetrack.http1 import downstream as downstream_module
from sagetrack.http1.codec import READ_SIZE
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
from tests.test_gateway_process import connect, gateway_process

TRANSFER = b"POST /transfer/1 HTTP/1.1\r\nHost: b\r\nX-Call-Id: i\r\n"
SMUGGLED = b"0\r\n\r\n" + request("transfer")


def shorten_limits(monkeypatch: pytest.MonkeyPatch, *names: str) -> None:
    """Set these time limits to 0.05 s."""
    for name in names:
        module = phases_module if hasattr(phases_module, name) else downstream_module
        monkeypatch.setattr(module, name, 0.05)


@on_event_loop
async def test_silent_and_idle_clients_are_closed_and_a_busy_one_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        busy, quiet, kept = [await run.connect() for _ in range(3)]
        busy.send(request("transfer"))
        ready = b"GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n"
        assert (await kept.request(ready)).status == 200
        await wait_until(lambda: upstream.exchanges)
        shorten_limits(monkeypatch, "FIRST_BYTE_TIMEOUT_S", "KEEPALIVE_S", "KEEPALIVE_MANY_CLIENTS_S")
        assert await quiet.reader.read() == b"" and await kept.reader.read() == b""
        await wait_until(lambda: len(run.listener.connections) == 1)
        upstream.exchanges[0].respond(http_response(200, b"late"))
        assert (await busy.read_response()).body == b"late"
        phases = run.listener.context.phases
        for phase in (phases.awaiting_first_byte, phases.receiving_request, phases.idle, phases.closing):
            await wait_until(lambda phase=phase: not phase)  # type: ignore[misc]
        for client in (busy, quiet, kept):
            client.close()


@pytest.mark.parametrize(
    "partial",
    [
        b"G",
        b"\r\n",
        TRANSFER,
        TRANSFER + b"Content-Length: 9\r\n\r\nhalf",
        TRANSFER + b"Content-Length: 1\r\n\r\n",
    ],
)
@on_event_loop
async def test_an_incomplete_request_gets_a_408_after_its_time_limit(
    partial: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    shorten_limits(monkeypatch, "REQUEST_TIMEOUT_S", "LINGER_S")
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        response = await client.request(partial)
        assert response.status == 408 and response.headers["connection"] == "close"
        assert await client.reader.read() == b""
        await wait_until(lambda: not run.listener.connections)
        assert not upstream.exchanges
        client.close()


IDLE_S = 20 * REUSE_DELAY_S  # long enough for reuse of the idle connection even on a busy machine


@on_event_loop
async def test_silent_clients_displace_neither_upstream_connections_nor_other_clients(tmp_path: Path) -> None:
    """A gateway process with 80 descriptors, and 300 client connections that send nothing."""
    config = configuration("127.0.0.1:1") | {"limits": {"sockets": 80}}
    async with scripted_server() as upstream:
        config["known"]["endpoints"][0]["address"] = upstream.address
        async with gateway_process(tmp_path, config) as (process, port):
            client = await connect(port)
            assert (await client.request(request("transfer"))).status == 200
            idle_clients = await asyncio.gather(*(connect(port) for _ in range(300)))
            other = await connect(port)
            for active_client in (client, other):
                await asyncio.sleep(IDLE_S)
                active_client.send(request("transfer"))
                try:
                    assert (await active_client.read_response()).status == 200
                except (ConnectionError, asyncio.IncompleteReadError):  # closed just before: retry once
                    again = await connect(port)
                    assert (await again.request(request("transfer"))).status == 200
                    again.close()
            count = len(list(Path(f"/proc/{process.pid}/fd").iterdir()))
            assert count <= 80
            for idle_client in (*idle_clients, client, other):
                idle_client.close()
            process.terminate()
            log = (await process.communicate())[1].decode()
        # The upstream connection was reused, according to the log of the gateway and to the server, for every
        # request. Connections to the server's port are not counted, as another process may still connect to
        # a former user of that port.
        assert "PoolCounts(opened=1," in log, log
        assert len({exchange.connection_number for exchange in upstream.exchanges}) == 1


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (
            TRANSFER + b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n" % len(SMUGGLED) + SMUGGLED,
            400,
        ),
        (TRANSFER + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Content-Length: 0\r\nContent-Length: 9\r\n\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Content-Length: 0, 0\r\n\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Content-Length: +0\r\n\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Content-Length: \r\n\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Transfer-Encoding: gzip\r\n\r\n" + SMUGGLED, 501),
        (TRANSFER + b"Transfer-Encoding: gzip, chunked\r\n\r\n" + SMUGGLED, 501),
        (TRANSFER + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Transfer-Encoding: \x0bchunked\r\n\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Transfer-Encoding: chunked\r\n\r\n-1\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Transfer-Encoding: chunked\r\n\r\n" + b"f" * 17 + b"\r\n" + SMUGGLED, 400),
        (TRANSFER + b"Transfer-Encoding: chunked\r\n\r\n1;" + b"x" * 40_000, 431),
        (TRANSFER + b"Content-Length: 60000000\r\n\r\n" + b"x" * 500_000, 413),
        (TRANSFER + b"Expect: miracles\r\nContent-Length: 1\r\n\r\n", 417),
        (TRANSFER + b"X-Call-Id: j\r\nContent-Length: 0\r\n\r\n", 400),
        (TRANSFER + b"X-A: b\x00c\r\nContent-Length: 0\r\n\r\n", 400),
        (TRANSFER + b"X-A: b\r\n folded\r\nContent-Length: 0\r\n\r\n", 400),
        (TRANSFER + b"X: y\r\n" * 4000, 431),
        (b"\r\n" * 10_000, 431),
        (b"GET /" + b"s" * 20_000, 431),
        (b"GET /search/1\r\n\r\n", 505),
        (b"GET /search/1#2 HTTP/1.1\r\nX-Call-Id: i\r\n\r\n", 400),
        (b"GET http://b/search/1 HTTP/1.1\r\nX-Call-Id: i\r\n\r\n", 404),
        (b"GET /search/1 HTTP/1.1\r\nX-Call-Id: " + b"i" * 200 + b"\r\n\r\n", 400),
        (b"CONNECT b:1 HTTP/1.1\r\n\r\n", 404),
        (b"OPTIONS * HTTP/1.1\r\n\r\n", 404),
        (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 400),
    ],
)
@on_event_loop
async def test_malformed_requests_are_rejected_and_not_forwarded(data: bytes, status: int) -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        client.send(data)
        response = await client.read_response()
        assert response.status == status
        assert (await run.request(request())).status == 200
        assert len(upstream.exchanges) == 1 and "search" in upstream.exchanges[0].message.start_line
        client.close()


@on_event_loop
async def test_hundreds_of_pipelined_requests_stay_unparsed_and_all_get_responses() -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        client.send(b"GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n" * 1000)
        max_waiting = 0
        for _ in range(1000):
            assert (await client.read_response()).status == 200
            max_waiting = max(max_waiting, *(len(c.reader.requests) for c in run.listener.connections))
        assert 0 < max_waiting < 200
        client.close()


@on_event_loop
async def test_a_budget_over_the_class_timeout_is_reduced_and_a_budget_of_zero_fails_at_once() -> None:
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        client.send(request("transfer", budget_ms=10**14))
        await wait_until(lambda: upstream.exchanges)
        assert int(upstream.exchanges[0].message.headers["x-budget-ms"]) <= 20_000
        assert (await run.request(request("transfer", budget_ms=0))).status in (502, 503, 504)
        client.close()


@on_event_loop
async def test_clients_that_never_finish_a_request_are_closed_for_others(tmp_path: Path) -> None:
    """A gateway process with 80 descriptors, and 300 clients that never complete their request."""
    async with scripted_server() as upstream:
        config = configuration(upstream) | {"limits": {"sockets": 80}}
        async with gateway_process(tmp_path, config) as (process, port):
            idle_clients = []
            for _ in range(3):
                idle_clients += await asyncio.gather(*(connect(port) for _ in range(100)))
                for idle_client in idle_clients[-100:]:
                    idle_client.send(TRANSFER)
                client = await connect(port)
                assert (await client.request(request("transfer"))).status == 200
                client.close()
            count = len(list(Path(f"/proc/{process.pid}/fd").iterdir()))
            assert count <= 80
            for idle_client in idle_clients:
                idle_client.close()


@on_event_loop
async def test_clients_past_their_request_head_timeout_are_closed_first() -> None:
    ready = b"GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n"
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        phases = run.listener.context.phases
        overdue, kept, writing = [await run.connect() for _ in range(3)]
        overdue.send(TRANSFER)
        assert (await kept.request(ready)).status == 200
        writing.send(TRANSFER)
        await wait_until(lambda: len(phases.receiving_request) == 2 and len(phases.idle) == 1)
        first = next(iter(phases.receiving_request))
        phases.receiving_request[first] -= phases_module.FIRST_BYTE_TIMEOUT_S
        for client in (overdue, kept, writing):
            if client is writing:  # within its time limit: closed only if descriptors are exhausted
                assert not phases.reclaim(CloseReason.RECLAIM_DESCRIPTOR)
            assert phases.reclaim(CloseReason.DESCRIPTORS_EXHAUSTED)
            assert await client.reader.read() == b""
            client.close()
        assert not phases.reclaim(CloseReason.DESCRIPTORS_EXHAUSTED)


@on_event_loop
async def test_an_incomplete_request_does_not_delay_the_shutdown(tmp_path: Path) -> None:
    """The shutdown waits neither for the deadline of 20 s nor for the 3.6 s that such a request may take."""
    import signal

    from sagetrack.core.drain import SHUTDOWN_INCOMPLETE_WAIT_S

    async with (
        scripted_server(no_response) as upstream,
        gateway_process(tmp_path, configuration(upstream)) as (process, port),
    ):
        partial, held = await connect(port), await connect(port)
        partial.send(TRANSFER)
        held.send(request("transfer"))
        await wait_until(lambda: upstream.exchanges)
        loop = asyncio.get_running_loop()
        since_s = loop.time()
        process.send_signal(signal.SIGTERM)
        rejection = await partial.read_response()  # gets a response while the other request is still pending
        assert rejection.status == 503 and rejection.headers["connection"] == "close"
        assert await partial.reader.read() == b""
        assert loop.time() - since_s >= SHUTDOWN_INCOMPLETE_WAIT_S
        upstream.exchanges[0].respond(http_response())
        assert (await held.read_response()).status == 200
        assert await process.wait() == 0
        _, errors = await process.communicate()
        assert b"unanswered" not in errors
        partial.close()
        held.close()


# Guards against memory for requests read ahead that grows with the number of connections (review/2).
@on_event_loop
async def test_requests_read_ahead_share_one_memory_budget_and_all_get_responses() -> None:
    body = bytes(60_000)
    each = 12
    async with scripted_server(no_response) as upstream:
        config = configuration(upstream) | {"limits": {"memory_mb": 32, "sockets": 1024}}
        async with running_gateway(config) as run:
            budget = run.listener.context.memory_budget
            budget.rest_bytes = budget.total_bytes - 8 * 1024 * 1024
            clients = [await run.connect() for _ in range(30)]
            for client in clients:
                client.send(b"".join(request("hold", body) for _ in range(each)))
            await wait_until(lambda: upstream.exchanges and not budget.allows_read_ahead)
            await asyncio.sleep(0.2)
            # Beyond the share for reading ahead, each connection holds one request and one read.
            assert 0 < budget.used_bytes < budget.total_bytes / 2 + len(clients) * 2 * READ_SIZE
            assert sum(len(c.reader.requests) for c in run.listener.connections) < len(clients) * each / 2
            upstream.script = respond_with(http_response(200, b"fine"))
            for exchange in upstream.exchanges:
                exchange.respond(http_response(200, b"fine"))
            for client in clients:
                for _ in range(each):
                    assert (await client.read_response()).status in (200, 503)
                client.close()
            await wait_until(lambda: not run.listener.connections)
            assert budget.claimed_bytes == 0


@on_event_loop
async def test_a_long_body_that_waits_unparsed_behind_another_request_is_read_on() -> None:
    body = bytes(200_000)
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        budget = run.listener.context.memory_budget
        MemoryClaim(budget).update(budget.total_bytes // 2)
        assert not budget.allows_read_ahead
        client = await run.connect()
        client.send(request("search") + request("search") + request("transfer", body))
        assert [(await client.read_response()).status for _ in range(3)] == [200] * 3
        assert upstream.exchanges[-1].message.body == body
        client.close()


class TwoSiblings(NoSiblings):
    """Reports two other processes of the same gateway from the first refresh on."""

    def refresh(self) -> None:
        self.sibling_count = 2


@on_event_loop
async def test_processes_of_one_gateway_share_its_memory_budgets() -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        budget = run.listener.memory_budget
        alone = budget.total_bytes
        budget.active_bodies = int(alone * STREAM_SHARE) // MAX_STREAM_BUFFER
        assert budget.stream_buffer_bytes == MAX_STREAM_BUFFER
        run.listener.siblings = TwoSiblings()
        run.listener.sweep()
        assert budget.total_bytes == alone // 3
        assert budget.stream_buffer_bytes < MAX_STREAM_BUFFER // 2
        budget.rest_bytes = alone // 4  # each process has its own memory at rest
        assert budget.total_bytes == alone // 3 - alone // 4
