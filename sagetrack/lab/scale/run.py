"""Runs the probes of the scale benchmark, one after another, and tabulates their results."""

from __future__ import annotations

import os
import platform
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import asdict
from typing import Any

from sagetrack.lab.scale.meter import TIMES, Meter, Values
from sagetrack.lab.scale.probe import POINTS, Probe, run_sweep
from sagetrack.lab.scale.probes import PROBES
from sagetrack.lab.scale.real_gateway import measurement
from sagetrack.lab.scale.results import VERSION, StoredResults, StoredRow, row_to_json
from sagetrack.lab.scale.target import Sizes, needed_bytes
from sagetrack.lab.scale.target_fleet import TargetFleet

GIB = 2**30


class ScaleError(ValueError):
    """The requested sizes or probes cannot be measured here; the message gives the reason in one line."""


def check_sizes(sizes: Sizes) -> None:
    """Check that the sizes are consistent and that the fleet fits into half of the machine's memory.

    Raises:
        ScaleError: There are more services than servers, or the fleet does not fit.
    """
    if sizes.services > sizes.servers:
        raise ScaleError(f"{sizes.services} services need at least as many servers, not {sizes.servers}")
    available = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") // 2
    needed = needed_bytes(sizes)
    if needed > available:
        raise ScaleError(
            f"these sizes need about {needed / GIB:.1f} GiB, and half of this machine's memory is "
            f"{available / GIB:.1f} GiB"
        )


def select_probes(names: Sequence[str]) -> list[Probe]:
    """Return the probes with these names, or all probes if no name is given.

    Raises:
        ScaleError: No probe has one of these names.
    """
    known = [*(probe.name for probe in PROBES), measurement.NAME]
    for name in names:
        if name not in known:
            raise ScaleError(f"no probe is called {name}; the probes are {', '.join(known)}")
    return [probe for probe in PROBES if not names or probe.name in names]


class Progress:
    """Counts completed steps and reports the completed share."""

    def __init__(self, total: int, report: Callable[[float], None]) -> None:
        self.total = max(1, total)
        self.report = report
        self.done = 0

    def step(self) -> None:
        """Count one step and report."""
        self.done += 1
        self.report(min(1.0, self.done / self.total))


def _run_probe(
    probe: Probe, fleet: TargetFleet, meter: Meter, quick: bool, progress: Progress
) -> dict[str, Any]:
    """Run a probe at all its sizes and return its results in their stored form."""
    result = run_sweep(probe, fleet, meter, quick, progress.step)
    return row_to_json(result, probe_command(probe.name, quick))


def run_probes(
    sizes: Sizes,
    seed: int,
    names: Sequence[str],
    report: Callable[[float], None],
    *,
    quick: bool,
    times: bool,
) -> dict[str, Any]:
    """Run the probes with these names, or all of them, and return the results in their stored form.

    Args:
        sizes: The target's sizes.
        seed: Seed of the generated fleet.
        names: Names of the probes to run; empty for all.
        report: Called with the completed share, from 0 to 1.
        quick: Run slow probes at smaller sizes only.
        times: Also measure CPU time and durations, and the real gateway. Otherwise only reproducible
            measures are taken: steps, bytes, messages, memory and simulated time.

    Raises:
        ScaleError: The sizes or names are invalid.
        LabError: The real gateway cannot be measured.
    """
    check_sizes(sizes)
    probes = select_probes(names)
    fleet = TargetFleet(sizes, seed)
    includes_real_gateway = times and (not names or measurement.NAME in names)
    progress = Progress(len(probes) * POINTS + includes_real_gateway * measurement.STEPS, report)
    began_s = time.monotonic()
    settings = {"seed": seed, "quick": quick, "times": times, "sizes": asdict(sizes)}
    return {
        "version": VERSION,
        **_environment(),
        **settings,
        "rows": [_run_probe(probe, fleet, Meter(times), quick, progress) for probe in probes],
        "real": _measure_real_gateway(fleet, quick, progress) if includes_real_gateway else None,
        **_fleet_summary(fleet),
        "seconds": round(time.monotonic() - began_s, 1),
    }


def _measure_real_gateway(fleet: TargetFleet, quick: bool, progress: Progress) -> Values:
    phase_s = measurement.QUICK_PHASE_S if quick else measurement.PHASE_S
    return measurement.measure(fleet, phase_s, progress.step)


def _environment() -> dict[str, Any]:
    """Return the date, the Python version and the number of cores of this run."""
    return {
        "made": time.strftime("%Y-%m-%d"),
        "python": platform.python_version(),
        "cores": len(os.sched_getaffinity(0)),
    }


def _fleet_summary(fleet: TargetFleet) -> dict[str, Any]:
    """Return the number of events of a day by kind, and the smallest and largest service."""
    events_by_kind = Counter(event.kind for event in fleet.day_events())
    return {
        "day": dict(sorted(events_by_kind.items())),
        "largest_service": max(fleet.service_sizes),
        "smallest_service": min(fleet.service_sizes),
    }


def probe_command(name: str, quick: bool) -> str:
    """Return the command line that runs a probe."""
    return f"./run.sh lab scale --probe {name}{' --quick' if quick else ''}"


def result_table(stored: dict[str, Any]) -> list[list[str]]:
    """Return a table row for each measure of each probe, from results in their stored form.

    The columns are probe, measure, swept sizes, value at each size, exponent, slope, value at the target
    size, and whether that size was run or the value is extrapolated.
    """
    results = StoredResults.from_json(stored)
    lines = [
        _measure_line(row, measure)
        for row in results.rows
        for measure in row.points[0].values
        if measure not in ("cpu_us_least", "cpu_us_most")
    ]
    if not results.times:
        lines.append(["times", ", ".join(TIMES), "", "", "", "", "not run", ""])
    for name, value in results.real.items():
        lines.append([measurement.NAME, name, "one process", "", "", "", f"{value:.4g}", "reached"])
    return lines


def _measure_line(row: StoredRow, measure: str) -> list[str]:
    """Return the table row of one measure of a probe."""
    fit = row.fits.get(measure)
    at_target = row.at_target.get(measure)
    return [
        row.probe,
        measure,
        f"{row.axis} {row.points[0].size} to {row.points[-1].size}",
        " ".join(f"{point.values[measure]:.4g}" for point in row.points),
        f"{fit.exponent:.2f} ±{fit.residual:.2f}" if fit else "-",
        f"{fit.slope:.3g} ±{fit.slope_residual:.2f}" if fit else "-",
        "-" if at_target is None else f"{at_target:.4g}",
        "extrapolated" if row.extrapolated else "reached",
    ]
