"""How a server that was overloaded for a while stays slow until it has been left mostly idle."""

from __future__ import annotations

import math

from sagetrack.lab.model.scenario import DegradationRules

UTILIZATION_SMOOTHING_US = 500_000


class Degradation:
    """Owns since when a server has been overloaded, degraded or calm. Without rules it never degrades."""

    def __init__(self, rules: DegradationRules | None, cores: int) -> None:
        self._degraded_since_us: int | None = None
        self._rules = rules
        self._cores = cores
        self._overloaded_since_us: int | None = None
        self._calm_since_us: int | None = None
        self._utilization = 0.0  # smoothed

    @property
    def is_degraded(self) -> bool:
        """Whether the server is degraded at present."""
        return self._degraded_since_us is not None

    @property
    def slowdown(self) -> float:
        """How many times slower the server is at present."""
        if self._degraded_since_us is None or self._rules is None:
            return 1.0
        return self._rules.slowdown

    @property
    def may_change(self) -> bool:
        """Whether the server may become degraded, or recover, as time passes."""
        return self._degraded_since_us is not None or self._overloaded_since_us is not None

    def pass_time(self, span_us: int, utilization: float) -> None:
        """Take the utilization (0 to 1) of a span of time into the smoothed one."""
        if self._rules is None:
            return
        fade = math.exp(-span_us / UTILIZATION_SMOOTHING_US)
        self._utilization = self._utilization * fade + utilization * (1.0 - fade)

    def update(self, now_us: int, queue_length: int) -> None:
        """Look at the queue and at the utilization: the server may become degraded, or recover."""
        rules = self._rules
        if rules is None:
            return
        self._update_overload(rules, now_us, queue_length)
        if self._degraded_since_us is None:
            return
        if self._utilization >= rules.calm_utilization:
            self._calm_since_us = None
        elif self._calm_since_us is None:
            self._calm_since_us = now_us
        has_rested = self._calm_since_us is not None and now_us - self._calm_since_us >= rules.calm_s * 1e6
        if has_rested or now_us - self._degraded_since_us >= rules.max_s * 1e6:
            self._degraded_since_us = None
            self._calm_since_us = None

    def _update_overload(self, rules: DegradationRules, now_us: int, queue_length: int) -> None:
        if queue_length <= rules.queue_per_core * self._cores:
            self._overloaded_since_us = None
        elif self._overloaded_since_us is None:
            self._overloaded_since_us = now_us
        elif (
            self._degraded_since_us is None and now_us - self._overloaded_since_us >= rules.overloaded_s * 1e6
        ):
            self._degraded_since_us = now_us
            self._calm_since_us = None
