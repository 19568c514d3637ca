"""Mutated HTTP/2 frames against the back: whatever a server says, every attempt ends once and nothing hangs.

True answers are made by the server's side of the protocol, then spoilt: bytes changed, cut, doubled, frames
of every type with any flags between them.
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

from sagetrack.core.gateway import Call
from sagetrack.decide.interface import Outcome, RequestClass, Settings
from sagetrack.h2.back import Line, NewHost, NewPools
from sagetrack.h2.calls_pb2 import Answer
from sagetrack.h2.messages import pack

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

    def on_written(self) -> None:
        """Of no concern here."""

    def on_begun(self, attempt: Any, head: Any, source: Any) -> None:
        """Of no concern here."""

    def on_piece(self, attempt: Any, data: bytes) -> None:
        """Of no concern here."""

    def on_end(self, attempt: Any, outcome: Outcome, answer: Any, load: Any) -> None:
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
            began = time.perf_counter()
            try:
                line.data_received(data[at : at + size])
            except Exception as fault:
                found.wrong.append(f"{fault!r}: {data.hex()}")
                break
            took = time.perf_counter() - began
            found.slowest_ms = max(found.slowest_ms, took * 1000)
            if took > SLOW_S:
                found.wrong.append(f"took {took:.2f} s: {data.hex()}")
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
