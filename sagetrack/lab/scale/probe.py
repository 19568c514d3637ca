"""What a probe is, and how it is swept over the sizes of its axis."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from sagetrack.lab.scale.fit import Fit, fit_points
from sagetrack.lab.scale.meter import Meter, Values
from sagetrack.lab.scale.target_fleet import TargetFleet

POINTS = 5


@dataclass(slots=True, frozen=True)
class Probe:
    """One question: how a figure grows with one size of the fleet while the others are fixed."""

    name: str
    role: str  # gateway, agent, control, peers or servers
    event: str  # what the figures are of
    axis: str  # the size that is swept, by its name in Sizes
    fixed: str  # the other sizes, in words
    mechanism: str  # the file that does the work
    run: Callable[[TargetFleet, int, Meter], Values]
    smallest: int = 10
    largest: int = 0  # the largest size that is run; 0: the target's
    quick_largest: int = 0  # the same of a quick run
    simulated: tuple[str, ...] = ()  # measures in simulated time: valid whatever the machine does


class Point(NamedTuple):
    """The figures at one size."""

    size: int
    values: Values


@dataclass(slots=True)
class SweepResult:
    """The figures of a probe at each size, and how each measure grows."""

    probe: Probe
    target: int
    points: list[Point] = field(default_factory=list)
    fits: dict[str, Fit] = field(default_factory=dict)

    def fit_measures(self) -> None:
        """Fit each measure that has enough points for it."""
        sizes = [float(point.size) for point in self.points]
        for measure in self.points[0].values:
            fit = fit_points(sizes, [point.values[measure] for point in self.points])
            if fit is not None:
                self.fits[measure] = fit

    @property
    def reached(self) -> int:
        """The largest size that was run."""
        return self.points[-1].size

    def at_target(self) -> Values:
        """Return the figures at the target's size: measured if it was run, else those that a fit predicts."""
        last = self.points[-1].values
        if self.reached == self.target:
            return dict(last)
        return {measure: self.fits[measure].predict(self.target) for measure in last if measure in self.fits}


def geometric_sizes(smallest: int, largest: int, points: int = POINTS) -> list[int]:
    """Return at most `points` sizes from the smallest to the largest, evenly spaced by their logarithm."""
    smallest = max(1, min(smallest, largest))
    raw = [round(smallest * (largest / smallest) ** (step / (points - 1))) for step in range(points)]
    return sorted(set(raw))


def run_sweep(
    probe: Probe, fleet: TargetFleet, meter: Meter, quick: bool, on_point: Callable[[], None]
) -> SweepResult:
    """Run a probe at each of its sizes; `on_point` is called after each."""
    target = int(getattr(fleet.sizes, probe.axis))
    limit = probe.quick_largest if quick and probe.quick_largest else probe.largest
    largest = min(target, limit) if limit else target
    result = SweepResult(probe, target)
    for size in geometric_sizes(probe.smallest, largest):
        result.points.append(Point(size, probe.run(fleet, size, meter)))
        on_point()
    result.fit_measures()
    return result
