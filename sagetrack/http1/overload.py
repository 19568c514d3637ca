"""Overload actions on client connections: what is closed or reset while the memory budget is used up."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Iterable

from sagetrack.core.memory_budget import OverloadAction
from sagetrack.core.send_rules import CloseReason
from sagetrack.http1.downstream import ClientConnection, ClientContext
from sagetrack.http1.request_reader import REJECTION
from sagetrack.http1.requests import RequestError

RECLAIM_IDLE_S = 0.3  # idle time after which a client may be closed in favour of a new one
# A connection that has transferred data within this time counts as moving; sound clients are slow at times.
STALLED_S = 2.0


class OverloadManager:
    """Frees memory on client connections, as far as the budget's overload action allows it."""

    def __init__(self, context: ClientContext) -> None:
        self._context = context

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
        action = budget.sweep()
        if action >= OverloadAction.SHRINK_BUFFERS:
            gc.collect()  # ended connections are reference cycles, and hold their data until then
        if action >= OverloadAction.RESET_STREAMS:
            self._reset_stalled()
        return action

    def _reset_stalled(self) -> None:
        """End the connections that hold most and move least, until the action is no longer called for.

        A connection that has moved within `STALLED_S` is kept.
        """
        budget = self._context.memory_budget
        now_s = asyncio.get_running_loop().time()
        for connection in _by_held_bytes(self._context.connections):
            if budget.action < OverloadAction.RESET_STREAMS:
                return
            if connection.read_ahead.held_bytes and _stalled_s(connection, now_s) >= STALLED_S:
                _end_stalled(connection)


def _by_held_bytes(connections: Iterable[ClientConnection]) -> list[ClientConnection]:
    return sorted(connections, key=lambda connection: connection.read_ahead.held_bytes, reverse=True)


def _stalled_s(connection: ClientConnection, now_s: float) -> float:
    """Return for how long the client has neither sent nor taken data that it should; 0 if it need not."""
    waits_for_client = connection.write_blocked or connection.reader.has_partial_request
    return now_s - connection.moved_s if waits_for_client and not connection.is_closing else 0.0


def _end_stalled(connection: ClientConnection) -> None:
    """Reset a client that takes no data; respond with an error to one that does not send its request."""
    if connection.write_blocked:
        connection.abort(CloseReason.RECLAIM_MEMORY.value)
    else:
        connection.abandon_request(RequestError(503, REJECTION))
