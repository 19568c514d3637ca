"""Stand-in address servers of the newer format: HTTP/2 in gRPC's manner, as docs/protocol-2.md has it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, cast

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from sagetrack.grpc.calls_pb2 import Answer, Call
from sagetrack.grpc.messages import Unpacker, goaway_frame, pack
from sagetrack.grpc.metadata import parse_timeout_us
from sagetrack.lab.model.server import Job, Result

if TYPE_CHECKING:
    from sagetrack.lab.stand_ins.sockets import ServerHost

BODY = b"x" * 64


@dataclass(slots=True, eq=False)
class Asked:
    """One stream: what came on it."""

    stream: int
    headers: dict[str, str]
    unpacker: Unpacker = field(default_factory=Unpacker)
    calls: list[Call] = field(default_factory=list)
    out: bytearray = field(default_factory=bytearray)
    trailers: list[tuple[str, str]] | None = None
    over: bool = False

    @property
    def body(self) -> bytes:
        return b"".join(call.body for call in self.calls)


class NewConnection(asyncio.Protocol):
    """The server's side of one connection. What is asked whole goes to `on_call`."""

    def __init__(self, on_call: Callable[[NewConnection, Asked], None], most: int = 100) -> None:
        self.on_call = on_call
        self.transport: asyncio.Transport | None = None
        config = h2.config.H2Configuration(client_side=False, header_encoding="latin-1")
        self.h2 = h2.connection.H2Connection(config)
        self.most = most
        self.asked: dict[int, Asked] = {}
        self.last = 0  # the highest stream that was begun
        self.on_reset: Callable[[Asked], None] = lambda asked: None
        self.on_lost: Callable[[], None] = lambda: None
        self.opens_windows = True
        self.cut: int | None = None  # after GOAWAY: streams above it are not worked on

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        values = {
            h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: self.most,
            h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: 65_536,
        }
        self.h2.local_settings = h2.settings.Settings(client=False, initial_values=values)
        self.h2.initiate_connection()
        self.flush()

    def flush(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(self.h2.data_to_send())

    def data_received(self, data: bytes) -> None:
        try:
            events = self.h2.receive_data(data)
        except h2.exceptions.ProtocolError:
            self.flush()
            self.close()
            return
        for event in events:
            self.on_event(event)
        self.flush()

    def on_event(self, event: h2.events.Event) -> None:
        stream = getattr(event, "stream_id", None) or 0
        asked = self.asked.get(stream)
        match event:
            case h2.events.RequestReceived() if self.cut is not None and stream > self.cut:
                pass  # it was on its way when GOAWAY was
            case h2.events.RequestReceived():
                self.last = max(self.last, stream)
                self.asked[stream] = Asked(stream, {str(n): str(v) for n, v in event.headers or ()})
            case h2.events.DataReceived():
                if asked is not None:
                    asked.calls += [Call.FromString(m) for m in asked.unpacker.feed(event.data or b"")]
                if self.opens_windows:
                    self.h2.acknowledge_received_data(event.flow_controlled_length or 0, stream)
            case h2.events.StreamEnded():
                if asked is not None:
                    self.on_call(self, asked)
            case h2.events.StreamReset():
                if asked is not None:
                    asked.over = True
                    del self.asked[stream]
                    self.on_reset(asked)
            case h2.events.WindowUpdated():
                for one in list(self.asked.values()):
                    self.push(one)
            case _:
                pass

    # Replies

    def answer(self, asked: Asked, fields: Any = (), body: bytes = BODY, parts: int = 1) -> None:
        """A whole answer, its body in so many messages."""
        size = max(1, -(-len(body) // parts))
        pieces = [body[i : i + size] for i in range(0, len(body), size)] or [b""]
        first = Answer(fields=fields, body=pieces[0], length=len(body))
        asked.out += pack(first.SerializeToString())
        for more in pieces[1:]:
            asked.out += pack(Answer(body=more).SerializeToString())
        self.begin(asked)
        asked.trailers = [("grpc-status", "0")]
        self.push(asked)

    def begin(self, asked: Asked) -> None:
        if not asked.over:
            try:
                self.h2.send_headers(
                    asked.stream, [(":status", "200"), ("content-type", "application/grpc+proto")]
                )
            except h2.exceptions.H2Error:
                asked.over = True

    def push(self, asked: Asked) -> None:
        """Send what the window takes, and the trailers after the last of it."""
        if asked.over or asked.trailers is None:
            return
        try:
            while asked.out:
                room = min(self.h2.local_flow_control_window(asked.stream), self.h2.max_outbound_frame_size)
                if room <= 0:
                    self.flush()
                    return
                self.h2.send_data(asked.stream, bytes(asked.out[:room]))
                del asked.out[:room]
            self.h2.send_headers(asked.stream, asked.trailers, end_stream=True)
        except h2.exceptions.H2Error:
            pass
        self.end(asked)

    def trailers_only(self, asked: Asked, status: int, **more: str) -> None:
        """An answer without a message."""
        extra = [(name.replace("_", "-"), value) for name, value in more.items()]
        headers = [(":status", "200"), ("content-type", "application/grpc+proto")]
        headers.append(("grpc-status", str(status)))
        with suppress(h2.exceptions.H2Error):
            self.h2.send_headers(asked.stream, [*headers, *extra], end_stream=True)
        self.end(asked)

    def reset(self, asked: Asked, code: int = 2) -> None:
        with suppress(h2.exceptions.H2Error):
            self.h2.reset_stream(asked.stream, h2.errors.ErrorCodes(code))
        self.end(asked)

    def end(self, asked: Asked) -> None:
        asked.over = True
        self.asked.pop(asked.stream, None)
        self.flush()

    def goaway(self, last: int | None = None) -> None:
        """Take no stream after this one (RFC 9113, 6.8); those up to it go on."""
        self.cut = last = self.last if last is None else last
        self.flush()
        if self.transport is not None:
            self.transport.write(goaway_frame(last))
        for stream in [s for s in self.asked if s > last]:
            self.asked.pop(stream).over = True

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        for asked in list(self.asked.values()):
            asked.over = True
            self.on_reset(asked)
        self.asked.clear()
        self.on_lost()


class NewServerConnection(NewConnection):
    """A connection to a server of the lab's world: many streams, the same model behind them."""

    def __init__(self, host: ServerHost, gateway: int) -> None:
        super().__init__(self.take)
        self.host, self.gateway = host, gateway
        self.jobs: dict[Asked, Job] = {}
        self.fresh = True
        self.on_reset = self.given_up
        self.on_lost = lambda: host.connections.discard(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.host.connections.add(self)
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        world = self.host.world
        if world.network.reaches(self.gateway, self.host.server.number) and not self.host.server.silent:
            super().data_received(data)

    def take(self, connection: NewConnection, asked: Asked) -> None:
        world, host = self.host.world, self.host
        call = asked.headers.get("x-call-id", "")
        this = host.calls.get(call)
        if this is None:
            self.trailers_only(asked, 3, grpc_message="no such call")
            return
        request, now = this.request, world.clock.now_us()
        work = request.work_us + (world.scenario.fleet.handshake_ms * 1000 if self.fresh else 0.0)
        ways = 3 if self.fresh else 1
        self.fresh = False
        patience = parse_timeout_us(asked.headers.get("grpc-timeout", "1u"))
        job = self.jobs[asked] = Job(
            call,
            work,
            request.key,
            int(request.request_class.window_ms * 1000),
            request.request_class.scope,
            now + patience,
            lambda job, result: self.served(asked, job, result),
        )
        way = host.distance_us(self.gateway)
        world.clock.at(now + way * ways, lambda: self.deliver(asked, job, now))

    def deliver(self, asked: Asked, job: Job, sent_us: int) -> None:
        host = self.host
        if job.ended or asked.over or host.server.number not in host.world.server_fleet.servers:
            return
        if host.world.server_fleet.receive(host.server, job, self.gateway, sent_us) is Result.REJECTED:
            self.served(asked, job, Result.REJECTED)

    def served(self, asked: Asked, job: Job, result: Result) -> None:
        self.jobs.pop(asked, None)
        world = self.host.world

        def reply() -> None:
            if asked.over or not world.network.reaches(self.gateway, self.host.server.number):
                return
            match result:
                case Result.SERVED:
                    self.answer(asked)
                case Result.REJECTED:
                    self.trailers_only(asked, 8, x_rejected="1", grpc_retry_pushback_ms="50")
                case Result.RESET:
                    self.reset(asked)
                case Result.SPOILT:
                    asked.out += b"\x09nonsense"
                    self.begin(asked)
                    asked.trailers = [("grpc-status", "0")]
                    self.push(asked)
                case _:
                    self.trailers_only(asked, 13)

        world.clock.at(world.clock.now_us() + self.host.distance_us(self.gateway), reply)

    def given_up(self, asked: Asked) -> None:
        job = self.jobs.pop(asked, None)
        if job is not None and not job.ended:
            self.host.world.server_fleet.give_up(self.host.server, job)
