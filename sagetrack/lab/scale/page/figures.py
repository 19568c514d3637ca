"""Access to the figures of stored results by probe and measure, and their formatting."""

from __future__ import annotations

from typing import NamedTuple

from sagetrack.lab.scale.real_gateway.measurement import NAME as REAL_GATEWAY
from sagetrack.lab.scale.results import StoredResults, StoredRow
from sagetrack.lab.scale.target import Sizes

NOT_RUN = "not run"


class FigureNotRunError(LookupError):
    """The results lack a figure, because its probe was not run or took no times."""


class FigureKey(NamedTuple):
    """The probe and the measure of a figure."""

    probe: str
    measure: str


class FigureReader:
    """Reads figures of one run, and tracks the keys that were read, including those of missing figures."""

    def __init__(self, results: StoredResults) -> None:
        self.results = results
        self.rows = {row.probe: row for row in results.rows}
        self.keys_read: list[FigureKey] = []

    @property
    def sizes(self) -> Sizes:
        """Return the target's sizes."""
        return self.results.sizes

    def at_target(self, probe: str, measure: str) -> float:
        """Return a probe's figure at the target's size. Raises FigureNotRunError if it is missing."""
        self.keys_read.append(FigureKey(probe, measure))
        row = self.rows.get(probe)
        if row is None or measure not in row.at_target:
            raise FigureNotRunError(f"{probe}: {measure}")
        return float(row.at_target[measure])

    def real(self, measure: str) -> float:
        """Return a figure of the real gateway. Raises FigureNotRunError if it is missing."""
        self.keys_read.append(FigureKey(REAL_GATEWAY, measure))
        if measure not in self.results.real:
            raise FigureNotRunError(f"{REAL_GATEWAY}: {measure}")
        return float(self.results.real[measure])

    def probe_rows(self) -> list[StoredRow]:
        """Return the rows of the probes whose figures were read, each once, in the order of reading."""
        names = dict.fromkeys(key.probe for key in self.keys_read)
        return [self.rows[name] for name in names if name in self.rows]


def format_figure(value: float) -> str:
    """Return a figure with three significant digits; absolute values below 0.001 may have an exponent."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{float(f'{value:.3g}'):g}" if abs(value) >= 0.001 else f"{value:.2g}"


def change_cpu_us(figures: FigureReader) -> float:
    """Return the CPU time of one changed entry: handling by the policy, and writing of the list."""
    return figures.at_target("change-by-servers", "cpu_us") + figures.at_target(
        "handing-on-by-servers", "cpu_us"
    )
