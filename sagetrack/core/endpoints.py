"""Endpoints, and the interface of the service discovery that delivers them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from sagetrack.config.platform import Address
from sagetrack.policy.events import ListedServer, ListKind


class Endpoint:
    """One server of an endpoint list.

    Attributes:
        name: The name of the server in service discovery.
        address: Host and port to connect to.
        listed: The properties of the server that the load balancer uses.
    """

    __slots__ = ("address", "listed", "name")

    def __init__(self, name: str, address: Address, listed: ListedServer) -> None:
        self.name = name
        self.address = address
        self.listed = listed


OnEndpointList = Callable[[ListKind, list[Endpoint]], None]


class EndpointSource(Protocol):
    """Service discovery, which delivers endpoint lists to an `OnEndpointList` callback."""

    @property
    def time_without_contact_us(self) -> int | None:
        """Time between the list being delivered and the last contact before it; None if it is the first."""
        ...

    def restore_known_endpoints(self, raw: dict[str, Any]) -> None:
        """Deliver the initial endpoint list, which is in the encoding of service discovery."""
        ...

    def watch(self, enabled: bool) -> None:
        """Start or stop watching for changes."""
        ...

    def fetch(self) -> None:
        """Fetch the complete list once."""
        ...

    def close(self) -> None:
        """Stop permanently; no list is delivered afterwards."""
        ...
