"""What the operator's goal gains from a unit of server time spent on each class."""

from __future__ import annotations

from sagetrack.policy.latency import LatencyEstimator
from sagetrack.policy.settings import Settings

MEMORY = 500  # first tries after which the counts of asked and served requests are halved


class ClassPriorities:
    """First tries by class, asked for and served in time, and the priorities that follow from them."""

    def __init__(self, settings: Settings, latency: LatencyEstimator) -> None:
        self._classes = settings.classes
        self._goal = settings.goal
        self._per_work = settings.priority_per_work
        self._latency = latency
        self.asked = [0.0] * len(settings.classes)
        self.served = [0.0] * len(settings.classes)

    def count_asked(self, class_index: int) -> None:
        """Count a first try."""
        self.asked[class_index] += 1
        if sum(self.asked) > MEMORY:
            self.asked = [count / 2 for count in self.asked]
            self.served = [count / 2 for count in self.served]

    def count_served(self, class_index: int) -> None:
        """Count a first try that was answered within its latency objective."""
        self.served[class_index] += 1

    def gains(self) -> list[float]:
        """What the goal gains from each unit of server time, by class."""
        goal, classes = self._goal, self._classes
        total = sum(self.asked) or 1.0
        mean = sum(c.priority_weight * a for c, a in zip(classes, self.asked, strict=True)) / total or 1.0
        fractions = [s / a if a else 1.0 for s, a in zip(self.served, self.asked, strict=True)]
        worst = min(fractions)
        gains = []
        for index, request_class in enumerate(classes):
            gain = (goal.overall + goal.worst_window) * request_class.priority_weight / mean
            if fractions[index] == worst and self.asked[index]:
                gain += goal.worst_class * total / self.asked[index]
            gains.append(gain / (1.0 if self._per_work else self._latency.baseline_us[index]))
        return gains

    def work(self) -> list[float]:
        """Server time asked for of late, by class."""
        return [a * us for a, us in zip(self.asked, self._latency.baseline_us, strict=True)]
