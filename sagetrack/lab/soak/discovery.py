"""Discovery of the soak: one list for all, and an agent for each gateway that can be down or silent."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from sagetrack.lab.soak.events import now_us
from sagetrack.lab.stand_ins.scripted import read_message, reply

GROUPS = 3
REMEMBERED = 50  # changes


@dataclass(slots=True)
class Listed:
    """A server as it stands on the list."""

    number: int
    status: str = "SERVING"
    since_ms: int = 0


@dataclass(slots=True)
class Registry:
    """The list, its version, and its last changes."""

    servers: dict[int, Listed]
    index: int = 1
    changes: list[tuple[int, Listed]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def change(self, number: int, status: str, restarted: bool = False) -> None:
        since_ms = int(time.time() * 1000) if restarted else self.servers[number].since_ms
        listed = self.servers[number] = Listed(number, status, since_ms)
        self.index += 1
        self.changes = [*self.changes[-REMEMBERED:], (self.index, listed)]
        self.changed.set()
        self.changed = asyncio.Event()


class Agent:
    """One gateway's way to the list."""

    def __init__(self, gateway: int, registry: Registry, addresses: dict[int, str]) -> None:
        self.gateway, self.registry, self.addresses = gateway, registry, addresses
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.down = self.silent = False
        self.address = ""
        self.unreachable: list[tuple[int, int]] = []
        self.since_us = 0

    async def listen(self) -> str:
        """Listen at a new address too, which is the one from now on."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.servers.append(server)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self.address

    def fail(self, down: bool, silent: bool) -> None:
        """Be down or silent, or neither, from now on."""
        was = self.down or self.silent
        self.down, self.silent = down, silent
        if (down or silent) and not was:
            self.since_us = now_us()
            self.reset()
        elif was and not (down or silent):
            self.unreachable.append((self.since_us, now_us()))
            self.reset()

    def reset(self) -> None:
        for writer in self.writers:
            writer.transport.abort()

    def entry(self, listed: Listed) -> dict[str, Any]:
        return {
            "name": f"s-{listed.number}",
            "address": self.addresses[listed.number],
            "zone": "a",
            "type": "m",
            "group": listed.number % GROUPS,
            "status": listed.status,
            "weight": 1.0,
            "since_ms": listed.since_ms,
        }

    def whole(self) -> dict[str, Any]:
        listed = [one for one in self.registry.servers.values() if one.status != "DELETED"]
        entries = [self.entry(one) for one in listed]
        return {"index": self.registry.index, "snapshot": True, "endpoints": entries}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while not self.down:
                message = await read_message(reader)
                body = await self.answer(message.start_line.split(" ")[1])
                if self.down:
                    break
                if self.silent:
                    await asyncio.sleep(60.0)
                writer.write(reply(200, json.dumps(body).encode()))
        except (asyncio.IncompleteReadError, OSError, RuntimeError, asyncio.CancelledError):
            pass  # cancelled as the run ends: nobody waits for this task
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def answer(self, target: str) -> dict[str, Any]:
        asked = parse_qs(urlsplit(target).query)
        registry = self.registry
        if "from" not in asked:
            return self.whole()
        since = int(asked["from"][0])
        if since >= registry.index:
            hold_s = min(60.0, int(asked.get("hold_ms", ["0"])[0]) / 1000)
            try:
                async with asyncio.timeout(hold_s):
                    await registry.changed.wait()
            except TimeoutError:
                pass
        changes = [listed for index, listed in registry.changes if index > since]
        if len(changes) < registry.index - since:
            return self.whole()
        last = {listed.number: listed for listed in changes}
        entries = [self.entry(listed) for listed in last.values()]
        return {"index": registry.index, "snapshot": False, "endpoints": entries}
