"""What a requirement is: a figure that one role needs at the target, beside its allowance."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sagetrack.lab.scale.page.figures import FigureNotRunError, FigureReader
from sagetrack.lab.scale.results import StoredResults
from sagetrack.lab.scale.target import DAY_S, FAILURES_PER_DAY, RESTARTS_PER_DAY

READY_S = 10.0  # allowed for a restarted process
ENTRIES_PER_RESTART = 3  # of the list: the server drains, is deleted, and is listed again
LIST_CHANGES_PER_S = (ENTRIES_PER_RESTART * RESTARTS_PER_DAY + 2 * FAILURES_PER_DAY) / DAY_S
MIB = 1024.0 * 1024.0


@dataclass(slots=True, frozen=True)
class Requirement:
    """What one role needs at the target, in the unit of its allowance."""

    role: str
    description: str
    unit: str
    allowed: float | None  # None: the target says nothing
    needed: Callable[[FigureReader], float]
    basis: str = "hollow"


@dataclass(slots=True, frozen=True)
class Evaluation:
    """A requirement's figure in one run."""

    requirement: Requirement
    needed: float | None  # None: not run
    figures: FigureReader  # knows the figures that it rests on

    @property
    def factor(self) -> float | None:
        """Needed over allowed; None if either is not known."""
        allowed = self.requirement.allowed
        return self.needed / allowed if self.needed is not None and allowed else None


def evaluate(requirement: Requirement, results: StoredResults) -> Evaluation:
    """Return the requirement's figure in a run."""
    figures = FigureReader(results)
    try:
        needed = requirement.needed(figures)
    except FigureNotRunError:
        return Evaluation(requirement, None, figures)
    return Evaluation(requirement, needed, figures)


def probe_figure(probe: str, measure: str, divisor: float = 1.0) -> Callable[[FigureReader], float]:
    """Return a function that reads one figure of a probe and divides it into the requirement's unit."""
    return lambda figures: figures.at_target(probe, measure) / divisor


def probe_sum(*probes: str, measure: str) -> Callable[[FigureReader], float]:
    """Return a function that adds up one measure of some probes."""
    return lambda figures: sum(figures.at_target(probe, measure) for probe in probes)


def real_figure(measure: str) -> Callable[[FigureReader], float]:
    """Return a function that reads one figure of the real gateway."""
    return lambda figures: figures.real(measure)
