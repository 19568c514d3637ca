"""Violation of a rule, as reported by the rule checks in `judges`."""

from __future__ import annotations

from dataclasses import dataclass

NO_SERVER = -1


@dataclass(slots=True, frozen=True)
class Violation:
    """One violation of a rule; `time_us` is in microseconds since the start of the run."""

    rule: str
    time_us: int
    call: str
    server: int  # NO_SERVER if no server was involved
    reason: str

    def __str__(self) -> str:
        where = f" server {self.server}" if self.server >= 0 else ""
        return f"{self.rule} at {self.time_us / 1e6:.3f} s: call {self.call or '-'}{where}: {self.reason}"
