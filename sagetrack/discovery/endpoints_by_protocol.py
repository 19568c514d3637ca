"""One endpoint list, divided by the protocol that each server speaks.

An entry's `type` in the list decides; no server is probed for its protocol.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from sagetrack.core.endpoints import Endpoint
from sagetrack.policy.events import ListKind, ServerStatus

HTTP = "http"  # the protocol of a server whose type is not mapped to another one


class EndpointsByProtocol:
    """The servers of each protocol, as the list stands.

    An update costs time in proportion to its length.

    Attributes:
        protocols: From a type's index (`ListedServer.kind`) to a protocol.
        endpoints: For each protocol its endpoints, by server id.
    """

    def __init__(self, protocols: Mapping[int, str] | None = None) -> None:
        self.protocols = dict(protocols or {})
        self.endpoints: dict[str, dict[int, Endpoint]] = {
            HTTP: {},
            **{p: {} for p in self.protocols.values()},
        }

    def update(self, kind: ListKind, entries: list[Endpoint]) -> dict[str, list[Endpoint]]:
        """Take in an update, and return the entries of it that concern each protocol.

        A server that changes its protocol is listed as gone for the one that it had. A failed call concerns
        all protocols and has no entries.
        """
        changes: dict[str, list[Endpoint]] = {protocol: [] for protocol in self.endpoints}
        if kind is ListKind.ERROR:
            return changes
        if kind is not ListKind.DELTA:
            for endpoints in self.endpoints.values():
                endpoints.clear()
        for entry in entries:
            listed = entry.listed
            spoken = self.protocols.get(listed.kind, HTTP)
            for protocol, endpoints in self.endpoints.items():
                if protocol != spoken and endpoints.pop(listed.server, None) is not None:
                    changes[protocol].append(_as_gone(entry))
            changes[spoken].append(entry)
            if listed.status is ServerStatus.GONE:
                self.endpoints[spoken].pop(listed.server, None)
            else:
                self.endpoints[spoken][listed.server] = entry
        return changes


def _as_gone(entry: Endpoint) -> Endpoint:
    return Endpoint(entry.name, entry.address, replace(entry.listed, status=ServerStatus.GONE))
