"""Paired comparison of two sweep result files, with a confidence interval.

A pair is the two runs of the same scenario and seed, one from each file.
"""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass
from pathlib import Path

from sagetrack.lab.benchmarks.sweep import Row, read_rows

# Two-sided 95% quantiles of Student's t-distribution, for 1 to 30 degrees of freedom (standard tables).
# fmt: off
T_QUANTILES_95 = (
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
    2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
    2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
)
# fmt: on
NORMAL_QUANTILE_95 = 1.96  # for more degrees of freedom than the table has: the normal quantile


@dataclass(slots=True, frozen=True)
class Difference:
    """The mean of B - A over all pairs."""

    figure: str
    pairs: int
    mean_a: float
    mean_b: float
    difference: float
    half_width: float  # half the width of the 95% confidence interval
    larger_in_b: int  # number of pairs whose value is larger in B

    @property
    def is_significant(self) -> bool:
        """True if there are at least two pairs and the confidence interval excludes 0."""
        return self.pairs > 1 and abs(self.difference) > self.half_width


def _rows_by_run(path: Path) -> dict[tuple[str, int], Row]:
    """Return a file's rows keyed by scenario and seed; raises ValueError if it has none."""
    rows = read_rows(path)
    if not rows:
        raise ValueError(f"{path}: no results in this file")
    return {(row["scenario"], row["seed"]): row for row in rows.values()}


def _half_width(differences: list[float]) -> float:
    count = len(differences)
    if count < 2:
        return math.inf
    quantile = T_QUANTILES_95[count - 2] if count - 2 < len(T_QUANTILES_95) else NORMAL_QUANTILE_95
    return quantile * statistics.stdev(differences) / math.sqrt(count)


def compare(a: Path, b: Path, figure: str = "service") -> Difference:
    """Compare one figure of two result files, paired by scenario and seed.

    Raises:
        ValueError: a file has no results, the files share no scenario and seed, or the figure is unknown.
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
        raise ValueError(f"the results have no figure {figure}") from None
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
