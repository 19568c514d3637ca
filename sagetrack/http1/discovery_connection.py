"""Client connection for requests that the gateway itself makes to service discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from sagetrack.config.platform import Address
from sagetrack.core.responses import Response
from sagetrack.http1.codec import ResponseError, ResponseReader

MAX_BODY_BYTES = 16 * 1024 * 1024  # limit of a response body; an endpoint list has all servers


class DiscoveryConnection(asyncio.Protocol):
    """A connection that carries one request at a time and buffers the whole response.

    Failures are raised as the exceptions that `make_error` creates.
    """

    def __init__(self, make_error: Callable[[str], Exception]) -> None:
        self.make_error = make_error
        self.transport: asyncio.Transport | None = None
        self.responses = ResponseReader(MAX_BODY_BYTES)
        self.pending_response: asyncio.Future[Response] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's class is not a subclass of it

    def data_received(self, data: bytes) -> None:
        """Parse data of the response; called by the event loop."""
        try:
            response = self.responses.feed(data)
        except ResponseError as error:
            self.fail(str(error))
            return
        self._resolve(response)

    def eof_received(self) -> None:
        """Handle the end of a response that ends with the connection; called by the event loop."""
        self._resolve(self.responses.finish())

    def _resolve(self, response: Response | None) -> None:
        if response is not None and self.pending_response is not None and not self.pending_response.done():
            self.pending_response.set_result(response)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress; called by the event loop."""
        self.transport = None
        self.fail("connection closed before the response was complete")

    def fail(self, reason: str) -> None:
        """Fail the request in progress, and close the connection."""
        if self.pending_response is not None and not self.pending_response.done():
            self.pending_response.set_exception(self.make_error(reason))
        self.close()

    def close(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    @property
    def is_open(self) -> bool:
        """True if a request can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    async def request(self, head: bytes) -> Response:
        """Send a request without a body and return the response, without a timeout.

        Raises:
            Exception: The request has failed; the exception is created by `make_error`.
        """
        if self.transport is None or self.transport.is_closing():
            raise self.make_error("cannot send the request, connection is closed")
        self.pending_response = asyncio.get_running_loop().create_future()
        self.transport.write(head)
        return await self.pending_response


async def connect(
    address: Address, make_error: Callable[[str], Exception] = ConnectionError
) -> DiscoveryConnection:
    """Open a connection, on which later failures raise the exceptions that `make_error` creates.

    Raises:
        OSError: The connection could not be opened.
    """
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(lambda: DiscoveryConnection(make_error), *address)
    return connection
