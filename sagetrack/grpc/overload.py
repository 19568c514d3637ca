"""Overload actions on gRPC clients: what is reset or closed while the memory budget is used up."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterator
from typing import NamedTuple

from sagetrack.core.memory_budget import MemoryBudget, OverloadAction
from sagetrack.grpc.downstream_connection import STALLED_S, GrpcDownstreamConnection
from sagetrack.grpc.downstream_stream import DownstreamStream

IDLE_S = 2.0  # time after which an idle connection is closed while memory is short
MIN_READ_BYTES_PER_S = 64_000  # a client that takes less of a response is reset for new clients
READ_WINDOW_S = 2.0  # time over which that rate is measured
MAX_RESETS_PER_SWEEP = 16


class OpenStream(NamedTuple):
    """A stream with its connection."""

    connection: GrpcDownstreamConnection
    stream: DownstreamStream


class Delivery(NamedTuple):
    """How much of a response a client had taken at a time."""

    sent_bytes: int
    at_us: int


class GrpcOverload:
    """Frees memory on gRPC connections, as far as the overload action allows it.

    Args:
        budget: Memory budget of the process.
        connections: The open connections.
    """

    def __init__(self, budget: MemoryBudget, connections: Collection[GrpcDownstreamConnection]) -> None:
        self._budget = budget
        self._connections = connections
        self._deliveries: dict[DownstreamStream, Delivery] = {}  # to clients for which data waits

    def relieve(self, action: OverloadAction, now: int) -> None:
        """Carry out an overload action; without one, open the windows that were withheld."""
        for connection in self._connections:
            connection.update_memory()
        action = max(action, self._budget.action_with_reserve)
        if action < OverloadAction.REJECT_BODIES:
            self._open_windows()
        if action >= OverloadAction.CLOSE_IDLE:
            self._close_idle(now)
        if action >= OverloadAction.REJECT_BODIES:
            self._end_incomplete_requests(now, 0.0 if action >= OverloadAction.RESET_STREAMS else STALLED_S)
        self._update_deliveries(now, action)
        if action >= OverloadAction.REJECT_CONNECTIONS:
            self._reset_slow_readers(now)

    def _open_streams(self) -> Iterator[OpenStream]:
        for connection in list(self._connections):
            for stream in list(connection.streams.values()):
                yield OpenStream(connection, stream)

    def _open_windows(self) -> None:
        for connection in list(self._connections):
            if connection.memory.withheld:
                connection.open_withheld_windows()

    def _close_idle(self, now: int) -> None:
        for connection in list(self._connections):
            if not connection.streams and now - connection.last_received_us > IDLE_S * 1e6:
                connection.drain()

    def _end_incomplete_requests(self, now: int, silent_s: float) -> None:
        """Reject incomplete requests that hold most, until the budget allows their data again.

        Only those are rejected whose client has sent nothing for `silent_s`.
        """
        incomplete = [
            entry
            for entry in self._open_streams()
            if entry.stream.awaits_submission and now - entry.stream.last_progress_us >= silent_s * 1e6
        ]
        for connection, stream in sorted(incomplete, key=_unsubmitted_bytes, reverse=True):
            if self._budget.action_with_reserve < OverloadAction.REJECT_BODIES:
                return
            connection.reject(stream)
            connection.update_memory()

    def _update_deliveries(self, now: int, action: OverloadAction) -> None:
        """Look at how much the clients have taken that read slowly, while that may be needed soon."""
        deliveries: dict[DownstreamStream, Delivery] = {}
        for _, stream in self._open_streams() if action >= OverloadAction.REJECT_BODIES else ():
            if stream.pending:
                unread = Delivery(stream.sent_bytes, now)
                deliveries[stream] = self._deliveries.get(stream, unread)
        self._deliveries = deliveries

    def _reset_slow_readers(self, now: int) -> None:
        """Reset some of the streams whose client takes the response most slowly."""
        slow = [entry for entry in self._open_streams() if entry.stream in self._deliveries]
        rates = {entry: self._read_rate(entry.stream, now) for entry in slow}
        for entry in sorted(rates, key=rates.__getitem__)[:MAX_RESETS_PER_SWEEP]:
            if rates[entry] < MIN_READ_BYTES_PER_S:
                entry.connection.reset(entry.stream)

    def _read_rate(self, stream: DownstreamStream, now: int) -> float:
        """Return how many bytes per second a client takes; infinite if that is not known yet."""
        before = self._deliveries[stream]
        elapsed_s = (now - before.at_us) / 1e6
        if elapsed_s < READ_WINDOW_S:
            return math.inf
        return (stream.sent_bytes - before.sent_bytes) / elapsed_s


def _unsubmitted_bytes(entry: OpenStream) -> int:
    return entry.stream.unsubmitted_bytes
