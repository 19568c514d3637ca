"""A stand-in discovery service, from which one gateway long-polls the endpoint list over HTTP/1.1."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple, cast
from urllib.parse import parse_qs, urlsplit

import httptools

from sagetrack.lab.model.endpoint_entry import GONE, EndpointEntry
from sagetrack.lab.model.world import World
from sagetrack.lab.stand_ins.http1_parser import Http1Message, Http1Parser
from sagetrack.lab.stand_ins.listener import SilenceableListener

DELIVERY_TIMEOUT_US = 6_000_000  # a change counts as delivered after this time, even without a poll
MAX_STORED_CHANGES = 1000  # a gateway that is further behind receives the full list


@dataclass(slots=True, frozen=True)
class ListChange:
    """One change of the endpoint list."""

    index: int  # index of the list after this change
    entries: list[EndpointEntry]
    replaces_list: bool  # the entries are a full list, not a difference


class PendingPoll(NamedTuple):
    """A poll that waits until the list is newer than index `since`."""

    connection: DiscoveryConnection
    since: int


class DiscoveryAgent:
    """Serves the endpoint list of one gateway; `apply` changes the list.

    `base_ms` is the Unix time of the run's start in milliseconds. `server_address(gateway, server)` returns
    the "host:port" at which the gateway reaches a server.
    """

    def __init__(
        self, world: World, gateway: int, server_address: Callable[[int, int], str], base_ms: int
    ) -> None:
        self.world = world
        self.gateway = gateway
        self.server_address = server_address
        self.base_ms = base_ms
        self.index = 1
        self.entries: dict[int, EndpointEntry] = {}
        self.changes: list[ListChange] = []
        self.undelivered_changes: list[ListChange] = []
        self.pending_polls: list[PendingPoll] = []
        self.listener = SilenceableListener(f"127.30.{gateway + 1}.1", lambda: DiscoveryConnection(self))

    # The list in the platform's wire format

    def _endpoint(self, entry: EndpointEntry) -> dict[str, Any]:
        since_us = self.world.network.start_time_us(self.gateway, entry)
        return {
            "name": f"s-{entry.server}",
            "address": self.server_address(self.gateway, entry.server),
            "zone": self.world.scenario.fleet.zones[entry.zone],
            "type": "v2" if entry.server in self.world.server_fleet.grpc_servers else "plain",
            "group": entry.rack,
            "status": entry.status,
            "weight": 1.0,
            "since_ms": self.base_ms + since_us // 1000 if since_us else 0,
        }

    def full_list(self) -> dict[str, Any]:
        """Return the current list in wire format."""
        endpoints = [self._endpoint(entry) for entry in self.entries.values()]
        return {"index": self.index, "snapshot": True, "endpoints": endpoints}

    def _difference(self, changes: list[ListChange]) -> dict[str, Any]:
        latest = {entry.server: entry for change in changes for entry in change.entries}
        endpoints = [self._endpoint(entry) for entry in latest.values()]
        return {"index": self.index, "snapshot": False, "endpoints": endpoints}

    # Changes

    def apply(self, entries: list[EndpointEntry], replaces_list: bool) -> None:
        """Change the list and respond to pending polls."""
        if replaces_list:
            self.entries = {}
        for entry in entries:
            if entry.status == GONE:
                self.entries.pop(entry.server, None)
            else:
                self.entries[entry.server] = EndpointEntry(
                    entry.server, entry.zone, entry.rack, entry.status, entry.started_us
                )
        self.index += 1
        index = self.index
        change = ListChange(index, entries, replaces_list)
        self.changes.append(change)
        del self.changes[:-MAX_STORED_CHANGES]
        self.undelivered_changes.append(change)
        clock = self.world.clock
        clock.call_at(clock.now_us() + DELIVERY_TIMEOUT_US, lambda: self._count_as_delivered(index))
        self.respond_to_pending_polls()

    def _count_as_delivered(self, index: int) -> None:
        """Report the changes up to an index to the registry as received by the gateway."""
        for change in [change for change in self.undelivered_changes if change.index <= index]:
            self.undelivered_changes.remove(change)
            self.world.registry.record_received(self.gateway, change.entries)

    # Polls

    def respond_to_pending_polls(self) -> None:
        """Respond to the pending polls for which there are changes, unless discovery is down."""
        pending = self.pending_polls
        self.pending_polls = []
        for poll in pending:
            self.respond_to_poll(poll.connection, poll.since)

    def respond_to_poll(self, connection: DiscoveryConnection, since: int | None) -> None:
        """Respond to a poll with the changes since an index, or with the full list if `since` is None.

        The poll stays pending if there are no such changes or discovery is down.
        """
        if self.world.registry.down or (since is not None and since >= self.index):
            self.pending_polls.append(PendingPoll(connection, since if since is not None else 0))
            return
        connection.send(json.dumps(self._list_since(since)).encode())
        self._count_as_delivered(self.index)

    def _list_since(self, since: int | None) -> dict[str, Any]:
        if since is None:
            return self.full_list()
        oldest = self.changes[0].index if self.changes else self.index
        newer = [change for change in self.changes if change.index > since]
        if since < oldest - 1 or any(change.replaces_list for change in newer):
            return self.full_list()
        return self._difference(newer)

    def is_pending(self, connection: DiscoveryConnection) -> bool:
        """Return True if a poll of this connection is pending."""
        return any(poll.connection is connection for poll in self.pending_polls)

    def drop_polls(self, connection: DiscoveryConnection) -> None:
        """Drop the pending polls of a connection."""
        self.pending_polls = [poll for poll in self.pending_polls if poll.connection is not connection]

    def on_poll_timeout(self, connection: DiscoveryConnection) -> None:
        """Respond to a poll without changes once its hold time is over, unless discovery is down."""
        if self.world.registry.down or not self.is_pending(connection):
            return
        self.drop_polls(connection)
        connection.send(json.dumps(self._difference([])).encode())


class DiscoveryConnection(asyncio.Protocol):
    """One connection of a gateway to its discovery agent."""

    def __init__(self, agent: DiscoveryAgent) -> None:
        self.agent = agent
        self.transport: asyncio.Transport | None = None
        self.parser = Http1Parser(True, self.on_request)
        self.poll_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse part of a request; abort the connection if the data is not valid HTTP."""
        try:
            self.parser.feed(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_request(self, message: Http1Message, keeps_alive: bool) -> None:
        """Handle a poll.

        Its query parameters are `from`, the index of the caller's list, and `hold_ms`, the time for which the
        poll may stay pending.
        """
        query = parse_qs(urlsplit(message.target.decode("latin-1")).query)
        since = int(query["from"][0]) if "from" in query else None
        hold_s = int(query.get("hold_ms", ["0"])[0]) / 1000
        self.agent.respond_to_poll(self, since)
        if self.agent.is_pending(self) and hold_s:
            loop = asyncio.get_running_loop()
            self.poll_timer = loop.call_later(hold_s, self.agent.on_poll_timeout, self)

    def send(self, body: bytes) -> None:
        """Send a 200 response with this body if the connection is still open."""
        self._cancel_poll_timer()
        if self.transport is not None:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def _cancel_poll_timer(self) -> None:
        if self.poll_timer is not None:
            self.poll_timer.cancel()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the connection's pending poll."""
        self.transport = None
        self.agent.drop_polls(self)
        self._cancel_poll_timer()
