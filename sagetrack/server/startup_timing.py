"""Measures CPU time and elapsed time of each phase of the start."""

from __future__ import annotations

import os
from time import monotonic, process_time

from sagetrack.core.log import log

VARIABLE = "SAGETRACK_STARTUP"


class StartupTiming:
    """The phases of a start, in order; the times of a repeated phase are added up."""

    def __init__(self) -> None:
        """Record the phase `interpreter`, whose CPU time is known here; its elapsed time is not."""
        self.cpu_s, self.now_s = process_time(), monotonic()
        self.phases: dict[str, tuple[float, float]] = {"interpreter": (self.cpu_s, 0.0)}

    def end_phase(self, phase: str) -> None:
        """Attribute the time since the last call to this phase."""
        cpu_s, now_s = process_time(), monotonic()
        cpu, elapsed = self.phases.get(phase, (0.0, 0.0))
        self.phases[phase] = cpu + cpu_s - self.cpu_s, elapsed + now_s - self.now_s
        self.cpu_s = cpu_s
        self.now_s = now_s

    def log(self) -> None:
        """Log the phases if SAGETRACK_STARTUP is set; `sagetrack lab readiness` parses this line."""
        if not os.environ.get(VARIABLE):
            return
        phases = ", ".join(
            f"{phase} {cpu * 1000:.0f}/{elapsed * 1000:.0f}" for phase, (cpu, elapsed) in self.phases.items()
        )
        log(f"started; ms of CPU/elapsed: {phases}", "debug")
