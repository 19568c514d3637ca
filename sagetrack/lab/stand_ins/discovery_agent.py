"""Service discovery as one gateway sees it: an HTTP/1.1 long-poll of the list of endpoints."""

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

DELIVERED_LATEST_US = 6_000_000  # after this a change counts as delivered, whether the gateway polled or not
CHANGES_KEPT = 1000  # a gateway that is further behind gets the full list


@dataclass(slots=True, frozen=True)
class ListChange:
    """One change of the list."""

    index: int  # of the list after it
    entries: list[EndpointEntry]
    replaces_list: bool  # a full list, not a difference


class PendingPoll(NamedTuple):
    """A poll that is answered once the list is newer than the caller's."""

    connection: DiscoveryConnection
    since: int


class DiscoveryAgent:
    """The list of one gateway, which changes when the world says so.

    `base_ms` is the Unix time of the run's start in milliseconds. `server_address` gives the "host:port" at
    which this gateway reaches a server.
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
        self.undelivered: list[ListChange] = []
        self.pending_polls: list[PendingPoll] = []
        self.listener = SilenceableListener(f"127.30.{gateway + 1}.1", lambda: DiscoveryConnection(self))

    # The list in discovery's wire form, whose keys are the platform's

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
        """The list as it stands."""
        endpoints = [self._endpoint(entry) for entry in self.entries.values()]
        return {"index": self.index, "snapshot": True, "endpoints": endpoints}

    def _difference(self, changes: list[ListChange]) -> dict[str, Any]:
        latest = {entry.server: entry for change in changes for entry in change.entries}
        endpoints = [self._endpoint(entry) for entry in latest.values()]
        return {"index": self.index, "snapshot": False, "endpoints": endpoints}

    # Changes

    def apply(self, entries: list[EndpointEntry], replaces_list: bool) -> None:
        """Change the list, and answer the polls that wait for it."""
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
        del self.changes[:-CHANGES_KEPT]
        self.undelivered.append(change)
        clock = self.world.clock
        clock.call_at(clock.now_us() + DELIVERED_LATEST_US, lambda: self._count_as_delivered(index))
        self.answer_pending()

    def _count_as_delivered(self, index: int) -> None:
        """Report changes up to an index to the world."""
        for change in [change for change in self.undelivered if change.index <= index]:
            self.undelivered.remove(change)
            self.world.registry.record_received(self.gateway, change.entries)

    # Polls

    def answer_pending(self) -> None:
        """Answer polls that wait, as far as there is news and discovery is up."""
        pending = self.pending_polls
        self.pending_polls = []
        for poll in pending:
            self.answer(poll.connection, poll.since)

    def answer(self, connection: DiscoveryConnection, since: int | None) -> None:
        """Answer a poll for what is newer than an index (None: for the list), or keep it until there is."""
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
        """Whether a poll of this connection waits."""
        return any(poll.connection is connection for poll in self.pending_polls)

    def forget(self, connection: DiscoveryConnection) -> None:
        """Drop what a connection waits for."""
        self.pending_polls = [poll for poll in self.pending_polls if poll.connection is not connection]

    def time_out(self, connection: DiscoveryConnection) -> None:
        """A poll has waited as long as it wanted to: nothing is new, unless discovery is down."""
        if self.world.registry.down or not self.is_pending(connection):
            return
        self.forget(connection)
        connection.send(json.dumps(self._difference([])).encode())


class DiscoveryConnection(asyncio.Protocol):
    """One connection of a gateway to its discovery agent."""

    def __init__(self, agent: DiscoveryAgent) -> None:
        self.agent = agent
        self.transport: asyncio.Transport | None = None
        self.parser = Http1Parser(True, self.on_request)
        self.poll_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse a piece of a request; abort what is not HTTP."""
        try:
            self.parser.feed(data)
        except httptools.HttpParserError:
            if self.transport is not None:
                self.transport.abort()

    def on_request(self, message: Http1Message, keeps_alive: bool) -> None:
        """Answer a poll; `from` is the index of the caller's list, `hold_ms` how long it waits for news."""
        query = parse_qs(urlsplit(message.target.decode("latin-1")).query)
        since = int(query["from"][0]) if "from" in query else None
        hold_s = int(query.get("hold_ms", ["0"])[0]) / 1000
        self.agent.answer(self, since)
        if self.agent.is_pending(self) and hold_s:
            loop = asyncio.get_running_loop()
            self.poll_timer = loop.call_later(hold_s, self.agent.time_out, self)

    def send(self, body: bytes) -> None:
        """Write a 200 with this body, if the connection is still open."""
        self._cancel_poll_timer()
        if self.transport is not None:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def _cancel_poll_timer(self) -> None:
        if self.poll_timer is not None:
            self.poll_timer.cancel()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the poll that waits."""
        self.transport = None
        self.agent.forget(self)
        self._cancel_poll_timer()
