"""A client that has closed or cancelled has gone: nothing is begun for it, whatever its call waits for.

Each crossing is forced where the loop has had no turn since the client left, or does not read from it: only
the look before the first byte can see it. The rule allows 0.1 s; here it is the same turn.
"""

from __future__ import annotations

import asyncio
import os
import select
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

import sagetrack.http1.downstream as client_module
from sagetrack.config.operator import load as load_operator
from sagetrack.core.clock import now_us
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.peer_close import has_peer_closed
from sagetrack.http1.downstream import MAX_PIPELINED, ClientConnection
from sagetrack.policy.actions import Action, SetTimer
from sagetrack.policy.events import ListedServer, Outcome, RequestArrived, TimerFired
from tests.grpc_helpers import GrpcUpstreamRig, grpc_upstream_rig, request_head, send_request
from tests.sockets import (
    Client,
    RunningGateway,
    configuration,
    http_response,
    no_response,
    on_event_loop,
    request,
    running_gateway,
    scripted_server,
    server_id,
    wait_for_reusable_connections,
    wait_until,
)
from tests.test_races import Late, outcomes

BEHIND = 3 * MAX_PIPELINED  # more than is read ahead: after so many, nothing is read from a client


def unheard(run: RunningGateway) -> None:
    """Let the loop not be told of the end of clients on which nothing is read."""
    run.listener.context.hangups.watch = lambda descriptor, on_hangup: None  # type: ignore[method-assign]


async def crowding(run: RunningGateway, class_name: str = "transfer") -> tuple[Client, ClientConnection]:
    """A client that has sent more than is read ahead, and the gateway's end of its connection."""
    before = set(run.listener.connections)
    client = await run.connect()
    client.send(b"".join(request(class_name) for _ in range(BEHIND)))
    await wait_until(lambda: run.listener.context.paused - before)
    (connection,) = run.listener.context.paused - before
    await wait_until(lambda: connection.exchange.request is not None)
    return client, connection


async def leaves(client: Client, connection: ClientConnection) -> None:
    """It closes, and the kernel of the gateway's machine knows."""
    client.close()
    await wait_until(lambda: has_peer_closed(connection.poll))


def ends_between_turns(transport: asyncio.BaseTransport | None, poll: select.poll) -> None:
    """Its client hangs up, and the kernel of the gateway's machine knows before the loop has a turn."""
    assert transport is not None
    bare = transport.get_extra_info("socket")
    with socket.socket(fileno=os.dup(bare.fileno())) as same:
        same.shutdown(socket.SHUT_RDWR)
    poll.poll(5_000)  # ms: it comes at once on this machine
    assert has_peer_closed(poll)


async def nothing_is_owed(run: RunningGateway) -> None:
    await wait_until(lambda: not run.gateway.in_flight)


# What the loop has not seen


@on_event_loop
async def test_a_request_read_together_with_the_disconnect_is_not_sent() -> None:
    """As after a turn that took long: the client has given up in the queue of the listening socket."""
    arrived = 0
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        handle = run.gateway.balancer.handle

        def listen(now: int, event: object) -> object:
            nonlocal arrived
            arrived += isinstance(event, RequestArrived)
            return handle(now, event)  # type: ignore[arg-type]

        run.gateway.balancer.handle = listen  # type: ignore[method-assign,assignment]
        assert (await run.request(request())).status == 200
        await wait_for_reusable_connections(
            run
        )  # a connection to the server is there: nothing would hold the request up
        for class_index in ("search", "transfer"):
            with socket.create_connection(("127.0.0.1", run.port)) as client:
                client.sendall(request(class_index))
        await wait_until(lambda: arrived == 3 and not run.listener.connections)
        await nothing_is_owed(run)
        assert len(upstream.exchanges) == 1


@on_event_loop
async def test_a_disconnect_in_the_turn_in_which_the_upstream_connection_opens() -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        late = Late(run)
        client = await run.connect()
        client.send(request("transfer"))
        await wait_until(lambda: late.held)
        (connection,) = run.listener.connections
        ends_between_turns(client.writer.transport, connection.poll)
        late.release()
        await nothing_is_owed(run)
        assert not upstream.exchanges


# What is not read from the client


@on_event_loop
async def test_a_disconnect_while_the_first_attempt_waits_for_a_connection() -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        unheard(run)
        late = Late(run)
        client, connection = await crowding(run)
        await wait_until(lambda: late.held)
        await leaves(client, connection)
        late.release()
        await nothing_is_owed(run)
        assert not upstream.exchanges


@on_event_loop
async def test_a_disconnect_while_the_first_attempt_waits_for_reuse(monkeypatch: pytest.MonkeyPatch) -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        unheard(run)
        assert (await run.request(request())).status == 200
        (kept,) = run.assembly.pools.servers[server_id(0)].idle
        monkeypatch.setattr("sagetrack.http1.idle_connections.REUSE_DELAY_S", 60.0)
        kept.idle_since_us, kept.last_response_us = now_us(), 200_000_000
        client, connection = await crowding(run)
        await wait_until(lambda: kept.waiting_attempt)
        await leaves(client, connection)
        run.assembly.pools.attempts.on_reusable(kept)
        await nothing_is_owed(run)
        assert len(upstream.exchanges) == 1


@on_event_loop
async def test_a_disconnect_before_a_retry_after_a_rejection() -> None:
    async with (
        scripted_server(no_response) as one,
        scripted_server(no_response) as other,
        running_gateway(configuration(one, other)) as run,
    ):
        unheard(run)
        client, connection = await crowding(run)
        await wait_until(lambda: one.exchanges or other.exchanges)
        (first,) = one.exchanges + other.exchanges
        await leaves(client, connection)
        told = outcomes(run)
        first.respond(http_response(503, b"", "X-Rejected: 1"))
        await nothing_is_owed(run)
        assert told[0] is Outcome.REJECTED and set(told[1:]) <= {Outcome.NOT_SENT}
        assert len(one.exchanges + other.exchanges) == 1


class Timers:
    """The module's timers, held until they are fired."""

    def __init__(self, run: RunningGateway) -> None:
        self.run, self.carry_out = run, run.gateway.executor.execute
        self.held: list[SetTimer] = []
        run.gateway.executor.execute = self.take  # type: ignore[method-assign]

    def take(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.held.append(action)
        else:
            self.carry_out(action)

    async def fire(self) -> None:
        """Those up to the first that comes to something."""
        while self.held:
            timer = min(self.held, key=lambda timer: timer.due_us)
            self.held.remove(timer)
            await wait_until(lambda due_us=timer.due_us: now_us() >= due_us)  # type: ignore[misc]
            event = TimerFired(timer.token)
            self.run.gateway.post(lambda event=event: event)  # type: ignore[misc]
            if len(next(iter(self.run.gateway.in_flight.values())).attempts) > 1:
                return


@on_event_loop
async def test_a_disconnect_before_a_hedged_attempt() -> None:
    async with scripted_server(no_response) as one, scripted_server(no_response) as other:
        config = configuration(one, other, mayCancel=False, secondCopies=True)
        async with running_gateway(config) as run:
            unheard(run)
            run.gateway.balancer.latency.smoothed_us = [1_000.0] * 3  # a copy after 4 ms
            timers = Timers(run)
            client, connection = await crowding(run, "search")
            await wait_until(lambda: one.exchanges or other.exchanges)
            (first,) = one.exchanges + other.exchanges
            (held,) = run.gateway.in_flight.values()
            await leaves(client, connection)
            await timers.fire()
            assert len(held.attempts) == 2 and held.is_finished
            first.respond(http_response())
            await nothing_is_owed(run)
            assert len(one.exchanges + other.exchanges) == 1


@pytest.mark.parametrize("what", ["its turn by key", "room"])
@on_event_loop
async def test_a_disconnect_while_the_request_waits_for_another(what: str) -> None:
    config = configuration()
    for lane in config["settings"]["lanes"]:
        lane["sequential"] = what == "its turn by key"
    async with scripted_server(no_response) as upstream:
        config["known"] = configuration(upstream)["known"]
        async with running_gateway(config) as run:
            unheard(run)
            Timers(run)  # nobody stops waiting
            clients: list[Client] = []
            before = -1
            while len(upstream.exchanges) != before:  # until one finds no room
                before = len(upstream.exchanges)
                clients.append(await run.connect())
                clients[-1].send(request("transfer"))
                await wait_until(lambda: len(run.gateway.in_flight) == len(clients))
                out = sum(held.attempts_in_flight for held in run.gateway.in_flight.values())
                await wait_until(lambda out=out: len(upstream.exchanges) == out)  # type: ignore[misc]
            clients.pop().close()
            await wait_until(lambda: len(run.gateway.in_flight) == len(clients))
            assert len(upstream.exchanges) == len(clients)
            client, connection = await crowding(run)
            waiting = connection.exchange.request
            assert waiting is not None and run.gateway.in_flight[waiting.id].attempts_in_flight == 0
            await leaves(client, connection)
            for exchange in list(upstream.exchanges):
                exchange.respond(http_response())
            for other in clients:
                assert (await other.read_response()).status == 200
            await nothing_is_owed(run)
            assert len(upstream.exchanges) == len(clients)
            for other in clients:
                other.close()


@on_event_loop
async def test_a_disconnect_while_the_body_is_received() -> None:
    """Nothing more of it is read before it has a server, and so the client's end is not either."""
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        unheard(run)
        late = Late(run)
        client = await run.connect()
        client.send(request("transfer", content_length="1000000") + bytes(140_000))
        await wait_until(lambda: run.listener.context.paused and late.held)
        await wait_until(lambda: not client.writer.transport.get_write_buffer_size())
        (connection,) = run.listener.connections
        await leaves(client, connection)
        told = outcomes(run)
        late.release()
        await nothing_is_owed(run)
        assert told == [Outcome.NOT_SENT] and upstream.opened_connections <= 1 and not upstream.exchanges
        await wait_until(
            lambda: run.assembly.pools.open == 0
            and upstream.closed_connections == upstream.opened_connections
        )


# The loop is told of it, though nothing is read


@on_event_loop
async def test_the_kernel_reports_a_disconnect_while_reading_is_paused() -> None:
    """No sweep is waited for: the call ends where it is, and its attempt as far as may be."""
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        assert run.listener.sweeper is not None
        run.listener.sweeper.cancel()
        late = Late(run)
        told = outcomes(run)
        client, connection = await crowding(run)
        await wait_until(lambda: late.held)
        client.close()
        await wait_until(lambda: not run.listener.connections)
        await nothing_is_owed(run)
        context = run.listener.context
        assert told == [Outcome.NOT_SENT] and not context.paused and not context.hangups.watched
        late.release()
        await wait_until(lambda: run.assembly.pools.open == 0)
        assert not upstream.exchanges


@on_event_loop
async def test_only_a_disconnect_costs_a_poll_of_paused_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """However many wait: what a sweep looks at does not grow with them."""
    looks = 0

    def counting(poll: Any) -> bool:
        nonlocal looks
        looks += 1
        return has_peer_closed(poll)

    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        made = [await crowding(run) for _ in range(40)]
        await wait_until(lambda: len(run.listener.context.paused) == 40)
        monkeypatch.setattr(client_module, "has_peer_closed", counting)
        asked = 0
        hangups = run.listener.context.hangups
        look = hangups.call_back

        def counted() -> None:
            nonlocal asked
            asked += 1
            look()

        hangups.loop.remove_reader(hangups.epoll.fileno())  # type: ignore[union-attr]
        asyncio.get_running_loop().add_reader(hangups.epoll.fileno(), counted)
        for _ in range(10):
            run.listener.sweep()
        assert (looks, asked) == (0, 0)
        made[0][0].close()
        await wait_until(lambda: len(run.listener.connections) == 39)
        assert asked == 1 and len(hangups.watched) == 39
        for client, _ in made:
            client.close()
        await wait_until(lambda: not run.listener.connections)


# The newer format


@asynccontextmanager
async def with_newer_clients(
    tmp_path: Path, run_on: Any
) -> AsyncIterator[tuple[GrpcUpstreamRig, RunningGateway, Any]]:
    """A gateway with a front of the newer format and servers of the older one."""
    file = tmp_path / "operator.toml"
    file.write_text('[newer]\nlisten = ["127.0.0.1:0"]\n')
    async with (
        running_gateway(configuration(run_on), load_operator(str(file))) as run,
        grpc_upstream_rig() as client,
    ):
        front = run.assembly.protocol_listeners.grpc
        assert front is not None
        place = front.servers[0].sockets[0].getsockname()
        client.pools.put(Endpoint("g", ("127.0.0.1", place[1]), ListedServer(1, started_us=1)))
        yield client, run, front


@on_event_loop
async def test_a_stream_reset_while_its_request_waits_for_a_connection(tmp_path: Path) -> None:
    async with scripted_server() as upstream, with_newer_clients(tmp_path, upstream) as (client, run, front):
        late, told = Late(run), outcomes(run)
        send_request(client, request_head(1), b"x")
        await wait_until(lambda: late.held)
        (attempt,) = client.connection.attempts.on_open_streams()
        client.pools.cancel(attempt)
        await nothing_is_owed(run)
        assert told == [Outcome.NOT_SENT]
        late.release()
        await wait_until(
            lambda: run.assembly.pools.open == 0
            and upstream.closed_connections == upstream.opened_connections
        )
        assert not upstream.exchanges


@on_event_loop
async def test_a_connection_that_ends_with_100_streams_sends_nothing_more(tmp_path: Path) -> None:
    """Between two turns: some wait for a connection to a server, the others for room."""
    async with scripted_server() as upstream, with_newer_clients(tmp_path, upstream) as (client, run, front):
        late = Late(run)
        send_request(client, request_head(0), b"x")
        await wait_until(lambda: front.connections and client.connection.transport is not None)
        for n in range(1, 100):
            send_request(client, request_head(n), b"x")
        await wait_until(lambda: len(run.gateway.in_flight) == 100 and late.held)
        out = sum(held.attempts_in_flight for held in run.gateway.in_flight.values())
        await wait_until(lambda: len(late.held) == out)
        (line,) = front.connections
        assert len(line.streams) == 100
        ends_between_turns(client.connection.transport, line.poll)
        late.release()
        await nothing_is_owed(run)
        assert not upstream.exchanges
        await wait_until(lambda: not front.connections)
