"""Mutated HTTP/2 frames against back and front: every attempt and every call ends once, and nothing hangs.

True answers, or true calls, are made by the protocol's other side, then spoilt: bytes changed, cut, doubled,
frames of every type with any flags between them.
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

from sagetrack.core.bodies import BodyMemoryBudget, StreamedBody
from sagetrack.core.interfaces import Call, Client
from sagetrack.core.responses import Header, Response
from sagetrack.core.send_rules import ServerState
from sagetrack.grpc.calls_pb2 import Answer
from sagetrack.grpc.downstream import ClientLine, NewFront, ReadError
from sagetrack.grpc.messages import pack
from sagetrack.grpc.outcomes import Status
from sagetrack.grpc.translate import more, to_new
from sagetrack.grpc.upstream import Line, NewHost, NewPools
from sagetrack.policy.events import Outcome
from sagetrack.policy.settings import RequestClass, Settings

STREAMS = 4
SLOW_S = 0.25  # for one piece of bytes: a hang


@dataclass(slots=True)
class Found:
    """What came of it."""

    frames: int = 0
    answered: int = 0
    failed: int = 0
    closed: int = 0  # connections that ended by it
    wrong: list[str] = field(default_factory=list)
    slowest_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class Message:
    """What a front of the older format gives its back."""

    head: bytes
    body: bytes


class _Heard:
    """A watcher that keeps how its attempt ended."""

    def __init__(self) -> None:
        self.ends: list[tuple[Outcome, Any]] = []

    def may_begin(self, server: ServerState) -> bool:
        return server is ServerState.SERVING

    def on_first_byte(self) -> None:
        """Of no concern here."""

    def on_request_sent(self) -> None:
        """Of no concern here."""

    def on_response_started(self, attempt: Any, head: Any, source: Any) -> None:
        """Of no concern here."""

    def on_response_data(self, attempt: Any, data: bytes) -> None:
        """Of no concern here."""

    def on_attempt_ended(self, attempt: Any, outcome: Outcome, answer: Any, load: Any) -> None:
        self.ends.append((outcome, answer))


class _Transport:
    """Takes what is written, and remembers whether it was closed."""

    def __init__(self) -> None:
        self.out = bytearray()
        self.closed = False

    def write(self, data: bytes) -> None:
        self.out += data

    def close(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed

    def get_extra_info(self, name: str) -> Any:
        return None


def frame(draw: random.Random) -> bytes:
    """A frame of any type, flags and stream, with a payload of any bytes."""
    payload = draw.randbytes(draw.choice((0, 1, 4, 5, 8, 13, 40)))
    length = len(payload) if draw.random() < 0.9 else draw.randrange(70_000)
    stream = draw.choice((0, 1, 3, 5, 7, 2, 2**31 - 1))
    return (
        length.to_bytes(3) + bytes((draw.randrange(12), draw.randrange(256))) + stream.to_bytes(4) + payload
    )


def spoilt(data: bytes, draw: random.Random) -> bytes:
    made = bytearray(data)
    for _ in range(draw.randint(0, 2)):
        at = draw.randrange(max(1, len(made)))
        match draw.randrange(5):
            case 0:
                made[at : at + 1] = bytes((draw.randrange(256),))
            case 1:
                del made[at : at + draw.randrange(1, 12)]
            case 2:
                made[at:at] = frame(draw)
            case 3:
                made[at:at] = made[at : at + draw.randrange(30)]
            case _:
                made += frame(draw)
    return bytes(made)


def true_answers(request: bytes, draw: random.Random) -> bytes:
    """What a server says to these bytes of a client."""
    config = h2.config.H2Configuration(client_side=False, header_encoding="latin-1")
    server = h2.connection.H2Connection(config)
    server.initiate_connection()
    streams = {s for e in server.receive_data(request) if (s := getattr(e, "stream_id", None))}
    for stream in sorted(streams):
        head = [(":status", "200"), ("content-type", "application/grpc+proto")]
        if draw.random() < 0.2:
            server.send_headers(stream, [*head, ("grpc-status", str(draw.randrange(17)))], end_stream=True)
            continue
        server.send_headers(stream, head)
        server.send_data(stream, pack(Answer(body=b"true", length=4).SerializeToString()))
        server.send_headers(stream, [("grpc-status", "0")], end_stream=True)
    return server.data_to_send()


def fed(line: Line | ClientLine, part: bytes, data: bytes, found: Found) -> bool:
    """Whether a connection bears a part of these bytes, and in time."""
    began = time.perf_counter()
    try:
        line.data_received(part)
    except Exception as fault:
        found.wrong.append(f"{fault!r}: {data.hex()}")
        return False
    took = time.perf_counter() - began
    found.slowest_ms = max(found.slowest_ms, took * 1000)
    if took > SLOW_S:
        found.wrong.append(f"took {took:.2f} s: {data.hex()}")
    return True


def fuzz(frames: int, seed: int, progress: Callable[[float], None] = lambda share: None) -> Found:
    """About so many frames, on connections of four streams each."""
    return asyncio.run(_fuzz(frames, seed, progress))


async def _fuzz(frames: int, seed: int, progress: Callable[[float], None]) -> Found:
    found, draw = Found(), random.Random(seed)
    while found.frames < frames:
        settings = Settings(classes=(RequestClass(1_000_000, 3_000_000),))
        pools = NewPools(settings)
        host = NewHost(1, "n", ("127.0.0.1", 1))
        pools.hosts[1] = host
        line = Line(pools, host)
        host.lines.append(line)
        heard = [_Heard() for _ in range(STREAMS)]
        transport: Any = _Transport()
        for number, one in enumerate(heard):
            head = b"GET /lookup/%d HTTP/1.1\r\nX-Call-Class: lookup\r\n" % number
            message = Message(head, b"")
            call = Call(str(number), 0, 3_000_000, None, None, False, 0, message, one)  # type: ignore[arg-type]
            pools.begin(call, 1, 3_000_000, one)
        line.connection_made(transport)
        data = spoilt(true_answers(bytes(transport.out), draw), draw)
        found.frames += max(1, len(data) // 20)
        at = 0
        while at < len(data):
            size = draw.randint(1, len(data))
            if not fed(line, data[at : at + size], data, found):
                break
            at += size
        found.closed += transport.closed
        line.connection_lost(None)
        pools.close()
        for ends in (one.ends for one in heard):
            if len(ends) != 1:
                found.wrong.append(f"ended {len(ends)} times: {data.hex()}")
        outcomes = [one.ends[0][0] for one in heard if one.ends]
        found.answered += outcomes.count(Outcome.OK)
        found.failed += len(outcomes) - outcomes.count(Outcome.OK)
        for outcome, body in (one.ends[0] for one in heard if one.ends):
            if outcome is Outcome.OK and body is None:
                found.wrong.append(f"an answer without one: {data.hex()}")
        progress(found.frames / frames)
    return found


class _Taker:
    """A gateway that answers in any of its ways, at once or when asked to, and knows what it owes."""

    def __init__(self, draw: random.Random) -> None:
        self.draw = draw
        self.owed: dict[str, Call] = {}
        self.ended = 0
        self.left = 0

    def submit(self, call: Call) -> bool:
        if call.id in self.owed:
            return False
        self.owed[call.id] = call
        if call.streamed_body is not None:
            call.streamed_body.on_data = lambda: self.drain(call)
            self.drain(call)
        if self.draw.random() < 0.5:
            self.end(call)
        return True

    def drain(self, call: Call) -> None:
        while call.streamed_body is not None and call.streamed_body.chunks:
            call.streamed_body.take()

    def cancel_request(self, id_: str) -> None:
        self.left += self.owed.pop(id_, None) is not None

    def end(self, call: Call) -> None:
        if self.owed.pop(call.id, None) is None:
            return
        self.ended += 1
        match self.draw.randrange(4):
            case 0:
                call.client.on_rejected(call, self.draw.randrange(2_000_000))
            case 1:
                call.client.on_failed(call, self.draw.random() < 0.5)
            case 2:
                call.client.on_response_started(call, Response(200, [(b"X-A", b"b")], b"", True, 3000), self)
                call.client.on_response_data(call, bytes(3000))
                call.client.on_response_ended(call, Response(200, [], b"", True))
            case _:
                call.client.on_response(call, Response(200, [(b"X-A", b"b")], b"true", True))

    def pause(self) -> None:
        """As the source of an answer; it has no more."""

    def resume(self) -> None:
        """As above."""


def _read(
    method: str,
    target: bytes,
    headers: list[Header],
    body: bytes,
    budget_us: int,
    client: Client,
    streamed_body: StreamedBody | None,
) -> Call:
    ids = [value for name, value in headers if name.lower() == b"x-call-id"]
    if not ids:
        raise ReadError(Status.INVALID_ARGUMENT, "no X-Call-Id")
    message = Message(b"", body)
    return Call(ids[0].decode("latin-1"), 0, 3_000_000, None, None, False, 0, message, client, streamed_body)


def true_calls(draw: random.Random) -> bytes:
    """What a client asks on one connection, short bodies and long ones, some given up."""
    config = h2.config.H2Configuration(client_side=True, header_encoding="latin-1")
    client = h2.connection.H2Connection(config)
    client.initiate_connection()
    for number in range(STREAMS):
        stream = client.get_next_available_stream_id()
        size = draw.choice((0, 5, 900, 4000))
        length = size if draw.random() < 0.7 else None
        head = b"POST /hold/%d HTTP/1.1\r\nX-Call-Id: c%d\r\nX-Call-Class: hold\r\n" % (number, number)
        headers, first = to_new(head, b"", length, 3_000_000, "a")
        client.send_headers(stream, headers)
        client.send_data(stream, pack(first))
        for at in range(0, size, 300):
            client.send_data(stream, pack(more(bytes(min(300, size - at)))))
        if draw.random() < 0.2:
            client.reset_stream(stream)
        else:
            client.end_stream(stream)
    return client.data_to_send()


def fuzz_front(frames: int, seed: int, progress: Callable[[float], None] = lambda share: None) -> Found:
    """About so many frames of clients, on connections of four calls each."""
    return asyncio.run(_fuzz_front(frames, seed, progress))


async def _fuzz_front(frames: int, seed: int, progress: Callable[[float], None]) -> Found:
    found, draw = Found(), random.Random(seed)
    while found.frames < frames:
        taker: Any = _Taker(draw)
        front = NewFront(taker, _read, lambda: False, BodyMemoryBudget(64))
        front.most_held = 500  # so that bodies pass through too
        line = ClientLine(front)
        transport: Any = _Transport()
        transport.abort = transport.close
        line.connection_made(transport)
        data = spoilt(true_calls(draw), draw)
        found.frames += max(1, len(data) // 250)
        at = 0
        while at < len(data):
            size = draw.randint(1, len(data))
            if not fed(line, data[at : at + size], data, found):
                break
            at += size
            for call in list(taker.owed.values()):
                if draw.random() < 0.5:
                    taker.end(call)
        found.closed += transport.closed
        line.connection_lost(None)
        found.answered += taker.ended
        found.failed += taker.left
        if taker.owed:
            found.wrong.append(f"{len(taker.owed)} calls left in work: {data.hex()}")
        if front.body_budget.active_bodies:
            found.wrong.append(f"{front.body_budget.active_bodies} bodies never ended: {data.hex()}")
        if front.lines:
            found.wrong.append(f"a connection that is over is kept: {data.hex()}")
        progress(found.frames / frames)
    return found
