"""Exported metrics: counters by request class, gauges computed on demand, and their text form.

A counter is raised by whoever brings about what it counts, at the one place where that happens. Metrics are
independent of the protocol that a request came by.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

PREFIX = "svc_"
Gauges = Mapping[str, Callable[[], int]]


class Counter:
    """One count for each request class since the start of the process."""

    __slots__ = ("by_class",)

    def __init__(self, classes: int) -> None:
        self.by_class = [0] * classes

    def add(self, class_index: int) -> None:
        """Count one more of this class."""
        self.by_class[class_index] += 1


class ReasonCounter:
    """A count for each value of one label, such as the reason of a denial.

    Attributes:
        name: The metric's name, without prefix.
        label: The label's name.
        counts: The counts by label value, in the order in which they are exported.
    """

    __slots__ = ("counts", "label", "name")

    def __init__(self, name: str, label: str, reasons: Iterable[str]) -> None:
        self.name = name
        self.label = label
        self.counts = dict.fromkeys(reasons, 0)

    def add(self, reason: str) -> None:
        """Count one more; a reason that was not listed at the start is added."""
        self.counts[reason] = self.counts.get(reason, 0) + 1

    def metric_values(self) -> dict[str, float]:
        """Return the counts by metric name and label."""
        return {f'{self.name}{{{self.label}="{reason}"}}': count for reason, count in self.counts.items()}


class Metrics:
    """All metrics of one gateway.

    Attributes:
        classes: The names of the request classes.
        gauges: Functions that compute a value, by metric name.
        metric_sources: Functions of optional parts that return values by metric name, in order of export.
        answered: Requests with a complete response.
        deferred: Requests that were rejected.
        errored: Requests that have failed.
        sends: Attempts of which the whole request was sent.
    """

    def __init__(self, classes: Sequence[str], gauges: Gauges) -> None:
        self.classes = list(classes)
        self.gauges = gauges
        self.metric_sources: list[Callable[[], Mapping[str, float]]] = []
        self.answered = Counter(len(classes))
        self.deferred = Counter(len(classes))
        self.errored = Counter(len(classes))
        self.sends = Counter(len(classes))

    def render(self) -> str:
        """Return one line for each metric."""
        counters = {
            "answered_total": self.answered,
            "deferred_total": self.deferred,
            "errored_total": self.errored,
            "sends_total": self.sends,
        }
        lines = [
            f'{PREFIX}{name}{{group="{_escaped(class_name)}"}} {count}'
            for name, counter in counters.items()
            for class_name, count in zip(self.classes, counter.by_class, strict=True)
        ]
        lines += [f"{PREFIX}{name} {gauge()}" for name, gauge in self.gauges.items()]
        lines += [
            f"{PREFIX}{name} {value}" for source in self.metric_sources for name, value in source().items()
        ]
        return "".join(f"{line}\n" for line in lines)


def _escaped(label: str) -> str:
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
