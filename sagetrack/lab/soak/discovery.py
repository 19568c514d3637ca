"""Discovery of the soak: one endpoint list for all, and for each gateway an agent that can fail.

The endpoint list has the wire form of the gateways' discovery protocol.
"""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from sagetrack.lab.soak.events import now_us
from sagetrack.lab.stand_ins.scripted import http_response, read_message

GROUPS = 3  # idempotency groups, which servers are spread over
MAX_STORED_CHANGES = 50
MAX_WATCH_S = 60.0
SILENT_FAULT_S = 60.0  # longer than a gateway waits

JsonObject = dict[str, Any]


class EndpointStatus(Enum):
    """The state of a listed server; the values are those of the wire."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A server as the list has it."""

    server: int
    status: EndpointStatus = EndpointStatus.SERVING
    started_ms: int = 0  # wall clock

    @property
    def group(self) -> int:
        """The server's idempotency group."""
        return group_of(self.server)


def group_of(server: int) -> int:
    """The idempotency group of a server."""
    return server % GROUPS


class Change(NamedTuple):
    """An endpoint's change, and the list's version since then."""

    version: int
    endpoint: Endpoint


@dataclass(slots=True)
class EndpointList:
    """The endpoint list, its version, and its last changes."""

    endpoints: dict[int, Endpoint]
    version: int = 1
    changes: list[Change] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)  # is set, and replaced, by each change

    @classmethod
    def of(cls, servers: int) -> EndpointList:
        """A list of so many servers that all serve."""
        return cls({number: Endpoint(number) for number in range(servers)})

    def set_status(self, server: int, status: EndpointStatus, restarted: bool = False) -> None:
        """Change a server's status; `restarted` makes now the time of its start."""
        started_ms = int(time.time() * 1000) if restarted else self.endpoints[server].started_ms
        endpoint = Endpoint(server, status, started_ms)
        self.endpoints[server] = endpoint
        self.version += 1
        self.changes = [*self.changes[-MAX_STORED_CHANGES:], Change(self.version, endpoint)]
        self.changed.set()
        self.changed = asyncio.Event()

    def changes_since(self, version: int) -> list[Endpoint] | None:
        """The endpoints that have changed since a version, as they are now; None if it is too old."""
        changed = [change.endpoint for change in self.changes if change.version > version]
        if len(changed) < self.version - version:
            return None
        latest = {endpoint.server: endpoint for endpoint in changed}
        return list(latest.values())


class AgentFault(Enum):
    """How an agent fails."""

    DOWN = "down"  # it closes every connection at once
    SILENT = "silent"  # it takes requests and does not respond


class UnreachableSpan(NamedTuple):
    """A span of time, in microseconds, in which an agent could not be reached."""

    from_us: int
    to_us: int


class DiscoveryAgent:
    """The discovery service of one gateway, which serves the endpoint list.

    Each gateway has its own addresses of the servers, since it reaches them through the fault proxy.
    """

    def __init__(self, gateway: int, endpoint_list: EndpointList, addresses: dict[int, str]) -> None:
        self.gateway = gateway
        self.address = ""  # the newest one
        self.unreachable_spans: list[UnreachableSpan] = []
        self._list = endpoint_list
        self._addresses = addresses
        self._fault: AgentFault | None = None
        self._failing_since_us = 0
        self._listeners: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> list[asyncio.Server]:
        """Listen at a further address, which is the one to be used from now on.

        Returns:
            The listeners at earlier addresses, which still serve: see `close`.
        """
        earlier = list(self._listeners)
        listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._listeners.append(listener)
        host, port = listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return earlier

    def close(self, listeners: list[asyncio.Server]) -> None:
        """Stop listening at these addresses, and reset all connections."""
        for listener in listeners:
            listener.close()
        self.reset_connections()

    def fail(self, fault: AgentFault) -> None:
        """Fail from now on, and reset all connections if that is new."""
        was_working = self._fault is None
        self._fault = fault
        if was_working:
            self._failing_since_us = now_us()
            self.reset_connections()

    def recover(self) -> None:
        """Work from now on; open connections are reset if it did not before."""
        if self._fault is not None:
            self._fault = None
            self.unreachable_spans.append(UnreachableSpan(self._failing_since_us, now_us()))
            self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections, and with them the gateway's watch."""
        for writer in self._writers:
            writer.transport.abort()

    def snapshot(self) -> JsonObject:
        """The complete list, in the wire form."""
        endpoints = self._list.endpoints.values()
        listed = [endpoint for endpoint in endpoints if endpoint.status is not EndpointStatus.DELETED]
        return self._list_message(listed, snapshot=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while not self._is_down():
                request = await read_message(reader)
                target = request.start_line.split(" ")[1]
                message = await self._respond(target)
                if self._is_down():
                    break
                if self._fault is AgentFault.SILENT:
                    await asyncio.sleep(SILENT_FAULT_S)
                writer.write(http_response(200, json.dumps(message).encode()))
        except (asyncio.IncompleteReadError, OSError, RuntimeError, asyncio.CancelledError):
            pass  # it is cancelled as the run ends, and nobody waits for this task
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def _is_down(self) -> bool:
        return self._fault is AgentFault.DOWN

    async def _respond(self, target: str) -> JsonObject:
        """The list for a request's target: all of it, or what has changed since the version that it names."""
        query = parse_qs(urlsplit(target).query)
        if "from" not in query:
            return self.snapshot()
        version = int(query["from"][0])
        if version >= self._list.version:
            watch_s = int(query.get("hold_ms", ["0"])[0]) / 1000
            await self._wait_for_change(min(MAX_WATCH_S, watch_s))
        changed = self._list.changes_since(version)
        if changed is None:
            return self.snapshot()
        return self._list_message(changed, snapshot=False)

    async def _wait_for_change(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._list.changed.wait()
        except TimeoutError:
            pass

    def _list_message(self, endpoints: list[Endpoint], snapshot: bool) -> JsonObject:
        entries = [self._entry(endpoint) for endpoint in endpoints]
        return {"index": self._list.version, "snapshot": snapshot, "endpoints": entries}

    def _entry(self, endpoint: Endpoint) -> JsonObject:
        return {
            "name": f"s-{endpoint.server}",
            "address": self._addresses[endpoint.server],
            "zone": "a",
            "type": "m",
            "group": endpoint.group,
            "status": endpoint.status.value,
            "weight": 1.0,
            "since_ms": endpoint.started_ms,
        }
