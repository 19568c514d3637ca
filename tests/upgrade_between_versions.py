"""Hot restart from one checkout of this project to another, and back, with requests in flight.

    python -m tests.upgrade_between_versions OLD_ROOT NEW_ROOT [--clients 20] [--seconds 3]

Real processes of both checkouts share a listening socket and a folder for temporary files, as
docs/on-call.md describes an upgrade. Closed-loop clients send requests all the while. Every request has to
get one complete answer; the exit status is 1 if one does not, or if a process does not end with 0.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from sagetrack.lab.stand_ins.scripted import Exchange, http_response, read_message, scripted_server
from tests.sockets import configuration, request

SERVICE_TIME_S = 0.03
START_TIMEOUT_S = 30.0
CLASSES = ("search", "transfer")  # one that is safe to repeat and one that is not


async def slow_answer(exchange: Exchange) -> None:
    """Answer after the service time, so that requests are in flight at any moment."""
    await asyncio.sleep(SERVICE_TIME_S)
    exchange.respond(http_response(200, b"done"))


@dataclass
class Load:
    """Closed-loop clients, and what became of their requests."""

    port: int
    statuses: Counter[int] = field(default_factory=Counter)
    lost: list[str] = field(default_factory=list)
    stopped: bool = False

    async def run_client(self, number: int) -> None:
        """Send one request after the other; a connection ends where an answer says so."""
        while not self.stopped:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            try:
                await self.use_connection(number, reader, writer)
            finally:
                writer.transport.abort()

    async def use_connection(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while not self.stopped:
            writer.write(request(CLASSES[number % len(CLASSES)], b""))
            try:
                answer = await read_message(reader)
            except (OSError, asyncio.IncompleteReadError) as error:
                self.lost.append(repr(error))
                return
            self.statuses[answer.status] += 1
            if answer.headers.get("connection", "").lower() == "close":
                return


async def start(root: Path, folder: Path, listener: socket.socket) -> asyncio.subprocess.Process:
    """A gateway of this checkout on the shared listening socket, once it takes clients."""
    environment = os.environ | {
        "LB_CONFIG": str(folder / "config.json"),
        "LB_ACCEPT_FD": str(listener.fileno()),
        "TMPDIR": str(folder),
        "PYTHONPATH": str(root),
    }
    with (folder / "gateways.log").open("ab") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sagetrack",
            cwd=root,
            env=environment,
            pass_fds=[listener.fileno()],
            stderr=log,
        )
    mark = folder / f"sagetrack-{process.pid}.serving"
    async with asyncio.timeout(START_TIMEOUT_S):
        while not mark.exists():
            await asyncio.sleep(0.01)
    return process


async def upgrade(roots: list[Path], clients: int, seconds: float) -> int:
    """Replace a gateway by the next of `roots`, one after the other, under load."""
    failed = 0
    with tempfile.TemporaryDirectory() as name, socket.create_server(("127.0.0.1", 0)) as listener:
        folder = Path(name)
        async with scripted_server(slow_answer) as first, scripted_server(slow_answer) as second:
            config = configuration(first, second) | {"listen": f"127.0.0.1:{listener.getsockname()[1]}"}
            (folder / "config.json").write_text(json.dumps(config))
            current = await start(roots[0], folder, listener)
            load = Load(listener.getsockname()[1])
            tasks = [asyncio.create_task(load.run_client(number)) for number in range(clients)]
            for root in roots[1:]:
                await asyncio.sleep(seconds)
                successor = await start(root, folder, listener)
                current.send_signal(signal.SIGTERM)
                failed += await current.wait() != 0
                current = successor
            await asyncio.sleep(seconds)
            load.stopped = True
            await asyncio.gather(*tasks)
            current.send_signal(signal.SIGTERM)
            failed += await current.wait() != 0
    answered = ", ".join(f"{count} with {status}" for status, count in sorted(load.statuses.items()))
    print(f"answered: {answered}; lost: {len(load.lost)} {load.lost[:3]}; processes that failed: {failed}")
    return int(bool(load.lost) or failed > 0)


def main() -> int:
    """Play an upgrade from the first checkout to the second, and back to the first."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("old", type=Path)
    parser.add_argument("new", type=Path)
    parser.add_argument("--clients", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=3.0)
    given = parser.parse_args()
    old, new = given.old.resolve(), given.new.resolve()
    return asyncio.run(upgrade([old, new, old], given.clients, given.seconds))


if __name__ == "__main__":
    sys.exit(main())
