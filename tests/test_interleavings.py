"""Randomised event orders for gateway, load balancer and connection pools in virtual time.

The tests run the real code from the arrival of a request to the bytes sent to its server. The event loop, the
clock and the sockets are simulated and driven by a random generator. After every step the send rules must
hold. The last test injects faults into the real code, and the checks must detect them.
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
from sagetrack.http1.requests import ForwardedRequest
from sagetrack.http1.upstream_connection import UpstreamConnection
from sagetrack.policy.events import ListedServer, ListKind, ServerStatus
from sagetrack.policy.settings import Effect
from tests.helpers import GATEWAY_CLOCK_USERS, SETTINGS

SERVER_COUNT, STEP_COUNT = 3, 120
BALANCER_SETTINGS = replace(
    SETTINGS, hedging=True, may_cancel=False, connect_timeout_us=250_000, max_attempts=4
)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REJECTED = b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
MALFORMED = b"no HTTP\r\n\r\n"


class Timer:
    is_cancelled = False

    def cancel(self) -> None:
        self.is_cancelled = True


class PendingConnection:
    """A connection that is being opened; also stands in for the task that opens it."""

    def __init__(self, simulation: Simulation, create: Callable[[], UpstreamConnection]) -> None:
        self.simulation, self.create = simulation, create
        self.is_done = self.was_cancelled = False
        self.error: Exception | None = None
        self.callbacks: list[Callable[[Any], None]] = []

    def add_done_callback(self, callback: Callable[[Any], None]) -> None:
        self.callbacks.append(callback)

    def done(self) -> bool:
        return self.is_done

    def cancelled(self) -> bool:
        return self.was_cancelled

    def exception(self) -> Exception | None:
        return self.error

    def cancel(self) -> None:
        if not self.is_done:
            self.was_cancelled = True
            self.end()

    def end(self) -> None:
        self.is_done = True
        self.simulation.pending_connections.remove(self)
        for callback in self.callbacks:
            self.simulation.ready_callbacks.append(partial(callback, self))

    def fail(self) -> None:
        self.error = ConnectionRefusedError()
        self.end()

    def connect(self) -> None:
        connection = self.create()
        transport = UpstreamTransport(self.simulation, connection)
        self.simulation.transports.append(transport)
        connection.connection_made(transport)  # type: ignore[arg-type]
        self.end()


class UpstreamTransport:
    """The transport of an upstream connection; a write succeeds, is delayed by flow control, or fails."""

    def __init__(self, simulation: Simulation, connection: UpstreamConnection) -> None:
        self.simulation, self.connection = simulation, connection
        self.closing = self.paused = False
        self.pending_responses = 0  # requests that the server has received and not responded to
        self.attempt: ServerAttempt | None = None

    def set_write_buffer_limits(self, high: int) -> None:
        assert high == 0

    def get_extra_info(self, name: str) -> Any:
        return SimpleNamespace(fileno=self.simulation.idle_socket.fileno)

    def is_closing(self) -> bool:
        return self.closing

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...

    def write(self, data: bytes) -> None:
        self.simulation.on_first_byte(self, data)
        fate = self.simulation.rng.random()
        if fate < 0.1:
            self.abort()  # the write fails, and nothing is sent
        elif fate < 0.3:
            self.paused = True
            self.connection.pause_writing()
        else:
            self.deliver()

    def deliver(self) -> None:
        self.pending_responses += 1
        assert self.attempt is not None
        self.attempt.may_have_run = True

    def resume_writing(self) -> None:
        self.paused = False
        self.deliver()
        self.connection.resume_writing()

    def abort(self) -> None:
        if not self.closing:
            self.closing = True
            self.simulation.transports.remove(self)
            self.simulation.ready_callbacks.append(lambda: self.connection.connection_lost(None))

    close = abort

    def respond(self, data: bytes) -> None:
        if self.pending_responses and self.attempt is not None:
            self.attempt.responded = True
            if data == REJECTED:
                self.attempt.may_have_run = False
        self.pending_responses = max(0, self.pending_responses - 1)
        self.connection.data_received(data)


@dataclass(eq=False)
class ServerAttempt:
    """One attempt, from the server's point of view."""

    transport: UpstreamTransport
    may_have_run: bool = False
    responded: bool = False  # the server has responded


@dataclass(eq=False)
class SimulatedClient:
    """A client with one request, which must get exactly one response unless the client disconnects."""

    simulation: Simulation
    request: Request | None = None
    responses: list[str] = field(default_factory=list)
    disconnected: bool = False
    attempts: list[ServerAttempt] = field(default_factory=list)

    def on_response(self, request: Request, response: Any) -> None:
        self.responses.append("served")

    def on_rejected(self, request: Request, retry_after_us: int) -> None:
        may_have_run = any(attempt.may_have_run for attempt in self.attempts)
        self.simulation.check(
            not may_have_run or request.class_index < 2,
            "an unsafe request was rejected though it may have run",
        )
        self.responses.append("refused")

    def on_failed(self, request: Request, timed_out: bool) -> None:
        self.responses.append("failed")

    def on_response_started(self, request: Request, head: Any, source: Any) -> None:
        self.responses.append("long")  # no response of these tests is long enough to be streamed

    def on_response_data(self, request: Request, data: bytes) -> None: ...

    def on_response_ended(self, request: Request, response: Any) -> None: ...

    def on_response_aborted(self, request: Request) -> None: ...


class Simulation:
    """The simulated event loop, clock, service discovery, clients and servers of one gateway."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.now = 50_000_000
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.ready_callbacks: list[Callable[[], None]] = []
        self.pending_connections: list[PendingConnection] = []
        self.transports: list[UpstreamTransport] = []
        self.clients: list[SimulatedClient] = []
        self.withdrawn: set[int] = set()
        self.idle_socket, self.idle_socket_peer = socket.socketpair()
        self.count = 0
        self.broken_rules: list[str] = []

    # Event loop

    def call_later(self, wait_s: float, callback: Callable[..., None], *args: Any) -> Any:
        timer = Timer()
        self.count += 1
        due = self.now + max(0.0, wait_s) * 1e6
        heapq.heappush(
            self.timers, (due, self.count, lambda: None if timer.is_cancelled else callback(*args))
        )
        return timer

    def create_connection(self, create: Callable[[], UpstreamConnection], *address: Any) -> PendingConnection:
        pending_connection = PendingConnection(self, create)
        self.pending_connections.append(pending_connection)
        return pending_connection

    def create_task(self, pending_connection: PendingConnection) -> PendingConnection:
        return pending_connection

    def run_ready_callbacks(self) -> None:
        while self.ready_callbacks:
            self.ready_callbacks.pop(0)()

    def advance(self, duration_us: int) -> None:
        end = self.now + duration_us
        while self.timers and self.timers[0][0] <= end:
            due, _, callback = heapq.heappop(self.timers)
            self.now = max(self.now, int(due))
            callback()
            self.run_ready_callbacks()
        self.now = end

    # Rules

    def check(self, holds: bool, description: str) -> None:
        """Record a broken rule instead of raising, because the gateway catches exceptions in handlers."""
        if not holds:
            self.broken_rules.append(description)

    def on_first_byte(self, transport: UpstreamTransport, data: bytes) -> None:
        server = transport.connection.upstream.id
        self.check(server not in self.withdrawn, "sent to a withdrawn server")
        name = data.split(b" ")[1].decode()
        (client,) = [one for one in self.clients if one.request is not None and one.request.id == name]
        self.check(not client.disconnected, "sent for a client that has disconnected")
        self.check(not client.responses, "sent for a request that has its response")
        assert client.request is not None
        if BALANCER_SETTINGS.classes[client.request.class_index].effect is Effect.UNSAFE:
            may_have_run = any(attempt.may_have_run for attempt in client.attempts)
            self.check(not may_have_run, "an unsafe request was retried though it may have run")
            in_flight = any(
                not (attempt.responded or attempt.transport.closing) for attempt in client.attempts
            )
            self.check(not in_flight, "two attempts of an unsafe request are in flight")
        transport.attempt = ServerAttempt(transport)
        client.attempts.append(transport.attempt)

    # Random events

    def list_server(self, gateway: Gateway, number: int, status: ServerStatus, started: int = 0) -> None:
        entry = Endpoint(f"s{number}", ("h", number), ListedServer(number, status, started_us=started))
        (self.withdrawn.discard if status is ServerStatus.READY else self.withdrawn.add)(number)
        gateway.on_endpoint_list(ListKind.DELTA, [entry])

    def submit_request(self, gateway: Gateway) -> None:
        self.count += 1
        client = SimulatedClient(self)
        class_index, name = self.rng.randrange(3), f"r{self.count}"
        message = ForwardedRequest(b"GET %s X\r\n" % name.encode(), b"")
        client.request = Request(name, class_index, 400_000, None, None, False, 0, message, client)
        self.clients.append(client)
        gateway.submit(client.request)

    def disconnect_client(self, gateway: Gateway) -> None:
        connected = [one for one in self.clients if not one.disconnected and not one.responses]
        if connected:
            one = self.rng.choice(connected)
            one.disconnected = True
            assert one.request is not None
            gateway.cancel_request(one.request.id)

    def step(self, gateway: Gateway) -> None:
        rng = self.rng
        pending_connections, transports = list(self.pending_connections), list(self.transports)
        match rng.randrange(12):
            case 0 | 1:
                self.submit_request(gateway)
            case 2:
                self.disconnect_client(gateway)
            case 3:
                status = rng.choice([ServerStatus.READY] * 2 + [ServerStatus.DRAINING, ServerStatus.GONE])
                self.list_server(gateway, rng.randrange(SERVER_COUNT), status, rng.choice([0, 0, self.now]))
            case 4 | 5 if pending_connections:
                rng.choice(pending_connections).connect()
            case 6 if pending_connections:
                rng.choice(pending_connections).fail()
            case 7 | 8 if transports:
                transport = rng.choice(transports)
                if transport.paused:
                    transport.resume_writing()
                elif transport.pending_responses or rng.random() < 0.1:
                    transport.respond(rng.choice([OK, OK, REJECTED, ERROR, MALFORMED, OK + OK]))
            case 9 if transports:
                rng.choice(transports).abort()
            case _:
                self.advance(rng.choice([0, 1_000, 12_000, 60_000, 300_000]))
        self.run_ready_callbacks()
        assert not self.broken_rules, self.broken_rules


@contextmanager
def patched_simulation(rng: random.Random) -> Iterator[Simulation]:
    simulation = Simulation(rng)
    patch = pytest.MonkeyPatch()
    loop = SimpleNamespace(
        call_later=simulation.call_later,
        create_connection=simulation.create_connection,
        create_task=simulation.create_task,
    )
    for module in (
        *GATEWAY_CLOCK_USERS,
        "sagetrack.http1.attempt",
        "sagetrack.http1.attempt_runner",
        "sagetrack.http1.idle_connections",
        "sagetrack.http1.upstream_server",
    ):
        patch.setattr(f"{module}.now_us", lambda: simulation.now)
    patch.setattr("asyncio.get_running_loop", lambda: loop)
    try:
        yield simulation
    finally:
        patch.undo()
        simulation.idle_socket.close()
        simulation.idle_socket_peer.close()


def simulate(rng: random.Random) -> None:
    with patched_simulation(rng) as simulation:
        pools = ConnectionPools(BALANCER_SETTINGS)
        gateway = Gateway(BALANCER_SETTINGS, rng.randrange(2**32), ["safe", "keyed", "unsafe"], pools, {})
        for number in range(SERVER_COUNT):
            simulation.list_server(gateway, number, ServerStatus.READY)
        shutdown_step = rng.randrange(2 * STEP_COUNT)
        for number in range(STEP_COUNT):
            if number == shutdown_step:
                gateway.shut_down_within(0.2)
            simulation.step(gateway)
        simulation.advance(5_000_000)  # all deadlines have passed, and all timers of the pools have run
        for client in simulation.clients:
            assert len(client.responses) == (not client.disconnected), "not exactly one final response"
        pools.close()
        simulation.run_ready_callbacks()
        assert not simulation.broken_rules, simulation.broken_rules
        left = gateway.in_flight or gateway.balancer.requests or gateway.balancer.in_flight.count
        assert not left, "requests left over"
        assert (
            pools.open_connections == 0 and not simulation.transports and not simulation.pending_connections
        ), "connections left over"


@settings(max_examples=150, deadline=None)
@given(st.randoms(use_true_random=False))
def test_random_event_orders_keep_the_rules(rng: random.Random) -> None:
    simulate(rng)


def test_seeded_event_orders_keep_the_rules() -> None:
    for seed in range(150):
        simulate(random.Random(seed))


def send_despite_disconnect(patch: pytest.MonkeyPatch) -> None:
    """A former fault: an attempt was written even if its request no longer needed it."""
    patch.setattr(ConnectionPools, "cancel_unsent", lambda self, attempt: None)
    patch.setattr(
        AttemptRunner,
        "may_send",
        lambda self, attempt, incarnation: (
            attempt.upstream.withdrawn_since_us is None and attempt.upstream.incarnation == incarnation
        ),
    )


def send_to_withdrawn_servers(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        AttemptRunner,
        "may_send",
        lambda self, attempt, incarnation: attempt.may_send(ServerState.SERVING),
    )


def treat_written_requests_as_unsent(patch: pytest.MonkeyPatch) -> None:
    """Report every lost connection as one that never opened, as if the request could not have run."""
    original_on_lost = AttemptRunner.on_lost

    def on_lost(self: AttemptRunner, connection: UpstreamConnection) -> None:
        if connection.attempt is not None:
            connection.attempt.written = False
        original_on_lost(self, connection)

    patch.setattr(AttemptRunner, "on_lost", on_lost)


def keep_idle_connections_of_removed_servers(patch: pytest.MonkeyPatch) -> None:
    """A former fault: idle connections stayed open, as a removed server was looked up after its removal."""
    patch.setattr(IdleConnections, "close_all", lambda self, upstream: None)


@pytest.mark.parametrize(
    ("inject", "message"),
    [
        (send_despite_disconnect, "sent for a"),
        (send_to_withdrawn_servers, "sent to a withdrawn server"),
        (treat_written_requests_as_unsent, "though it may have run"),
        (keep_idle_connections_of_removed_servers, "connections left over"),
    ],
)
def test_an_injected_fault_is_detected(
    inject: Callable[[pytest.MonkeyPatch], None], message: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    inject(monkeypatch)
    with pytest.raises(AssertionError, match=message):
        for seed in range(150):
            simulate(random.Random(seed))
