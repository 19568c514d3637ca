"""Probes, and the sweep of a probe over the sizes of its axis."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from sagetrack.lab.scale.fit import Fit, fit_points
from sagetrack.lab.scale.meter import Meter, Values
from sagetrack.lab.scale.target_fleet import TargetFleet

POINTS = 5  # maximum number of sizes at which a probe is run


@dataclass(slots=True, frozen=True)
class Probe:
    """A measurement of how the cost of an event grows with one size of the fleet, with the others fixed."""

    name: str
    role: str  # gateway, agent, control, peers or servers
    event: str  # description of the measured event
    axis: str  # name in Sizes of the size that is swept
    fixed: str  # description of the sizes that are fixed
    mechanism: str  # file and function that do the work
    run: Callable[[TargetFleet, int, Meter], Values]
    smallest: int = 10
    largest: int = 0  # largest size that is run; 0 for the target's size
    quick_largest: int = 0  # largest size in a quick run; 0 for `largest`
    simulated: tuple[str, ...] = ()  # measures in simulated time, which the machine's load does not affect


class Point(NamedTuple):
    """The measured values at one size."""

    size: int
    values: Values


@dataclass(slots=True)
class SweepResult:
    """The values of a probe at each size, and a fit of each measure over the size."""

    probe: Probe
    target: int
    points: list[Point] = field(default_factory=list)
    fits: dict[str, Fit] = field(default_factory=dict)

    def fit_measures(self) -> None:
        """Fit each measure that has enough points."""
        sizes = [float(point.size) for point in self.points]
        for measure in self.points[0].values:
            fit = fit_points(sizes, [point.values[measure] for point in self.points])
            if fit is not None:
                self.fits[measure] = fit

    @property
    def reached(self) -> int:
        """Return the largest size that was run."""
        return self.points[-1].size

    def at_target(self) -> Values:
        """Return the values at the target's size: measured if it was run, else predicted by the fits."""
        last = self.points[-1].values
        if self.reached == self.target:
            return dict(last)
        return {measure: self.fits[measure].predict(self.target) for measure in last if measure in self.fits}


def geometric_sizes(smallest: int, largest: int, points: int = POINTS) -> list[int]:
    """Return at most `points` sizes from the smallest to the largest, spaced geometrically."""
    smallest = max(1, min(smallest, largest))
    raw = [round(smallest * (largest / smallest) ** (step / (points - 1))) for step in range(points)]
    return sorted(set(raw))


def run_sweep(
    probe: Probe, fleet: TargetFleet, meter: Meter, quick: bool, on_point: Callable[[], None]
) -> SweepResult:
    """Run a probe at each of its sizes; `on_point` is called after each size."""
    target = int(getattr(fleet.sizes, probe.axis))
    limit = probe.quick_largest if quick and probe.quick_largest else probe.largest
    largest = min(target, limit) if limit else target
    result = SweepResult(probe, target)
    for size in geometric_sizes(probe.smallest, largest):
        result.points.append(Point(size, probe.run(fleet, size, meter)))
        on_point()
    result.fit_measures()
    return result
