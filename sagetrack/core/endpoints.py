"""What fronts, backs and the gateway between them speak of: answers, and entries of the roster."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from sagetrack.config.platform import Address
from sagetrack.policy.events import ListedServer, ListKind

Header = tuple[bytes, bytes]


class Reply:
    """One whole answer, or the head of one whose body passes through."""

    __slots__ = ("body", "headers", "keep_alive", "length", "status")

    def __init__(
        self, status: int, headers: list[Header], body: bytes, keep_alive: bool, length: int | None = None
    ) -> None:
        self.status, self.headers, self.body, self.keep_alive = status, headers, body, keep_alive
        self.length = length  # as it was announced


class Endpoint:
    """One server of a list, for the module and for the pools."""

    __slots__ = ("address", "listed", "name")

    def __init__(self, name: str, address: Address, listed: ListedServer) -> None:
        self.name, self.address, self.listed = name, address, listed


OnEndpointList = Callable[[ListKind, list[Endpoint]], None]


class EndpointSource(Protocol):
    """Who tells what servers there are."""

    @property
    def unheard_us(self) -> int | None:
        """How long before the list that is being told there was no word of it; None: there was none yet."""
        ...

    def take_known(self, raw: dict[str, Any]) -> None:
        """Begin with the list from before."""
        ...

    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...

    def close(self) -> None: ...


class SiblingProcesses(Protocol):
    """Other processes of the same gateway, as at an upgrade."""

    others: int  # that run
    serving: int  # those of them that serve

    def look(self) -> None:
        """Count them again."""
        ...

    def serve(self) -> None:
        """Say that this process takes clients."""
        ...

    def begin_leaving(self) -> None:
        """Say that this process takes clients no longer."""
        ...

    def leave(self) -> None: ...


class NoSiblings:
    """No other process."""

    others = 0
    serving = 0

    def look(self) -> None:
        """There is nobody to count."""

    def serve(self) -> None:
        """There is nobody to tell."""

    def begin_leaving(self) -> None:
        """There is nobody to tell."""

    def leave(self) -> None:
        """There is nobody to tell."""
