"""Two files of a sweep's results compared by pairs of one scenario and seed, with a confidence interval."""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass
from pathlib import Path

from sagetrack.lab.benchmarks.sweep import Row, read_rows

# Quantiles of Student's t for 95 in 100, both sides, by degrees of freedom from 1 (standard tables).
# fmt: off
T_QUANTILES_95 = (
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
    2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
    2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
)
# fmt: on
NORMAL_QUANTILE_95 = 1.96  # beyond that table


@dataclass(slots=True, frozen=True)
class Difference:
    """B less A over pairs of one seed each."""

    figure: str
    pairs: int
    mean_a: float
    mean_b: float
    difference: float
    half_width: float  # of the 95% confidence interval
    larger_in_b: int  # pairs

    @property
    def is_significant(self) -> bool:
        """Whether the interval leaves out 0."""
        return self.pairs > 1 and abs(self.difference) > self.half_width


def _rows_by_run(path: Path) -> dict[tuple[str, int], Row]:
    """Return the rows of a file by scenario and seed; ValueError if there are none."""
    rows = read_rows(path)
    if not rows:
        raise ValueError(f"{path}: no results")
    return {(row["scenario"], row["seed"]): row for row in rows.values()}


def _half_width(differences: list[float]) -> float:
    count = len(differences)
    if count < 2:
        return math.inf
    quantile = T_QUANTILES_95[count - 2] if count - 2 < len(T_QUANTILES_95) else NORMAL_QUANTILE_95
    return quantile * statistics.stdev(differences) / math.sqrt(count)


def compare(a: Path, b: Path, figure: str = "service") -> Difference:
    """Compare a figure of two files of results by pairs of the same scenario and seed.

    Raises:
        ValueError: a file has no results, there is no pair, or the results have no such figure.
    """
    rows_a = _rows_by_run(a)
    rows_b = _rows_by_run(b)
    pairs = sorted(rows_a.keys() & rows_b.keys(), key=str)
    if not pairs:
        raise ValueError(f"{a} and {b} have no scenario and seed in common")
    try:
        values_a = [float(rows_a[pair][figure]) for pair in pairs]
        values_b = [float(rows_b[pair][figure]) for pair in pairs]
    except (KeyError, TypeError):
        raise ValueError(f"{figure} is no figure of these results") from None
    differences = [in_b - in_a for in_a, in_b in zip(values_a, values_b, strict=True)]
    return Difference(
        figure=figure,
        pairs=len(pairs),
        mean_a=statistics.fmean(values_a),
        mean_b=statistics.fmean(values_b),
        difference=statistics.fmean(differences),
        half_width=_half_width(differences),
        larger_in_b=sum(difference > 0 for difference in differences),
    )
