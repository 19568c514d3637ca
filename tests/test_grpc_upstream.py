"""Attempts at gRPC servers over sockets: streams, flow control, GOAWAY, floods, timeouts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from sagetrack.core.bodies import BodyMemoryBudget, StreamedBody
from sagetrack.core.endpoints import Endpoint
from sagetrack.grpc.outcomes import Reset
from sagetrack.lab.stand_ins.grpc_server import GrpcRequest, GrpcServerConnection
from sagetrack.policy.events import ListedServer, Outcome, ServerStatus
from tests.grpc_helpers import (
    SETTINGS,
    grpc_upstream_rig,
    warm_up,
)
from tests.sockets import on_event_loop, wait_until


@on_event_loop
async def test_many_streams_share_a_connection_and_a_slow_one_holds_none_back() -> None:
    async with grpc_upstream_rig() as rig:
        calls = [rig.ask(b"b%d" % n) for n in range(40)]
        await rig.until_asked(40)
        assert len(rig.connections) == 1
        for connection, asked in rig.asked[1:]:
            connection.respond(asked, body=asked.body)
        await wait_until(lambda: sum(len(c.ends) for c in calls) == 39)
        bodies = {c.ends[0][1].body for c in calls if c.ends and c.ends[0][1]}
        assert bodies == {b"b%d" % n for n in range(1, 40)} and not calls[0].ends


@on_event_loop
async def test_goaway_in_the_middle_of_streams_ends_those_above_as_never_run() -> None:
    async with grpc_upstream_rig() as rig:
        calls = [rig.ask() for _ in range(100)]
        await rig.until_asked(100)
        rig.connections[0].goaway(last=99)
        await wait_until(lambda: sum(len(c.ends) for c in calls) == 50)
        assert {c.ends[0][0] for c in calls[50:]} == {Outcome.NOT_SENT}
        later = rig.ask()
        await wait_until(lambda: len(rig.connections) == 2)
        for connection, asked in rig.asked[:50]:
            connection.respond(asked)
        await wait_until(lambda: all(c.ends for c in calls))
        assert {c.ends[0][0] for c in calls[:50]} == {Outcome.OK}
        await wait_until(lambda: rig.connections[0].transport is None)  # it left once all was answered
        assert not later.ends


@on_event_loop
async def test_each_end_of_a_stream_has_its_outcome_and_other_streams_go_on() -> None:
    async with grpc_upstream_rig() as rig:
        ways: list[tuple[Callable[[GrpcServerConnection, GrpcRequest], None], Outcome]] = [
            (lambda c, a: c.reset(a, Reset.REFUSED_STREAM), Outcome.REJECTED),
            (lambda c, a: c.reset(a, Reset.INTERNAL_ERROR), Outcome.RESET),
            (lambda c, a: c.trailers_only(a, 8, x_rejected="1"), Outcome.REJECTED),
            (lambda c, a: c.trailers_only(a, 8), Outcome.ERROR),
            (lambda c, a: c.trailers_only(a, 0), Outcome.ERROR),
            (lambda c, a: c.respond(a, fields=[]), Outcome.OK),
        ]
        kept = rig.ask()
        await rig.until_asked(1)
        for number, (way, outcome) in enumerate(ways):
            heard = rig.ask()
            await rig.until_asked(number + 2)
            way(*rig.asked[-1])
            await wait_until(lambda heard=heard: heard.ends)  # type: ignore[misc]
            assert heard.ends[0][0] is outcome, number
        assert not kept.ends and len(rig.connections) == 1
        transport = rig.connections[0].transport
        assert transport is not None
        transport.abort()
        await wait_until(lambda: kept.ends)
        assert kept.ends == [(Outcome.RESET, None)]


@on_event_loop
async def test_settings_that_lower_the_streams_are_kept_to_and_further_calls_get_other_connections() -> None:
    async with grpc_upstream_rig(most=3) as rig:
        first = [rig.ask()]
        await rig.until_asked(1)
        calls = first + [rig.ask() for _ in range(5)]
        await rig.until_asked(6)
        assert len(rig.connections) == 2
        assert all(len(connection.requests) <= 3 for connection in rig.connections)
        for connection, asked in rig.asked:
            connection.respond(asked)
        await wait_until(lambda: all(c.ends for c in calls))
        assert {c.ends[0][0] for c in calls} == {Outcome.OK}


@on_event_loop
async def test_a_window_that_never_opens_holds_up_one_call_until_its_time_is_over() -> None:
    async with grpc_upstream_rig() as rig:
        await warm_up(rig)
        rig.connections[0].acknowledges_data = False
        stuck = rig.ask(b"x" * 200_000, wait_us=300_000)
        await wait_until(lambda: stuck.ends)
        assert stuck.ends[0][0] is Outcome.TIMEOUT and not stuck.written


@on_event_loop
async def test_long_bodies_pass_in_bounded_memory_both_ways() -> None:
    size = 3_000_000
    async with grpc_upstream_rig(on_call=lambda c, a: c.respond(a, body=a.body, parts=30)) as rig:
        streamed_body = StreamedBody(size, BodyMemoryBudget(64))
        heard = rig.ask(streamed_body=streamed_body)
        fed = most = 0
        while fed < size:
            await wait_until(lambda: not streamed_body.is_full)
            streamed_body.feed(b"z" * 50_000)
            fed += 50_000
            most = max(most, streamed_body.buffered)
        streamed_body.complete()
        await wait_until(lambda: heard.head is not None)
        heard.source.pause()
        for _ in range(50):
            await asyncio.sleep(0)
        assert sum(map(len, heard.pieces)) < 1_000_000  # the server's window has closed
        heard.source.resume()
        await wait_until(lambda: heard.ends)
        assert heard.head is not None and heard.head.length == size
        assert sum(map(len, heard.pieces)) == size and heard.ends[0][0] is Outcome.OK and most <= 200_000


@on_event_loop
async def test_clients_that_read_nothing_do_not_hold_back_the_others_of_a_connection() -> None:
    def take(connection: GrpcServerConnection, asked: GrpcRequest) -> None:
        connection.respond(asked, body=b"y" * (1_000_000 if asked.body == b"long" else 10), parts=20)

    async with grpc_upstream_rig(on_call=take) as rig:
        stuck = [rig.ask(b"long", pauses=True) for _ in range(90)]
        await wait_until(lambda: all(heard.source is not None for heard in stuck))
        other = rig.ask()
        await wait_until(lambda: other.ends)
        assert other.ends[0][0] is Outcome.OK and len(rig.connections) == 1
        assert max(sum(map(len, heard.pieces)) for heard in stuck) < 200_000
        for heard in stuck:
            heard.source.resume()
        await wait_until(lambda: all(heard.ends for heard in stuck))
        assert {sum(map(len, heard.pieces)) for heard in stuck} == {1_000_000}


@on_event_loop
async def test_a_draining_or_gone_server_gets_nothing_after_the_grace() -> None:
    async with grpc_upstream_rig() as rig:
        await warm_up(rig)
        rig.pools.settings = replace(SETTINGS, stop_sending_within_us=0)
        draining = ListedServer(1, ServerStatus.DRAINING)
        rig.pools.put(Endpoint("n", rig.entry.address, draining))
        await asyncio.sleep(0.001)
        assert rig.ask().ends[0][0] is Outcome.NOT_SENT and len(rig.asked) == 1


@on_event_loop
async def test_a_flood_of_pings_ends_the_connection_with_the_right_error() -> None:
    async with grpc_upstream_rig() as rig:
        heard = rig.ask()
        await rig.until_asked(1)
        transport = rig.connections[0].transport
        assert transport is not None
        transport.write((b"\0\0\x08\x06\0\0\0\0\0" + bytes(8)) * 2000)
        await wait_until(lambda: heard.ends)
        assert heard.ends[0][0] is Outcome.RESET and not rig.pools.pools[1].connections


@on_event_loop
async def test_a_server_that_is_not_there_fails_to_connect() -> None:
    async with grpc_upstream_rig() as rig:
        rig.pools.put(Endpoint("n", ("127.0.0.1", 1), ListedServer(1, started_us=5)))
        heard = rig.ask()
        await wait_until(lambda: heard.ends)
        assert heard.ends[0][0] is Outcome.CONNECT_FAILED


@on_event_loop
async def test_a_header_that_is_no_utf_8_breaks_nothing() -> None:
    async with grpc_upstream_rig() as rig:
        heard = rig.ask()
        await rig.until_asked(1)
        connection, asked = rig.asked[0]
        head: Any = [(b":status", b"200"), (b"content-type", b"appl\xe9"), (b"grpc-status", b"13")]
        connection.h2.send_headers(asked.stream_id, head, end_stream=True)
        connection.flush()
        await wait_until(lambda: heard.ends)
        assert heard.ends[0][0] is Outcome.ERROR and not rig.connection.closed
