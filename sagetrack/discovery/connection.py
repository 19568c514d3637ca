"""What the client needs of a connection to discovery; the protocol's implementation is elsewhere."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

from sagetrack.config.platform import Address
from sagetrack.core.responses import Response


class DiscoveryConnection(Protocol):
    """A connection to discovery that carries one call at a time."""

    @property
    def is_open(self) -> bool:
        """Whether another call can be made on this connection."""
        ...

    async def request(self, head: bytes) -> Response:
        """Send a request that has no body, and return the complete response.

        Args:
            head: The request line and headers, with the empty line that ends them.

        Raises:
            DiscoveryCallError: There is no complete response.
        """
        ...

    def close(self) -> None:
        """Close the connection at once; a call under way fails."""
        ...


OpenConnection = Callable[[Address], Awaitable[DiscoveryConnection]]
