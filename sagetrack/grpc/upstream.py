"""Servers of the newer format: connections with many streams, attempts on them, how each ends.

A connection takes as many streams as its server's SETTINGS allow; a slow one holds no other back. What a
stream was when it ended says whether it may have run (docs/protocol-2.md, `outcomes`).
"""

from __future__ import annotations

import asyncio
import ssl
from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import cast

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from h2.connection import ConnectionState

from sagetrack.config.platform import Address
from sagetrack.core.bodies import BODY_STALL_TIMEOUT_S, STREAMED_BODY_LIMIT, do_nothing
from sagetrack.core.clock import now_us
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.interfaces import AttemptObserver, Call
from sagetrack.core.responses import Response
from sagetrack.core.send_rules import ServerState
from sagetrack.grpc import outcomes
from sagetrack.grpc.messages import MessageError, Unpacker, pack
from sagetrack.grpc.metadata import TranslationError
from sagetrack.grpc.translate import more, piece, to_new, to_old, with_timeout
from sagetrack.policy.events import LoadReport, Outcome, ServerStatus
from sagetrack.policy.settings import Settings

STREAMS = 100  # of one connection, until its server's SETTINGS say otherwise; and at the most
LINES = 4  # connections to one server
HELD = 64 * 1024  # bytes of an answer that are held; a longer one passes through
WINDOW = 64 * 1024  # bytes that a server may send on a stream before its client has taken some
CONNECTION_WINDOW = 4 * 1024 * 1024
IDLE_S = 8.0  # a connection without streams is closed after this
AGE_S = 600.0  # an older one takes no more streams
PING_S, PING_WAIT_S = 5.0, 3.0  # of silence with streams out; for the answer
UNASKED = 1000  # frames a second that carry no call: pings, settings, resets, empty data
SWEEP_S = 0.5


@dataclass(slots=True)
class NewCounts:
    """Since the start."""

    opened: int = 0
    streams: int = 0
    refused_streams: int = 0
    goaways: int = 0
    resets: int = 0
    broken: int = 0  # connections that ended by an error of either side
    untranslated: int = 0


@dataclass(slots=True, eq=False)
class NewHost:
    """One server as it is listed."""

    id: int
    name: str
    address: Address
    started_us: int = 0
    drained_us: int | None = None
    lines: list[Line] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class NewAttempt:
    """One sending of a call, until its outcome."""

    host: NewHost
    call: Call
    watcher: AttemptObserver
    sent_us: int
    timeout_us: int
    headers: list[tuple[str, str]]
    out: deque[bytes]  # what is still to be sent of it
    latency_us: int = 0
    line: Line | None = None
    stream: int = 0
    begun: bool = False  # its headers are on their way
    written: bool = False
    ended: bool = False
    streams: bool = False  # its answer passes through
    paused: bool = False
    moved_us: int = 0
    unpacker: Unpacker = field(default_factory=Unpacker)
    reply: Response | None = None
    length: int | None = None
    body: bytearray = field(default_factory=bytearray)
    got: int = 0  # bytes of messages
    had: int = 0  # bytes of the body
    unacked: int = 0  # bytes that the client has not taken
    trailers: dict[str, str] = field(default_factory=dict)
    timers: list[asyncio.TimerHandle] = field(default_factory=list)

    @property
    def server(self) -> int:
        return self.host.id

    @property
    def left_us(self) -> int:
        """How long its answer will be waited for; the time of a request counts from its last byte."""
        if self.call.streamed_body is not None and not self.call.streamed_body.is_complete:
            return self.timeout_us
        return self.timeout_us - (now_us() - self.sent_us)

    # As the source of an answer that passes through

    def pause(self) -> None:
        """The client takes no more: the server's window closes by itself."""
        self.paused = True

    def resume(self) -> None:
        self.paused = False
        self.moved_us = now_us()
        if self.line is not None and self.unacked:
            self.line.reopen(self)


class Line(asyncio.Protocol):
    """One connection."""

    def __init__(self, pool: NewPools, host: NewHost) -> None:
        self.pool, self.host = pool, host
        self.transport: asyncio.Transport | None = None
        config = h2.config.H2Configuration(client_side=True, header_encoding="latin-1")
        self.h2 = h2.connection.H2Connection(config)
        self.h2.local_settings = h2.settings.Settings(
            client=True,
            initial_values={
                h2.settings.SettingCodes.ENABLE_PUSH: 0,
                h2.settings.SettingCodes.MAX_HEADER_LIST_SIZE: 32 * 1024,
                h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: WINDOW,
            },
        )
        self.attempts: dict[int, NewAttempt] = {}
        self.early: deque[NewAttempt] = deque()  # until it is up
        self.leaving = False  # takes no more streams
        self.over = False
        self.stuck = False  # the socket takes no more
        self.made_us = now_us()
        self.heard_us = self.idle_us = self.made_us
        self.pinged_us = 0
        self.unasked, self.unasked_us = 0, self.made_us

    @property
    def room(self) -> int:
        """Streams that may be begun now."""
        if self.leaving or self.over:
            return 0
        allowed = STREAMS
        if self.transport is not None:
            allowed = min(STREAMS, self.h2.remote_settings.max_concurrent_streams)
        return allowed - len(self.attempts) - len(self.early)

    # Sending

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        secured = transport.get_extra_info("ssl_object")
        if secured is not None and secured.selected_alpn_protocol() != "h2":
            self.fail(None)
            return
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW)
        while self.early:
            attempt = self.early.popleft()
            if not attempt.ended:
                self.begin(attempt)
        self.flush()

    def send(self, attempt: NewAttempt) -> None:
        attempt.line = self
        if self.transport is None:
            self.early.append(attempt)
        else:
            self.begin(attempt)
            self.flush()

    def begin(self, attempt: NewAttempt) -> None:
        """Open its stream, unless nobody waits or the server may get no more since the connection came up."""
        if self.leaving or not self.pool.may_begin(attempt):
            self.pool.end(attempt, Outcome.NOT_SENT)
            return
        try:
            stream = self.h2.get_next_available_stream_id()
            attempt.watcher.on_first_byte()
            self.h2.send_headers(stream, with_timeout(attempt.headers, attempt.left_us))
        except h2.exceptions.H2Error:  # too many streams after all, or none left: nothing was sent
            self.leaving = True
            self.pool.end(attempt, Outcome.NOT_SENT)
            return
        attempt.stream, attempt.begun = stream, True
        self.attempts[stream] = attempt
        self.pool.counts.streams += 1
        streamed_body = attempt.call.streamed_body
        if streamed_body is not None:
            streamed_body.on_data = lambda: self.pump_and_flush(attempt)
        self.pump(attempt)

    def pump_and_flush(self, attempt: NewAttempt) -> None:
        self.pump(attempt)
        self.flush()

    def pump(self, attempt: NewAttempt) -> None:
        """Send what the windows take of an attempt's messages, and the end with the last of them."""
        if attempt.ended or attempt.written or not attempt.begun or self.over:
            return
        streamed_body = attempt.call.streamed_body
        try:
            while not self.stuck:
                if not attempt.out and streamed_body is not None and streamed_body.chunks:
                    attempt.out.append(pack(more(streamed_body.take())))
                if not attempt.out:
                    break
                window = min(
                    self.h2.local_flow_control_window(attempt.stream), self.h2.max_outbound_frame_size
                )
                if window <= 0:
                    return
                data = attempt.out.popleft()
                if len(data) > window:
                    attempt.out.appendleft(data[window:])
                    data = data[:window]
                self.h2.send_data(attempt.stream, data)
                attempt.moved_us = now_us()
            if not attempt.out and (
                streamed_body is None or (streamed_body.is_complete and not streamed_body.chunks)
            ):
                self.h2.end_stream(attempt.stream)
                attempt.written = True
        except h2.exceptions.H2Error:
            return  # its end is on its way to us
        if attempt.written:
            self.flush()
            attempt.watcher.on_request_sent()

    def flush(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            data = self.h2.data_to_send()
            if data:
                self.transport.write(data)

    def pause_writing(self) -> None:
        self.stuck = True

    def resume_writing(self) -> None:
        self.stuck = False
        self.pump_all()

    def pump_all(self) -> None:
        for attempt in list(self.attempts.values()):
            self.pump(attempt)
        self.flush()

    # Receiving

    def data_received(self, data: bytes) -> None:
        self.heard_us = now_us()
        self.flush()
        state = self.h2.state_machine.state
        try:
            events = self.h2.receive_data(data)
        except h2.exceptions.ProtocolError:
            self.flush()  # the library has written GOAWAY with the right error
            self.fail(None)
            return
        for event in events:
            if self.over:
                return
            if isinstance(event, h2.events.ConnectionTerminated):
                # The library holds a connection for closed then, while streams up to the last go on.
                if not event.error_code and state is not ConnectionState.CLOSED:
                    self.h2.state_machine.state = state
                self.on_goaway(event)
            else:
                self.on_event(event)
        self.flush()
        self.rest()

    def on_event(self, event: h2.events.Event) -> None:
        match event:
            case h2.events.DataReceived():
                attempt = self.attempts.get(event.stream_id or 0)
                size = event.flow_controlled_length or 0
                if not event.data:
                    self.count_unasked()
                if attempt is None:
                    self.credit(size, event.stream_id or 0)
                else:
                    self.on_data(attempt, event.data or b"", size)
            case h2.events.ResponseReceived() | h2.events.TrailersReceived():
                attempt = self.attempts.get(event.stream_id or 0)
                if attempt is not None:
                    attempt.trailers |= {str(n): str(v) for n, v in event.headers or ()}
            case h2.events.StreamEnded():
                attempt = self.attempts.get(event.stream_id or 0)
                if attempt is not None:
                    self.on_end(attempt)
            case h2.events.StreamReset():
                attempt = self.attempts.get(event.stream_id or 0)
                self.pool.counts.resets += 1
                self.count_unasked()
                if attempt is not None:
                    code = int(event.error_code or 0)
                    self.pool.counts.refused_streams += code == outcomes.Reset.REFUSED_STREAM
                    self.pool.end(attempt, outcomes.of_reset(code, attempt.written))
            case h2.events.WindowUpdated() | h2.events.RemoteSettingsChanged():
                if isinstance(event, h2.events.RemoteSettingsChanged):
                    self.count_unasked()
                self.pump_all()
            case h2.events.PingReceived():
                self.count_unasked()
            case h2.events.PingAckReceived():
                self.pinged_us = 0
            case _:
                pass

    def count_unasked(self) -> None:
        """Guards against floods of frames that cost us work and carry no call."""
        now = now_us()
        if now - self.unasked_us > 1_000_000:
            self.unasked, self.unasked_us = 0, now
        self.unasked += 1
        if self.unasked > UNASKED:
            self.fail(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)

    def on_data(self, attempt: NewAttempt, data: bytes, size: int) -> None:
        attempt.moved_us = now_us()
        attempt.got += len(data)
        try:
            for message in attempt.unpacker.feed(data):
                if attempt.reply is None:
                    attempt.reply, attempt.length = to_old(message)
                    part = attempt.reply.body
                else:
                    part = piece(message)
                attempt.had += len(part)
                if attempt.streams:
                    attempt.watcher.on_response_data(attempt, part)
                else:
                    attempt.body += part
        except (MessageError, TranslationError):
            self.give_up(attempt, Outcome.ERROR)
            return
        self.acknowledge(attempt, size)
        if attempt.got > STREAMED_BODY_LIMIT + 64 * 1024:
            self.give_up(attempt, Outcome.ERROR)
        elif not attempt.streams and attempt.reply is not None and len(attempt.body) > HELD:
            self.pass_through(attempt)

    def pass_through(self, attempt: NewAttempt) -> None:
        """From now on the answer is passed on as it comes."""
        assert attempt.reply is not None
        if not attempt.written:
            self.give_up(attempt, Outcome.ERROR)  # it can't be the answer to what has not come
            return
        attempt.streams = True
        attempt.latency_us = now_us() - attempt.sent_us
        for timer in attempt.timers:
            timer.cancel()
        head = Response(200, attempt.reply.headers, b"", True, attempt.length)
        attempt.watcher.on_response_started(attempt, head, attempt)
        body, attempt.body = bytes(attempt.body), bytearray()
        if not attempt.ended:
            attempt.watcher.on_response_data(attempt, body)

    def acknowledge(self, attempt: NewAttempt, size: int) -> None:
        """Open the server's window again for what the client has taken.

        Of a client that takes no more, the stream's window stays closed and the connection's does not: it is
        not to hold back the other streams.
        """
        if not attempt.paused:
            self.credit(size, attempt.stream)
        elif size:
            attempt.unacked += size
            self.h2.increment_flow_control_window(size)
        self.flush()

    def reopen(self, attempt: NewAttempt) -> None:
        """The client takes more again."""
        size, attempt.unacked = attempt.unacked, 0
        try:
            self.h2.increment_flow_control_window(size, attempt.stream)
        except h2.exceptions.H2Error:
            return  # its last byte has come
        self.flush()

    def credit(self, size: int, stream: int) -> None:
        try:
            if size:
                self.h2.acknowledge_received_data(size, stream)
        except h2.exceptions.H2Error:
            pass  # the stream is closed already; its bytes were counted for the connection

    def on_end(self, attempt: NewAttempt) -> None:
        """Its server has said all that it has to say."""
        text = attempt.trailers.get("grpc-status", "")
        status = int(text) if text.isascii() and text.isdigit() else None
        if attempt.trailers.get(":status", "200") != "200":
            status = None
        rejected = attempt.trailers.get("x-rejected") == "1"
        whole = attempt.reply is not None and not attempt.unpacker.rest
        outcome = outcomes.of_status(status, whole, rejected)
        if outcome is Outcome.OK and not attempt.written:
            self.give_up(attempt, Outcome.ERROR)
            return
        known = attempt.length
        if outcome is Outcome.OK and known is not None and attempt.had != known:
            outcome = Outcome.ERROR
        reply = None
        if outcome is Outcome.OK and attempt.reply is not None:
            reply = Response(200, attempt.reply.headers, bytes(attempt.body), True)
        if not attempt.written:
            self.reset(attempt)
        self.pool.end(attempt, outcome, reply)

    def on_goaway(self, event: h2.events.ConnectionTerminated) -> None:
        self.pool.counts.goaways += 1
        self.leaving = True
        last = event.last_stream_id if event.last_stream_id is not None else 2**31 - 1
        for stream, attempt in list(self.attempts.items()):
            outcome = outcomes.of_goaway(stream, last)
            if outcome is not None:
                self.pool.end(attempt, outcome)
        if event.error_code:
            self.fail(None)

    # Ends

    def forget(self, attempt: NewAttempt) -> None:
        if self.attempts.get(attempt.stream) is attempt:
            del self.attempts[attempt.stream]
        if attempt in self.early:
            self.early.remove(attempt)
        if not self.attempts and not self.early:
            self.idle_us = now_us()

    def give_up(self, attempt: NewAttempt, outcome: Outcome) -> None:
        """End one stream; the others go on."""
        self.reset(attempt)
        self.pool.end(attempt, outcome)

    def reset(self, attempt: NewAttempt) -> None:
        if attempt.begun and not self.over:
            try:
                self.h2.reset_stream(attempt.stream, h2.errors.ErrorCodes.CANCEL)
            except h2.exceptions.H2Error:
                return
            self.flush()

    def rest(self) -> None:
        """Close what leaves and has nothing more to do."""
        if self.leaving and not self.attempts and not self.early and not self.over:
            self.fail(h2.errors.ErrorCodes.NO_ERROR)

    def fail(self, error: h2.errors.ErrorCodes | None) -> None:
        """End it, with GOAWAY if there is an error to tell, and each of its attempts as it stands."""
        if self.over:
            return
        if error is not None and self.transport is not None:
            try:
                self.h2.close_connection(error)
                self.flush()
            except h2.exceptions.H2Error:
                pass
        self.over = self.leaving = True
        self.pool.counts.broken += bool(self.attempts)
        if self in self.host.lines:
            self.host.lines.remove(self)
        if self.transport is not None:
            self.transport.close()
        for attempt in [*self.attempts.values(), *self.early]:
            self.pool.end(attempt, outcomes.of_loss(attempt.begun))

    def connection_lost(self, exc: Exception | None) -> None:
        self.fail(None)
        self.transport = None

    def sweep(self, now: int) -> None:
        """Ages, pings and idleness."""
        if now - self.made_us > AGE_S * 1e6 or (
            not self.attempts and not self.early and now - self.idle_us > IDLE_S * 1e6
        ):
            self.leaving = True
        if self.pinged_us and now - self.pinged_us > PING_WAIT_S * 1e6:
            self.fail(h2.errors.ErrorCodes.NO_ERROR)
        elif self.attempts and not self.pinged_us and now - self.heard_us > PING_S * 1e6:
            self.pinged_us = now
            self.h2.ping(b"sagetrk2")
            self.flush()
        for attempt in list(self.attempts.values()):
            long = attempt.streams or attempt.call.streamed_body is not None
            if long and not attempt.paused and now - attempt.moved_us > BODY_STALL_TIMEOUT_S * 1e6:
                self.give_up(attempt, outcomes.of_deadline(attempt.begun))
        self.rest()


class NewPools:
    """Carries calls to servers of the newer format. Each attempt ends once, by `on_attempt_ended`."""

    def __init__(
        self, settings: Settings, secure: Callable[[], ssl.SSLContext | None] = lambda: None
    ) -> None:
        self.settings, self.secure = settings, secure
        self.loop = asyncio.get_running_loop()
        self.hosts: dict[int, NewHost] = {}
        self.counts = NewCounts()
        self.opening: set[asyncio.Task[object]] = set()
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)

    @property
    def listed(self) -> Collection[int]:
        return self.hosts.keys()

    def server_start_times(self) -> dict[int, int]:
        return {number: host.started_us for number, host in self.hosts.items()}

    def put(self, entry: Endpoint) -> None:
        listed = entry.listed
        known = self.hosts.get(listed.server)
        if known is None:
            known = self.hosts[listed.server] = NewHost(
                listed.server, entry.name, entry.address, listed.started_us
            )
        if (known.address, known.started_us) != (entry.address, listed.started_us):
            known.address, known.started_us = entry.address, listed.started_us
            self.close_idle(known.id)
        if listed.status is ServerStatus.READY:
            known.drained_us = None
        elif known.drained_us is None:
            known.drained_us = now_us()

    def remove(self, server: int) -> None:
        known = self.hosts.pop(server, None)
        if known is not None:
            known.drained_us = known.drained_us or now_us()
            for line in list(known.lines):
                line.leaving = True
                line.rest()

    def close_idle(self, server: int) -> None:
        """Of its earlier life: nothing new goes there, and what is out ends as it will."""
        known = self.hosts.get(server)
        for line in list(known.lines) if known is not None else ():
            line.leaving = True
            line.rest()

    def probe(self, server: int, told: Callable[[Outcome, int, LoadReport | None], None]) -> None:
        """Servers of the newer format are never probed."""

    def may_begin(self, attempt: NewAttempt) -> bool:
        """From the word on that its server drains or is gone nothing is begun: see http/back."""
        withdrawn = attempt.host.drained_us is not None
        return attempt.watcher.may_begin(ServerState.WITHDRAWN if withdrawn else ServerState.SERVING)

    # Attempts

    def begin(self, call: Call, server: int, wait_us: int, watcher: AttemptObserver) -> NewAttempt | None:
        host = self.hosts.get(server)
        if host is None:
            return None
        streamed_body = call.streamed_body
        authority = f"{host.address[0]}:{host.address[1]}"
        now = now_us()
        try:
            length = streamed_body.length if streamed_body is not None else None
            headers, first = to_new(call.message.head, call.message.body, length, wait_us, authority)
        except TranslationError:
            # The front turns such a call away with the reason; this is for what it cannot know.
            self.counts.untranslated += 1
            attempt = NewAttempt(host, call, watcher, now, wait_us, [], deque())
            self.end(attempt, Outcome.NOT_SENT)
            return attempt
        attempt = NewAttempt(host, call, watcher, now, wait_us, headers, deque([pack(first)]), moved_us=now)
        if not self.may_begin(attempt):
            self.end(attempt, Outcome.NOT_SENT)
            return attempt
        later = self.loop.call_later
        if streamed_body is None or streamed_body.is_complete:
            attempt.timers.append(later(wait_us / 1e6, self.on_timeout, attempt))
        else:
            streamed_body.on_complete = lambda: attempt.timers.append(
                later(wait_us / 1e6, self.on_timeout, attempt)
            )
        line = self.line_to(host)
        if line is None:
            self.end(attempt, Outcome.NOT_SENT)  # every stream is taken: nothing was sent
            return attempt
        line.send(attempt)
        return attempt

    def line_to(self, host: NewHost) -> Line | None:
        """The connection with the most room, or a new one where none has any."""
        best = max(host.lines, key=lambda line: line.room, default=None)
        if best is not None and best.room > 0:
            return best
        if sum(not line.leaving for line in host.lines) >= LINES:
            return None
        line = Line(self, host)
        host.lines.append(line)
        self.counts.opened += 1
        task: asyncio.Task[object] = self.loop.create_task(self.open(line, host.address))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)
        return line

    async def open(self, line: Line, address: Address) -> None:
        context = self.secure()
        name = address[0] if context is not None else None
        try:
            async with asyncio.timeout(self.settings.connect_timeout_us / 1e6):
                await self.loop.create_connection(lambda: line, *address, ssl=context, server_hostname=name)
        except (OSError, TimeoutError, ssl.SSLError):
            line.fail(None)

    def on_timeout(self, attempt: NewAttempt) -> None:
        if attempt.line is not None:
            attempt.line.reset(attempt)
        self.end(attempt, outcomes.of_deadline(attempt.begun))

    def cancel(self, attempt: NewAttempt) -> None:
        """Stop waiting: its stream is reset, so that its server can tell."""
        if attempt.ended:
            return
        if attempt.line is not None:
            attempt.line.reset(attempt)
        self.end(attempt, Outcome.CANCELLED)

    def cancel_unsent(self, attempt: NewAttempt) -> None:
        if not attempt.begun:
            self.end(attempt, Outcome.NOT_SENT)

    def end(self, attempt: NewAttempt, outcome: Outcome, reply: Response | None = None) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        if not attempt.streams:
            attempt.latency_us = now_us() - attempt.sent_us
        for timer in attempt.timers:
            timer.cancel()
        if attempt.call.streamed_body is not None:
            attempt.call.streamed_body.on_data = attempt.call.streamed_body.on_complete = do_nothing
        if attempt.line is not None:
            attempt.line.forget(attempt)
        attempt.watcher.on_attempt_ended(attempt, outcome, reply, None)

    def sweep(self) -> None:
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)
        now = now_us()
        for host in list(self.hosts.values()):
            for line in list(host.lines):
                line.sweep(now)

    def figures(self) -> dict[str, float]:
        """For the stats."""
        c = self.counts
        lines = [line for host in self.hosts.values() for line in host.lines]
        return {
            "new_servers": len(self.hosts),
            "new_connections": len(lines),
            "new_streams": sum(len(line.attempts) for line in lines),
            "new_opened_total": c.opened,
            "new_streams_total": c.streams,
            "new_streams_refused_total": c.refused_streams,
            "new_resets_total": c.resets,
            "new_goaways_total": c.goaways,
            "new_broken_total": c.broken,
            "new_untranslated_total": c.untranslated,
        }

    def close(self) -> None:
        self.sweeper.cancel()
        for task in self.opening:
            task.cancel()
        for host in self.hosts.values():
            for line in list(host.lines):
                line.fail(None)
