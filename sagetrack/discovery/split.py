"""One list of servers, parted by the protocol that each of them speaks. Pure.

The roster's `type` says which; nothing is found out by asking a server.
"""

from __future__ import annotations

from collections.abc import Mapping

from sagetrack.core.endpoints import Endpoint
from sagetrack.policy.events import ListedServer, ListKind, ServerStatus

HTTP = "http"  # what a server speaks whose type is not mapped


class Split:
    """Which servers speak what, as the list stands.

    `protocols` maps a type's number (the module's `kind`) to a protocol. Changes to the list cost by what
    changed; a whole list costs by its length.
    """

    def __init__(self, protocols: Mapping[int, str] | None = None) -> None:
        self.protocols = dict(protocols or {})
        self.current: dict[str, dict[int, Endpoint]] = {HTTP: {}, **{p: {} for p in self.protocols.values()}}

    def take(self, kind: ListKind, entries: list[Endpoint]) -> dict[str, list[Endpoint]]:
        """What each protocol hears of this list.

        A server that changes its protocol is gone for the one that it had; a failed call is word for all.
        """
        parts: dict[str, list[Endpoint]] = {protocol: [] for protocol in self.current}
        if kind is ListKind.ERROR:
            return parts
        if kind is not ListKind.DELTA:
            for known in self.current.values():
                known.clear()
        for entry in entries:
            listed = entry.listed
            mine = self.protocols.get(listed.kind, HTTP)
            for protocol, known in self.current.items():
                if protocol == mine:
                    continue
                if known.pop(listed.server, None) is not None:
                    parts[protocol].append(gone(entry))
            parts[mine].append(entry)
            if listed.status is ServerStatus.GONE:
                self.current[mine].pop(listed.server, None)
            else:
                self.current[mine][listed.server] = entry
        return parts


def gone(entry: Endpoint) -> Endpoint:
    """The word that this server has left."""
    listed = entry.listed
    left = ListedServer(
        listed.server,
        ServerStatus.GONE,
        listed.weight,
        listed.zone,
        listed.group,
        listed.kind,
        listed.started_us,
    )
    return Endpoint(entry.name, entry.address, left)
