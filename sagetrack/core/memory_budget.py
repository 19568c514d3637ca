"""Memory budget of the process: what it may hold beyond its memory at rest, and what it does under pressure.

Everything that grows with clients claims its part of one budget. As the budget fills up, the overload actions
of `OverloadAction` start in order, each at its own threshold, as in Envoy's overload manager. The processes
of one gateway share its memory limit.
"""

from __future__ import annotations

import os
from bisect import bisect_right
from collections.abc import Callable
from contextlib import suppress
from enum import IntEnum

from sagetrack.core.log import log
from sagetrack.core.memory_return import MemoryReturn
from sagetrack.core.metrics import LabeledCounter

BYTES_PER_MB = 1024 * 1024
# Share of the limit that is kept for what no claim covers: free memory between objects, and short-lived data.
RESERVE_SHARE = 0.1
# Share of the budget that may be resident without being counted before free memory is returned to the system.
UNCOUNTED_SHARE = 0.15
MIN_BUDGET_BYTES = 2 * BYTES_PER_MB  # budget of a process whose limit leaves less; it may then be exceeded
STREAM_SHARE = 0.5  # share of the budget for the buffers of all streamed bodies
MAX_STREAM_BUFFER = 64 * 1024  # bytes buffered per streamed body before its sender is paused
MIN_STREAM_BUFFER = 8 * 1024  # lower bound of that limit when very many bodies are streamed at once
SMALL_REQUEST_BYTES = 4 * 1024  # a head or body up to this length is accepted while longer ones are rejected
CHECKS_PER_REFRESH = 16  # checks of the action between two sums of what the components hold
STATM_FILE = "/proc/self/statm"
STATM_RESIDENT_FIELD = 1
LOG_INTERVAL_SWEEPS = 25  # sweeps between two log lines of the same pressure


class OverloadAction(IntEnum):
    """What the process does while memory is short; each value includes all smaller ones."""

    NONE = 0
    STOP_READ_AHEAD = 1  # pipelined requests are left in the socket
    STREAM_BODIES = 2  # bodies that exceed the smallest buffer are streamed instead of buffered
    SHRINK_BUFFERS = 3  # streamed bodies get the smallest buffers
    CLOSE_IDLE = 4  # idle connections are closed
    REJECT_BODIES = 5  # requests with a long head or body are rejected
    REJECT_CONNECTIONS = 6  # connections wait to be accepted
    RESET_STREAMS = 7  # the connections that hold most and move least are reset


# Share of the budget in use from which each action is taken.
THRESHOLDS = {
    OverloadAction.STOP_READ_AHEAD: 0.25,
    OverloadAction.STREAM_BODIES: 0.5,
    OverloadAction.SHRINK_BUFFERS: 0.55,
    OverloadAction.CLOSE_IDLE: 0.6,
    OverloadAction.REJECT_BODIES: 0.75,
    OverloadAction.REJECT_CONNECTIONS: 0.9,
    OverloadAction.RESET_STREAMS: 0.96,
}
SHARES = tuple(THRESHOLDS.values())
ACTIONS = (OverloadAction.NONE, *THRESHOLDS)  # by the number of thresholds that are reached


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes; 0 if it cannot be read."""
    with suppress(OSError, ValueError, IndexError), open(STATM_FILE, "rb") as statm:
        return int(statm.read().split()[STATM_RESIDENT_FIELD]) * os.sysconf("SC_PAGE_SIZE")
    return 0


class MemoryBudget:
    """Counts the memory that this process holds in addition to its memory at rest.

    Attributes:
        limit_bytes: The memory limit of all processes of the gateway together.
        rest_bytes: Resident memory of this process at rest; 0 until it was measured.
        process_count: Number of processes of this gateway, which share the limit.
        claimed_bytes: The sum of all claims.
        sources: Functions that return how many bytes a component holds without a claim.
        active_bodies: Number of request and response bodies that are being streamed.
        rejected: Number of requests that were rejected because the budget was exhausted.
        actions: How often each overload action was started.
    """

    __slots__ = (
        "_checks_until_refresh",
        "_logged_action",
        "_memory_return",
        "_source_bytes",
        "_sweeps_since_log",
        "actions",
        "active_bodies",
        "claimed_bytes",
        "limit_bytes",
        "process_count",
        "rejected",
        "resident_bytes",
        "rest_bytes",
        "sources",
    )

    def __init__(self, memory_mb: int) -> None:
        """Create a budget for a memory limit, which is given in MiB."""
        self.limit_bytes = memory_mb * BYTES_PER_MB
        self.rest_bytes = 0
        self.process_count = 1
        self.claimed_bytes = 0
        self.sources: list[Callable[[], int]] = []
        self._source_bytes = 0  # the sum of the sources when it was last taken
        self._checks_until_refresh = 0
        self.active_bodies = 0
        self.rejected = 0
        self.resident_bytes = 0  # at the last sweep
        self.actions = LabeledCounter(
            "memory_actions_total", "action", (action.name.lower() for action in THRESHOLDS)
        )
        self._memory_return = MemoryReturn(resident_bytes)
        self._logged_action = OverloadAction.NONE
        self._sweeps_since_log = 0

    def measure_rest(self) -> None:
        """Take the present memory of the process for its memory at rest; called once it is ready."""
        self.rest_bytes = self.resident_bytes = resident_bytes()
        if self._unbounded_total < MIN_BUDGET_BYTES:
            needed_mb = (self.rest_bytes + MIN_BUDGET_BYTES) / (1 - RESERVE_SHARE) / BYTES_PER_MB
            log(
                f"memory limit too low: {self.limit_bytes / BYTES_PER_MB:.0f} MB for"
                f" {self.process_count} processes, each needs {needed_mb:.0f} MB",
                "warning",
            )

    @property
    def _unbounded_total(self) -> int:
        return int(self.limit_bytes * (1 - RESERVE_SHARE)) // self.process_count - self.rest_bytes

    @property
    def total_bytes(self) -> int:
        """What this process may hold in addition to its memory at rest."""
        return max(MIN_BUDGET_BYTES, self._unbounded_total)

    @property
    def used_bytes(self) -> int:
        """What this process holds in addition to its memory at rest, as far as it is counted."""
        return self.claimed_bytes + sum(source() for source in self.sources)

    @property
    def action(self) -> OverloadAction:
        """The overload action that the memory in use calls for.

        It is asked several times for each request, so the sources are summed up only once in a while.
        """
        self._checks_until_refresh -= 1
        if self._checks_until_refresh < 0:
            self._checks_until_refresh = CHECKS_PER_REFRESH
            self._source_bytes = sum(source() for source in self.sources)
        return self._action_at((self.claimed_bytes + self._source_bytes) / self.total_bytes)

    @property
    def action_with_reserve(self) -> OverloadAction:
        """The overload action for memory that is not returned to the system quickly, such as small objects.

        It leaves room for a second process at rest, so that one can start beside this one at any time.
        """
        total = self.total_bytes
        reserve = min(self.rest_bytes, total // 2) if self.process_count == 1 else 0
        return max(self.action, self._action_at((self.claimed_bytes + self._source_bytes + reserve) / total))

    @staticmethod
    def _action_at(share: float) -> OverloadAction:
        return ACTIONS[bisect_right(SHARES, share)] if share >= SHARES[0] else OverloadAction.NONE

    @property
    def allows_read_ahead(self) -> bool:
        """True if requests may be read while an earlier one of the same connection is in progress."""
        return self.action < OverloadAction.STOP_READ_AHEAD

    def rejects(self, length: int) -> bool:
        """Return whether a request with a head or body of this length is rejected for lack of memory."""
        if length <= SMALL_REQUEST_BYTES:
            return length > 0 and self.action >= OverloadAction.RESET_STREAMS
        return self.action >= OverloadAction.REJECT_BODIES

    def rejects_incomplete(self, length: int) -> bool:
        """Return whether an incomplete request that holds this much is ended; for fronts beside HTTP/1.1."""
        limit = OverloadAction.REJECT_CONNECTIONS
        if length > SMALL_REQUEST_BYTES:
            limit = OverloadAction.REJECT_BODIES
        return length > 0 and self.action_with_reserve >= limit

    def streams(self, length: int) -> bool:
        """Return whether a body of this length is streamed at present although it could be buffered."""
        return length > MIN_STREAM_BUFFER and self.action >= OverloadAction.STREAM_BODIES

    @property
    def stream_buffer_bytes(self) -> int:
        """Number of bytes that each streamed body may buffer at present."""
        if self.action >= OverloadAction.SHRINK_BUFFERS:
            return MIN_STREAM_BUFFER
        share = int(self.total_bytes * STREAM_SHARE) // max(1, self.active_bodies)
        return max(MIN_STREAM_BUFFER, min(MAX_STREAM_BUFFER, share))

    @property
    def uncounted_bytes(self) -> int:
        """What the process holds beyond its memory at rest and what is counted, at the last sweep."""
        return max(0, self.resident_bytes - self.rest_bytes - self.used_bytes)

    def sweep(self, now_s: float) -> OverloadAction:
        """Measure the memory of the process, log a change of the overload action, and return the action.

        Free memory is returned to the system if much is held that is not counted.
        """
        self.resident_bytes = resident_bytes()
        if self.rest_bytes and self.uncounted_bytes > UNCOUNTED_SHARE * self.total_bytes:
            self._memory_return.return_free(now_s)
            self.resident_bytes = resident_bytes()
        action = self.action
        self._sweeps_since_log += 1
        if action > self._logged_action:
            self.actions.add(action.name.lower())
        if action != self._logged_action and (
            action > self._logged_action or self._sweeps_since_log >= LOG_INTERVAL_SWEEPS
        ):
            log(
                f"memory: {action.name.lower().replace('_', ' ')},"
                f" {self.used_bytes >> 10} of {self.total_bytes >> 10} KB in use,"
                f" {self.resident_bytes >> 10} KB resident",
                "warning" if action else "info",
            )
            self._logged_action = action
            self._sweeps_since_log = 0
        return action

    def metric_values(self) -> dict[str, float]:
        """Return the exported metrics."""
        used = self.used_bytes
        return {
            "memory_budget_bytes": self.total_bytes,
            "memory_resident_bytes": self.resident_bytes,
            "memory_rest_bytes": self.rest_bytes,
            "memory_uncounted_bytes": self.uncounted_bytes,
            "memory_returned_bytes_total": self._memory_return.returned_bytes,
            "memory_action": int(self.action),
            "request_memory_bytes": used,
            "request_memory_rejected_total": self.rejected,
            **self.actions.metric_values(),
        }


class MemoryClaim:
    """The part of a budget that one connection uses."""

    __slots__ = ("_budget", "_claimed_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._claimed_bytes = 0

    @property
    def claimed_bytes(self) -> int:
        """What the connection holds, as last reported."""
        return self._claimed_bytes

    def update(self, held_bytes: int) -> None:
        """Report how many bytes the connection holds now."""
        self._budget.claimed_bytes += held_bytes - self._claimed_bytes
        self._claimed_bytes = held_bytes
