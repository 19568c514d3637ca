"""Read-ahead on a client connection: how many pipelined requests are parsed, and the memory that it holds."""

from __future__ import annotations

from sagetrack.core.memory_budget import MemoryBudget, MemoryClaim
from sagetrack.http1.exchange import Exchange
from sagetrack.http1.request_reader import RequestReader

MAX_PIPELINED = 16  # requests that are read ahead on one connection


class ReadAhead:
    """Limits the requests that are read ahead on one connection, within the budget of all connections."""

    __slots__ = ("_budget", "_claim", "_exchange", "_reader")

    def __init__(self, budget: MemoryBudget, reader: RequestReader, exchange: Exchange) -> None:
        self._budget = budget
        self._claim = MemoryClaim(budget)
        self._reader = reader
        self._exchange = exchange

    @property
    def limit(self) -> int:
        """Number of requests that may wait behind the one in progress."""
        if self._budget.allows_read_ahead:
            return MAX_PIPELINED
        is_receiving_body = self._reader.streamed_body is not None
        return 1 if is_receiving_body or not self._exchange.is_busy else 0

    def update_memory(self) -> None:
        """Report the memory of requests that were not handled yet and of responses that were not sent yet."""
        transport = self._exchange.transport
        unsent_bytes = transport.get_write_buffer_size() if transport is not None else 0
        self._claim.update(self._reader.held_bytes + unsent_bytes)

    @property
    def held_bytes(self) -> int:
        """Memory of the data that waits for the client to send or to take more, as last reported."""
        body = self._reader.streamed_body
        return self._claim.claimed_bytes + (body.buffered if body is not None else 0)

    def release_memory(self) -> None:
        """Report that the connection has ended and holds nothing."""
        self._claim.update(0)
