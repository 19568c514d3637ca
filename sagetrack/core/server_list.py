"""Applies endpoint lists to the upstream pool and passes them on to the load balancer."""

from __future__ import annotations

from collections.abc import Sequence

from sagetrack.core.clock import wall_us
from sagetrack.core.context import GatewayContext
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.event_trace import TraceEventKind
from sagetrack.core.send_rules import AttemptRecord
from sagetrack.policy.events import EndpointList, Event, ListedServer, ListKind, ServerStatus

MAX_NAMES_IN_SUMMARY = 20


def summary(entries: Sequence[Endpoint]) -> str:
    """Return the number of servers by status, and the names of the first servers that are not ready."""
    count_by_status: dict[str, int] = {}
    for entry in entries:
        status = entry.listed.status.value
        count_by_status[status] = count_by_status.get(status, 0) + 1
    counts = ", ".join(f"{count} {status}" for status, count in count_by_status.items()) or "nothing"
    names = [entry.name for entry in entries if entry.listed.status is not ServerStatus.READY]
    return counts + (f" ({' '.join(names[:MAX_NAMES_IN_SUMMARY])})" if names else "")


class ServerList:
    """The servers that are currently listed, by id."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._listed: dict[int, ListedServer] = {}

    def apply(self, kind: ListKind, entries: list[Endpoint]) -> Event:
        """Apply a list to the upstream pool, and return the event that informs the load balancer.

        Servers missing from a complete list are removed. A DELTA names only changed servers, and an ERROR
        names none, so neither removes servers that it does not name.
        """
        context = self._context
        if kind is not ListKind.ERROR and kind is not ListKind.DELTA:
            named = {entry.listed.server for entry in entries}
            for server in [server for server in context.upstream.listed if server not in named]:
                self._remove(server)
        for entry in entries:
            if entry.listed.status is ServerStatus.GONE:
                self._remove(entry.listed.server)
            else:
                context.upstream.put(entry)
                self._listed[entry.listed.server] = entry.listed
        if any(entry.listed.status is not ServerStatus.READY for entry in entries):
            context.trace.record(TraceEventKind.STATE_CHANGED, "list", summary(entries))
        if context.recorder is not None:
            context.recorder.record_event(f"list {kind.value}: {summary(entries)}")
        listed = tuple(entry.listed for entry in entries)
        source = context.endpoint_source
        return EndpointList(
            kind, listed, wall_us(), None if source is None else source.time_without_contact_us
        )

    def _remove(self, server: int) -> None:
        self._context.upstream.remove(server)
        self._listed.pop(server, None)

    def new_attempt_record(self, server: int) -> AttemptRecord:
        """Return the record of a new attempt at a server, with the server's current zone and group."""
        listed = self._listed.get(server)
        return AttemptRecord(listed.zone, listed.group) if listed is not None else AttemptRecord(-1, -1)
