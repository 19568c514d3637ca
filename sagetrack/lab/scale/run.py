"""All probes, one after another, and what they found as plain data."""

from __future__ import annotations

import os
import platform
import time
from collections.abc import Callable, Sequence
from dataclasses import asdict
from typing import Any

from sagetrack.lab.scale import agent, control, gateway, peers, process, servers
from sagetrack.lab.scale.probe import POINTS, TIMES, Found, Meter, Probe, sweep
from sagetrack.lab.scale.target import Sizes, needed_bytes
from sagetrack.lab.scale.world import FleetAhead

PROBES: tuple[Probe, ...] = (*gateway.PROBES, *agent.PROBES, *peers.PROBES, *servers.PROBES, *control.PROBES)
VERSION = 1  # of the form below


class ScaleError(ValueError):
    """This cannot be measured here; the message says why, in one line."""


def check(sizes: Sizes) -> None:
    """ScaleError for sizes that make no fleet or would not fit into half of the machine's memory."""
    if sizes.services > sizes.servers:
        raise ScaleError(f"{sizes.services} services need at least as many servers, not {sizes.servers}")
    half = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") // 2
    needed = needed_bytes(sizes)
    if needed > half:
        raise ScaleError(
            f"these sizes need about {needed / 2**30:.1f} GiB, and half of this machine's memory is "
            f"{half / 2**30:.1f} GiB"
        )


def chosen(names: Sequence[str]) -> list[Probe]:
    """The probes of these names, all where none is given; ScaleError for a name that is none."""
    known = {probe.name: probe for probe in PROBES}
    for name in names:
        if name not in known and name != process.NAME:
            raise ScaleError(f"no probe is called {name}; there are {', '.join([*known, process.NAME])}")
    return [probe for probe in PROBES if not names or probe.name in names]


def plain(found: Found, command: str) -> dict[str, Any]:
    """A probe's figures as JSON has them: sizes reached, and how far what was fitted goes beyond them."""
    probe, reached = found.probe, found.points[-1][0]
    return {
        "probe": probe.name,
        "role": probe.role,
        "about": probe.about,
        "axis": probe.axis,
        "held": probe.held,
        "mechanism": probe.mechanism,
        "kind": "hollow",
        "command": command,
        "reached": reached,
        "target": found.target,
        "extrapolated": reached < found.target,
        "virtual": list(probe.virtual),
        "points": [{"size": size} | rounded(values) for size, values in found.points],
        "fits": {measure: rounded(asdict(fit)) for measure, fit in found.fits.items()},
        "at_target": rounded(
            {
                measure: value if reached == found.target else found.fits[measure].at(found.target)
                for measure, value in found.points[-1][1].items()
                if reached == found.target or measure in found.fits
            }
        ),
    }


def rounded(values: dict[str, float]) -> dict[str, float]:
    """Six figures: more say nothing."""
    return {name: float(f"{value:.6g}") for name, value in values.items()}


def measure(
    sizes: Sizes, seed: int, names: Sequence[str], quick: bool, times: bool, progress: Callable[[float], None]
) -> dict[str, Any]:
    """Ask all probes, or those that are named. ScaleError or LabError if that cannot be done.

    Without `times` only what is the same every time is taken: work, bytes, messages, memory, simulated time.
    The real gateway is all times, so it is left out then.
    """
    check(sizes)
    probes = chosen(names)
    fleet, meter = FleetAhead(sizes, seed), Meter(times)
    real = times and (not names or process.NAME in names)
    total, done, began = len(probes) * POINTS + real * process.STEPS, 0, time.monotonic()

    def step() -> None:
        nonlocal done
        done += 1
        progress(min(1.0, done / max(1, total)))

    rows = [plain(sweep(probe, fleet, meter, quick, step), command_of(probe.name, quick)) for probe in probes]
    day = fleet.day()
    seconds = process.QUICK_SECONDS if quick else process.SECONDS
    return {
        "version": VERSION,
        "made": time.strftime("%Y-%m-%d"),
        "python": platform.python_version(),
        "cores": len(os.sched_getaffinity(0)),
        "seed": seed,
        "quick": quick,
        "times": times,
        "sizes": asdict(sizes),
        "rows": rows,
        "real": process.measure(fleet, seconds, step) if real else None,
        "day": {kind: sum(one.kind == kind for one in day) for kind in sorted({one.kind for one in day})},
        "largest_service": max(fleet.services),
        "smallest_service": min(fleet.services),
        "seconds": round(time.monotonic() - began, 1),
    }


def command_of(name: str, quick: bool) -> str:
    return f"./run.sh lab scale --probe {name}{' --quick' if quick else ''}"


def table(found: dict[str, Any]) -> list[list[str]]:
    """A line for each measure of each probe: its points, how it grows, what it comes to at the target."""
    lines = []
    for row in found["rows"]:
        sizes = [point["size"] for point in row["points"]]
        for name in row["points"][0]:
            if name == "size" or name in ("cpu_us_least", "cpu_us_most"):
                continue
            fit = row["fits"].get(name)
            grows = f"{fit['exponent']:.2f} ±{fit['residual']:.2f}" if fit else "-"
            slope = f"{fit['slope']:.3g} ±{fit['slope_residual']:.2f}" if fit else "-"
            at = row["at_target"].get(name)
            whence = "extrapolated" if row["extrapolated"] else "reached"
            lines.append(
                [
                    row["probe"],
                    name,
                    f"{row['axis']} {sizes[0]} to {sizes[-1]}",
                    " ".join(f"{point[name]:.4g}" for point in row["points"]),
                    grows,
                    slope,
                    "-" if at is None else f"{at:.4g}",
                    whence,
                ]
            )
    if not found["times"]:
        lines.append(["times", ", ".join(TIMES), "", "", "", "", "not run", ""])
    for name, value in (found["real"] or {}).items():
        lines.append([process.NAME, name, "one process", "", "", "", f"{value:.4g}", "reached"])
    return lines
