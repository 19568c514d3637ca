"""Endpoints, and the source that discovers them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from sagetrack.config.platform import Address
from sagetrack.policy.events import ListedServer, ListKind


class Endpoint:
    """One server of an endpoint list.

    Attributes:
        name: Its name at service discovery.
        address: Host and port to connect to.
        listed: What the load balancer knows of it.
    """

    __slots__ = ("address", "listed", "name")

    def __init__(self, name: str, address: Address, listed: ListedServer) -> None:
        self.name = name
        self.address = address
        self.listed = listed


OnEndpointList = Callable[[ListKind, list[Endpoint]], None]


class EndpointSource(Protocol):
    """Service discovery: tells an `OnEndpointList` callback which endpoints there are."""

    @property
    def time_without_contact_us(self) -> int | None:
        """Time since the source was last heard before the list now being delivered; None if never before."""
        ...

    def restore_known_endpoints(self, raw: dict[str, Any]) -> None:
        """Deliver the list that was known before the start, as service discovery encodes it."""
        ...

    def watch(self, on: bool) -> None:
        """Start or stop watching for changes."""
        ...

    def fetch(self) -> None:
        """Poll the complete list once."""
        ...

    def close(self) -> None:
        """Stop for good; no list is delivered afterwards."""
        ...
