"""Where the time of a start goes, by part: milliseconds of CPU and elapsed, told once clients are taken."""

from __future__ import annotations

import os
from time import monotonic, process_time

from sagetrack.core.log import log


class StartupTiming:
    """The parts of one start, in order; a part that comes again is summed up."""

    def __init__(self) -> None:
        """What the interpreter spent before counts as its part; how long that took is not known here."""
        self.cpu_s, self.now_s = process_time(), monotonic()
        self.parts: dict[str, tuple[float, float]] = {"interpreter": (self.cpu_s, 0.0)}

    def done(self, part: str) -> None:
        """All since the part before was this one."""
        cpu_s, now_s = process_time(), monotonic()
        cpu, elapsed = self.parts.get(part, (0.0, 0.0))
        self.parts[part] = cpu + cpu_s - self.cpu_s, elapsed + now_s - self.now_s
        self.cpu_s, self.now_s = cpu_s, now_s

    def tell(self) -> None:
        """Where SAGETRACK_STARTUP is set: nobody else reads this line."""
        if not os.environ.get("SAGETRACK_STARTUP"):
            return
        told = ", ".join(f"{part} {cpu * 1000:.0f}/{s * 1000:.0f}" for part, (cpu, s) in self.parts.items())
        log(f"started; ms of CPU/elapsed: {told}", "debug")
