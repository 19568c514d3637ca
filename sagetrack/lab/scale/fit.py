"""Least-squares fits of a measure over a size: a power law and a straight line."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

MIN_POINTS = 3


@dataclass(slots=True, frozen=True)
class Fit:
    """A power law y = factor * x ** exponent and a line y = intercept + slope * x through the same points."""

    exponent: float
    factor: float
    residual: float  # of the power law: root mean square in ln(y); 0.1 is an error of about 10%
    slope: float
    intercept: float
    slope_residual: float  # of the line: root mean square divided by the mean of y

    def predict(self, size: float) -> float:
        """Return the value at a size, from the line or power law, whichever has the smaller residual."""
        if self.slope_residual <= self.residual:
            return self.intercept + self.slope * size
        return self.factor * float(size**self.exponent)


class Line(NamedTuple):
    """A straight line fitted to points."""

    slope: float
    intercept: float
    residual: float  # root mean square error


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Return the least-squares line, whose slope is 0 if all `xs` are equal."""
    count = len(xs)
    mean_x = sum(xs) / count
    mean_y = sum(ys) / count
    variance = sum((x - mean_x) ** 2 for x in xs)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    slope = covariance / variance if variance else 0.0
    intercept = mean_y - slope * mean_x
    squares = sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    return Line(slope, intercept, math.sqrt(squares / count))


def fit_points(xs: Sequence[float], ys: Sequence[float]) -> Fit | None:
    """Fit the points with positive coordinates; return None if there are fewer than three."""
    points = [(x, y) for x, y in zip(xs, ys, strict=True) if x > 0 and y > 0]
    if len(points) < MIN_POINTS:
        return None
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    power = fit_line([math.log(x) for x in xs], [math.log(y) for y in ys])
    line = fit_line(xs, ys)
    return Fit(
        exponent=power.slope,
        factor=math.exp(power.intercept),
        residual=power.residual,
        slope=line.slope,
        intercept=line.intercept,
        slope_residual=line.residual * len(ys) / sum(ys),
    )
