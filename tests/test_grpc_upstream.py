"""Attempts to gRPC servers over sockets: streams, flow control, GOAWAY, floods and timeouts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from sagetrack.core.bodies import StreamedBody
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.memory_budget import MemoryBudget
from sagetrack.grpc.outcomes import Http2ErrorCode
from sagetrack.lab.stand_ins.grpc_server import GrpcRequest, GrpcServerConnection
from sagetrack.policy.events import ListedServer, Outcome, ServerStatus
from tests.grpc_helpers import (
    SETTINGS,
    grpc_upstream_fixture,
    warm_up,
)
from tests.sockets import on_event_loop, wait_until


@on_event_loop
async def test_streams_share_a_connection_and_a_slow_response_does_not_delay_others() -> None:
    async with grpc_upstream_fixture() as fixture:
        calls = [fixture.send(b"b%d" % n) for n in range(40)]
        await fixture.wait_for_requests(40)
        assert len(fixture.connections) == 1
        for connection, grpc_request in fixture.received[1:]:
            connection.respond(grpc_request, body=grpc_request.body)
        await wait_until(lambda: sum(len(call.ends) for call in calls) == 39)
        bodies = {call.ends[0][1].body for call in calls if call.ends and call.ends[0][1]}
        assert bodies == {b"b%d" % n for n in range(1, 40)} and not calls[0].ends


@on_event_loop
async def test_goaway_ends_streams_above_its_last_id_as_not_sent_and_others_complete() -> None:
    async with grpc_upstream_fixture() as fixture:
        calls = [fixture.send() for _ in range(100)]
        await fixture.wait_for_requests(100)
        fixture.connections[0].goaway(last=99)
        await wait_until(lambda: sum(len(call.ends) for call in calls) == 50)
        assert {call.ends[0][0] for call in calls[50:]} == {Outcome.NOT_SENT}
        later = fixture.send()
        await wait_until(lambda: len(fixture.connections) == 2)
        for connection, grpc_request in fixture.received[:50]:
            connection.respond(grpc_request)
        await wait_until(lambda: all(call.ends for call in calls))
        assert {call.ends[0][0] for call in calls[:50]} == {Outcome.OK}
        await wait_until(lambda: fixture.connections[0].transport is None)  # closed after the last response
        assert not later.ends


@on_event_loop
async def test_each_way_to_end_a_stream_has_its_outcome_and_other_streams_continue() -> None:
    async with grpc_upstream_fixture() as fixture:
        cases: list[tuple[Callable[[GrpcServerConnection, GrpcRequest], None], Outcome]] = [
            (lambda server, request: server.reset(request, Http2ErrorCode.REFUSED_STREAM), Outcome.REJECTED),
            (lambda server, request: server.reset(request, Http2ErrorCode.INTERNAL_ERROR), Outcome.RESET),
            (lambda server, request: server.trailers_only(request, 8, x_rejected="1"), Outcome.REJECTED),
            (lambda server, request: server.trailers_only(request, 8), Outcome.ERROR),
            (lambda server, request: server.trailers_only(request, 0), Outcome.ERROR),
            (lambda server, request: server.respond(request, fields=[]), Outcome.OK),
        ]
        unanswered = fixture.send()
        await fixture.wait_for_requests(1)
        for number, (end_stream, outcome) in enumerate(cases):
            observer = fixture.send()
            await fixture.wait_for_requests(number + 2)
            end_stream(*fixture.received[-1])
            await wait_until(lambda observer=observer: observer.ends)  # type: ignore[misc]
            assert observer.ends[0][0] is outcome, number
        assert not unanswered.ends and len(fixture.connections) == 1
        transport = fixture.connections[0].transport
        assert transport is not None
        transport.abort()
        await wait_until(lambda: unanswered.ends)
        assert unanswered.ends == [(Outcome.RESET, None)]


@on_event_loop
async def test_the_stream_limit_of_a_server_is_respected_by_opening_another_connection() -> None:
    async with grpc_upstream_fixture(max_streams=3) as fixture:
        first = [fixture.send()]
        await fixture.wait_for_requests(1)
        calls = first + [fixture.send() for _ in range(5)]
        await fixture.wait_for_requests(6)
        assert len(fixture.connections) == 2
        assert all(len(connection.requests) <= 3 for connection in fixture.connections)
        for connection, grpc_request in fixture.received:
            connection.respond(grpc_request)
        await wait_until(lambda: all(call.ends for call in calls))
        assert {call.ends[0][0] for call in calls} == {Outcome.OK}


@on_event_loop
async def test_an_exhausted_flow_control_window_delays_a_request_until_its_timeout() -> None:
    async with grpc_upstream_fixture() as fixture:
        await warm_up(fixture)
        fixture.connections[0].acknowledges_data = False
        blocked = fixture.send(b"x" * 200_000, timeout_us=300_000)
        await wait_until(lambda: blocked.ends)
        assert blocked.ends[0][0] is Outcome.TIMEOUT and not blocked.requests_sent


@on_event_loop
async def test_long_request_and_response_bodies_are_streamed_in_bounded_memory() -> None:
    size = 3_000_000
    async with grpc_upstream_fixture(
        on_request=lambda server, request: server.respond(request, body=request.body, parts=30)
    ) as fixture:
        streamed_body = StreamedBody(size, MemoryBudget(64))
        observer = fixture.send(streamed_body=streamed_body)
        fed = max_buffered = 0
        while fed < size:
            await wait_until(lambda: not streamed_body.is_full)
            streamed_body.feed(b"z" * 50_000)
            fed += 50_000
            max_buffered = max(max_buffered, streamed_body.buffered)
        streamed_body.complete()
        await wait_until(lambda: observer.head is not None)
        observer.source.pause()
        for _ in range(50):
            await asyncio.sleep(0)
        assert sum(map(len, observer.chunks)) < 1_000_000  # the server's flow-control window is exhausted
        observer.source.resume()
        await wait_until(lambda: observer.ends)
        assert observer.head is not None and observer.head.length == size
        assert (
            sum(map(len, observer.chunks)) == size
            and observer.ends[0][0] is Outcome.OK
            and max_buffered <= 200_000
        )


@on_event_loop
async def test_clients_that_do_not_read_do_not_delay_other_streams_of_the_connection() -> None:
    def handle_request(connection: GrpcServerConnection, grpc_request: GrpcRequest) -> None:
        connection.respond(
            grpc_request, body=b"y" * (1_000_000 if grpc_request.body == b"long" else 10), parts=20
        )

    async with grpc_upstream_fixture(on_request=handle_request) as fixture:
        blocked = [fixture.send(b"long", pause_immediately=True) for _ in range(90)]
        await wait_until(lambda: all(observer.source is not None for observer in blocked))
        other = fixture.send()
        await wait_until(lambda: other.ends)
        assert other.ends[0][0] is Outcome.OK and len(fixture.connections) == 1
        assert max(sum(map(len, observer.chunks)) for observer in blocked) < 200_000
        for observer in blocked:
            observer.source.resume()
        await wait_until(lambda: all(observer.ends for observer in blocked))
        assert {sum(map(len, observer.chunks)) for observer in blocked} == {1_000_000}


@on_event_loop
async def test_a_draining_server_gets_no_requests_after_the_grace_period() -> None:
    async with grpc_upstream_fixture() as fixture:
        await warm_up(fixture)
        fixture.pools.settings = replace(SETTINGS, stop_sending_within_us=0)
        draining = ListedServer(1, ServerStatus.DRAINING)
        fixture.pools.put(Endpoint("n", fixture.entry.address, draining))
        await asyncio.sleep(0.001)
        assert fixture.send().ends[0][0] is Outcome.NOT_SENT and len(fixture.received) == 1


@on_event_loop
async def test_a_flood_of_pings_closes_the_connection() -> None:
    async with grpc_upstream_fixture() as fixture:
        observer = fixture.send()
        await fixture.wait_for_requests(1)
        transport = fixture.connections[0].transport
        assert transport is not None
        transport.write((b"\0\0\x08\x06\0\0\0\0\0" + bytes(8)) * 2000)
        await wait_until(lambda: observer.ends)
        assert observer.ends[0][0] is Outcome.RESET and not fixture.pools.pools[1].connections


@on_event_loop
async def test_a_server_that_does_not_listen_is_a_connect_failure() -> None:
    async with grpc_upstream_fixture() as fixture:
        fixture.pools.put(Endpoint("n", ("127.0.0.1", 1), ListedServer(1, started_us=5)))
        observer = fixture.send()
        await wait_until(lambda: observer.ends)
        assert observer.ends[0][0] is Outcome.CONNECT_FAILED


@on_event_loop
async def test_a_header_that_is_not_utf_8_is_an_error_of_one_stream() -> None:
    async with grpc_upstream_fixture() as fixture:
        observer = fixture.send()
        await fixture.wait_for_requests(1)
        connection, grpc_request = fixture.received[0]
        head: Any = [(b":status", b"200"), (b"content-type", b"appl\xe9"), (b"grpc-status", b"13")]
        connection.h2.send_headers(grpc_request.stream_id, head, end_stream=True)
        connection.flush()
        await wait_until(lambda: observer.ends)
        assert observer.ends[0][0] is Outcome.ERROR and not fixture.connection.closed
