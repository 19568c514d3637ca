"""Degradation of a server: it stays slow after a sustained overload until it has been mostly idle."""

from __future__ import annotations

import math

from sagetrack.lab.model.scenario import DegradationRules

UTILIZATION_SMOOTHING_US = 500_000  # time constant of the exponential moving average


class Degradation:
    """Tracks since when a server has been overloaded, degraded or calm (mostly idle).

    Without rules the server never degrades.
    """

    def __init__(self, rules: DegradationRules | None, cores: int) -> None:
        self._degraded_since_us: int | None = None
        self._rules = rules
        self._cores = cores
        self._overloaded_since_us: int | None = None
        self._calm_since_us: int | None = None
        self._utilization = 0.0  # exponential moving average

    @property
    def is_degraded(self) -> bool:
        """Whether the server is currently degraded."""
        return self._degraded_since_us is not None

    @property
    def slowdown(self) -> float:
        """Factor by which the server is currently slower."""
        if self._degraded_since_us is None or self._rules is None:
            return 1.0
        return self._rules.slowdown

    @property
    def may_change(self) -> bool:
        """Whether the server may become degraded, or recover, as time passes."""
        return self._degraded_since_us is not None or self._overloaded_since_us is not None

    def record_utilization(self, duration_us: int, utilization: float) -> None:
        """Add the utilization (0 to 1) of a period to the moving average."""
        if self._rules is None:
            return
        decay = math.exp(-duration_us / UTILIZATION_SMOOTHING_US)
        self._utilization = self._utilization * decay + utilization * (1.0 - decay)

    def update(self, now_us: int, queue_length: int) -> None:
        """Begin or end the degradation, based on the queue length and the utilization."""
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
        is_recovered = self._calm_since_us is not None and now_us - self._calm_since_us >= rules.calm_s * 1e6
        if is_recovered or now_us - self._degraded_since_us >= rules.max_s * 1e6:
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
