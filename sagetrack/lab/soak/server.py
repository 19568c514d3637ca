"""An address server of the soak, as a process: `python -m sagetrack.lab.soak.server NUMBER PORT FILE SEED`.

Its standard input tells how it behaves from now on: one `Behaviour` a line.
"""

from __future__ import annotations

import asyncio
import random
import sys
from enum import Enum
from pathlib import Path

from sagetrack.lab.soak.events import Journal, Rejected, Second, now_us
from sagetrack.lab.stand_ins.scripted import Message, read_message

WORK_S = (0.005, 0.03)
SLOW_S = (0.3, 0.9)
SECOND_ANSWER_S = (0.0005, 0.004)  # after the first
LONG_PARTS = 2_000  # of a long answer's body: some 150 KB
SPOILT = b"HTTP/1.1 200 OK\r\nContent-Length: nothing\r\n\r\n"


class Behaviour(Enum):
    NORMAL = "normal"
    SLOW = "slow"
    HANG = "hang"
    ERROR = "error"
    REJECT = "reject"
    RESET = "reset"  # after the request was read
    SPOIL = "spoil"
    TWICE = "twice"
    UNENDING = "unending"  # no length, and no end
    UNFRAMED = "unframed"  # in chunks
    LONG = "long"  # more than is held at once
    HALF = "half"  # breaks off in the answer's body
    CLOSE = "close"  # right after an answer


def body_for(call: str) -> bytes:
    """What only the answer to this request holds."""
    return f"answer to {call} ".encode() * 4


def is_body_for(call: str, body: bytes) -> bool:
    """Whether it is that, once or many times."""
    part = body_for(call)
    return bool(body) and body == part * (len(body) // len(part))


def answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class Server:
    """One process's behaviour, and its connections."""

    def __init__(self, number: int, journal: Journal, draw: random.Random) -> None:
        self.number, self.journal, self.draw = number, journal, draw
        self.behaviour = Behaviour.NORMAL

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await self.answer(await read_message(reader), writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, RuntimeError):
            pass
        finally:
            writer.close()

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        """Whether the connection goes on."""
        behaviour, draw = self.behaviour, self.draw
        call = message.headers.get("x-call-id", "")
        good = answer(body_for(call))
        await asyncio.sleep(draw.uniform(*(SLOW_S if behaviour is Behaviour.SLOW else WORK_S)))
        match behaviour:
            case Behaviour.HANG:
                await asyncio.sleep(30.0)
                return False
            case Behaviour.ERROR:
                writer.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
            case Behaviour.REJECT:
                self.journal.write(Rejected(now_us(), call, self.number))
                writer.write(b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
            case Behaviour.RESET:
                writer.transport.abort()
                return False
            case Behaviour.SPOIL:
                writer.write(SPOILT)
            case Behaviour.TWICE:
                writer.write(good)
                first_us = now_us()
                await asyncio.sleep(draw.uniform(*SECOND_ANSWER_S))
                writer.write(good)
                self.journal.write(Second(now_us(), self.number, now_us() - first_us))
            case Behaviour.UNENDING:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n")
                await asyncio.sleep(30.0)
            case Behaviour.UNFRAMED:
                body = body_for(call)
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(b"%x\r\n%s\r\n" % (len(body), body))
                await asyncio.sleep(draw.uniform(0.0, 0.08))
                writer.write(b"0\r\n\r\n")
            case Behaviour.LONG:
                writer.write(answer(body_for(call) * LONG_PARTS))
                await writer.drain()
            case Behaviour.HALF:
                writer.write(good[: len(good) // 2])
                await asyncio.sleep(0.02)
                writer.transport.abort()
                return False
            case Behaviour.CLOSE:
                writer.write(good)
                await writer.drain()
                return False
            case _:
                writer.write(good)
        return True


async def obey(server: Server) -> None:
    """Behave as the lines of standard input say, until it ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        server.behaviour = Behaviour(line.decode().strip())


async def main(number: int, port: int, file: Path, seed: int) -> None:
    server = Server(number, Journal(file), random.Random(seed))
    await asyncio.start_server(server.serve, "127.0.0.1", port, backlog=512)
    await obey(server)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), Path(sys.argv[3]), int(sys.argv[4])))
