"""Gateway, module and pools in virtual time, over scripted connections: events in any order, rules that hold.

The program's own parts are played, from a call's arrival to the bytes for its server; the loop, the clock and
the sockets are stand-ins that do what the draw says. Faults planted in them must be found.
"""

from __future__ import annotations

import heapq
import random
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from functools import partial
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sagetrack.core.endpoints import Endpoint
from sagetrack.core.gateway import Gateway
from sagetrack.core.requests import Request
from sagetrack.core.send_rules import ServerState
from sagetrack.http1.attempt_runner import AttemptRunner
from sagetrack.http1.connection_pool import ConnectionPools
from sagetrack.http1.idle_connections import IdleConnections
from sagetrack.http1.requests import Message
from sagetrack.http1.upstream_connection import UpstreamConnection
from sagetrack.policy.events import ListedServer, ListKind, ServerStatus
from sagetrack.policy.settings import Effect
from tests.helpers import GATEWAY_CLOCK_USERS, SETTINGS

SERVERS, STEPS = 3, 120
RULES = replace(SETTINGS, hedging=True, may_cancel=False, connect_timeout_us=250_000, max_attempts=4)
GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REJECTED = b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
FAILED = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
SPOILT = b"no HTTP\r\n\r\n"


class Timer:
    off = False

    def cancel(self) -> None:
        self.off = True


class Opening:
    """A connection that is being opened, and the task of it."""

    def __init__(self, world: World, made: Callable[[], UpstreamConnection]) -> None:
        self.world, self.made = world, made
        self.over = self.was_cancelled = False
        self.error: Exception | None = None
        self.told: list[Callable[[Any], None]] = []

    def add_done_callback(self, callback: Callable[[Any], None]) -> None:
        self.told.append(callback)

    def done(self) -> bool:
        return self.over

    def cancelled(self) -> bool:
        return self.was_cancelled

    def exception(self) -> Exception | None:
        return self.error

    def cancel(self) -> None:
        if not self.over:
            self.was_cancelled = True
            self.end()

    def end(self) -> None:
        self.over = True
        self.world.openings.remove(self)
        for callback in self.told:
            self.world.soon.append(partial(callback, self))

    def fail(self) -> None:
        self.error = ConnectionRefusedError()
        self.end()

    def connect(self) -> None:
        connection = self.made()
        wire = Wire(self.world, connection)
        self.world.wires.append(wire)
        connection.connection_made(wire)  # type: ignore[arg-type]
        self.end()


class Wire:
    """The transport of a connection to a server; what is written goes out whole, in part or not at all."""

    def __init__(self, world: World, connection: UpstreamConnection) -> None:
        self.world, self.connection = world, connection
        self.closing = self.paused = False
        self.asked = 0  # requests that are whole at the server and have had no answer
        self.call: Tried | None = None

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0

    def get_extra_info(self, name: str) -> Any:
        return SimpleNamespace(fileno=self.world.quiet.fileno)

    def is_closing(self) -> bool:
        return self.closing

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...

    def write(self, data: bytes) -> None:
        self.world.on_first_byte(self, data)
        how = self.world.draw.random()
        if how < 0.1:
            self.abort()  # the write fails: nothing of it is out
        elif how < 0.3:
            self.paused = True
            self.connection.pause_writing()
        else:
            self.flush()

    def flush(self) -> None:
        self.asked += 1
        assert self.call is not None
        self.call.may_have_run = True

    def resume(self) -> None:
        self.paused = False
        self.flush()
        self.connection.resume_writing()

    def abort(self) -> None:
        if not self.closing:
            self.closing = True
            self.world.wires.remove(self)
            self.world.soon.append(lambda: self.connection.connection_lost(None))

    close = abort

    def say(self, data: bytes) -> None:
        if self.asked and self.call is not None:
            self.call.over = True
            if data == REJECTED:
                self.call.may_have_run = False
        self.asked = max(0, self.asked - 1)
        self.connection.data_received(data)


@dataclass(eq=False)
class Tried:
    """One attempt, as its server knows it."""

    wire: Wire
    may_have_run: bool = False
    over: bool = False  # its server has answered


@dataclass(eq=False)
class Asked:
    """A client's request: it gets one answer, unless it leaves before."""

    world: World
    request: Request | None = None
    answers: list[str] = field(default_factory=list)
    left: bool = False
    tried: list[Tried] = field(default_factory=list)

    def on_response(self, request: Request, answer: Any) -> None:
        self.answers.append("served")

    def on_rejected(self, request: Request, retry_after_us: int) -> None:
        ran = any(t.may_have_run for t in self.tried)
        self.world.rule(not ran or request.class_index < 2, "an unsafe call refused though it may have run")
        self.answers.append("refused")

    def on_failed(self, request: Request, timed_out: bool) -> None:
        self.answers.append("failed")

    def on_response_started(self, request: Request, head: Any, source: Any) -> None:
        self.answers.append("long")  # none here is

    def on_response_data(self, request: Request, data: bytes) -> None: ...

    def on_response_ended(self, request: Request, answer: Any) -> None: ...

    def on_response_aborted(self, request: Request) -> None: ...


class World:
    """The loop, the clock, discovery, clients and servers of one gateway."""

    def __init__(self, draw: random.Random) -> None:
        self.draw = draw
        self.now = 50_000_000
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.soon: list[Callable[[], None]] = []
        self.openings: list[Opening] = []
        self.wires: list[Wire] = []
        self.asked: list[Asked] = []
        self.withdrawn: set[int] = set()
        self.quiet, self.other_end = socket.socketpair()
        self.count = 0
        self.broken: list[str] = []

    # The loop

    def call_later(self, wait_s: float, what: Callable[..., None], *args: Any) -> Any:
        handle = Timer()
        self.count += 1
        due = self.now + max(0.0, wait_s) * 1e6
        heapq.heappush(self.timers, (due, self.count, lambda: None if handle.off else what(*args)))
        return handle

    def create_connection(self, made: Callable[[], UpstreamConnection], *address: Any) -> Opening:
        opening = Opening(self, made)
        self.openings.append(opening)
        return opening

    def create_task(self, opening: Opening) -> Opening:
        return opening

    def settle(self) -> None:
        while self.soon:
            self.soon.pop(0)()

    def advance(self, us: int) -> None:
        end = self.now + us
        while self.timers and self.timers[0][0] <= end:
            due, _, what = heapq.heappop(self.timers)
            self.now = max(self.now, int(due))
            what()
            self.settle()
        self.now = end

    # Rules

    def rule(self, holds: bool, what: str) -> None:
        """Noted, as the gateway survives an error raised in the middle of it."""
        if not holds:
            self.broken.append(what)

    def on_first_byte(self, wire: Wire, data: bytes) -> None:
        server = wire.connection.upstream.id
        self.rule(server not in self.withdrawn, "begun at a server after word that it leaves")
        name = data.split(b" ")[1].decode()
        (asked,) = [one for one in self.asked if one.request is not None and one.request.id == name]
        self.rule(not asked.left, "begun for a client that has left")
        self.rule(not asked.answers, "begun for a call that has had its answer")
        assert asked.request is not None
        if RULES.classes[asked.request.class_index].effect is Effect.UNSAFE:
            ran = any(t.may_have_run for t in asked.tried)
            self.rule(not ran, "an unsafe call again though it may have run")
            out = any(not (t.over or t.wire.closing) for t in asked.tried)
            self.rule(not out, "two out of an unsafe call")
        wire.call = Tried(wire)
        asked.tried.append(wire.call)

    # What may happen

    def list_one(self, gateway: Gateway, number: int, status: ServerStatus, started: int = 0) -> None:
        entry = Endpoint(f"s{number}", ("h", number), ListedServer(number, status, started_us=started))
        (self.withdrawn.discard if status is ServerStatus.READY else self.withdrawn.add)(number)
        gateway.on_endpoint_list(ListKind.DELTA, [entry])

    def arrive(self, gateway: Gateway) -> None:
        self.count += 1
        client = Asked(self)
        class_index, name = self.draw.randrange(3), f"r{self.count}"
        message = Message(b"GET %s X\r\n" % name.encode(), b"")
        client.request = Request(name, class_index, 400_000, None, None, False, 0, message, client)
        self.asked.append(client)
        gateway.submit(client.request)

    def leave(self, gateway: Gateway) -> None:
        here = [one for one in self.asked if not one.left and not one.answers]
        if here:
            one = self.draw.choice(here)
            one.left = True
            assert one.request is not None
            gateway.cancel_request(one.request.id)

    def step(self, gateway: Gateway) -> None:
        draw = self.draw
        openings, wires = list(self.openings), list(self.wires)
        match draw.randrange(12):
            case 0 | 1:
                self.arrive(gateway)
            case 2:
                self.leave(gateway)
            case 3:
                status = draw.choice([ServerStatus.READY] * 2 + [ServerStatus.DRAINING, ServerStatus.GONE])
                self.list_one(gateway, draw.randrange(SERVERS), status, draw.choice([0, 0, self.now]))
            case 4 | 5 if openings:
                draw.choice(openings).connect()
            case 6 if openings:
                draw.choice(openings).fail()
            case 7 | 8 if wires:
                wire = draw.choice(wires)
                if wire.paused:
                    wire.resume()
                elif wire.asked or draw.random() < 0.1:
                    wire.say(draw.choice([GOOD, GOOD, REJECTED, FAILED, SPOILT, GOOD + GOOD]))
            case 9 if wires:
                draw.choice(wires).abort()
            case _:
                self.advance(draw.choice([0, 1_000, 12_000, 60_000, 300_000]))
        self.settle()
        assert not self.broken, self.broken


@contextmanager
def world_of(draw: random.Random) -> Iterator[World]:
    world = World(draw)
    patch = pytest.MonkeyPatch()
    loop = SimpleNamespace(
        call_later=world.call_later, create_connection=world.create_connection, create_task=world.create_task
    )
    for module in (
        *GATEWAY_CLOCK_USERS,
        "sagetrack.http1.attempt",
        "sagetrack.http1.attempt_runner",
        "sagetrack.http1.idle_connections",
        "sagetrack.http1.upstream_server",
    ):
        patch.setattr(f"{module}.now_us", lambda: world.now)
    patch.setattr("asyncio.get_running_loop", lambda: loop)
    try:
        yield world
    finally:
        patch.undo()
        world.quiet.close()
        world.other_end.close()


def play(draw: random.Random) -> None:
    with world_of(draw) as world:
        pools = ConnectionPools(RULES)
        gateway = Gateway(RULES, draw.randrange(2**32), ["safe", "keyed", "unsafe"], pools, {})
        for number in range(SERVERS):
            world.list_one(gateway, number, ServerStatus.READY)
        leaves_at = draw.randrange(2 * STEPS)
        for number in range(STEPS):
            if number == leaves_at:
                gateway.shut_down_within(0.2)
            world.step(gateway)
        world.advance(5_000_000)  # every deadline is over, and every timer of the pools has run
        for asked in world.asked:
            assert len(asked.answers) == (not asked.left), "not one final answer"
        pools.close()
        world.settle()
        assert not world.broken, world.broken
        left = gateway.in_flight or gateway.balancer.requests or gateway.balancer.in_flight.count
        assert not left, "calls left over"
        assert pools.open == 0 and not world.wires and not world.openings, "connections left over"


@settings(max_examples=150, deadline=None)
@given(st.randoms(use_true_random=False))
def test_every_order_of_events_keeps_the_rules(draw: random.Random) -> None:
    play(draw)


def test_many_orders_of_events_keep_the_rules() -> None:
    for seed in range(150):
        play(random.Random(seed))


def forget_the_client(patch: pytest.MonkeyPatch) -> None:
    """As it was: what is begun is written, whoever still waits."""
    patch.setattr(ConnectionPools, "cancel_unsent", lambda self, attempt: None)
    patch.setattr(
        AttemptRunner,
        "may_send",
        lambda self, attempt, incarnation: (
            attempt.upstream.drained_us is None and attempt.upstream.incarnation == incarnation
        ),
    )


def forget_the_word(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        AttemptRunner,
        "may_send",
        lambda self, attempt, incarnation: attempt.may_send(ServerState.SERVING),
    )


def forget_what_was_written(patch: pytest.MonkeyPatch) -> None:
    """Every loss is told as one of a connection that never came up."""
    lost = AttemptRunner.on_lost

    def on_lost(self: AttemptRunner, connection: UpstreamConnection) -> None:
        if connection.attempt is not None:
            connection.attempt.written = False
        lost(self, connection)

    patch.setattr(AttemptRunner, "on_lost", on_lost)


def forget_an_idle_connection(patch: pytest.MonkeyPatch) -> None:
    """As it was: a server that is gone is looked up after it has been taken out."""
    patch.setattr(IdleConnections, "close_all", lambda self, upstream: None)


@pytest.mark.parametrize(
    ("plant", "found"),
    [
        (forget_the_client, "begun for a"),
        (forget_the_word, "begun at a server after word"),
        (forget_what_was_written, "though it may have run"),
        (forget_an_idle_connection, "connections left over"),
    ],
)
def test_a_planted_fault_is_found(
    plant: Callable[[pytest.MonkeyPatch], None], found: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    with pytest.raises(AssertionError, match=found):
        for seed in range(150):
            play(random.Random(seed))
