"""Clients of the newer format: calls as streams over HTTP/2, to the same module under the same rules."""

from __future__ import annotations

import asyncio
import select
import ssl
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, cast

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from sagetrack.config.platform import Address
from sagetrack.core.bodies import STREAMED_BODY_LIMIT, BodyMemoryBudget, StreamedBody
from sagetrack.core.clock import now_us
from sagetrack.core.gateway import Gateway
from sagetrack.core.interfaces import Call, Client, Source
from sagetrack.core.peer_close import has_peer_closed
from sagetrack.core.responses import Header, Response
from sagetrack.core.transient_errors import require_sockets
from sagetrack.grpc.calls_pb2 import Answer
from sagetrack.grpc.messages import MessageError, Unpacker, goaway, pack
from sagetrack.grpc.metadata import TranslationError
from sagetrack.grpc.outcomes import Status
from sagetrack.grpc.translate import from_new, old_body, refusal, split_head, to_new_answer

STREAMS = 100  # of one connection at once
CONNECTIONS = 256
BODY_LIMIT = 64 * 1024  # of a call that is held, to be sent again if need be; a longer one passes through
HIGH = 128 * 1024  # bytes of an answer that wait for a client before its server is paused
RESETS = 100  # streams a second that a client may begin and cancel (rapid reset, CVE-2023-44487)
UNASKED = 1000  # frames a second that carry no call
IDLE_S, STUCK_S = 30.0, 10.0
SWEEP_S = 0.5
CONTENT = "application/grpc+proto"

Read = Callable[[str, bytes, list[Header], bytes, int, Client, StreamedBody | None], Call]
"""A call from method, target, headers, body and budget (us; 0: the class's own), or with a body that still
comes; ReadError if it is none."""


class ReadError(ValueError):
    """A call that is answered here, with this status of gRPC's."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True)
class FrontCounts:
    """Since the start."""

    connections: int = 0
    calls: int = 0
    unreadable: int = 0
    calmed: int = 0  # connections that were ended for what they sent


@dataclass(slots=True, eq=False)
class Stream:
    """One call of a client, until its one answer has gone."""

    front: NewFront
    connection: ClientLine
    id: int
    headers: list[tuple[str, str]]
    unpacker: Unpacker = field(default_factory=lambda: Unpacker(BODY_LIMIT + 32 * 1024))
    messages: list[bytes] = field(default_factory=list)
    held: int = 0  # bytes of them
    streamed_body: StreamedBody | None = None  # the body, once it is too long to be held
    shut: int = 0  # bytes that its window has not been opened for, while the body has no room
    call: Call | None = None
    out: bytearray = field(default_factory=bytearray)
    trailers: list[tuple[str, str]] | None = None
    source: Source | None = None
    paused: bool = False
    headed: bool = False
    over: bool = False
    moved_us: int = 0

    # As the client of a call

    def on_response(self, call: Call, answer: Any) -> None:
        reply: Response = answer
        self.out += pack(to_new_answer(reply.headers, reply.body))
        self.end([("grpc-status", "0")])

    def on_response_started(self, call: Call, head: Any, source: Source) -> None:
        reply: Response = head
        first = Answer.FromString(to_new_answer(reply.headers, b""))
        if reply.length is not None:
            first.length = reply.length
        self.source = source
        self.send(pack(first.SerializeToString()))

    def on_response_data(self, call: Call, data: bytes) -> None:
        self.send(pack(Answer(body=data).SerializeToString()))

    def on_response_ended(self, call: Call, answer: Any) -> None:
        self.source = None
        if answer.body:
            self.out += pack(Answer(body=answer.body).SerializeToString())
        self.end([("grpc-status", "0")])

    def on_response_aborted(self, call: Call) -> None:
        self.source = None
        self.end([("grpc-status", str(int(Status.DATA_LOSS))), ("grpc-message", "the answer broke off")])

    def on_rejected(self, call: Call, retry_after_us: int) -> None:
        self.end(refusal(retry_after_us))

    def on_failed(self, call: Call, timed_out: bool) -> None:
        status = Status.DEADLINE_EXCEEDED if timed_out else Status.INTERNAL
        self.end([("grpc-status", str(int(status)))])

    # Sending

    def send(self, data: bytes) -> None:
        self.out += data
        self.connection.push(self)
        if self.source is not None and not self.paused and len(self.out) > HIGH:
            self.paused = True
            self.source.pause()

    def end(self, trailers: list[tuple[str, str]]) -> None:
        """The one end of the call."""
        self.call = None
        if self.streamed_body is not None:
            self.streamed_body.abort()  # the rest, if there is any, is nobody's
        if self.trailers is None:
            self.trailers = trailers
            self.connection.push(self)

    def refuse(self, status: int, why: str) -> None:
        self.front.counts.unreadable += 1
        plain = "".join(c if 32 <= ord(c) < 127 and c != "%" else f"%{ord(c) & 255:02X}" for c in why)
        self.end([("grpc-status", str(int(status))), ("grpc-message", plain)])

    def drop(self) -> None:
        """The client has gone, or wants it no more."""
        self.over = True
        call, self.call = self.call, None
        if self.streamed_body is not None:
            self.streamed_body.abort()
        if call is not None:
            self.front.gateway.cancel_request(call.id)


class ClientLine(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, front: NewFront) -> None:
        self.front = front
        self.transport: asyncio.Transport | None = None
        config = h2.config.H2Configuration(client_side=False, header_encoding="latin-1")
        self.h2 = h2.connection.H2Connection(config)
        codes = h2.settings.SettingCodes
        values = {
            codes.MAX_CONCURRENT_STREAMS: STREAMS,
            codes.MAX_HEADER_LIST_SIZE: 32 * 1024,
            codes.INITIAL_WINDOW_SIZE: BODY_LIMIT + 32 * 1024,
        }
        self.h2.local_settings = h2.settings.Settings(client=False, initial_values=values)
        self.streams: dict[int, Stream] = {}
        self.last = 0
        self.leaving = self.over = self.stuck = False
        self.poll: select.poll | None = None
        self.heard_us = now_us()
        self.counted_us, self.resets, self.unasked = self.heard_us, 0, 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if len(self.front.lines) >= CONNECTIONS:
            self.transport.abort()
            return
        bare = transport.get_extra_info("socket")
        if bare is not None:
            self.poll = select.poll()
            self.poll.register(bare.fileno(), select.POLLRDHUP)
        self.front.lines.add(self)
        self.front.counts.connections += 1
        self.h2.initiate_connection()
        self.flush()
        if self.front.leaving():
            self.leave()

    def flush(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            data = self.h2.data_to_send()
            if data:
                self.transport.write(data)

    def pause_writing(self) -> None:
        self.stuck = True

    def resume_writing(self) -> None:
        self.stuck = False
        self.push_all()

    def data_received(self, data: bytes) -> None:
        self.heard_us = now_us()
        try:
            events = self.h2.receive_data(data)
        except h2.exceptions.ProtocolError:
            self.front.counts.calmed += 1
            self.close()
            return
        for event in events:
            if self.over:
                return
            self.on_event(event)
        self.flush()

    def on_event(self, event: h2.events.Event) -> None:
        number = getattr(event, "stream_id", None) or 0
        stream = self.streams.get(number)
        match event:
            case h2.events.RequestReceived() if self.leaving:
                pass  # above GOAWAY's last id: its client takes it for never run, and may send it elsewhere
            case h2.events.RequestReceived():
                self.last = max(self.last, number)
                headers = [(str(n), str(v)) for n, v in event.headers or ()]
                self.streams[number] = Stream(self.front, self, number, headers, moved_us=now_us())
            case h2.events.DataReceived():
                if not event.data:
                    self.count(unasked=1)
                size = event.flow_controlled_length or 0
                if stream is not None and stream.trailers is None:
                    self.take(stream, event.data or b"")
                self.acknowledge(stream, number, size)
            case h2.events.StreamEnded():
                if stream is not None and stream.trailers is None:
                    self.front.whole(stream)
            case h2.events.StreamReset():
                if stream is not None:
                    del self.streams[number]
                    stream.drop()
                self.count(resets=1)
            case h2.events.WindowUpdated():
                self.push_all()
            case h2.events.PingReceived() | h2.events.RemoteSettingsChanged():
                self.count(unasked=1)
                self.push_all()
            case h2.events.ConnectionTerminated():
                self.close()
            case _:
                pass

    def take(self, stream: Stream, data: bytes) -> None:
        stream.moved_us = now_us()
        try:
            for message in stream.unpacker.feed(data):
                if stream.streamed_body is not None:
                    self.front.feed(stream, message)
                else:
                    stream.messages.append(message)
                    stream.held += len(message)
        except MessageError as error:
            self.front.stop(stream, Status.RESOURCE_EXHAUSTED, str(error))
            return
        if stream.streamed_body is None and stream.held > self.front.most_held:
            self.front.hand_over(stream)

    def acknowledge(self, stream: Stream | None, number: int, size: int) -> None:
        """Open the windows for what has come; a stream's own stays shut while its body has no room.

        The connection's is opened at once, so that a body that waits for its server holds up nothing else.
        """
        with suppress(h2.exceptions.H2Error):
            if stream is None or stream.streamed_body is None or not stream.streamed_body.is_full:
                self.h2.acknowledge_received_data(size, number)
            elif size:
                stream.shut += size
                self.h2.increment_flow_control_window(size)

    def open(self, stream: Stream) -> None:
        """The body has room again."""
        size, stream.shut = stream.shut, 0
        if size and not stream.over and not self.over:
            with suppress(h2.exceptions.H2Error):
                self.h2.increment_flow_control_window(size, stream.id)
            self.flush()

    def count(self, resets: int = 0, unasked: int = 0) -> None:
        """Guards against clients that make us work without asking for anything."""
        now = now_us()
        if now - self.counted_us > 1_000_000:
            self.counted_us, self.resets, self.unasked = now, 0, 0
        self.resets += resets
        self.unasked += unasked
        if self.resets > RESETS or self.unasked > UNASKED:
            self.front.counts.calmed += 1
            with suppress(h2.exceptions.H2Error):
                self.h2.close_connection(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
            self.close()

    # Answers

    def push_all(self) -> None:
        for stream in list(self.streams.values()):
            self.push(stream)

    def push(self, stream: Stream) -> None:
        """Send what the client's windows take, and the trailers after the last of it."""
        if stream.over or self.over:
            return
        try:
            self.push_on(stream)
        except h2.exceptions.H2Error:
            self.streams.pop(stream.id, None)
            stream.drop()
        self.flush()
        if stream.paused and stream.source is not None and len(stream.out) < HIGH // 2:
            stream.paused = False
            stream.source.resume()
        self.rest()

    def push_on(self, stream: Stream) -> None:
        head = [(":status", "200"), ("content-type", CONTENT)]
        if stream.trailers is not None and not stream.headed and not stream.out:
            self.h2.send_headers(stream.id, [*head, *stream.trailers], end_stream=True)
            self.finish(stream)
            return
        if stream.out and not stream.headed:
            stream.headed = True
            self.h2.send_headers(stream.id, head)
        while stream.out and not self.stuck:
            room = min(self.h2.local_flow_control_window(stream.id), self.h2.max_outbound_frame_size)
            if room <= 0:
                return
            self.h2.send_data(stream.id, bytes(stream.out[:room]))
            del stream.out[:room]
            stream.moved_us = now_us()
        if stream.trailers is not None and not stream.out:
            self.h2.send_headers(stream.id, stream.trailers, end_stream=True)
            self.finish(stream)

    def finish(self, stream: Stream) -> None:
        stream.over = True
        self.streams.pop(stream.id, None)

    # Ends

    def has_gone(self) -> bool:
        """Whether the client has hung up, heard or not: asked before anything goes out for its calls."""
        return self.over or (self.poll is not None and has_peer_closed(self.poll))

    def leave(self) -> None:
        """Take no more streams: the client opens a connection elsewhere, what is in work is answered."""
        if self.leaving or self.over:
            return
        self.leaving = True
        self.flush()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(goaway(self.last))
        self.rest()

    def rest(self) -> None:
        if self.leaving and not self.streams:
            self.close()

    def close(self) -> None:
        if not self.over:
            self.flush()
            self.over = True
            if self.transport is not None:
                self.transport.close()
            self.drop_all()

    def drop_all(self) -> None:
        self.front.lines.discard(self)
        for stream in list(self.streams.values()):
            stream.drop()
        self.streams.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        self.over, self.transport = True, None
        self.drop_all()

    def sweep(self, now: int) -> None:
        if not self.streams and now - self.heard_us > IDLE_S * 1e6:
            self.leave()
        for stream in list(self.streams.values()):
            # A client that reads nothing of an answer, or never ends its call, does not hold its place.
            sends = (
                stream.streamed_body is not None
                and not stream.streamed_body.is_finished
                and not stream.streamed_body.is_full
            )
            waits = stream.out or stream.call is None or sends
            if waits and now - stream.moved_us > STUCK_S * 1e6:
                with suppress(h2.exceptions.H2Error):
                    self.h2.reset_stream(stream.id, h2.errors.ErrorCodes.CANCEL)
                self.streams.pop(stream.id, None)
                stream.drop()
        self.flush()


class NewFront:
    """All clients of the newer format."""

    def __init__(
        self, gateway: Gateway, read: Read, stands_by: Callable[[], bool], body_budget: BodyMemoryBudget
    ) -> None:
        self.gateway, self.read, self.stands_by, self.body_budget = gateway, read, stands_by, body_budget
        self.most_held = BODY_LIMIT
        self.counts = FrontCounts()
        self.lines: set[ClientLine] = set()
        self.servers: list[asyncio.Server] = []
        self.gone = False
        self.sweeper: asyncio.TimerHandle | None = None

    async def start(
        self, addresses: list[Address], secured: ssl.SSLContext | None = None, shared: bool = False
    ) -> list[Address]:
        """Listen; OSError if that cannot be. Returns where, ports chosen."""
        loop = asyncio.get_running_loop()
        for host, port in addresses:
            server = await loop.create_server(
                lambda: ClientLine(self), host, port, ssl=secured, backlog=256, reuse_port=shared
            )
            self.servers.append(require_sockets(server))
        self.sweep()
        return [server.sockets[0].getsockname()[:2] for server in self.servers]

    def leaving(self) -> bool:
        return self.gone or self.stands_by()

    def whole(self, stream: Stream) -> None:
        """A call has come to its end."""
        streamed_body = stream.streamed_body
        if streamed_body is None:
            self.ask(stream)
        elif stream.unpacker.rest or (
            streamed_body.length is not None and streamed_body.length != streamed_body.received
        ):
            # Its server must not take it for whole.
            self.stop(
                stream, Status.INVALID_ARGUMENT, f"a body that ends after {streamed_body.received} bytes"
            )
        else:
            streamed_body.complete()

    def feed(self, stream: Stream, message: bytes) -> None:
        """A further piece of a body that passes through."""
        streamed_body = stream.streamed_body
        assert streamed_body is not None
        if streamed_body.discarding:
            return
        try:
            streamed_body.feed(old_body(message))
        except TranslationError as error:
            self.stop(stream, Status.INVALID_ARGUMENT, str(error))
            return
        if streamed_body.received > (
            STREAMED_BODY_LIMIT if streamed_body.length is None else streamed_body.length
        ):
            most = STREAMED_BODY_LIMIT if streamed_body.length is None else streamed_body.length
            self.stop(stream, Status.RESOURCE_EXHAUSTED, f"a body of over {most} bytes")

    def stop(self, stream: Stream, status: int, why: str) -> None:
        """Give up a call whose body is not what it was to be."""
        call = stream.call
        stream.refuse(status, why)
        if call is not None:
            self.gateway.cancel_request(call.id)

    def hand_over(self, stream: Stream) -> None:
        """Its body is too long to be held: the call goes on before it is whole."""
        self.ask(stream, passes=True)

    def ask(self, stream: Stream, passes: bool = False) -> None:
        """A call has come whole, or as much of it as is held."""
        self.counts.calls += 1
        said = dict(stream.headers)
        if not said.get("content-type", "").startswith("application/grpc"):
            stream.refuse(Status.INVALID_ARGUMENT, "content-type is not application/grpc+proto")
            return
        if not stream.messages or (stream.unpacker.rest and not passes):
            stream.refuse(Status.INVALID_ARGUMENT, "no whole message")
            return
        try:
            head, body, length, budget_us = from_new(stream.headers, stream.messages[0])
            body += b"".join(old_body(message) for message in stream.messages[1:])
            if length is not None and (len(body) > length or (len(body) < length and not passes)):
                raise TranslationError(f"a body of {len(body)} bytes that was to have {length}")
            if length is not None and length > STREAMED_BODY_LIMIT:
                raise TranslationError(f"a body of {length} bytes, over {STREAMED_BODY_LIMIT}")
            method, target, headers = split_head(head)
            if passes:
                stream.streamed_body = StreamedBody(length, self.body_budget)
                stream.streamed_body.on_capacity = lambda: stream.connection.open(stream)
                stream.streamed_body.feed(body)
                body = b""
            call = self.read(method, target, headers, body, budget_us, stream, stream.streamed_body)
        except TranslationError as error:
            stream.refuse(Status.INVALID_ARGUMENT, str(error))
            return
        except ReadError as error:
            stream.refuse(error.status, str(error))
            return
        stream.messages.clear()
        stream.call = call
        call.has_gone = stream.connection.has_gone
        stream.moved_us = now_us()
        if not self.gateway.submit(call):
            stream.call = None
            stream.refuse(Status.ALREADY_EXISTS, "this x-call-id is in use")

    def sweep(self) -> None:
        self.sweeper = asyncio.get_running_loop().call_later(SWEEP_S, self.sweep)
        now = now_us()
        for line in list(self.lines):
            if self.leaving():
                line.leave()
            line.sweep(now)

    async def leave(self, until_s: float) -> None:
        """The way out: GOAWAY to all, what is in work is answered first."""
        self.gone = True
        for server in self.servers:
            server.close()
        for line in list(self.lines):
            line.leave()
        loop = asyncio.get_running_loop()
        while self.lines and loop.time() < until_s:
            await asyncio.sleep(0.02)
        self.close()

    def figures(self) -> dict[str, float]:
        """For the stats."""
        c = self.counts
        return {
            "new_clients": len(self.lines),
            "new_clients_total": c.connections,
            "new_calls_total": c.calls,
            "new_unreadable_total": c.unreadable,
            "new_clients_calmed_total": c.calmed,
        }

    def close(self) -> None:
        if self.sweeper is not None:
            self.sweeper.cancel()
        for server in self.servers:
            server.close()
        for line in list(self.lines):
            line.close()
