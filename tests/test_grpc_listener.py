"""gRPC clients over sockets: long bodies, rejections, draining, abuse."""

from __future__ import annotations

from pathlib import Path

from sagetrack.core.bodies import BodyMemoryBudget, StreamedBody
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
async def test_a_new_client_is_served_with_long_answers_and_what_is_wrong_is_named(tmp_path: Path) -> None:
    def take(connection: GrpcServerConnection, asked: GrpcRequest) -> None:
        connection.respond(asked, body=asked.body * 3000, parts=9)

    async with gateway_with_grpc_listener(tmp_path, on_call=take) as (client, _, listener):
        calls = [send_request(client, request_head(n), b"%04d" % n) for n in range(20)]
        long = send_request(client, request_head(99), b"z" * 1000)  # 3,000,000 bytes pass through
        await wait_until(lambda: all(c.ends for c in [*calls, long]))
        for n, heard in enumerate(calls):
            assert heard.ends[0][1] is not None and heard.ends[0][1].body == b"%04d" % n * 3000
        assert long.ends[0][0] is Outcome.OK and sum(map(len, long.pieces)) == 3_000_000
        wrong = [
            send_request(client, request_head(200, "nothing", "nothing")),
            send_request(client, request_head(201, "hold", "search")),
            send_request(
                client, request_head(202), b"x" * 200_000
            ),  # one message: a long body comes in several
        ]
        await wait_until(lambda: all(c.ends for c in wrong))
        assert [c.ends[0][0] for c in wrong] == [Outcome.ERROR] * 3 and listener.intake.counts.unreadable == 3


@on_event_loop
async def test_a_long_body_of_a_grpc_client_is_streamed_and_an_aborted_one_never_completes(
    tmp_path: Path,
) -> None:
    whole: list[bytes] = []

    def take(connection: GrpcServerConnection, asked: GrpcRequest) -> None:
        whole.append(asked.body)
        connection.respond(asked, body=b"%d" % len(asked.body))

    async with gateway_with_grpc_listener(tmp_path, on_call=take) as (client, gateway, listener):

        async def send(number: int, size: int, told: int | None) -> RecordingObserver:
            streamed_body, heard = StreamedBody(told, BodyMemoryBudget(64)), RecordingObserver()
            message = ForwardedRequest(request_head(number), b"")
            request = Request("a", 0, 5_000_000, None, None, False, 0, message, None, streamed_body)  # type: ignore[arg-type]
            client.pools.begin(request, 1, 5_000_000, heard)
            for _ in range(0, size, 50_000):
                await wait_until(lambda: not streamed_body.is_full or heard.ends)
                streamed_body.feed(b"z" * 50_000)
            streamed_body.complete()
            await wait_until(lambda: heard.ends)
            return heard

        for number, told in ((1, 1_000_000), (2, None)):
            heard = await send(number, 1_000_000, told)
            assert heard.ends[0][1] is not None and heard.ends[0][1].body == b"1000000"
        assert [len(body) for body in whole] == [1_000_000] * 2
        for number, told in ((3, 1_000_001), (4, 900_000)):  # shorter and longer than it was to be
            assert (await send(number, 1_000_000, told)).ends[0][0] is not Outcome.OK
        assert len(whole) == 2
        await wait_until(
            lambda: not gateway.gateway.in_flight and not listener.intake.body_budget.active_bodies
        )


@on_event_loop
async def test_a_rejection_has_a_retry_after_and_a_drain_sends_goaway(tmp_path: Path) -> None:
    async with gateway_with_grpc_listener(
        tmp_path, on_call=lambda c, a: c.trailers_only(a, 8, x_rejected="1")
    ) as made:
        client, gateway, listener = made
        heard = send_request(client, request_head(1))
        await wait_until(lambda: heard.ends)
        assert heard.ends[0][0] is Outcome.REJECTED
        (connection,) = listener.connections
        gateway.listener.standby()
        await wait_until(lambda: not listener.connections)
        await wait_until(lambda: client.pools.counts.goaways == 1)
        assert connection.draining


@on_event_loop
async def test_a_call_on_its_way_when_a_drain_began_is_not_run(tmp_path: Path) -> None:
    ran: list[str] = []

    def take(connection: GrpcServerConnection, asked: GrpcRequest) -> None:
        ran.append(asked.headers["x-call-id"])
        if len(ran) > 1:
            connection.respond(asked)

    async with gateway_with_grpc_listener(tmp_path, on_call=take) as (client, gateway, listener):
        held = send_request(client, request_head(1))
        await wait_until(lambda: ran)
        (connection,) = listener.connections
        connection.drain()
        connection.flush()
        late = send_request(client, request_head(2))  # sent before the client has read GOAWAY
        await wait_until(lambda: late.ends)
        assert late.ends[0][0] is Outcome.NOT_SENT and ran == ["id1"] and not held.ends


@on_event_loop
async def test_rapid_reset_ends_the_connection_and_nothing_is_left_in_work(tmp_path: Path) -> None:
    async with gateway_with_grpc_listener(tmp_path) as (client, gateway, listener):
        calls = [send_request(client, request_head(1))]
        await wait_until(lambda: listener.connections)
        for n in range(2, 180):
            heard = send_request(client, request_head(n))
            connection = client.connection
            connection.abort(connection.attempts.on_open_streams()[-1], Outcome.CANCELLED)
            calls.append(heard)
        await wait_until(lambda: calls[0].ends)
        assert listener.intake.counts.closed_for_flooding == 1 and not listener.connections
        await wait_until(lambda: not gateway.gateway.in_flight)
