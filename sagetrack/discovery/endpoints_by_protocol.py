"""Divides the endpoint list by the protocol that each server speaks.

The `type` of a list entry determines the protocol; servers are not probed for it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from sagetrack.core.endpoints import Endpoint
from sagetrack.policy.events import ListKind, ServerStatus

HTTP = "http"  # the protocol of servers whose type is not mapped to another protocol


class EndpointsByProtocol:
    """The current endpoints of each protocol.

    The cost of an update is proportional to its length.

    Attributes:
        protocols: Maps the index of a server type (`ListedServer.kind`) to a protocol.
        endpoints: The endpoints of each protocol, by server id.
    """

    def __init__(self, protocols: Mapping[int, str] | None = None) -> None:
        self.protocols = dict(protocols or {})
        self.endpoints: dict[str, dict[int, Endpoint]] = {
            HTTP: {},
            **{p: {} for p in self.protocols.values()},
        }

    def update(self, kind: ListKind, entries: list[Endpoint]) -> dict[str, list[Endpoint]]:
        """Apply an update and return the entries for each protocol.

        A server that changes its protocol is returned as gone for its previous protocol. A failed call yields
        no entries for any protocol.
        """
        changes: dict[str, list[Endpoint]] = {protocol: [] for protocol in self.endpoints}
        if kind is ListKind.ERROR:
            return changes
        if kind is not ListKind.DELTA:
            for endpoints in self.endpoints.values():
                endpoints.clear()
        for entry in entries:
            listed = entry.listed
            current = self.protocols.get(listed.kind, HTTP)
            for protocol, endpoints in self.endpoints.items():
                if protocol != current and endpoints.pop(listed.server, None) is not None:
                    changes[protocol].append(_as_gone(entry))
            changes[current].append(entry)
            if listed.status is ServerStatus.GONE:
                self.endpoints[current].pop(listed.server, None)
            else:
                self.endpoints[current][listed.server] = entry
        return changes


def _as_gone(entry: Endpoint) -> Endpoint:
    return Endpoint(entry.name, entry.address, replace(entry.listed, status=ServerStatus.GONE))
