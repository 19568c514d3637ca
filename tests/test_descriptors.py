"""Descriptor limits with many idle clients, with one process of the gateway and with two."""

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


def is_within_limit(run: RunningGateway) -> bool:
    """Return whether client and upstream connections leave the reserve free."""
    server = run.listener
    return server.count_clients() + run.assembly.pools.open_connections + RESERVE <= server.descriptors.limit


async def connect_idle_clients(run: RunningGateway, count: int) -> list[Client]:
    """Connect clients of four kinds: silent, idle, with an incomplete request, and not reading responses."""
    clients = []
    for n in range(count):
        client = await run.connect()
        clients.append(client)
        match n % KINDS:
            case 1:
                client.send(b"GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n")
                await client.read_response()
            case 2:
                client.send(request("transfer")[:20])
            case 3:
                client.send(b"GET /health/ready HTTP/1.1\r\nHost: b\r\n\r\n" * 3)
        await wait_until(lambda: is_within_limit(run))
    return clients


@asynccontextmanager
async def discovery_down_then_up(
    upstream: ScriptedServer,
) -> AsyncIterator[tuple[ScriptedServer, list[bool]]]:
    """Run a discovery server that resets every call until `up` has an entry, then returns this server."""
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
@pytest.mark.parametrize("siblings", [0, 1])
@on_event_loop
async def test_idle_clients_fill_the_descriptors_while_discovery_is_down(sockets: int, siblings: int) -> None:
    """After discovery returns, its list is applied, and new and pending requests get their responses."""
    async with (
        scripted_server(no_response) as old,
        scripted_server() as new,
        discovery_down_then_up(new) as (discovery, up),
    ):
        config = configuration(old, discovery=discovery.address) | {"limits": {"sockets": sockets}}
        async with running_gateway(config) as run:
            run.listener.siblings.sibling_count = siblings
            pending_client = await run.connect()
            pending_client.send(request("transfer"))
            await wait_until(lambda: old.exchanges)
            idle_clients = await connect_idle_clients(run, run.listener.descriptors.max_clients + KINDS * 4)
            assert (
                run.listener.count_clients() >= run.listener.descriptors.max_clients - 1
                and is_within_limit(run)
            )
            up.append(True)
            await wait_until(lambda: run.assembly.pools.servers[server_id(0)].address == address_of(new))
            new_clients = [await run.connect() for _ in range(20)]
            for client in new_clients:
                client.send(request("search"))
            for client in new_clients:
                assert (await client.read_response()).status == 200
            assert is_within_limit(run)
            old.exchanges[0].respond(http_response())
            assert (await pending_client.read_response()).status == 200
            for client in (pending_client, *new_clients, *idle_clients):
                client.close()


def address_of(server: ScriptedServer) -> tuple[str, int]:
    host, _, port = server.address.rpartition(":")
    return host, int(port)


@pytest.mark.parametrize("sockets", [256, 1024])
@on_event_loop
async def test_a_full_process_frees_descriptors_when_a_second_one_starts(sockets: int) -> None:
    """Both processes share the limit; the next sweep closes idle clients but no pending request."""
    async with scripted_server(no_response) as upstream:
        config = configuration(upstream) | {"limits": {"sockets": sockets}}
        async with running_gateway(config) as run:
            pending_client = await run.connect()
            pending_client.send(request("transfer"))
            await wait_until(lambda: upstream.exchanges)
            idle_clients = await connect_idle_clients(run, run.listener.descriptors.max_clients)
            assert run.listener.count_clients() >= run.listener.descriptors.max_clients - 1
            run.listener.siblings.sibling_count = 1
            run.listener.sweep()
            await wait_until(lambda: not any(c.is_closing for c in run.listener.connections))
            assert is_within_limit(run)
            upstream.exchanges[0].respond(http_response())
            assert (await pending_client.read_response()).status == 200
            for client in (pending_client, *idle_clients):
                client.close()
