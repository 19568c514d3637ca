"""Priority of each request class: the gain for the operator's goal per unit of server time spent on it."""

from __future__ import annotations

from sagetrack.policy.latency import LatencyEstimator
from sagetrack.policy.settings import Settings

# When the number of first tries exceeds this, the counts are halved, so that recent requests weigh more.
HALVE_AFTER_TRIES = 500


class ClassPriorities:
    """Derives class priorities from the numbers of first tries and of those served in time.

    A first try is a client's request that is not a retry by the client.
    """

    def __init__(self, settings: Settings, latency: LatencyEstimator) -> None:
        self._classes = settings.classes
        self._goal = settings.goal
        self._per_work = settings.priority_per_work
        self._latency = latency
        self.first_tries = [0.0] * len(settings.classes)
        self.served = [0.0] * len(settings.classes)

    def count_first_try(self, class_index: int) -> None:
        """Count a first try of a class."""
        self.first_tries[class_index] += 1
        if sum(self.first_tries) > HALVE_AFTER_TRIES:
            self.first_tries = [count / 2 for count in self.first_tries]
            self.served = [count / 2 for count in self.served]

    def count_served(self, class_index: int) -> None:
        """Count a first try whose response met the latency objective."""
        self.served[class_index] += 1

    def gains(self) -> list[float]:
        """Return the gain for the goal per unit of server time, by class."""
        goal, classes = self._goal, self._classes
        total = sum(self.first_tries) or 1.0
        weights = [request_class.priority_weight for request_class in classes]
        mean = sum(w * tries for w, tries in zip(weights, self.first_tries, strict=True)) / total or 1.0
        fractions = [
            served / tries if tries else 1.0
            for served, tries in zip(self.served, self.first_tries, strict=True)
        ]
        worst = min(fractions)
        gains = []
        for index, request_class in enumerate(classes):
            gain = (goal.overall + goal.worst_window) * request_class.priority_weight / mean
            if fractions[index] == worst and self.first_tries[index]:
                gain += goal.worst_class * total / self.first_tries[index]
            gains.append(gain / (1.0 if self._per_work else self._latency.baseline_us[index]))
        return gains

    def work(self) -> list[float]:
        """Return the server time that recent first tries need, by class."""
        return [tries * us for tries, us in zip(self.first_tries, self._latency.baseline_us, strict=True)]
