"""Races: two events that meet, each pair forced on real sockets. Their table: docs/design/races.md."""

from __future__ import annotations

import asyncio

import pytest

from sagetrack.config.platform import parse
from sagetrack.core.clock import now_us
from sagetrack.core.drain import SHUTDOWN_ACCEPT_S
from sagetrack.discovery.endpoint_parsing import parse_endpoint_list
from sagetrack.http1.downstream import MAX_PIPELINED
from sagetrack.http1.upstream_connection import UpstreamConnection
from sagetrack.policy.events import AttemptEnded, ListKind, Outcome, RequestArrived
from tests.helpers import GATEWAY_CLOCK_USERS
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
    wait_until,
)

AT_ONCE_S = 0.3  # within this a client's leaving counts, and nothing of its call is sent on later


class Late:
    """Connections to hosts that are up and not yet seen to be: what they would carry is held back."""

    def __init__(self, run: RunningGateway, only: int | None = None) -> None:
        self.attempts = run.assembly.pools.attempts
        self.held: list[UpstreamConnection] = []
        self.see = self.attempts.on_connected
        self.only = only  # of one host
        self.attempts.on_connected = self.on_connected  # type: ignore[method-assign]

    def on_connected(self, connection: UpstreamConnection) -> None:
        if self.only in (None, connection.upstream.id):
            self.held.append(connection)
        else:
            self.see(connection)

    def release(self) -> None:
        self.attempts.on_connected = self.see  # type: ignore[method-assign]
        for connection in self.held:
            self.see(connection)


def outcomes(run: RunningGateway) -> list[Outcome]:
    """How attempts end from now on."""
    told: list[Outcome] = []
    handle = run.gateway.balancer.handle

    def listen(now_us: int, event: object) -> object:
        if isinstance(event, AttemptEnded):
            told.append(event.outcome)
        return handle(now_us, event)  # type: ignore[arg-type]

    run.gateway.balancer.handle = listen  # type: ignore[method-assign,assignment]
    return told


def tell(run: RunningGateway, kind: ListKind, *endpoints: dict[str, object]) -> None:
    names = parse(configuration()).names
    run.gateway.on_endpoint_list(kind, parse_endpoint_list(endpoint_list(8, *endpoints), names).endpoints)


def nothing_is_left(run: RunningGateway) -> bool:
    pools = run.assembly.pools
    return pools.open_connections == 0 and not run.gateway.in_flight and not run.gateway.balancer.requests


# A client leaves


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("taken_back", [True, False])
@on_event_loop
async def test_nothing_is_sent_for_a_client_that_left_while_its_upstream_connection_opened(
    may_cancel: bool, taken_back: bool
) -> None:
    """Its call is taken back at once; and were that missed, the last look before the first byte sees it."""
    config = configuration(mayCancel=may_cancel)
    async with scripted_server() as upstream:
        config["known"] = configuration(upstream)["known"]
        async with running_gateway(config) as run:
            late, told = Late(run), outcomes(run)
            if not taken_back:
                run.assembly.pools.cancel_unsent = lambda attempt: None  # type: ignore[method-assign]
                run.assembly.pools.cancel = lambda attempt, outcome=None: None  # type: ignore
            client = await run.connect()
            client.send(request("transfer"))
            await wait_until(lambda: late.held)
            client.close()
            (held,) = run.gateway.in_flight.values()
            await wait_until(lambda: held.is_finished)
            if taken_back:
                assert told == [Outcome.NOT_SENT]
            late.release()
            await wait_until(lambda: nothing_is_left(run))
            assert told == [Outcome.NOT_SENT] and not upstream.exchanges


@on_event_loop
async def test_a_hedged_attempt_still_connecting_is_withdrawn_with_the_response() -> None:
    """Where nothing may be cancelled too: it has not begun, so that there is nothing to cancel."""
    async with scripted_server(no_response) as upstream, scripted_server() as other:
        config = configuration(upstream, other, mayCancel=False, secondCopies=True)
        async with running_gateway(config) as run:
            for server in run.gateway.balancer.servers.values():
                server.weight = 1.0 if server.entry.server == server_id(0) else 1e-9
            run.gateway.balancer.latency.smoothed_us = [1_000.0] * 3  # a copy after 4 ms
            late = Late(run, server_id(1))
            client = await run.connect()
            client.send(request())
            await wait_until(lambda: upstream.exchanges and late.held)
            upstream.exchanges[0].respond(http_response(200, b"first"))
            assert (await client.read_response()).body == b"first"
            late.release()
            await wait_until(lambda: not run.gateway.in_flight)
            assert not other.exchanges
            client.close()


@pytest.mark.parametrize("over", [True, False])
@on_event_loop
async def test_a_retry_connected_after_its_deduplication_window_is_not_sent(
    over: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was chosen within the window; servers drop a repeat of what ran only as long as that lasts."""
    async with (
        scripted_server(lambda exchange: exchange.reset()) as upstream,
        scripted_server() as other,
        running_gateway(configuration(upstream, other)) as run,
    ):
        for server in run.gateway.balancer.servers.values():
            server.weight = 1.0 if server.entry.server == server_id(0) else 1e-9
        late = Late(run, server_id(1))
        client = await run.connect()
        client.send(request("hold"))
        await wait_until(lambda: upstream.exchanges and late.held)
        told = outcomes(run)
        window_us = run.gateway.settings.classes[1].window_us
        if over:
            for module in GATEWAY_CLOCK_USERS:
                monkeypatch.setattr(f"{module}.now_us", lambda: now_us() + window_us)
        late.release()
        answer = await client.read_response()
        assert (answer.status != 200) is over and len(other.exchanges) == (not over)
        assert told == ([Outcome.NOT_SENT] if over else [Outcome.OK])
        client.close()


def behind(count: int) -> bytes:
    return b"".join(request("transfer") for _ in range(count))


@pytest.mark.parametrize("told", [True, False])
@on_event_loop
async def test_a_disconnect_is_noticed_while_reading_from_the_client_is_paused(told: bool) -> None:
    """It has sent more than is read ahead: neither the call in work nor one behind it goes on without it."""
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        client.send(behind(5 * MAX_PIPELINED))
        await wait_until(lambda: run.listener.context.paused and upstream.exchanges)
        (connection,) = run.listener.connections
        if not told:  # it leaves just before its first answer comes
            run.listener.context.close_watcher.unwatch(connection.descriptor)
        async with asyncio.timeout(AT_ONCE_S):
            client.close()
            await wait_until(lambda: len(connection.poll.poll(0)) and connection.poll.poll(0)[0][1] & ~1)
            if not told:
                upstream.exchanges[0].respond(http_response())
            await wait_until(lambda: not run.listener.connections and not run.gateway.in_flight)
        assert len(upstream.exchanges) == 1 and not run.listener.context.paused


# A server leaves, moves or starts anew


def word(name: str, address: str) -> tuple[ListKind, list[dict[str, object]]]:
    other = endpoint("s-1", address)
    match name:
        case "draining":
            return ListKind.DELTA, [endpoint("s-0", address, status="DRAINING")]
        case "gone":
            return ListKind.DELTA, [endpoint("s-0", address, status="DELETED")]
        case "unnamed":
            return ListKind.FULL, [other]
        case "moved":
            return ListKind.DELTA, [endpoint("s-0", "127.0.0.1:1")]
        case "started anew":
            return ListKind.DELTA, [endpoint("s-0", address, since_ms=5)]
        case _:
            raise AssertionError(name)


@pytest.mark.parametrize("what", ["draining", "gone", "unnamed", "moved", "started anew"])
@on_event_loop
async def test_nothing_is_sent_on_a_connection_opened_before_its_server_changed(what: str) -> None:
    """What was chosen before the word is chosen anew, once: also of a class that is unsafe to repeat."""
    async with (
        scripted_server() as upstream,
        scripted_server(respond_with(http_response(200, b"other"))) as other,
        running_gateway(configuration(upstream)) as run,
    ):
        late, told = Late(run), outcomes(run)
        client = await run.connect()
        client.send(request("transfer"))
        await wait_until(lambda: late.held)
        kind, entries = word(what, upstream.address)
        tell(run, ListKind.DELTA, endpoint("s-1", other.address))
        tell(run, kind, *[e if e["name"] == "s-0" else endpoint("s-1", other.address) for e in entries])
        late.release()
        assert (await client.read_response()).body == b"other"
        assert told == [Outcome.NOT_SENT, Outcome.OK] and not upstream.exchanges and len(other.exchanges) == 1
        await wait_until(lambda: upstream.closed_connections == upstream.opened_connections)
        client.close()


@pytest.mark.parametrize("what", ["draining", "gone", "unnamed", "moved", "started anew"])
@on_event_loop
async def test_a_change_of_a_server_closes_its_idle_connections(what: str) -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        assert (await run.request(request())).status == 200
        kind, entries = word(what, upstream.address)
        tell(run, kind, *entries)
        await wait_until(
            lambda: upstream.closed_connections == 1 and run.assembly.pools.open_connections == 0
        )


@on_event_loop
async def test_a_response_of_an_earlier_incarnation_is_forwarded_and_its_connection_closed() -> None:
    """The answer passes, and its connection is not kept for the server of now."""
    async with (
        scripted_server(no_response) as old,
        scripted_server(respond_with(http_response(200, b"new"))) as new,
        running_gateway(configuration(old)) as run,
    ):
        first = await run.connect()
        first.send(request())
        await wait_until(lambda: old.exchanges)
        tell(run, ListKind.DELTA, endpoint("s-0", old.address, status="DELETED"))
        tell(run, ListKind.DELTA, endpoint("s-0", new.address, since_ms=5))
        old.exchanges[0].respond(http_response(200, b"old"))
        assert (await first.read_response()).body == b"old"
        await wait_until(lambda: old.closed_connections == 1)
        assert (await first.request(request())).body == b"new" and len(old.exchanges) == 1
        first.close()


# An answer and the next request


@on_event_loop
async def test_a_surplus_response_does_not_answer_the_next_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """It is on its way as the next request is: nobody takes it for that one's answer."""
    monkeypatch.setattr(
        "sagetrack.http1.idle_connections.REUSE_DELAY_S", 60.0
    )  # however busy this machine is
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        client.send(request())
        await wait_until(lambda: upstream.exchanges)
        upstream.exchanges[0].respond(http_response(200, b"one"))
        assert (await client.read_response()).body == b"one"
        (kept,) = run.assembly.pools.servers[server_id(0)].idle
        kept.last_response_us = 120_000_000
        client.send(request())
        await wait_until(lambda: len(upstream.exchanges) == 2 or kept.waiting_attempt)
        upstream.exchanges[0].respond(http_response(200, b"one"))
        await wait_until(lambda: len(upstream.exchanges) == 2)
        upstream.exchanges[1].respond(http_response(200, b"two"))
        assert (await client.read_response()).body == b"two"
        await wait_until(lambda: upstream.closed_connections == 1)  # what spoke unasked is of no more use
        client.close()


@on_event_loop
async def test_the_next_attempt_waits_until_its_connection_may_be_reused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("sagetrack.http1.idle_connections.REUSE_DELAY_S", 0.1)
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        for _ in range(3):
            assert (await client.request(request())).status == 200
            assert upstream.opened_connections == 1
            for kept in run.assembly.pools.servers[server_id(0)].idle:
                kept.last_response_us = 1_000_000
        client.close()


@on_event_loop
async def test_no_attempt_waits_for_reuse_at_a_server_that_responds_faster() -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        for opened in (1, 2):
            assert (await client.request(request())).status == 200
            for kept in run.assembly.pools.servers[server_id(0)].idle:
                kept.last_response_us, kept.idle_since_us = 1_000, now_us() + 10_000_000
            assert upstream.opened_connections == opened
        client.close()


@pytest.mark.parametrize("what", ["draining", "gone", "moved", "left"])
@on_event_loop
async def test_an_attempt_waiting_for_reuse_is_withdrawn_when_its_server_or_client_goes(
    what: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with (
        scripted_server() as upstream,
        scripted_server(respond_with(http_response(200, b"other"))) as other,
        running_gateway(configuration(upstream, mayCancel=False)) as run,
    ):
        client = await run.connect()
        assert (await client.request(request())).status == 200
        (kept,) = run.assembly.pools.servers[server_id(0)].idle
        monkeypatch.setattr("sagetrack.http1.idle_connections.REUSE_DELAY_S", 0.5)
        kept.idle_since_us, kept.last_response_us = now_us(), 1_000_000
        client.send(request("transfer"))
        await wait_until(lambda: kept.waiting_attempt)
        tell(run, ListKind.DELTA, endpoint("s-1", other.address))
        if what == "left":
            client.close()
            await wait_until(lambda: not run.gateway.in_flight)
        else:
            kind, entries = word(what, upstream.address)
            tell(run, kind, *entries)
            assert (await client.read_response()).body == b"other"
        assert len(upstream.exchanges) == 1 and len(other.exchanges) == (what != "left")
        await wait_until(lambda: upstream.closed_connections == 1)
        client.close()


# The way out


@on_event_loop
async def test_listening_goes_on_for_a_connection_without_a_descriptor_at_shutdown() -> None:
    """It waits with the kernel until others have had their answers, and is not reset with the listener."""
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        server = run.listener
        reclaim, server.acceptor.reclaim = server.acceptor.reclaim, lambda: False
        client = await run.connect()
        client.send(request("transfer"))
        leaving = asyncio.create_task(server.shut_down())
        loop = asyncio.get_running_loop()
        await wait_until(
            lambda: server.drain.is_draining and loop.time() > server.drain.since_s + SHUTDOWN_ACCEPT_S + 0.05
        )
        assert server.is_listening and not upstream.exchanges
        server.acceptor.reclaim = reclaim
        assert (await client.read_response()).status == 200
        await leaving
        client.close()


@on_event_loop
async def test_requests_without_an_attempt_are_answered_before_the_kill() -> None:
    """A call in its key's line has its answer before the process may be killed, though its time goes on."""
    config = configuration()
    for lane in config["settings"]["lanes"]:
        lane["sequential"] = True
    async with scripted_server(no_response) as upstream:
        config["known"] = configuration(upstream)["known"]
        async with running_gateway(config) as run:
            clients = [await run.connect() for _ in range(2)]
            for client in clients:
                client.send(request("transfer"))
            await wait_until(lambda: upstream.exchanges and len(run.gateway.in_flight) == 2)
            run.gateway.shut_down_within(0.1)
            told = sorted([(await client.read_response()).status for client in clients])
            assert told == [502, 503] and len(upstream.exchanges) == 1
            assert (
                await run.request(request("transfer"))
            ).status == 503  # what comes later is refused at once
            assert not [held for held in run.gateway.in_flight.values() if not held.is_finished]
            for client in clients:
                client.close()


# Settings


@on_event_loop
async def test_requests_on_one_connection_share_no_state() -> None:
    """Sent together: the second names another member, the third none that there is, the last no class."""
    arrived: list[RequestArrived] = []
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        handle = run.gateway.balancer.handle

        def listen(now_us: int, event: object) -> object:
            if isinstance(event, RequestArrived):
                arrived.append(event)
            return handle(now_us, event)  # type: ignore[arg-type]

        run.gateway.balancer.handle = listen  # type: ignore[method-assign,assignment]
        client = await run.connect()
        client.send(
            request("hold", b"x", budget_ms=900, x_again="1", x_call_cost="7")
            + request("transfer", b"y", x_caller="zeta")
            + request(x_caller="nobody", x_budget_ms="")
            + request(x_call_class="", x_caller="")
        )
        assert [(await client.read_response()).status for _ in range(4)] == [200] * 4
        assert [event.tenant for event in arrived] == [0, 1, -1, -1]
        assert [event.class_index for event in arrived] == [1, 2, 0, 0]
        assert [event.is_retry for event in arrived] == [True, False, False, False]
        assert [event.work_us for event in arrived] == [7, None, None, None]
        assert [event.client_timeout_us for event in arrived] == [900_000, 20_000_000, 20_000_000, 20_000_000]
        said = [exchange.message for exchange in upstream.exchanges]
        assert [message.body for message in said] == [b"x", b"y", b"", b""]
        assert [bool(message.headers.get("idempotency-key")) for message in said] == [True] + [False] * 3
        client.close()


@on_event_loop
async def test_a_surplus_response_some_milliseconds_late_is_discarded() -> None:
    """Later than any that was seen before the soak, and after the next request has been due for a while.

    A round in which this machine was later than that shows nothing, and is played again.
    """
    second_s, latest_s = 0.008, 0.012
    loop, late_s = asyncio.get_running_loop(), [0.0]

    async def twice(exchange: Exchange) -> None:
        answer = http_response(200, exchange.message.start_line.encode())
        await asyncio.sleep(0.03)  # longer than a connection rests: the next request may wait for one
        exchange.respond(answer)
        first_s = loop.time()
        await asyncio.sleep(second_s)
        exchange.respond(answer)
        late_s.append(loop.time() - first_s)

    async with scripted_server(twice) as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        judged = number = 0
        while judged < 12:
            number += 1
            path = f"/search/{number:016x}"
            data = request().replace(b"/search/7f3a9c21e0b4d655", path.encode())
            right = path in (await client.request(data)).body.decode()
            await asyncio.sleep(0.0055)
            in_time = max(late_s[-2:]) < latest_s  # second answers, of the round before and of this one
            assert right or not in_time
            judged += right and in_time
            if not right:
                client.close()
                await asyncio.sleep(0.1)
                client = await run.connect()
        client.close()
