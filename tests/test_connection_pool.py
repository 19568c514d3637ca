"""Connections to upstream servers: reuse, expiry, cancellation and drains."""

from __future__ import annotations

import asyncio

from sagetrack.config.platform import parse
from sagetrack.core.responses import Response
from sagetrack.discovery.endpoint_parsing import parse_endpoint_list
from sagetrack.http1.attempt import Attempt
from sagetrack.http1.upstream_connection import UpstreamConnection
from sagetrack.policy.events import ListKind, Outcome
from tests.sockets import (
    Exchange,
    RunningGateway,
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


def idle(run: RunningGateway, number: int = 0) -> list[UpstreamConnection]:
    return run.assembly.pools.servers[server_id(number)].idle


@on_event_loop
async def test_connections_are_reused_by_one_request_at_a_time() -> None:
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        tasks = [asyncio.create_task(run.request(request())) for _ in range(2)]
        await wait_until(lambda: len(upstream.exchanges) == 2)
        assert upstream.opened_connections == 2
        for exchange in upstream.exchanges:
            exchange.respond(http_response())
        await asyncio.gather(*tasks)
        upstream.script = respond_with(http_response())
        for _ in range(3):
            await wait_for_reusable_connections(run)
            assert (await run.request(request())).status == 200
        assert upstream.opened_connections == 2
        last = [exchange.connection_number for exchange in upstream.exchanges[2:]]
        assert len(set(last)) == 1  # the most recently used one, so that the other can expire


@on_event_loop
async def test_nothing_is_sent_on_a_connection_that_the_server_has_closed() -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        assert (await run.request(request("transfer"))).status == 200
        pool, connection = run.assembly.pools, idle(run)[0]
        upstream.exchanges[0].writer.close()
        await wait_until(lambda: not connection.is_usable())
        ended: list[Outcome] = []
        # Reproduces the moment before the event loop reports the close.
        if not idle(run):
            idle(run).append(connection)

        def on_attempt_ended(attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
            ended.append(outcome)

        data = request("transfer")
        pool.attempts.send(
            Attempt(pool.servers[server_id(0)], lambda remaining_us: data, 20_000_000, on_attempt_ended)
        )
        await wait_until(lambda: ended)
        assert ended == [Outcome.OK] and upstream.opened_connections == 2


@on_event_loop
async def test_is_usable_detects_a_close_before_the_event_loop_does() -> None:
    """Nothing is written to a connection whose close the blocked event loop has not processed yet."""
    import socket

    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(True)
        config = configuration(f"127.0.0.1:{listener.getsockname()[1]}")
        async with running_gateway(config) as run:
            loop = asyncio.get_running_loop()
            request_task = asyncio.create_task(run.request(request()))
            accepted, _ = await loop.run_in_executor(None, listener.accept)
            await loop.run_in_executor(None, accepted.recv, 65536)
            accepted.sendall(http_response())
            await request_task
            connection = idle(run)[0]
            assert connection.is_usable()
            accepted.close()  # the event loop has not run since
            assert not connection.is_usable()


@on_event_loop
async def test_connection_close_from_the_server_is_honoured() -> None:
    async with (
        scripted_server(respond_with(http_response(200, b"", "Connection: close"))) as upstream,
        running_gateway(configuration(upstream)) as run,
    ):
        for opened in (1, 2):
            assert (await run.request(request())).status == 200
            assert upstream.opened_connections == opened
        assert not idle(run)


@on_event_loop
async def test_spare_connections_expire_soon_and_the_last_before_the_server_closes_it() -> None:
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        tasks = [asyncio.create_task(run.request(request())) for _ in range(3)]
        await wait_until(lambda: len(upstream.exchanges) == 3)
        for exchange in upstream.exchanges:
            exchange.respond(http_response())
        await asyncio.gather(*tasks)
        pools = run.assembly.pools
        for connection in idle(run):
            connection.idle_since_us -= 10_000_000
        pools.sweep()
        await wait_until(lambda: pools.open_connections == 1)
        idle(run)[0].idle_since_us -= 45_000_000
        pools.sweep()
        await wait_until(lambda: pools.open_connections == 0 and upstream.closed_connections == 3)


@on_event_loop
async def test_a_draining_server_keeps_no_idle_connection_and_completes_its_requests() -> None:
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        request_task = asyncio.create_task(run.request(request()))
        await wait_until(lambda: upstream.exchanges)
        names = parse(configuration(upstream)).names
        _, _, entries = parse_endpoint_list(
            endpoint_list(8, endpoint("s-0", upstream.address, status="DRAINING")), names
        )
        run.gateway.on_endpoint_list(ListKind.DELTA, entries)
        assert (await run.request(request())).status == 503  # there is no other server
        upstream.exchanges[0].respond(http_response(200, b"done"))
        assert (await request_task).body == b"done"
        await wait_until(lambda: upstream.closed_connections == 1)
        assert len(upstream.exchanges) == 1


@on_event_loop
async def test_no_attempt_starts_after_the_notice_of_a_drain() -> None:
    """No request is sent on a connection that is established after the notice, even for an earlier attempt.

    The grace period does not postpone this, as it may have started before the notice reached the gateway.
    """
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        pools, ended = run.assembly.pools, list[Outcome]()

        def on_attempt_ended(attempt: Attempt, outcome: Outcome, response: Response | None) -> None:
            ended.append(outcome)

        server = pools.servers[server_id(0)]
        pools.attempts.send(Attempt(server, lambda remaining_us: request(), 20_000_000, on_attempt_ended))
        pools.drain(server)
        await wait_until(lambda: ended)
        assert ended == [Outcome.NOT_SENT] and not upstream.exchanges
        pools.attempts.send(Attempt(server, lambda remaining_us: request(), 20_000_000, on_attempt_ended))
        assert ended == [Outcome.NOT_SENT] * 2


@on_event_loop
async def test_a_moved_server_is_reached_at_its_new_address() -> None:
    async with scripted_server() as old, scripted_server() as new, running_gateway(configuration(old)) as run:
        old.script = no_response
        request_task = asyncio.create_task(run.request(request()))
        await wait_until(lambda: old.exchanges)
        names = parse(configuration(old)).names
        _, _, entries = parse_endpoint_list(endpoint_list(8, endpoint("s-0", new.address)), names)
        run.gateway.on_endpoint_list(ListKind.DELTA, entries)
        old.exchanges[0].respond(http_response())
        await request_task
        assert not idle(run)  # the old connection is not kept for the new address
        assert (await run.request(request())).status == 200
        assert len(old.exchanges) == len(new.exchanges) == 1


@on_event_loop
async def test_a_restarted_server_gets_new_connections() -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        names = parse(configuration(upstream)).names
        assert (await run.request(request())).status == 200
        for since_ms, kept in ((0, 1), (1_000, 0)):
            _, _, entries = parse_endpoint_list(
                endpoint_list(8, endpoint("s-0", upstream.address, since_ms=since_ms)), names
            )
            run.gateway.on_endpoint_list(ListKind.DELTA, entries)
            assert len(idle(run)) == kept
        assert (await run.request(request())).status == 200
        assert upstream.opened_connections == 2


@on_event_loop
async def test_idle_connections_are_closed_when_descriptors_run_short() -> None:
    async with scripted_server() as one, scripted_server() as two:
        config = configuration(one, two)
        async with running_gateway(config) as run:
            client = await run.connect()
            for _ in range(6):
                assert (await client.request(request())).status == 200
            pools = run.assembly.pools
            idle_count = pools.open_connections
            assert idle_count >= 1
            object.__setattr__(run.listener.config, "sockets", 1)
            # An idle client is closed before idle upstream connections, which cost a handshake.
            run.listener.descriptors.reclaim_for_upstream()
            await wait_until(lambda: not run.listener.connections)
            assert pools.open_connections == idle_count
            for _ in range(idle_count):
                run.listener.descriptors.reclaim_for_upstream()
            await wait_until(lambda: pools.open_connections == 0)
            client.close()


@on_event_loop
async def test_a_surplus_response_closes_the_connection() -> None:
    """A connection on which data follows the expected response is not reused."""

    def send_two_responses(exchange: Exchange) -> None:
        exchange.respond(http_response(200, b"mine") + http_response(200, b"whose?"))

    async with (
        scripted_server(send_two_responses) as upstream,
        running_gateway(configuration(upstream)) as run,
    ):
        for opened in (1, 2):
            assert (await run.request(request())).body == b"mine"
            assert upstream.opened_connections == opened


@on_event_loop
async def test_an_attempt_cancelled_while_its_connection_opens_leaks_no_connection() -> None:
    """connection_lost may not be called if the connect task is cancelled after connection_made."""
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        pools = run.assembly.pools
        connected = pools.attempts.on_connected

        def cancel_and_connect(connection: UpstreamConnection) -> None:
            attempt = connection.attempt
            if attempt is not None:
                pools.cancel(attempt)
            connected(connection)

        pools.attempts.on_connected = cancel_and_connect  # type: ignore[method-assign]
        client = await run.connect()
        client.send(request("transfer"))
        await wait_until(lambda: pools.counts.opened)
        await wait_until(lambda: pools.open_connections == 0)
        (server,) = pools.servers.values()
        assert server.open_connections == 0 and not server.idle and not upstream.exchanges
        client.close()
