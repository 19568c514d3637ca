"""Fuzzes downstream and upstream HTTP/2 connections with mutated frames; a test tool, unused by the gateway.

The fuzzer checks that every attempt and every request ends exactly once, and that nothing hangs. It encodes
valid responses or requests as a peer would, and then mutates them: bytes are changed, removed or repeated,
and frames of any type and flags are inserted.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import h2.config
import h2.connection

from sagetrack.core.bodies import StreamedBody
from sagetrack.core.fronts import UnlimitedAdmission
from sagetrack.core.memory_budget import MemoryBudget
from sagetrack.core.requests import Client, Request
from sagetrack.core.responses import Header, Response
from sagetrack.core.send_rules import ServerState
from sagetrack.core.upstream_server import UpstreamServerRecord
from sagetrack.grpc.calls_pb2 import Answer
from sagetrack.grpc.connection_pool import GrpcConnectionPools
from sagetrack.grpc.downstream_connection import GrpcDownstreamConnection
from sagetrack.grpc.errors import RequestReadError
from sagetrack.grpc.listener import GrpcListener
from sagetrack.grpc.messages import pack
from sagetrack.grpc.outcomes import StatusCode
from sagetrack.grpc.translate import request_body_message, request_to_grpc
from sagetrack.grpc.upstream_connection import GrpcUpstreamConnection
from sagetrack.policy.events import Outcome
from sagetrack.policy.settings import RequestClass, Settings

STREAMS_PER_CONNECTION = 4
HANG_S = 0.25  # processing one part of the input for longer counts as a hang
BYTES_PER_FRAME_UPSTREAM = 20  # approximate, to estimate the number of frames
BYTES_PER_FRAME_DOWNSTREAM = 250
BUFFERED_BODY_BYTES = 500  # low enough that some bodies are streamed
BODY_MEMORY_MB = 64


@dataclass(slots=True)
class FuzzResult:
    """The results of a fuzzing run."""

    frames: int = 0
    answered: int = 0
    unsuccessful: int = 0
    closed: int = 0  # connections closed because of the input
    failures: list[str] = field(default_factory=list)
    slowest_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Message:
    """A request in the form in which the HTTP/1.1 side passes it to the upstream side."""

    head: bytes
    body: bytes


class RecordingObserver:
    """An attempt observer that records how its attempt ended."""

    def __init__(self) -> None:
        self.ends: list[tuple[Outcome, Any]] = []

    def may_begin(self, server: ServerState) -> bool:
        """Allow to send to servers that are serving."""
        return server is ServerState.SERVING

    def on_first_byte(self) -> None:
        """Ignore the event."""

    def on_request_sent(self) -> None:
        """Ignore the event."""

    def on_response_started(self, attempt: Any, head: Any, source: Any) -> None:
        """Ignore the event."""

    def on_response_progress(self, size: int) -> None:
        """Ignore the event."""

    def on_response_data(self, attempt: Any, data: bytes) -> None:
        """Ignore the event."""

    def on_attempt_ended(self, attempt: Any, outcome: Outcome, response: Any, load: Any) -> None:
        """Record the outcome and the response."""
        self.ends.append((outcome, response))


class RecordingTransport:
    """A transport that records the written bytes and whether it was closed."""

    def __init__(self) -> None:
        self.out = bytearray()
        self.closed = False

    def write(self, data: bytes) -> None:
        """Record the bytes."""
        self.out += data

    def close(self) -> None:
        """Record that the transport was closed."""
        self.closed = True

    def is_closing(self) -> bool:
        """Return whether the transport was closed."""
        return self.closed

    def get_write_buffer_size(self) -> int:
        """Return 0, as everything that is written counts as sent."""
        return 0

    def get_extra_info(self, name: str) -> Any:
        """Return None, as there is no socket."""
        return None


def random_frame(rng: random.Random) -> bytes:
    """Return a frame with random type, flags, stream and payload; its length field may be wrong."""
    payload = rng.randbytes(rng.choice((0, 1, 4, 5, 8, 13, 40)))
    length = len(payload) if rng.random() < 0.9 else rng.randrange(70_000)
    stream = rng.choice((0, 1, 3, 5, 7, 2, 2**31 - 1))
    return length.to_bytes(3) + bytes((rng.randrange(12), rng.randrange(256))) + stream.to_bytes(4) + payload


def mutate(data: bytes, rng: random.Random) -> bytes:
    """Return the bytes with up to two random mutations."""
    output = bytearray(data)
    for _ in range(rng.randint(0, 2)):
        position = rng.randrange(max(1, len(output)))
        match rng.randrange(5):
            case 0:
                output[position : position + 1] = bytes((rng.randrange(256),))
            case 1:
                del output[position : position + rng.randrange(1, 12)]
            case 2:
                output[position:position] = random_frame(rng)
            case 3:
                output[position:position] = output[position : position + rng.randrange(30)]
            case _:
                output += random_frame(rng)
    return bytes(output)


def valid_responses(request: bytes, rng: random.Random) -> bytes:
    """Return the bytes that a server sends in response to the requests in a client's bytes."""
    config = h2.config.H2Configuration(client_side=False, header_encoding="latin-1")
    server = h2.connection.H2Connection(config)
    server.initiate_connection()
    streams = {s for e in server.receive_data(request) if (s := getattr(e, "stream_id", None))}
    for stream in sorted(streams):
        head = [(":status", "200"), ("content-type", "application/grpc+proto")]
        if rng.random() < 0.2:
            server.send_headers(stream, [*head, ("grpc-status", str(rng.randrange(17)))], end_stream=True)
            continue
        server.send_headers(stream, head)
        server.send_data(stream, pack(Answer(body=b"true", length=4).SerializeToString()))
        server.send_headers(stream, [("grpc-status", "0")], end_stream=True)
    return server.data_to_send()


def feed(
    connection: GrpcUpstreamConnection | GrpcDownstreamConnection,
    part: bytes,
    data: bytes,
    result: FuzzResult,
) -> bool:
    """Pass a part of `data` to a connection, and record exceptions and hangs; False after an exception."""
    start_s = time.perf_counter()
    try:
        connection.data_received(part)
    except Exception as error:  # noqa: BLE001  every exception is a finding
        result.failures.append(f"{error!r}: {data.hex()}")
        return False
    elapsed_s = time.perf_counter() - start_s
    result.slowest_ms = max(result.slowest_ms, elapsed_s * 1000)
    if elapsed_s > HANG_S:
        result.failures.append(f"took {elapsed_s:.2f} s: {data.hex()}")
    return True


def feed_in_parts(
    connection: GrpcUpstreamConnection | GrpcDownstreamConnection,
    data: bytes,
    rng: random.Random,
    result: FuzzResult,
    after_part: Callable[[], None] = lambda: None,
) -> None:
    """Pass `data` to a connection in parts of random size, until one raises an exception."""
    position = 0
    while position < len(data):
        size = rng.randint(1, len(data))
        if not feed(connection, data[position : position + size], data, result):
            break
        position += size
        after_part()


def fuzz_upstream(
    frames: int, seed: int, progress: Callable[[float], None] = lambda share: None
) -> FuzzResult:
    """Pass about `frames` mutated frames to upstream connections with four streams each."""
    return asyncio.run(_fuzz_upstream(frames, seed, progress))


async def _fuzz_upstream(frames: int, seed: int, progress: Callable[[float], None]) -> FuzzResult:
    result, rng = FuzzResult(), random.Random(seed)
    while result.frames < frames:
        settings = Settings(classes=(RequestClass(1_000_000, 3_000_000),))
        pools = GrpcConnectionPools(settings)
        pool = pools.add_server(UpstreamServerRecord(1, "n", ("127.0.0.1", 1)))
        connection = GrpcUpstreamConnection(pools.counts, pool.discard)
        pool.connections.append(connection)
        observers = [RecordingObserver() for _ in range(STREAMS_PER_CONNECTION)]
        transport: Any = RecordingTransport()
        for number, observer in enumerate(observers):
            head = b"GET /lookup/%d HTTP/1.1\r\nX-Call-Class: lookup\r\n" % number
            message = Message(head, b"")
            request = Request(str(number), 0, 3_000_000, None, None, False, 0, message, observer)  # type: ignore[arg-type]
            pools.begin(request, 1, 3_000_000, observer)
        connection.connection_made(transport)
        data = mutate(valid_responses(bytes(transport.out), rng), rng)
        result.frames += max(1, len(data) // BYTES_PER_FRAME_UPSTREAM)
        feed_in_parts(connection, data, rng, result)
        result.closed += transport.closed
        connection.connection_lost(None)
        pools.close()
        check_attempts(observers, data, result)
        progress(result.frames / frames)
    return result


def check_attempts(observers: list[RecordingObserver], data: bytes, result: FuzzResult) -> None:
    """Check that each attempt has ended exactly once, and with a response if it succeeded."""
    for ends in (observer.ends for observer in observers):
        if len(ends) != 1:
            result.failures.append(f"ended {len(ends)} times: {data.hex()}")
    outcomes = [observer.ends[0][0] for observer in observers if observer.ends]
    result.answered += outcomes.count(Outcome.OK)
    result.unsuccessful += len(outcomes) - outcomes.count(Outcome.OK)
    for outcome, body in (observer.ends[0] for observer in observers if observer.ends):
        if outcome is Outcome.OK and body is None:
            result.failures.append(f"success without response: {data.hex()}")


class RandomGateway:
    """A stand-in for the gateway that responds at random, immediately or later, and tracks open requests."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.unanswered: dict[str, Request] = {}
        self.ended = 0
        self.cancelled = 0

    def submit(self, request: Request) -> bool:
        """Accept a request, and respond immediately with a probability of one half."""
        if request.id in self.unanswered:
            return False
        self.unanswered[request.id] = request
        if request.streamed_body is not None:
            request.streamed_body.on_data = lambda: self.drain(request)
            self.drain(request)
        if self.rng.random() < 0.5:
            self.end(request)
        return True

    def drain(self, request: Request) -> None:
        """Consume the part of a streamed body that has arrived."""
        while request.streamed_body is not None and request.streamed_body.chunks:
            request.streamed_body.take()

    def cancel_request(self, id_: str) -> None:
        """Count a request that the client has cancelled."""
        self.cancelled += self.unanswered.pop(id_, None) is not None

    def end(self, request: Request) -> None:
        """End a request with a random kind of response."""
        if self.unanswered.pop(request.id, None) is None:
            return
        self.ended += 1
        match self.rng.randrange(4):
            case 0:
                request.client.on_rejected(request, self.rng.randrange(2_000_000))
            case 1:
                request.client.on_failed(request, self.rng.random() < 0.5)
            case 2:
                request.client.on_response_started(
                    request, Response(200, [(b"X-A", b"b")], b"", True, 3000), self
                )
                request.client.on_response_data(request, bytes(3000))
                request.client.on_response_ended(request, Response(200, [], b"", True))
            case _:
                request.client.on_response(request, Response(200, [(b"X-A", b"b")], b"true", True))

    def end_some(self) -> None:
        """Respond to each open request with a probability of one half."""
        for request in list(self.unanswered.values()):
            if self.rng.random() < 0.5:
                self.end(request)

    def pause(self) -> None:
        """Do nothing: as a response source, it has no more data."""

    def resume(self) -> None:
        """Do nothing: as a response source, it has no more data."""


def _read_request(
    method: str,
    target: bytes,
    headers: list[Header],
    body: bytes,
    budget_us: int,
    client: Client,
    streamed_body: StreamedBody | None,
) -> Request:
    ids = [value for name, value in headers if name.lower() == b"x-call-id"]
    if not ids:
        raise RequestReadError(StatusCode.INVALID_ARGUMENT, "no X-Call-Id")
    message = Message(b"", body)
    return Request(
        ids[0].decode("latin-1"), 0, 3_000_000, None, None, False, 0, message, client, streamed_body
    )


def valid_requests(rng: random.Random) -> bytes:
    """Return the bytes of a client connection: requests with short and long bodies, some of them reset."""
    config = h2.config.H2Configuration(client_side=True, header_encoding="latin-1")
    client = h2.connection.H2Connection(config)
    client.initiate_connection()
    for number in range(STREAMS_PER_CONNECTION):
        stream = client.get_next_available_stream_id()
        size = rng.choice((0, 5, 900, 4000))
        length = size if rng.random() < 0.7 else None
        head = b"POST /hold/%d HTTP/1.1\r\nX-Call-Id: c%d\r\nX-Call-Class: hold\r\n" % (number, number)
        headers, first = request_to_grpc(head, b"", length, 3_000_000, "a")
        client.send_headers(stream, headers)
        client.send_data(stream, pack(first))
        for position in range(0, size, 300):
            client.send_data(stream, pack(request_body_message(bytes(min(300, size - position)))))
        if rng.random() < 0.2:
            client.reset_stream(stream)
        else:
            client.end_stream(stream)
    return client.data_to_send()


def fuzz_downstream(
    frames: int, seed: int, progress: Callable[[float], None] = lambda share: None
) -> FuzzResult:
    """Pass about `frames` mutated frames to downstream connections with four requests each."""
    return asyncio.run(_fuzz_downstream(frames, seed, progress))


async def _fuzz_downstream(frames: int, seed: int, progress: Callable[[float], None]) -> FuzzResult:
    result, rng = FuzzResult(), random.Random(seed)
    while result.frames < frames:
        gateway: Any = RandomGateway(rng)
        memory_budget = MemoryBudget(BODY_MEMORY_MB)
        admission = UnlimitedAdmission()
        listener = GrpcListener(gateway, _read_request, lambda: False, memory_budget, admission)
        listener.intake.max_buffered_body = BUFFERED_BODY_BYTES
        connection = GrpcDownstreamConnection(listener.intake, listener)
        transport: Any = RecordingTransport()
        transport.abort = transport.close
        connection.connection_made(transport)
        data = mutate(valid_requests(rng), rng)
        result.frames += max(1, len(data) // BYTES_PER_FRAME_DOWNSTREAM)
        feed_in_parts(connection, data, rng, result, gateway.end_some)
        result.closed += transport.closed
        connection.connection_lost(None)
        result.answered += gateway.ended
        result.unsuccessful += gateway.cancelled
        bodies = memory_budget.active_bodies
        if gateway.unanswered:
            result.failures.append(f"{len(gateway.unanswered)} requests without a response: {data.hex()}")
        if bodies:
            result.failures.append(f"{bodies} bodies not released: {data.hex()}")
        if listener.connections:
            result.failures.append(f"a closed connection is still registered: {data.hex()}")
        progress(result.frames / frames)
    return result
