"""Race conditions between two events, each forced on real sockets. docs/design/races.md lists them."""

from __future__ import annotations

import asyncio

import pytest

from sagetrack.config.platform import parse
from sagetrack.core.clock import now_us
from sagetrack.core.deadlines import REUSE_DELAY_S
from sagetrack.core.drain import SHUTDOWN_ACCEPT_S
from sagetrack.discovery.endpoint_parsing import parse_endpoint_list
from sagetrack.http1.read_ahead import MAX_PIPELINED
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

AT_ONCE_S = 0.3  # time within which a disconnect is noticed; nothing of the request is forwarded later


class HeldConnections:
    """Holds back the on_connected event of upstream connections, so that their attempts are not sent."""

    def __init__(self, run: RunningGateway, only: int | None = None) -> None:
        self.attempts = run.assembly.pools.attempts
        self.held: list[UpstreamConnection] = []
        self.original_on_connected = self.attempts.on_connected
        self.only = only  # server id; None for all servers
        self.attempts.on_connected = self.on_connected  # type: ignore[method-assign]

    def on_connected(self, connection: UpstreamConnection) -> None:
        if self.only in (None, connection.upstream.id):
            self.held.append(connection)
        else:
            self.original_on_connected(connection)

    def release(self) -> None:
        self.attempts.on_connected = self.original_on_connected  # type: ignore[method-assign]
        for connection in self.held:
            self.original_on_connected(connection)


def outcomes(run: RunningGateway) -> list[Outcome]:
    """Return a list to which the outcomes of attempts are appended from now on."""
    ended: list[Outcome] = []
    handle = run.gateway.balancer.handle

    def record_event(now_us: int, event: object) -> object:
        if isinstance(event, AttemptEnded):
            ended.append(event.outcome)
        return handle(now_us, event)  # type: ignore[arg-type]

    run.gateway.balancer.handle = record_event  # type: ignore[method-assign,assignment]
    return ended


def send_endpoint_list(run: RunningGateway, kind: ListKind, *endpoints: dict[str, object]) -> None:
    names = parse(configuration()).names
    run.gateway.on_endpoint_list(kind, parse_endpoint_list(endpoint_list(8, *endpoints), names).endpoints)


def nothing_is_left(run: RunningGateway) -> bool:
    pools = run.assembly.pools
    return pools.open_connections == 0 and not run.gateway.in_flight and not run.gateway.balancer.requests


# Client disconnects


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("withdrawn", [True, False])
@on_event_loop
async def test_nothing_is_sent_for_a_client_that_left_while_its_upstream_connection_opened(
    may_cancel: bool, withdrawn: bool
) -> None:
    """The attempt is withdrawn at once; if not, the check before the first byte keeps it unsent."""
    config = configuration(mayCancel=may_cancel)
    async with scripted_server() as upstream:
        config["known"] = configuration(upstream)["known"]
        async with running_gateway(config) as run:
            connections, ended = HeldConnections(run), outcomes(run)
            if not withdrawn:
                run.assembly.pools.cancel_unsent = lambda attempt: None  # type: ignore[method-assign]
                run.assembly.pools.cancel = lambda attempt, outcome=None: None  # type: ignore
            client = await run.connect()
            client.send(request("transfer"))
            await wait_until(lambda: connections.held)
            client.close()
            (held,) = run.gateway.in_flight.values()
            await wait_until(lambda: held.is_finished)
            if withdrawn:
                assert ended == [Outcome.NOT_SENT]
            connections.release()
            await wait_until(lambda: nothing_is_left(run))
            assert ended == [Outcome.NOT_SENT] and not upstream.exchanges


@on_event_loop
async def test_a_hedged_attempt_still_connecting_is_withdrawn_with_the_response() -> None:
    """This also holds if attempts must not be cancelled, as no byte of the attempt has been sent."""
    async with scripted_server(no_response) as upstream, scripted_server() as other:
        config = configuration(upstream, other, mayCancel=False, secondCopies=True)
        async with running_gateway(config) as run:
            for server in run.gateway.balancer.servers.values():
                server.weight = 1.0 if server.entry.server == server_id(0) else 1e-9
            run.gateway.balancer.latency.smoothed_us = [1_000.0] * 3  # a hedged attempt is made after 4 ms
            connections = HeldConnections(run, server_id(1))
            client = await run.connect()
            client.send(request())
            await wait_until(lambda: upstream.exchanges and connections.held)
            upstream.exchanges[0].respond(http_response(200, b"first"))
            assert (await client.read_response()).body == b"first"
            connections.release()
            await wait_until(lambda: not run.gateway.in_flight)
            assert not other.exchanges
            client.close()


# Guards against writing a second response into one that is being streamed (review/REPORT.md).
@on_event_loop
async def test_a_response_of_a_hedged_attempt_is_dropped_while_another_one_is_streamed() -> None:
    async with scripted_server(no_response) as upstream, scripted_server(no_response) as other:
        config = configuration(upstream, other, mayCancel=False, secondCopies=True)
        async with running_gateway(config) as run:
            run.gateway.balancer.latency.smoothed_us = [1_000.0] * 3  # a hedged attempt is made after 4 ms
            client = await run.connect()
            client.send(request())
            await wait_until(lambda: upstream.exchanges and other.exchanges)
            (in_flight,) = run.gateway.in_flight.values()
            upstream.exchanges[0].respond(http_response(200, b"a" * 200_000)[:150_000])
            await wait_until(lambda: in_flight.streaming_attempt is not None)
            other.exchanges[0].respond(http_response(200, b"second"))
            await wait_until(lambda: in_flight.attempts_in_flight == 1)
            upstream.exchanges[0].respond(http_response(200, b"a" * 200_000)[150_000:])
            assert (await client.read_response()).body == b"a" * 200_000
            client.send(request())
            await wait_until(lambda: len(upstream.exchanges) + len(other.exchanges) >= 3)
            client.close()


@pytest.mark.parametrize("is_window_over", [True, False])
@on_event_loop
async def test_a_retry_connected_after_its_deduplication_window_is_not_sent(
    is_window_over: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The retry was decided within the window, but servers drop duplicates only until the window ends."""
    async with (
        scripted_server(lambda exchange: exchange.reset()) as upstream,
        scripted_server() as other,
        running_gateway(configuration(upstream, other)) as run,
    ):
        for server in run.gateway.balancer.servers.values():
            server.weight = 1.0 if server.entry.server == server_id(0) else 1e-9
        connections = HeldConnections(run, server_id(1))
        client = await run.connect()
        client.send(request("hold"))
        await wait_until(lambda: upstream.exchanges and connections.held)
        ended = outcomes(run)
        window_us = run.gateway.settings.classes[1].window_us
        if is_window_over:
            for module in GATEWAY_CLOCK_USERS:
                monkeypatch.setattr(f"{module}.now_us", lambda: now_us() + window_us)
        connections.release()
        response = await client.read_response()
        assert (response.status != 200) is is_window_over and len(other.exchanges) == (not is_window_over)
        assert ended == ([Outcome.NOT_SENT] if is_window_over else [Outcome.OK])
        client.close()


def pipelined_requests(count: int) -> bytes:
    return b"".join(request("transfer") for _ in range(count))


@pytest.mark.parametrize("is_watched", [True, False])
@on_event_loop
async def test_a_disconnect_is_noticed_while_reading_from_the_client_is_paused(is_watched: bool) -> None:
    """The client has sent more than is read ahead; none of its requests continues after it disconnects."""
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        client.send(pipelined_requests(5 * MAX_PIPELINED))
        await wait_until(lambda: run.listener.context.paused and upstream.exchanges)
        (connection,) = run.listener.connections
        if not is_watched:  # the disconnect is noticed only with the first response
            run.listener.context.close_watcher.unwatch(connection.descriptor)
        async with asyncio.timeout(AT_ONCE_S):
            client.close()
            await wait_until(lambda: len(connection.poll.poll(0)) and connection.poll.poll(0)[0][1] & ~1)
            if not is_watched:
                upstream.exchanges[0].respond(http_response())
            await wait_until(lambda: not run.listener.connections and not run.gateway.in_flight)
        assert len(upstream.exchanges) == 1 and not run.listener.context.paused


# A server drains, is removed, moves or restarts


def endpoint_change(name: str, address: str) -> tuple[ListKind, list[dict[str, object]]]:
    other = endpoint("s-1", address)
    match name:
        case "draining":
            return ListKind.DELTA, [endpoint("s-0", address, status="DRAINING")]
        case "gone":
            return ListKind.DELTA, [endpoint("s-0", address, status="DELETED")]
        case "omitted":
            return ListKind.FULL, [other]
        case "moved":
            return ListKind.DELTA, [endpoint("s-0", "127.0.0.1:1")]
        case "restarted":
            return ListKind.DELTA, [endpoint("s-0", address, since_ms=5)]
        case _:
            raise AssertionError(name)


@pytest.mark.parametrize("change", ["draining", "gone", "omitted", "moved", "restarted"])
@on_event_loop
async def test_nothing_is_sent_on_a_connection_opened_before_its_server_changed(change: str) -> None:
    """The attempt is sent to another server instead, once, even if its class is unsafe to retry."""
    async with (
        scripted_server() as upstream,
        scripted_server(respond_with(http_response(200, b"other"))) as other,
        running_gateway(configuration(upstream)) as run,
    ):
        connections, ended = HeldConnections(run), outcomes(run)
        client = await run.connect()
        client.send(request("transfer"))
        await wait_until(lambda: connections.held)
        kind, entries = endpoint_change(change, upstream.address)
        send_endpoint_list(run, ListKind.DELTA, endpoint("s-1", other.address))
        send_endpoint_list(
            run, kind, *[e if e["name"] == "s-0" else endpoint("s-1", other.address) for e in entries]
        )
        connections.release()
        assert (await client.read_response()).body == b"other"
        assert (
            ended == [Outcome.NOT_SENT, Outcome.OK] and not upstream.exchanges and len(other.exchanges) == 1
        )
        await wait_until(lambda: upstream.closed_connections == upstream.opened_connections)
        client.close()


@pytest.mark.parametrize("change", ["draining", "gone", "omitted", "moved", "restarted"])
@on_event_loop
async def test_a_change_of_a_server_closes_its_idle_connections(change: str) -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        assert (await run.request(request())).status == 200
        kind, entries = endpoint_change(change, upstream.address)
        send_endpoint_list(run, kind, *entries)
        await wait_until(
            lambda: upstream.closed_connections == 1 and run.assembly.pools.open_connections == 0
        )


@on_event_loop
async def test_a_response_of_an_earlier_incarnation_is_forwarded_and_its_connection_closed() -> None:
    """The connection is not kept for the current incarnation."""
    async with (
        scripted_server(no_response) as old,
        scripted_server(respond_with(http_response(200, b"new"))) as new,
        running_gateway(configuration(old)) as run,
    ):
        first = await run.connect()
        first.send(request())
        await wait_until(lambda: old.exchanges)
        send_endpoint_list(run, ListKind.DELTA, endpoint("s-0", old.address, status="DELETED"))
        send_endpoint_list(run, ListKind.DELTA, endpoint("s-0", new.address, since_ms=5))
        old.exchanges[0].respond(http_response(200, b"old"))
        assert (await first.read_response()).body == b"old"
        await wait_until(lambda: old.closed_connections == 1)
        assert (await first.request(request())).body == b"new" and len(old.exchanges) == 1
        first.close()


# A response and the next request


@on_event_loop
async def test_a_surplus_response_does_not_answer_the_next_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """The surplus response arrives as the next request is sent, and must not be taken for its response."""
    # Long enough even on a busy machine.
    monkeypatch.setattr("sagetrack.http1.idle_connections.REUSE_DELAY_S", 60.0)
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
        await wait_until(lambda: upstream.closed_connections == 1)  # closed because of the surplus response
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


@pytest.mark.parametrize("change", ["draining", "gone", "moved", "left"])
@on_event_loop
async def test_an_attempt_waiting_for_reuse_is_withdrawn_when_its_server_or_client_goes(
    change: str, monkeypatch: pytest.MonkeyPatch
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
        send_endpoint_list(run, ListKind.DELTA, endpoint("s-1", other.address))
        if change == "left":
            client.close()
            await wait_until(lambda: not run.gateway.in_flight)
        else:
            kind, entries = endpoint_change(change, upstream.address)
            send_endpoint_list(run, kind, *entries)
            assert (await client.read_response()).body == b"other"
        assert len(upstream.exchanges) == 1 and len(other.exchanges) == (change != "left")
        await wait_until(lambda: upstream.closed_connections == 1)
        client.close()


# Shutdown


@on_event_loop
async def test_listening_goes_on_for_a_connection_without_a_descriptor_at_shutdown() -> None:
    """The connection waits in the backlog until descriptors are free, and is not reset with the socket."""
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        server = run.listener
        reclaim, server.acceptor.reclaim = server.acceptor.reclaim, lambda: False
        client = await run.connect()
        client.send(request("transfer"))
        shutdown_task = asyncio.create_task(server.shut_down())
        loop = asyncio.get_running_loop()
        await wait_until(
            lambda: server.drain.is_draining and loop.time() > server.drain.since_s + SHUTDOWN_ACCEPT_S + 0.05
        )
        assert server.is_listening and not upstream.exchanges
        server.acceptor.reclaim = reclaim
        assert (await client.read_response()).status == 200
        await shutdown_task
        client.close()


@on_event_loop
async def test_requests_without_an_attempt_are_answered_before_the_kill() -> None:
    """A request queued behind one with the same key gets its response before the process may be killed.

    Its own timeout has not passed by then.
    """
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
            statuses = sorted([(await client.read_response()).status for client in clients])
            assert statuses == [502, 503] and len(upstream.exchanges) == 1
            assert (await run.request(request("transfer"))).status == 503  # rejected at once
            assert not [held for held in run.gateway.in_flight.values() if not held.is_finished]
            for client in clients:
                client.close()


# Settings


@on_event_loop
async def test_requests_on_one_connection_share_no_state() -> None:
    """The second request names another tenant, the third an unknown tenant, and the last no class."""
    arrived: list[RequestArrived] = []
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        handle = run.gateway.balancer.handle

        def record_event(now_us: int, event: object) -> object:
            if isinstance(event, RequestArrived):
                arrived.append(event)
            return handle(now_us, event)  # type: ignore[arg-type]

        run.gateway.balancer.handle = record_event  # type: ignore[method-assign,assignment]
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
        forwarded = [exchange.message for exchange in upstream.exchanges]
        assert [message.body for message in forwarded] == [b"x", b"y", b"", b""]
        assert [bool(message.headers.get("idempotency-key")) for message in forwarded] == [True] + [False] * 3
        client.close()


def test_the_reuse_delay_covers_a_second_response_twelve_milliseconds_late() -> None:
    assert REUSE_DELAY_S > 0.012


@on_event_loop
async def test_a_second_response_within_the_reuse_delay_is_discarded(monkeypatch: pytest.MonkeyPatch) -> None:
    """The delay is lengthened, so that the order of events does not depend on the speed of the machine."""
    reuse_delay_s = 0.25
    monkeypatch.setattr("sagetrack.http1.idle_connections.REUSE_DELAY_S", reuse_delay_s)

    async def respond_twice(exchange: Exchange) -> None:
        response = http_response(200, exchange.message.start_line.encode())
        await asyncio.sleep(2 * reuse_delay_s)  # so that the next request may wait for this connection
        exchange.respond(response)
        await asyncio.sleep(reuse_delay_s / 2)
        exchange.respond(response)

    async with scripted_server(respond_twice) as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        for number in range(8):
            path = f"/search/{number:016x}"
            data = request().replace(b"/search/7f3a9c21e0b4d655", path.encode())
            assert path in (await client.request(data)).body.decode()
            await asyncio.sleep(reuse_delay_s / 8)  # the next request comes before the second response
        client.close()
