"""Memory budget of the request data that all client connections hold together.

`StreamedBody` data has a budget of its own; see `sagetrack.core.bodies`.
"""

from __future__ import annotations

from sagetrack.core.responses import Header

BUDGET_SHARE = 0.25  # share of the memory limit used for request data
READ_AHEAD_SHARE = 0.5  # share of the budget above which no connection reads requests ahead
REQUEST_OVERHEAD = 1024  # bytes of the objects of a request, without its headers
HEADER_OVERHEAD = 160  # bytes of the objects of a header, without its name and value


class RequestMemoryBudget:
    """Counts the request data of all client connections; each one reports its part by a `MemoryClaim`.

    Attributes:
        total_bytes: The budget in bytes.
        used_bytes: The sum of all claims in bytes.
        process_count: Number of processes of this gateway, which share the budget.
        rejected: Number of requests that were rejected because the budget was exhausted.
    """

    __slots__ = ("process_count", "rejected", "total_bytes", "used_bytes")

    def __init__(self, memory_mb: int) -> None:
        """Create a budget of a fixed share of the memory limit, which is given in MiB."""
        self.total_bytes = int(memory_mb * 1024 * 1024 * BUDGET_SHARE)
        self.used_bytes = 0
        self.process_count = 1
        self.rejected = 0

    def metric_values(self) -> dict[str, float]:
        """Return the exported metrics: the memory used, and the number of rejected requests."""
        return {"request_memory_bytes": self.used_bytes, "request_memory_rejected_total": self.rejected}

    @property
    def available_bytes(self) -> int:
        """The part of the budget that this process may use."""
        return self.total_bytes // self.process_count

    @property
    def allows_read_ahead(self) -> bool:
        """True if requests may be read while an earlier one of the same connection is in progress."""
        return self.used_bytes < self.available_bytes * READ_AHEAD_SHARE

    @property
    def is_exhausted(self) -> bool:
        """True if no further request with a body is accepted."""
        return self.used_bytes >= self.available_bytes


class MemoryClaim:
    """The part of a budget that one connection uses."""

    __slots__ = ("_budget", "_claimed_bytes")

    def __init__(self, budget: RequestMemoryBudget) -> None:
        self._budget = budget
        self._claimed_bytes = 0

    def update(self, held_bytes: int) -> None:
        """Report how many bytes the connection holds now."""
        self._budget.used_bytes += held_bytes - self._claimed_bytes
        self._claimed_bytes = held_bytes


def head_memory(target: bytes, headers: list[Header]) -> int:
    """Return the estimated memory in bytes of a parsed request head."""
    text = len(target) + sum(len(name) + len(value) for name, value in headers)
    return text + len(headers) * HEADER_OVERHEAD + REQUEST_OVERHEAD
