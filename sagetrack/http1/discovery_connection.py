"""A connection for the gateway's own requests, such as those to service discovery."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from sagetrack.config.platform import Address
from sagetrack.core.responses import Response
from sagetrack.http1.codec import ResponseError, ResponseReader

LIST_LIMIT = 16 * 1024 * 1024  # bytes of a response body; the endpoint list of a large fleet is the longest


class DiscoveryConnection(asyncio.Protocol):
    """A connection that carries one request at a time and buffers the whole response.

    Failures are raised as the exceptions that `make_error` creates.
    """

    def __init__(self, make_error: Callable[[str], Exception]) -> None:
        self.make_error = make_error
        self.transport: asyncio.Transport | None = None
        self.responses = ResponseReader(LIST_LIMIT)
        self.pending_response: asyncio.Future[Response] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; called by the loop."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the response; called by the loop."""
        try:
            response = self.responses.feed(data)
        except ResponseError as error:
            self.fail(str(error))
            return
        if response is not None and self.pending_response is not None and not self.pending_response.done():
            self.pending_response.set_result(response)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress; called by the loop."""
        self.transport = None
        self.fail("the connection ended")

    def fail(self, reason: str) -> None:
        """Fail the request in progress, and close."""
        if self.pending_response is not None and not self.pending_response.done():
            self.pending_response.set_exception(self.make_error(reason))
        self.close()

    def close(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    async def request(self, head: bytes) -> Response:
        """Send a request without a body, and return the response; the wait has no time limit.

        Raises:
            Exception: The request has failed; the exception is created by `make_error`.
        """
        if self.transport is None or self.transport.is_closing():
            raise self.make_error("the connection has ended")
        self.pending_response = asyncio.get_running_loop().create_future()
        self.transport.write(head)
        return await self.pending_response


async def connect(
    address: Address, make_error: Callable[[str], Exception] = ConnectionError
) -> DiscoveryConnection:
    """Open a connection; failures after that are raised as the exceptions that `make_error` creates.

    Raises:
        OSError: It could not be opened.
    """
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(lambda: DiscoveryConnection(make_error), *address)
    return connection
