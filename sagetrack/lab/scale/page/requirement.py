"""Requirements: the resources that a role needs at the target's sizes, compared with its allowance."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sagetrack.lab.scale.page.figures import FigureNotRunError, FigureReader
from sagetrack.lab.scale.results import StoredResults
from sagetrack.lab.scale.target import DAY_S, FAILURES_PER_DAY, RESTARTS_PER_DAY

READY_S = 10.0  # time within which a restarted process must be ready
ENTRIES_PER_RESTART = 3  # changed list entries: the server drains, is deleted, and is listed again
LIST_CHANGES_PER_S = (ENTRIES_PER_RESTART * RESTARTS_PER_DAY + 2 * FAILURES_PER_DAY) / DAY_S
MIB = 1024.0 * 1024.0


@dataclass(slots=True, frozen=True)
class Requirement:
    """A requirement of one role at the target's sizes, in the unit of its allowance."""

    role: str
    description: str
    unit: str
    allowed: float | None  # None if the target does not limit it
    needed: Callable[[FigureReader], float]
    basis: str = "hollow"


@dataclass(slots=True, frozen=True)
class Evaluation:
    """A requirement with its value in one run."""

    requirement: Requirement
    needed: float | None  # None if a figure was not run
    figures: FigureReader  # tracks which figures were used

    @property
    def factor(self) -> float | None:
        """Return the needed value divided by the allowed one, or None if either is missing."""
        allowed = self.requirement.allowed
        return self.needed / allowed if self.needed is not None and allowed else None


def evaluate(requirement: Requirement, results: StoredResults) -> Evaluation:
    """Return the requirement with its value in a run."""
    figures = FigureReader(results)
    try:
        needed = requirement.needed(figures)
    except FigureNotRunError:
        return Evaluation(requirement, None, figures)
    return Evaluation(requirement, needed, figures)


def probe_figure(probe: str, measure: str, divisor: float = 1.0) -> Callable[[FigureReader], float]:
    """Return a function that reads a figure of a probe and divides it to get the requirement's unit."""
    return lambda figures: figures.at_target(probe, measure) / divisor


def probe_sum(*probes: str, measure: str) -> Callable[[FigureReader], float]:
    """Return a function that sums a measure over several probes."""
    return lambda figures: sum(figures.at_target(probe, measure) for probe in probes)


def real_figure(measure: str) -> Callable[[FigureReader], float]:
    """Return a function that reads a figure of the real gateway."""
    return lambda figures: figures.real(measure)
