"""Conversion of results to and from their stored JSON form, which the files in docs/capacity/ have.

Only this module uses the keys of the files that differ from the names in the code: `about` is a probe's
event, `held` its fixed sizes, `virtual` its measures in simulated time, `base` the intercept of a line, and
the `kind` "hollow" a simulated gateway. Names of probes and measures are the same in code and files.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from sagetrack.lab.scale.fit import Fit
from sagetrack.lab.scale.meter import Values
from sagetrack.lab.scale.probe import Point, SweepResult
from sagetrack.lab.scale.target import Sizes

VERSION = 1


def round_values(values: Values) -> Values:
    """Return the values rounded to six significant digits, which is more than their precision."""
    return {name: float(f"{value:.6g}") for name, value in values.items()}


def row_to_json(result: SweepResult, command: str) -> dict[str, Any]:
    """Return the stored form of a probe's result; `command` is the command line that runs the probe."""
    probe = result.probe
    return {
        "probe": probe.name,
        "role": probe.role,
        "about": probe.event,
        "axis": probe.axis,
        "held": probe.fixed,
        "mechanism": probe.mechanism,
        "kind": "hollow",
        "command": command,
        "reached": result.reached,
        "target": result.target,
        "extrapolated": result.reached < result.target,
        "virtual": list(probe.simulated),
        "points": [{"size": point.size} | round_values(point.values) for point in result.points],
        "fits": {measure: round_values(_fit_to_json(fit)) for measure, fit in result.fits.items()},
        "at_target": round_values(result.at_target()),
    }


def _fit_to_json(fit: Fit) -> Values:
    return {
        "exponent": fit.exponent,
        "factor": fit.factor,
        "residual": fit.residual,
        "slope": fit.slope,
        "base": fit.intercept,
        "slope_residual": fit.slope_residual,
    }


def _fit_from_json(data: dict[str, Any]) -> Fit:
    return Fit(
        exponent=data["exponent"],
        factor=data["factor"],
        residual=data["residual"],
        slope=data["slope"],
        intercept=data["base"],
        slope_residual=data["slope_residual"],
    )


def _point_from_json(data: dict[str, Any]) -> Point:
    return Point(data["size"], {name: value for name, value in data.items() if name != "size"})


@dataclass(slots=True, frozen=True)
class StoredRow:
    """The stored result of one probe."""

    probe: str
    event: str
    axis: str
    fixed: str
    mechanism: str
    reached: int
    extrapolated: bool
    points: list[Point]
    fits: dict[str, Fit]
    at_target: Values

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> StoredRow:
        """Convert a stored row. Raises KeyError or TypeError if it is malformed."""
        return cls(
            probe=data["probe"],
            event=data["about"],
            axis=data["axis"],
            fixed=data["held"],
            mechanism=data["mechanism"],
            reached=data["reached"],
            extrapolated=data["extrapolated"],
            points=[_point_from_json(point) for point in data["points"]],
            fits={measure: _fit_from_json(fit) for measure, fit in data["fits"].items()},
            at_target=data["at_target"],
        )


@dataclass(slots=True, frozen=True)
class StoredResults:
    """The stored results of one run."""

    date: str  # of the run, as YYYY-MM-DD
    python: str
    seed: int
    duration_s: float  # of the run
    quick: bool
    times: bool
    sizes: Sizes
    smallest_service: int
    largest_service: int
    rows: list[StoredRow]
    real: Values  # measures of the real gateway; empty if it was not run

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> StoredResults:
        """Convert the output of `lab scale --json`. Raises KeyError or TypeError if it is malformed."""
        return cls(
            date=data["made"],
            python=data["python"],
            seed=data["seed"],
            duration_s=data["seconds"],
            quick=data["quick"],
            times=data["times"],
            sizes=Sizes(**data["sizes"]),
            smallest_service=data["smallest_service"],
            largest_service=data["largest_service"],
            rows=[StoredRow.from_json(row) for row in data["rows"]],
            real=data["real"] or {},
        )
