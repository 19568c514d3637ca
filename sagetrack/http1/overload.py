"""Overload actions on client connections: what is closed or reset while the memory budget is used up."""

from __future__ import annotations

import asyncio
import gc
import math
from collections.abc import Iterable
from typing import NamedTuple

from sagetrack.core.memory_budget import OverloadAction
from sagetrack.core.send_rules import CloseReason
from sagetrack.http1.downstream import ClientConnection, ClientContext
from sagetrack.http1.request_reader import REJECTION
from sagetrack.http1.requests import RequestError
from sagetrack.http1.write_progress import undelivered_bytes

RECLAIM_IDLE_S = 0.3  # idle time after which a client may be closed in favour of a new one
# A connection that has transferred data within this time counts as moving; sound clients are slow at times.
STALLED_S = 2.0
# A client that has sent nothing of its request for this long gets an error when its descriptor is needed.
STALLED_REQUEST_S = 1.0
# A client that takes less of its response is reset when new clients cannot be accepted for lack of memory.
MIN_READ_BYTES_PER_S = 64_000
READ_WINDOW_S = 2.0  # time over which that rate is measured
MAX_RESETS_PER_SWEEP = 16  # their memory counts as in use until the event loop has closed them


class Delivery(NamedTuple):
    """How much of a response had not reached its client at a time since when no more was written."""

    undelivered_bytes: int
    at_s: float


class OverloadManager:
    """Frees memory on client connections, as far as the budget's overload action allows it."""

    def __init__(self, context: ClientContext) -> None:
        self._context = context
        self._deliveries: dict[ClientConnection, Delivery] = {}  # to clients for which data waits

    def end_stalled_request(self) -> bool:
        """End the request whose client has sent nothing for the longest time; False if all are moving."""
        now_s = asyncio.get_running_loop().time()
        stalled = max(
            self._context.connections,
            key=lambda connection: _request_stalled_s(connection, now_s),
            default=None,
        )
        if stalled is None or _request_stalled_s(stalled, now_s) < STALLED_REQUEST_S:
            return False
        stalled.abandon_request(RequestError(503, REJECTION))
        return True

    def reclaim_for_client(self) -> bool:
        """Return whether the memory allows one more client; an idle connection is closed if it does not."""
        budget = self._context.memory_budget
        if budget.action < OverloadAction.REJECT_CONNECTIONS:
            return True
        self._context.phases.reclaim(CloseReason.RECLAIM_MEMORY, RECLAIM_IDLE_S)
        return budget.action < OverloadAction.REJECT_CONNECTIONS

    def sweep(self) -> OverloadAction:
        """Carry out the overload action of the present moment, and return it."""
        budget = self._context.memory_budget
        action = budget.sweep(asyncio.get_running_loop().time())
        if action >= OverloadAction.SHRINK_BUFFERS:
            gc.collect()  # ended connections are reference cycles, and hold their data until then
        now_s = asyncio.get_running_loop().time()
        self._update_deliveries(now_s, action)
        if action >= OverloadAction.REJECT_CONNECTIONS:
            self._reset_slow_readers(now_s)
        if action >= OverloadAction.RESET_STREAMS:
            self._end_stalled(now_s)
        return action

    def _update_deliveries(self, now_s: float, action: OverloadAction) -> None:
        """Look at how much the clients have taken that read slowly, while that may be needed soon."""
        deliveries: dict[ClientConnection, Delivery] = {}
        for connection in self._context.connections if action >= OverloadAction.REJECT_BODIES else ():
            if not connection.write_blocked or connection.transport is None:
                continue
            undelivered = undelivered_bytes(connection.transport, connection.descriptor)
            before = self._deliveries.get(connection)
            if before is None or undelivered > before.undelivered_bytes:
                before = Delivery(undelivered, now_s)
            deliveries[connection] = before
        self._deliveries = deliveries

    def _reset_slow_readers(self, now_s: float) -> None:
        """Reset some of the clients that take their response most slowly."""
        rates = {connection: self._read_rate(connection, now_s) for connection in self._deliveries}
        for connection in sorted(rates, key=rates.__getitem__)[:MAX_RESETS_PER_SWEEP]:
            if rates[connection] < MIN_READ_BYTES_PER_S:
                connection.abort(CloseReason.RECLAIM_MEMORY.value)

    def _read_rate(self, connection: ClientConnection, now_s: float) -> float:
        """Return how many bytes per second a client takes; infinite if that is not known yet."""
        assert connection.transport is not None
        before, since_s = self._deliveries[connection]
        if now_s - since_s < READ_WINDOW_S:
            return math.inf
        taken = before - undelivered_bytes(connection.transport, connection.descriptor)
        return taken / (now_s - since_s)

    def _end_stalled(self, now_s: float) -> None:
        """End the requests that hold most of those whose client has stopped sending."""
        budget = self._context.memory_budget
        for connection in _by_held_bytes(self._context.connections):
            if budget.action < OverloadAction.RESET_STREAMS:
                return
            if connection.read_ahead.held_bytes and _request_stalled_s(connection, now_s) >= STALLED_S:
                connection.abandon_request(RequestError(503, REJECTION))


def _by_held_bytes(connections: Iterable[ClientConnection]) -> list[ClientConnection]:
    return sorted(connections, key=lambda connection: connection.read_ahead.held_bytes, reverse=True)


def _request_stalled_s(connection: ClientConnection, now_s: float) -> float:
    """Return for how long the client has sent nothing of an incomplete request; 0 if it need not."""
    awaits_client = connection.reader.has_partial_request and not connection.read_pause.is_active
    if not awaits_client or connection.is_closing or connection.write_blocked:
        return 0.0
    return now_s - connection.moved_s
