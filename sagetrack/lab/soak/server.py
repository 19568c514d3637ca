"""Upstream server process of the soak: `python -m sagetrack.lab.soak.server NUMBER PORT FILE SEED`.

FILE receives the events. Each line of standard input is a `Behaviour` that takes effect immediately. The
process ends when its standard input is closed.
"""

from __future__ import annotations

import asyncio
import random
import sys
from enum import Enum
from pathlib import Path

from sagetrack.lab.soak.events import DuplicateResponseSent, EventWriter, RequestRejected, now_us
from sagetrack.lab.soak.response_body import body_for
from sagetrack.lab.stand_ins.scripted import Message, read_message

WORK_S = (0.005, 0.03)
SLOW_WORK_S = (0.3, 0.9)
HANG_S = 30.0  # longer than any request's budget
DUPLICATE_DELAY_S = (0.0005, 0.004)  # range of the time between a response and its duplicate
LAST_CHUNK_DELAY_S = (0.0, 0.08)
TRICKLE_INTERVAL_S = 0.05  # time between two chunks
TRUNCATED_DELAY_S = 0.02  # time between half a response and the reset
LONG_BODY_REPEATS = 2_000  # repetitions of the normal body, about 150 KB in total

OK_CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ERROR_RESPONSE = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
REJECTION = b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
MALFORMED_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: nothing\r\n\r\n"


class Behaviour(Enum):
    """How a server responds. The values are printed with the faults of a run."""

    NORMAL = "normal"
    SLOW = "slow"
    HANG = "hang"
    ERROR = "error"
    REJECT = "reject"
    RESET = "reset"  # reset the connection after reading the request
    MALFORMED = "spoil"
    DUPLICATE = "twice"
    ENDLESS = "unending"  # begin a chunked body and never end it
    CHUNKED = "unframed"
    LONG = "long"  # send a body that exceeds a gateway's buffer
    TRUNCATED = "half"  # reset the connection in the middle of the response body
    CLOSE = "close"  # close the connection right after a response
    TRICKLE = "trickle"  # send small chunks without an end
    STALL = "stall"  # stop in the middle of a body that exceeds a gateway's buffer
    SHORT = "short"  # end such a body before its stated length
    TWO_LENGTHS = "two lengths"  # state two lengths


STREAM_BEHAVIOURS = (
    Behaviour.ENDLESS,
    Behaviour.TRICKLE,
    Behaviour.STALL,
    Behaviour.SHORT,
    Behaviour.TWO_LENGTHS,
)


def ok_response(body: bytes) -> bytes:
    """Encode a complete 200 response with Content-Length."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class Server:
    """One server. Its `behaviour` may be changed at any time and applies to all connections."""

    def __init__(self, number: int, events: EventWriter, rng: random.Random) -> None:
        self.behaviour = Behaviour.NORMAL
        self._number = number
        self._events = events
        self._rng = rng
        self._responders = {
            Behaviour.HANG: self._hang,
            Behaviour.ERROR: self._send_error,
            Behaviour.REJECT: self._reject,
            Behaviour.RESET: self._reset,
            Behaviour.MALFORMED: self._send_malformed,
            Behaviour.DUPLICATE: self._send_twice,
            Behaviour.ENDLESS: self._send_endless,
            Behaviour.CHUNKED: self._send_chunked,
            Behaviour.LONG: self._send_long,
            Behaviour.TRUNCATED: self._send_truncated,
            Behaviour.CLOSE: self._send_and_close,
            Behaviour.TRICKLE: self._send_trickle,
            Behaviour.STALL: self._send_and_stall,
            Behaviour.SHORT: self._send_short,
            Behaviour.TWO_LENGTHS: self._send_two_lengths,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to the requests of one connection until either side closes it."""
        try:
            while await self._respond(await read_message(reader), writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, RuntimeError):
            pass
        finally:
            writer.close()

    async def _respond(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Respond to a request with the behaviour set at its arrival. Returns False to end the connection."""
        behaviour = self.behaviour
        request_id = request.headers.get("x-call-id", "")
        work_s = SLOW_WORK_S if behaviour is Behaviour.SLOW else WORK_S
        await asyncio.sleep(self._rng.uniform(*work_s))
        respond = self._responders.get(behaviour, self._send_ok)
        return await respond(request_id, writer)

    # One method for each behaviour. Each returns True if the connection stays open.

    async def _send_ok(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        writer.write(ok_response(body_for(request_id)))
        return True

    async def _hang(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(HANG_S)
        return False

    async def _send_error(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        writer.write(ERROR_RESPONSE)
        return True

    async def _reject(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        self._events.write(RequestRejected(now_us(), request_id, self._number))
        writer.write(REJECTION)
        return True

    async def _reset(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        writer.transport.abort()
        return False

    async def _send_malformed(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        writer.write(MALFORMED_RESPONSE)
        return True

    async def _send_twice(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        response = ok_response(body_for(request_id))
        writer.write(response)
        first_us = now_us()
        await asyncio.sleep(self._rng.uniform(*DUPLICATE_DELAY_S))
        writer.write(response)
        self._events.write(DuplicateResponseSent(now_us(), self._number, now_us() - first_us))
        return True

    async def _send_endless(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        writer.write(OK_CHUNKED_HEAD + b"5\r\nbegun\r\n")
        await asyncio.sleep(HANG_S)
        return True

    async def _send_chunked(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        body = body_for(request_id)
        writer.write(OK_CHUNKED_HEAD)
        writer.write(b"%x\r\n%s\r\n" % (len(body), body))
        await asyncio.sleep(self._rng.uniform(*LAST_CHUNK_DELAY_S))
        writer.write(b"0\r\n\r\n")
        return True

    async def _send_long(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        writer.write(ok_response(body_for(request_id) * LONG_BODY_REPEATS))
        await writer.drain()
        return True

    async def _send_truncated(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        response = ok_response(body_for(request_id))
        writer.write(response[: len(response) // 2])
        await asyncio.sleep(TRUNCATED_DELAY_S)
        writer.transport.abort()
        return False

    async def _send_and_close(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        writer.write(ok_response(body_for(request_id)))
        await writer.drain()
        return False

    async def _send_trickle(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        writer.write(OK_CHUNKED_HEAD)
        for _ in range(int(HANG_S / TRICKLE_INTERVAL_S)):
            writer.write(b"5\r\nbegun\r\n")
            await writer.drain()
            await asyncio.sleep(TRICKLE_INTERVAL_S)
        return False

    async def _send_and_stall(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        response = ok_response(body_for(request_id) * LONG_BODY_REPEATS)
        writer.write(response[: len(response) // 2])
        await asyncio.sleep(HANG_S)
        return False

    async def _send_short(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        response = ok_response(body_for(request_id) * LONG_BODY_REPEATS)
        writer.write(response[: len(response) * 3 // 4])
        await writer.drain()
        return False

    async def _send_two_lengths(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        body = body_for(request_id)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Length: %d\r\n\r\n"
        writer.write(head % (len(body), len(body) // 2) + body)
        await writer.drain()
        return True


async def follow_behaviour(server: Server) -> None:
    """Apply the behaviours read from standard input until it is closed."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        server.behaviour = Behaviour(line.decode().strip())


async def main(number: int, port: int, event_file: Path, seed: int) -> None:
    """Serve on a loopback port until standard input is closed."""
    server = Server(number, EventWriter(event_file), random.Random(seed))
    await asyncio.start_server(server.serve, "127.0.0.1", port, backlog=512)
    await follow_behaviour(server)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), Path(sys.argv[3]), int(sys.argv[4])))
