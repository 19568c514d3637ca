"""Hot restart from one checkout of this project to another and back, with requests in flight.

    python -m tests.upgrade_between_versions OLD_ROOT NEW_ROOT [--clients 20] [--seconds 3]

Processes of both checkouts share a listening socket and a folder for temporary files, as in the upgrade that
docs/on-call.md describes. Closed-loop clients send requests throughout. Every request has to get a complete
response. The exit status is 1 if one does not, or if a process exits with a status other than 0.
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
CLASSES = ("search", "transfer")  # one whose requests are safe to repeat and one whose requests are not


async def delayed_response(exchange: Exchange) -> None:
    """Respond after the service time, so that there are always requests in flight."""
    await asyncio.sleep(SERVICE_TIME_S)
    exchange.respond(http_response(200, b"done"))


@dataclass
class Load:
    """Closed-loop clients and the outcomes of their requests."""

    port: int
    statuses: Counter[int] = field(default_factory=Counter)
    lost: list[str] = field(default_factory=list)
    stopped: bool = False

    async def run_client(self, number: int) -> None:
        """Send one request after the other, and reconnect after a response with `Connection: close`."""
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
                response = await read_message(reader)
            except (OSError, asyncio.IncompleteReadError) as error:
                self.lost.append(repr(error))
                return
            self.statuses[response.status] += 1
            if response.headers.get("connection", "").lower() == "close":
                return


async def start(root: Path, folder: Path, listener: socket.socket) -> asyncio.subprocess.Process:
    """Start a gateway of this checkout on the shared listening socket, and wait until it accepts clients."""
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
    marker = folder / f"sagetrack-{process.pid}.serving"
    async with asyncio.timeout(START_TIMEOUT_S):
        while not marker.exists():
            await asyncio.sleep(0.01)
    return process


async def upgrade(roots: list[Path], clients: int, seconds: float) -> int:
    """Replace the gateway by one from the next checkout in `roots`, one after the other, under load."""
    failed = 0
    with tempfile.TemporaryDirectory() as name, socket.create_server(("127.0.0.1", 0)) as listener:
        folder = Path(name)
        async with scripted_server(delayed_response) as first, scripted_server(delayed_response) as second:
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
    """Upgrade from the first checkout to the second and back to the first."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("old", type=Path)
    parser.add_argument("new", type=Path)
    parser.add_argument("--clients", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=3.0)
    arguments = parser.parse_args()
    old, new = arguments.old.resolve(), arguments.new.resolve()
    return asyncio.run(upgrade([old, new, old], arguments.clients, arguments.seconds))


if __name__ == "__main__":
    sys.exit(main())
