"""Service discovery in the soak: one shared endpoint list, and for each gateway an agent that can fail.

The agents serve the list in the wire format of the gateways' discovery protocol.
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

GROUPS = 3  # number of idempotency groups, over which the servers are distributed
MAX_STORED_CHANGES = 50
MAX_WATCH_S = 60.0
SILENT_FAULT_S = 60.0  # response delay of a silent agent, longer than a gateway waits

JsonObject = dict[str, Any]


class EndpointStatus(Enum):
    """The status of a server in the list. The values are those of the wire format."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """The list entry of a server."""

    server: int
    status: EndpointStatus = EndpointStatus.SERVING
    started_ms: int = 0  # start time as Unix milliseconds
    generation: int = 0  # number of earlier servers at the same address, which had other names

    @property
    def name(self) -> str:
        """The name in the list."""
        return f"s-{self.server}" + (f"-{self.generation}" if self.generation else "")

    @property
    def group(self) -> int:
        """The server's idempotency group."""
        return group_of(self.server, self.generation)


def group_of(server: int, generation: int = 0) -> int:
    """Return the idempotency group of a server, which differs from that of the former one at its address."""
    return (server + generation) % GROUPS


class Change(NamedTuple):
    """A changed endpoint, and the version of the list after the change."""

    version: int
    endpoint: Endpoint


@dataclass(slots=True)
class EndpointList:
    """The endpoint list, its version and its latest changes."""

    endpoints: dict[int, Endpoint]
    version: int = 1
    changes: list[Change] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)  # each change sets and then replaces it

    @classmethod
    def of(cls, servers: int) -> EndpointList:
        """Create a list of `servers` servers with status SERVING."""
        return cls({number: Endpoint(number) for number in range(servers)})

    def set_status(
        self, server: int, status: EndpointStatus, restarted: bool = False, renamed: bool = False
    ) -> None:
        """Change a server's status.

        With `restarted`, its start time becomes the current time. With `renamed`, it is another server that
        has come up at the address of one that was deleted.
        """
        before = self.endpoints[server]
        started_ms = int(time.time() * 1000) if restarted else before.started_ms
        endpoint = Endpoint(server, status, started_ms, before.generation + renamed)
        self.endpoints[server] = endpoint
        self.version += 1
        self.changes = [*self.changes[-MAX_STORED_CHANGES:], Change(self.version, endpoint)]
        self.changed.set()
        self.changed = asyncio.Event()

    def changes_since(self, version: int) -> list[Endpoint] | None:
        """Return the latest state of the endpoints changed since a version, or None if it is too old."""
        changed = [change.endpoint for change in self.changes if change.version > version]
        if len(changed) < self.version - version:
            return None
        latest = {endpoint.name: endpoint for endpoint in changed}
        return list(latest.values())


class AgentFault(Enum):
    """How an agent fails."""

    DOWN = "down"  # it closes every connection immediately
    SILENT = "silent"  # it accepts requests but does not respond


class UnreachableSpan(NamedTuple):
    """A time span, in microseconds, during which an agent was unreachable."""

    from_us: int
    to_us: int


class DiscoveryAgent:
    """The discovery service of one gateway.

    The addresses of the servers differ between gateways, because each gateway reaches them through its own
    routes of the fault proxy.
    """

    def __init__(self, gateway: int, endpoint_list: EndpointList, addresses: dict[int, str]) -> None:
        self.gateway = gateway
        self.address = ""  # "host:port" of the newest listener
        self.unreachable_spans: list[UnreachableSpan] = []
        self._list = endpoint_list
        self._addresses = addresses
        self._fault: AgentFault | None = None
        self._failing_since_us = 0
        self._listeners: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> list[asyncio.Server]:
        """Listen on an additional address, which becomes `address`.

        Returns:
            The earlier listeners, which still accept connections until `close` is called with them.
        """
        earlier = list(self._listeners)
        listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._listeners.append(listener)
        host, port = listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return earlier

    def close(self, listeners: list[asyncio.Server]) -> None:
        """Close these listeners and reset all connections."""
        for listener in listeners:
            listener.close()
        self.reset_connections()

    def fail(self, fault: AgentFault) -> None:
        """Start to fail. All connections are reset unless the agent was failing already."""
        was_working = self._fault is None
        self._fault = fault
        if was_working:
            self._failing_since_us = now_us()
            self.reset_connections()

    def recover(self) -> None:
        """Stop failing. Open connections are reset if the agent was failing."""
        if self._fault is not None:
            self._fault = None
            self.unreachable_spans.append(UnreachableSpan(self._failing_since_us, now_us()))
            self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections, which ends the gateway's pending watch."""
        for writer in self._writers:
            writer.transport.abort()

    def snapshot(self) -> JsonObject:
        """Return the complete list in wire format."""
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
            pass  # the connection broke, or the run ended and cancelled this task, which nothing awaits
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    def _is_down(self) -> bool:
        return self._fault is AgentFault.DOWN

    async def _respond(self, target: str) -> JsonObject:
        """Build the response to a request: the full list, or the changes since the version in its target."""
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
            "name": endpoint.name,
            "address": self._addresses[endpoint.server],
            "zone": "a",
            "type": "m",
            "group": endpoint.group,
            "status": endpoint.status.value,
            "weight": 1.0,
            "since_ms": endpoint.started_ms,
        }
