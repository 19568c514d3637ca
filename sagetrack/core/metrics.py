"""The figures that operators fetch: counters by class, gauges computed when asked, one text form for all.

A counter is raised by whoever brings about what it counts, at the one place where that happens; nothing else
keeps such a count. Nothing here knows what protocol a request came by.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

PREFIX = "svc_"
Gauges = Mapping[str, Callable[[], int]]


class Counter:
    """One count for each class, from the start of the process."""

    __slots__ = ("by_class",)

    def __init__(self, classes: int) -> None:
        self.by_class = [0] * classes

    def add(self, klass: int) -> None:
        self.by_class[klass] += 1


class ReasonCounter:
    """A count for each reason that something was done or withheld."""

    __slots__ = ("counts", "label", "name")

    def __init__(self, name: str, label: str, reasons: Iterable[str]) -> None:
        self.name, self.label = name, label
        self.counts = dict.fromkeys(reasons, 0)

    def add(self, reason: str) -> None:
        self.counts[reason] = self.counts.get(reason, 0) + 1

    def figures(self) -> dict[str, float]:
        """For the stats."""
        return {f'{self.name}{{{self.label}="{reason}"}}': count for reason, count in self.counts.items()}


class Metrics:
    """All figures of one gateway."""

    def __init__(self, classes: Sequence[str], gauges: Gauges) -> None:
        self.classes = list(classes)
        self.gauges = gauges
        self.extra_figures: list[
            Callable[[], Mapping[str, float]]
        ] = []  # figures of parts that were switched on
        self.answered = Counter(len(classes))  # requests served
        self.deferred = Counter(len(classes))  # refused
        self.errored = Counter(len(classes))  # failed
        self.sends = Counter(len(classes))  # attempts written whole to a server

    def render(self) -> str:
        """A line for each figure."""
        counters = {
            "answered_total": self.answered,
            "deferred_total": self.deferred,
            "errored_total": self.errored,
            "sends_total": self.sends,
        }
        lines = [
            f'{PREFIX}{name}{{group="{_escaped(klass)}"}} {count}'
            for name, counter in counters.items()
            for klass, count in zip(self.classes, counter.by_class, strict=True)
        ]
        lines += [f"{PREFIX}{name} {gauge()}" for name, gauge in self.gauges.items()]
        lines += [
            f"{PREFIX}{name} {value}" for extra in self.extra_figures for name, value in extra().items()
        ]
        return "".join(f"{line}\n" for line in lines)


def _escaped(label: str) -> str:
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
