"""Exported metrics: counters by request class, gauges computed on demand, and the text format.

Each counter is incremented in exactly one place, by the code that causes the counted event. Metrics do not
depend on the protocol of a request.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

PREFIX = "svc_"
Gauges = Mapping[str, Callable[[], int]]


class ClassCounter:
    """A counter per request class, starting at 0 when the process starts."""

    __slots__ = ("by_class",)

    def __init__(self, classes: int) -> None:
        self.by_class = [0] * classes

    def add(self, class_index: int) -> None:
        """Increment the count of this class."""
        self.by_class[class_index] += 1


class LabeledCounter:
    """A counter per value of one label, such as the reason for a denial.

    Attributes:
        name: The metric name without the common prefix.
        label: The label name.
        counts: The counts by label value, in the order of export.
    """

    __slots__ = ("counts", "label", "name")

    def __init__(self, name: str, label: str, label_values: Iterable[str]) -> None:
        self.name = name
        self.label = label
        self.counts = dict.fromkeys(label_values, 0)

    def add(self, label_value: str) -> None:
        """Increment the count of this label value, which is added if it is new."""
        self.counts[label_value] = self.counts.get(label_value, 0) + 1

    def metric_values(self) -> dict[str, float]:
        """Return the counts by metric name, including the label."""
        return {
            f'{self.name}{{{self.label}="{label_value}"}}': count
            for label_value, count in self.counts.items()
        }


class Metrics:
    """All metrics of one gateway.

    Attributes:
        classes: The names of the request classes.
        gauges: Functions that compute the gauge values, by metric name.
        metric_sources: Functions that return further values by metric name, in the order of export.
        answered: Counts requests that received a complete response.
        deferred: Counts requests that were rejected.
        errored: Counts requests that failed.
        sends: Counts attempts whose request was sent completely.
    """

    def __init__(self, classes: Sequence[str], gauges: Gauges) -> None:
        self.classes = list(classes)
        self.gauges = gauges
        self.metric_sources: list[Callable[[], Mapping[str, float]]] = []
        self.answered = ClassCounter(len(classes))
        self.deferred = ClassCounter(len(classes))
        self.errored = ClassCounter(len(classes))
        self.sends = ClassCounter(len(classes))

    def render(self) -> str:
        """Return the metrics as text, one line per value."""
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
