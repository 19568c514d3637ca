"""One client's connection: its requests are read, taken one after the other, and answered."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING, cast

from sagetrack.config.platform import stable_id
from sagetrack.core.bodies import StreamedBody
from sagetrack.core.event_trace import Step
from sagetrack.core.interfaces import Call, Source
from sagetrack.core.invariants import Invariant
from sagetrack.core.peer_close import has_peer_closed
from sagetrack.core.responses import Header, Response
from sagetrack.core.send_rules import ClientConnectionState, CloseReason, DenialReason, may_close
from sagetrack.http1.codec import end_to_end
from sagetrack.http1.requests import Request, RequestError, RequestReader, read_call

if TYPE_CHECKING:
    from sagetrack.http1.listener import Server

READY_PATH = b"/health/ready"
PIPELINED = 16  # requests read ahead on one connection
BODY_RATE = 64_000  # bytes a second that a body comes at, at the least
BODY_GRACE_S = 2.0  # on top of that
LINGER_S = 0.5  # for the client to read an answer that it did not expect
STUCK_S = 2.4  # an answer is not being read
# The same for one that passes through: the kernel takes more only once a third of what it holds has been
# read, which may be more than a megabyte, and a slow client has done nothing wrong.
STREAM_STUCK_S = 30.0
ORDINARY = frozenset({"answered", "idle"})  # reasons for closing that need no trace
CLIENT_LEFT = "client_left"  # the one reason for an end that is not this process's
NOT_PASSED_BACK = frozenset({b"x-load-report", b"x-rejected"})
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    417: b"Expectation Failed",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}
Phase = dict["ClientConnection", float]  # since when each is in it, the longest first


class ClientConnection(asyncio.BufferedProtocol):
    """One connection of a client; its requests are answered one after the other."""

    __slots__ = (
        "call",
        "chunked",
        "current",
        "deaf",
        "descriptor",
        "last",
        "opened_s",
        "paused_s",
        "phase",
        "poll",
        "reader",
        "served",
        "server",
        "source",
        "stuck",
        "swallowing",
        "transport",
    )

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.reader = RequestReader(server.body_budget)
        self.source: Source | None = None  # of the answer that passes through
        self.chunked = False  # how that one is framed
        self.last = False  # and whether the connection ends with it
        self.swallowing: StreamedBody | None = None  # the rest of a body whose request has had its answer
        self.paused_s: float | None = None  # since when nothing is read
        self.phase: Phase | None = None
        self.opened_s = 0.0
        self.served = False  # has had an answer
        self.current: Request | None = None  # taken and not yet answered
        self.call: Call | None = None  # the same in the module's terms
        self.deaf = False  # nothing more is read as a request
        self.stuck = False  # the client does not read its answers
        self.descriptor = -1
        self.poll = select.poll()

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.descriptor = transport.get_extra_info("socket").fileno()
        self.poll.register(self.descriptor, select.POLLIN | select.POLLRDHUP)
        self.opened_s = asyncio.get_running_loop().time()
        self.server.connections.add(self)
        self.enter(self.server.silent, self.opened_s)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)
        self.unwatch()
        self.enter(None)
        self.deaf = True
        self.drop_calls()

    def eof_received(self) -> None:
        """The client has gone, though what was written to it may still be flushed."""
        self.drop_calls()
        self.close(CLIENT_LEFT)

    def drop_calls(self) -> None:
        """Nothing goes on for a client that has gone, and nothing of what it has sent is taken."""
        self.reader.done.clear()
        self.source = None
        call, self.call = self.call, None
        if call is not None:
            self.server.gateway.cancel_request(call.id)
        if self.reader.streamed_body is not None:
            self.reader.streamed_body.abort()

    def unwatch(self) -> None:
        if self in self.server.paused:
            self.server.paused.discard(self)
            self.server.hangups.forget(self.descriptor)

    def enter(self, phase: Phase | None, since_s: float | None = None) -> None:
        """Note what this connection waits for, for the sweep."""
        if phase is self.phase:
            return
        if self.phase is not None:
            self.phase.pop(self, None)
        self.phase = phase
        if phase is not None:
            phase[self] = asyncio.get_running_loop().time() if since_s is None else since_s

    def settle(self) -> None:
        """Enter the phase that follows from what has come and what is owed."""
        server = self.server
        if self.deaf:
            return
        streamed_body = self.reader.streamed_body
        if self.stuck:
            stuck_s = STUCK_S if self.source is None else STREAM_STUCK_S
            self.enter(server.ending, asyncio.get_running_loop().time() + stuck_s)
        elif (
            streamed_body is not None
            and self.current is not None
            and self.current.streamed_body is streamed_body
        ):
            self.enter(server.bodies)
        elif self.current is not None or self.reader.done:
            self.enter(None)
        elif self.reader.in_body:
            self.enter(server.bodies)
        elif self.reader.has_begun:
            self.enter(server.reading, None if self.served else self.opened_s)
        elif self.served or self.phase is not server.silent:
            self.enter(server.kept)

    def may_close(self, purpose: CloseReason) -> DenialReason | None:
        """Why it may not be closed now without a word; None if it may."""
        now_s = asyncio.get_running_loop().time()
        state = ClientConnectionState(
            response_pending=self.deaf or self.current is not None or bool(self.reader.done),
            request_incomplete=self.reader.has_begun,
            has_sent_data=self.served or self.reader.has_begun,
            age_s=now_s - (self.phase or {}).get(self, self.opened_s),
            has_unread_data=lambda: bool(self.poll.poll(0)),
        )
        return may_close(state, purpose)

    def heed_end(self) -> None:
        """Hear that the client has gone while nothing is read here, where the loop does not look."""
        if has_peer_closed(self.poll):
            self.on_hangup()

    def on_hangup(self) -> None:
        self.abort(CLIENT_LEFT)
        self.drop_calls()

    def has_gone(self) -> bool:
        """Whether the client of a call has hung up, heard or not: asked before anything goes out for it."""
        return self.transport is None or self.transport.is_closing() or has_peer_closed(self.poll)

    def turn_away(self) -> None:
        """On the way out: refuse in words a request that has begun and is not whole by now.

        A close without a word could cross its last byte, with which it is owed an answer.
        """
        if self.reader.has_begun:
            if self.may_close(CloseReason.DESCRIPTORS_EXHAUSTED) is None:
                self.give_up_reading(RequestError(503, "this gateway is leaving: ask again"))
        elif self.may_close(CloseReason.IDLE) is None:
            self.close("drain")

    def close(self, reason: str = "answered") -> None:
        """Close once what was written is with the client, and within bounds."""
        self.note_close(reason)
        self.deaf = True
        if self.transport is not None:
            self.enter(self.server.ending, asyncio.get_running_loop().time() + STUCK_S)
            self.transport.close()

    def abort(self, reason: str = "aborted") -> None:
        self.note_close(reason)
        self.deaf = True
        self.enter(None)
        if self.transport is not None:
            self.transport.abort()

    def note_close(self, reason: str) -> None:
        """Count why this process ends the connection; one that is owed an answer must not be ended."""
        if self.transport is None or self.transport.is_closing() or reason == CLIENT_LEFT:
            return
        self.server.closed.add(reason)
        if reason not in ORDINARY:
            self.server.gateway.trace.note(
                Step.CONNECTION_CLOSED, self.call.id if self.call is not None else "", reason
            )
        owed = self.call is not None and self.source is None and not self.stuck
        if owed and self.call is not None and not self.has_gone():
            self.server.gateway.violations.note(Invariant.NO_CLOSE_BEFORE_RESPONSE, self.call.id, reason)

    def pause_writing(self) -> None:
        self.stuck = True
        if self.source is not None:
            self.source.pause()
        self.settle()

    def resume_writing(self) -> None:
        self.stuck = False
        if self.source is not None:
            self.source.resume()
        self.settle()
        self.take_next_soon()

    # Reading

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.server.buffer

    def buffer_updated(self, size: int) -> None:
        self.data_received(bytes(self.server.buffer[:size]))

    def data_received(self, data: bytes) -> None:
        if self.deaf:
            return  # what follows a request that can't be read, until the connection ends
        self.read(data)
        self.take_next()
        self.settle()

    def read(self, data: bytes) -> None:
        assert self.transport is not None
        self.reader.feed(data, PIPELINED)
        self.heed_fault()
        if self.deaf:
            return
        if self.reader.is_broken or self.reader.rest:
            if self.paused_s is None:
                self.paused_s = asyncio.get_running_loop().time()
                self.transport.pause_reading()
                self.server.paused.add(self)
                self.server.hangups.watch(self.descriptor, self.on_hangup)
        elif self.paused_s is not None:
            if self in self.server.bodies:  # the pause was not the client's
                self.server.bodies[self] += asyncio.get_running_loop().time() - self.paused_s
            self.paused_s = None
            self.unwatch()
            self.transport.resume_reading()
        self.invite()

    def read_on(self) -> None:
        """There is room again for what was left unparsed."""
        if self.transport is None or self.deaf or self.transport.is_closing():
            return
        if self.reader.rest:
            self.read(b"")
            self.take_next()
        self.settle()

    def read_on_soon(self) -> None:
        asyncio.get_running_loop().call_soon(self.read_on)

    def invite(self) -> None:
        """Say `100 Continue` to a client that waits for it, once its request is the next to be answered."""
        reader = self.reader
        ahead = self.current is not None and self.current is not reader.reading
        ahead = ahead or any(request is not reader.reading for request in reader.done)
        if not reader.expects or ahead or self.deaf or self.swallowing is not None or self.transport is None:
            return
        reader.expects = False
        self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def heed_fault(self) -> None:
        """A long body that was being passed on can't be read to its end."""
        request = self.current
        if self.swallowing is not None and self.reader.is_broken:
            self.close()
        if request is None or request.streamed_body is None or request.fault is None:
            return
        call, self.call = self.call, None
        if call is not None:
            self.server.gateway.cancel_request(call.id)
        if self.source is not None:
            self.abort("broken_body")  # its answer has begun: the client can tell that it is not whole
        else:
            self.answer(request.fault.status, request.fault.headers, f"{request.fault}\n".encode())

    def check_pace(self, now_s: float, since_s: float) -> None:
        """Give up a body that comes too slowly, unless it is we who do not read."""
        if self.paused_s is None and now_s - since_s > BODY_GRACE_S + self.reader.received / BODY_RATE:
            self.give_up_reading()

    def give_up_reading(self, fault: RequestError | None = None) -> None:
        """The rest of a request has not come in time."""
        self.reader.break_off(fault or RequestError(408, "the request did not come in time"))
        self.heed_fault()
        self.take_next()

    # Answering

    def take_next(self) -> None:
        """Take the next request that was read, once the one before is answered."""
        if self.current is not None or self.stuck or self.transport is None or self.deaf:
            return
        if self.paused_s is not None:
            self.heed_end()
        if not self.reader.done and self.reader.rest:
            self.read(b"")
        if not self.reader.done or self.deaf or self.swallowing is not None:
            return
        request = self.current = self.reader.done.popleft()
        try:
            self.take(request)
        except RequestError as error:
            self.answer(error.status, error.headers, f"{error}\n".encode())
        self.invite()

    def take(self, request: Request) -> None:
        if request.fault is not None:
            raise request.fault
        if request.streamed_body is not None:
            request.streamed_body.on_capacity = self.read_on_soon
        path = request.target.partition(b"?")[0]
        if path == READY_PATH:
            if request.method not in (b"GET", b"HEAD"):
                raise RequestError(405, "GET it", (b"Allow", b"GET, HEAD"))
            self.answer(200 if self.server.is_ready else 503, [], b"")
            return
        call = read_call(request, path, self.server.config, self)
        objection = self.server.objection
        if objection is not None and (why := objection(call.message.head)) is not None:
            raise RequestError(400, why)
        self.call = call
        call.has_gone = self.has_gone
        if not call.client_id and self.server.config.settings.admission is not None:
            call.client_id = self.address_id()
        if not self.server.gateway.submit(call):
            self.call = None
            raise RequestError(400, "this X-Call-Id is in use")

    def address_id(self) -> int:
        """A client that has no name is known by its address, which it may share: hence the sign."""
        assert self.transport is not None
        peer = self.transport.get_extra_info("peername")
        return -stable_id(peer[0], 8) if peer else 0

    def on_response(self, call: Call, reply: Response) -> None:
        if self.call is call:
            self.answer(200, end_to_end(reply.headers, NOT_PASSED_BACK), reply.body)

    def on_rejected(self, call: Call, retry_after_us: int) -> None:
        if self.call is call:
            told = b"%.3f" % (retry_after_us / 1e6)
            if self.server.config.whole_seconds:  # not before it is due
                told = b"%d" % -(-retry_after_us // 1_000_000)
            after = [(b"Retry-After", told)] if retry_after_us > 0 else []
            self.answer(503, after, b"")

    def on_failed(self, call: Call, timed_out: bool) -> None:
        if self.call is call:
            self.answer(504 if timed_out else 502, [], b"")

    def answer(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write the whole answer at once, and go on with the next request."""
        request, transport = self.current, self.transport
        assert request is not None and transport is not None
        lines = [b"HTTP/1.1 %d %s" % (status, REASONS[status])]
        lines += [b"%s: %s" % pair for pair in headers]
        lines += [b"Content-Length: %d" % len(body)]
        last = self.is_last(request)
        if last:
            lines.append(b"Connection: close")
        if request.method == b"HEAD":
            body = b""
        transport.write(b"%s\r\n\r\n%s" % (b"\r\n".join(lines), body))
        self.go_on(request, last)

    def is_last(self, request: Request) -> bool:
        """Whether the connection ends with the answer to this request."""
        if request.streamed_body is not None and not request.streamed_body.is_complete:
            return True  # its body is not whole yet, and nobody waits for the rest
        # What was read is answered, on the way out too, but not without end.
        more = bool(self.reader.done) or self.reader.has_begun
        drain = self.server.drain
        if drain.is_draining and more and drain.is_past_answer_cutoff(asyncio.get_running_loop().time()):
            more = False
        return not request.keep_alive or (drain.is_draining and not more)

    def go_on(self, request: Request, last: bool) -> None:
        """After an answer: the next request, or the end."""
        self.current = self.call = None
        self.served = True
        if not last:
            self.take_next_soon()
            self.settle()
            return
        self.reader.done.clear()
        if request.streamed_body is not None and not request.streamed_body.is_finished:
            self.swallow(request.streamed_body)
        else:
            self.end(linger=request.fault is not None)

    def swallow(self, streamed_body: StreamedBody) -> None:
        """Read the rest of a body that nobody wants, and close then.

        Guards against a reset that overtakes the answer: the client reads it when it has sent everything.
        """
        self.swallowing = streamed_body
        streamed_body.discard()
        streamed_body.on_complete = self.close
        self.enter(self.server.bodies)

    def on_response_started(self, call: Call, head: Response, source: Source) -> None:
        request, transport = self.current, self.transport
        if self.call is not call or request is None or transport is None:
            return
        self.source = source
        self.chunked = head.length is None and request.version == "1.1"
        self.last = self.is_last(request) or (head.length is None and not self.chunked)
        lines = [b"HTTP/1.1 200 OK"]
        lines += [b"%s: %s" % pair for pair in end_to_end(head.headers, NOT_PASSED_BACK)]
        if head.length is not None:
            lines.append(b"Content-Length: %d" % head.length)
        elif self.chunked:
            lines.append(b"Transfer-Encoding: chunked")
        if self.last:
            lines.append(b"Connection: close")
        transport.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def on_response_data(self, call: Call, data: bytes) -> None:
        if self.call is call and self.transport is not None and data:
            self.transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self.chunked else data)

    def on_response_ended(self, call: Call, reply: Response) -> None:
        request = self.current
        if self.call is not call or request is None or self.transport is None:
            return
        self.on_response_data(call, reply.body)
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self.source = None
        self.go_on(request, self.last)

    def on_response_aborted(self, call: Call) -> None:
        if self.call is call:
            self.call = self.source = None
            self.abort("broken_answer")  # the client can tell that what it has is not whole

    def take_next_soon(self) -> None:
        if self.reader.done or self.reader.rest:
            asyncio.get_running_loop().call_soon(self.take_next)

    def end(self, linger: bool) -> None:
        """Close once the answer is written.

        Guards against a reset that overtakes the answer where the client has still more to say: then it is
        left to read first. What it says meanwhile is left with the kernel, which holds little of it.
        """
        if not linger:
            self.close()
            return
        self.deaf = True
        assert self.transport is not None
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.enter(self.server.ending, asyncio.get_running_loop().time() + LINGER_S)
