"""Case 2: bad clients that send hundreds of requests at once take the gateway over its memory limit."""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import (  # noqa: E402
    AddressServer,
    Agent,
    Gateway,
    Message,
    Record,
    ask,
    die_with_parent,
    request_head,
    run_case,
    settings,
    trouble,
)

SERVERS = 9
MEMORY_MB = 192  # the most that scored days give (DEPLOY)
SOCKETS = 1024
BAD_CLIENTS = 310  # with the usual ones under a third of the descriptors
GROUPS = 2  # processes that play them
REQUESTS_EACH = 200  # "hundreds of requests at once"
BODY = b"x" * 65_000  # a body holds at most 64 KiB
QUIET_S, PLAY_S = 2.0, 15.0
USUAL_PER_S = 16  # a third of 48
SAMPLE_S = 0.05
numbers = itertools.count(1)


async def bad_client(port: int, first: int) -> None:
    """Send all requests at full speed on one connection, and read all that comes."""
    with suppress(OSError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)

        async def read_all() -> None:
            with suppress(OSError):
                while await reader.read(65_536):
                    pass

        reading = asyncio.ensure_future(read_all())
        try:
            for number in range(first, first + REQUESTS_EACH):
                writer.write(request_head("corregir", number, len(BODY)) + BODY)
                await writer.drain()
            await reading
        finally:
            reading.cancel()
            writer.transport.abort()


async def bad_clients(port: int, group: int) -> None:
    """Play one group of the bad clients, in a process of its own."""
    each = BAD_CLIENTS // GROUPS
    ids = (((group * each + number + 1) << 32) for number in range(each))
    await asyncio.gather(*(bad_client(port, first) for first in ids))


class Platform:
    """Watches the memory of the gateway, and kills it when it is over the limit."""

    def __init__(self, gateway: Gateway, record: Record) -> None:
        self.gateway, self.record = gateway, record
        self.peak_mb = 0.0
        self.killed = False

    async def watch(self) -> None:
        """Look at the memory until the process is killed."""
        logged = 0.0
        while not self.killed and self.gateway.is_running:
            used = self.gateway.memory_mb()
            self.peak_mb = max(self.peak_mb, used)
            if used >= logged + 10 or used > MEMORY_MB:
                self.record(f"platform: the gateway has {used:.0f} MB of memory")
                logged = used
            if used > MEMORY_MB:
                self.record(f"platform: over {MEMORY_MB} MB, killed")
                self.gateway.signal(signal.SIGKILL)
                self.killed = True
            await asyncio.sleep(SAMPLE_S)


async def usual_client(port: int, record: Record, answers: dict[str, int]) -> None:
    """Send one usual request, and record its answer."""
    number = next(numbers)
    record(f"sent     {number:016x} GET /buscar")
    answer = await ask(port, request_head("buscar", number), wait_s=3.5)
    text = str(answer.status) if answer is not None else "nothing"
    record(f"answered {number:016x} {text}")
    answers[text] = answers.get(text, 0) + 1


async def case(record: Record) -> bool:
    """Play usual traffic, then bad clients beside it; the rule is broken if the gateway is killed or ends."""
    runs = 0
    chance = random.Random(31)

    async def run(_: Message, __: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        nonlocal runs
        runs += 1
        await asyncio.sleep(chance.expovariate(1 / 0.1))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        return True

    servers = [AddressServer(f"s-{number}", run) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    agent = Agent([server.entry() for server in servers])
    await agent.start()
    gateway = Gateway(agent, settings(), MEMORY_MB, SOCKETS)
    platform = Platform(gateway, record)
    answers: dict[str, int] = {}
    tasks: list[asyncio.Task[None]] = []
    processes: list[subprocess.Popen[bytes]] = []
    try:
        gateway.start()
        await gateway.wait_ready()
        tasks.append(asyncio.create_task(platform.watch()))
        began = time.monotonic()
        has_begun = False
        while time.monotonic() < began + QUIET_S + PLAY_S and not platform.killed and gateway.is_running:
            if trouble() and not has_begun and time.monotonic() > began + QUIET_S:
                has_begun = True
                record(f"{BAD_CLIENTS} bad clients send {REQUESTS_EACH} requests each, at once")
                for group in range(GROUPS):
                    arguments = [sys.executable, "-B", __file__, str(gateway.port), str(group)]
                    processes.append(subprocess.Popen(arguments, preexec_fn=die_with_parent))
            tasks.append(asyncio.create_task(usual_client(gateway.port, record, answers)))
            await asyncio.sleep(1 / USUAL_PER_S)
        crashed = platform.killed or not gateway.is_running
    finally:
        gateway.end()
        for process in processes:
            process.kill()
            process.wait()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    line = f"peak {platform.peak_mb:.0f} of {MEMORY_MB} MB; killed: {crashed}; {runs} runs; usual: {answers}"
    record(line)
    print(line)
    return crashed


if __name__ == "__main__":
    if len(sys.argv) == 3:
        asyncio.run(bad_clients(int(sys.argv[1]), int(sys.argv[2])))
        sys.exit(0)
    sys.exit(run_case(case, FOLDER))
