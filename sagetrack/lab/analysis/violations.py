"""What a judge reports: one breach of a rule, with the time, the call and the server."""

from __future__ import annotations

from dataclasses import dataclass

NO_SERVER = -1


@dataclass(slots=True, frozen=True)
class Violation:
    """One breach: the rule, when (microseconds since the run began), which call and which server."""

    rule: str
    time_us: int
    call: str
    server: int  # NO_SERVER if none was involved
    reason: str

    def __str__(self) -> str:
        where = f" server {self.server}" if self.server >= 0 else ""
        return f"{self.rule} at {self.time_us / 1e6:.3f} s: call {self.call or '-'}{where}: {self.reason}"
