"""gRPC clients over sockets: long bodies, rejections, draining and abusive clients."""

from __future__ import annotations

from pathlib import Path

from sagetrack.core.bodies import StreamedBody
from sagetrack.core.memory_budget import MemoryBudget
from sagetrack.core.requests import Request
from sagetrack.http1.requests import ForwardedRequest
from sagetrack.lab.stand_ins.grpc_server import GrpcRequest, GrpcServerConnection
from sagetrack.policy.events import Outcome
from tests.grpc_helpers import (
    RecordingObserver,
    gateway_with_grpc_listener,
    request_head,
    send_request,
)
from tests.sockets import on_event_loop, wait_until


@on_event_loop
async def test_long_responses_reach_a_client_and_invalid_requests_are_errors(tmp_path: Path) -> None:
    def handle_request(connection: GrpcServerConnection, grpc_request: GrpcRequest) -> None:
        connection.respond(grpc_request, body=grpc_request.body * 3000, parts=9)

    async with gateway_with_grpc_listener(tmp_path, on_request=handle_request) as (client, _, listener):
        calls = [send_request(client, request_head(n), b"%04d" % n) for n in range(20)]
        long = send_request(client, request_head(99), b"z" * 1000)  # response of 3,000,000 bytes
        await wait_until(lambda: all(call.ends for call in [*calls, long]))
        for n, observer in enumerate(calls):
            assert observer.ends[0][1] is not None and observer.ends[0][1].body == b"%04d" % n * 3000
        assert long.ends[0][0] is Outcome.OK and sum(map(len, long.chunks)) == 3_000_000
        invalid = [
            send_request(client, request_head(200, "nothing", "nothing")),
            send_request(client, request_head(201, "hold", "search")),
            # The body exceeds the limit of one message; a long body must be split into several.
            send_request(client, request_head(202), b"x" * 200_000),
        ]
        await wait_until(lambda: all(call.ends for call in invalid))
        assert [c.ends[0][0] for c in invalid] == [
            Outcome.ERROR
        ] * 3 and listener.intake.counts.invalid_requests == 3


@on_event_loop
async def test_a_long_request_body_is_streamed_and_one_of_wrong_length_never_completes(
    tmp_path: Path,
) -> None:
    bodies: list[bytes] = []

    def handle_request(connection: GrpcServerConnection, grpc_request: GrpcRequest) -> None:
        bodies.append(grpc_request.body)
        connection.respond(grpc_request, body=b"%d" % len(grpc_request.body))

    async with gateway_with_grpc_listener(tmp_path, on_request=handle_request) as (client, gateway, listener):

        async def send(number: int, size: int, announced_length: int | None) -> RecordingObserver:
            streamed_body, observer = (
                StreamedBody(announced_length, MemoryBudget(64)),
                RecordingObserver(),
            )
            message = ForwardedRequest(request_head(number), b"")
            request = Request("a", 0, 5_000_000, None, None, False, 0, message, None, streamed_body)  # type: ignore[arg-type]
            client.pools.begin(request, 1, 5_000_000, observer)
            for _ in range(0, size, 50_000):
                await wait_until(lambda: not streamed_body.is_full or observer.ends)
                streamed_body.feed(b"z" * 50_000)
            streamed_body.complete()
            await wait_until(lambda: observer.ends)
            return observer

        for number, announced_length in ((1, 1_000_000), (2, None)):
            observer = await send(number, 1_000_000, announced_length)
            assert observer.ends[0][1] is not None and observer.ends[0][1].body == b"1000000"
        assert [len(body) for body in bodies] == [1_000_000] * 2
        # A body that is shorter, and one that is longer, than announced
        for number, announced_length in ((3, 1_000_001), (4, 900_000)):
            assert (await send(number, 1_000_000, announced_length)).ends[0][0] is not Outcome.OK
        assert len(bodies) == 2
        await wait_until(
            lambda: not gateway.gateway.in_flight and not listener.intake.memory_budget.active_bodies
        )


@on_event_loop
async def test_an_upstream_rejection_reaches_the_client_and_a_drain_sends_goaway(tmp_path: Path) -> None:
    async with gateway_with_grpc_listener(
        tmp_path,
        on_request=lambda server, request: server.trailers_only(request, 8, x_rejected="1"),
    ) as client_and_gateway:
        client, gateway, listener = client_and_gateway
        observer = send_request(client, request_head(1))
        await wait_until(lambda: observer.ends)
        assert observer.ends[0][0] is Outcome.REJECTED
        (connection,) = listener.connections
        gateway.listener.standby()
        await wait_until(lambda: not listener.connections)
        await wait_until(lambda: client.pools.counts.goaways == 1)
        assert connection.draining


@on_event_loop
async def test_a_request_in_transit_when_the_drain_starts_is_not_run(tmp_path: Path) -> None:
    request_ids: list[str] = []

    def handle_request(connection: GrpcServerConnection, grpc_request: GrpcRequest) -> None:
        request_ids.append(grpc_request.headers["x-call-id"])
        if len(request_ids) > 1:
            connection.respond(grpc_request)

    async with gateway_with_grpc_listener(tmp_path, on_request=handle_request) as (client, gateway, listener):
        held = send_request(client, request_head(1))
        await wait_until(lambda: request_ids)
        (connection,) = listener.connections
        connection.drain()
        connection.flush()
        late = send_request(client, request_head(2))  # sent before the client has read GOAWAY
        await wait_until(lambda: late.ends)
        assert late.ends[0][0] is Outcome.NOT_SENT and request_ids == ["id1"] and not held.ends


@on_event_loop
async def test_rapid_reset_closes_the_connection_and_no_request_stays_in_flight(tmp_path: Path) -> None:
    async with gateway_with_grpc_listener(tmp_path) as (client, gateway, listener):
        calls = [send_request(client, request_head(1))]
        await wait_until(lambda: listener.connections)
        for n in range(2, 180):
            observer = send_request(client, request_head(n))
            connection = client.connection
            connection.abort_attempt(connection.attempts.on_open_streams()[-1], Outcome.CANCELLED)
            calls.append(observer)
        await wait_until(lambda: calls[0].ends)
        assert listener.intake.counts.closed_for_violations == 1 and not listener.connections
        await wait_until(lambda: not gateway.gateway.in_flight)
