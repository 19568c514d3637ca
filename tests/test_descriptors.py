"""Descriptors while idle clients fill them: discovery and servers keep their part, alone and side by side."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from sagetrack.http1.descriptors import RESERVE
from tests.sockets import (
    Client,
    Exchange,
    RunningGateway,
    ScriptedServer,
    configuration,
    endpoint,
    http_response,
    list_response,
    no_response,
    on_event_loop,
    request,
    running_gateway,
    scripted_server,
    server_id,
    wait_until,
)

KINDS = 4


def within(run: RunningGateway) -> bool:
    """Whether clients and servers leave the reserve untouched."""
    server = run.listener
    return server.count_clients() + run.assembly.pools.open_connections + RESERVE <= server.descriptors.limit


async def fill(run: RunningGateway, count: int) -> list[Client]:
    """So many clients that want nothing now: silent, kept, half-written, and such that read no answer."""
    made = []
    for n in range(count):
        client = await run.connect()
        made.append(client)
        match n % KINDS:
            case 1:
                client.send(b"GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n")
                await client.read_response()
            case 2:
                client.send(request("transfer")[:20])
            case 3:
                client.send(b"GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n" * 3)
        await wait_until(lambda: within(run))
    return made


@asynccontextmanager
async def down_then_up(upstream: ScriptedServer) -> AsyncIterator[tuple[ScriptedServer, list[bool]]]:
    """A discovery that ends every call, until it is told to answer with this server."""
    up: list[bool] = []

    async def script(exchange: Exchange) -> None:
        if not up:
            exchange.reset()
        elif "from=" in exchange.message.start_line:
            await asyncio.sleep(0.2)
            exchange.respond(list_response(9, snapshot=False))
        else:
            exchange.respond(list_response(9, endpoint("s-0", upstream.address)))

    async with scripted_server(script) as discovery:
        yield discovery, up


@pytest.mark.parametrize("sockets", [256, 1024])
@pytest.mark.parametrize("others", [0, 1])
@on_event_loop
async def test_idle_clients_fill_the_descriptors_while_discovery_is_down(sockets: int, others: int) -> None:
    """It returns: the list is taken, first requests have their server, who is owed an answer has it."""
    async with (
        scripted_server(no_response) as old,
        scripted_server() as new,
        down_then_up(new) as (discovery, up),
    ):
        config = configuration(old, discovery=discovery.address) | {"limits": {"sockets": sockets}}
        async with running_gateway(config) as run:
            run.listener.siblings.sibling_count = others
            owed = await run.connect()
            owed.send(request("transfer"))
            await wait_until(lambda: old.exchanges)
            crowd = await fill(run, run.listener.descriptors.max_clients + KINDS * 4)
            assert run.listener.count_clients() >= run.listener.descriptors.max_clients - 1 and within(run)
            up.append(True)
            await wait_until(lambda: run.assembly.pools.servers[server_id(0)].address == parsed(new))
            fresh = [await run.connect() for _ in range(20)]
            for client in fresh:
                client.send(request("search"))
            for client in fresh:
                assert (await client.read_response()).status == 200
            assert within(run)
            old.exchanges[0].respond(http_response())
            assert (await owed.read_response()).status == 200
            for client in (owed, *fresh, *crowd):
                client.close()


def parsed(peer_: ScriptedServer) -> tuple[str, int]:
    host, _, port = peer_.address.rpartition(":")
    return host, int(port)


@pytest.mark.parametrize("sockets", [256, 1024])
@on_event_loop
async def test_a_full_process_makes_way_when_a_second_one_starts(sockets: int) -> None:
    """The limit is for both together: what asks nothing is closed by the next look, what is owed is not."""
    async with scripted_server(no_response) as upstream:
        config = configuration(upstream) | {"limits": {"sockets": sockets}}
        async with running_gateway(config) as run:
            owed = await run.connect()
            owed.send(request("transfer"))
            await wait_until(lambda: upstream.exchanges)
            crowd = await fill(run, run.listener.descriptors.max_clients)
            assert run.listener.count_clients() >= run.listener.descriptors.max_clients - 1
            run.listener.siblings.sibling_count = 1
            run.listener.sweep()
            await wait_until(lambda: not any(c.is_closing for c in run.listener.connections))
            assert within(run)
            upstream.exchanges[0].respond(http_response())
            assert (await owed.read_response()).status == 200
            for client in (owed, *crowd):
                client.close()
