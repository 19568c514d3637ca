"""Pictures of a run: what was served, refused and failed, latencies, and each server's load, over time.

One PNG or SVG by `matplotlib`, with the troubles marked, from the records alone.
"""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt

from sagetrack.lab.analysis.figures import histogram
from sagetrack.lab.analysis.records import Records

OUTCOMES = {
    "served": "#2a7f4f",
    "late": "#b8a12f",
    "refused": "#c8701f",
    "failed": "#b02a2a",
    "unanswered": "#5a2a6b",
}


def troubles(records: Records) -> list[tuple[str, float, float]]:
    """Each trouble's kind with the seconds at which it began and ended."""
    open_: dict[str, list[float]] = defaultdict(list)
    spans = []
    last = max((row[1] for row in records.rows), default=0) / 1e6
    for row in records.of("trouble"):
        kind, state = row[2], row[3]
        if state == "begins":
            open_[kind].append(row[1] / 1e6)
        elif open_[kind]:
            spans.append((kind, open_[kind].pop(0), row[1] / 1e6))
    spans += [(kind, begin, last) for kind, begins in open_.items() for begin in begins]
    return sorted(spans, key=lambda span: span[1])


def draw(records: Records, path: Path | str) -> None:
    """Draw a run into a file; its suffix says what kind."""
    counts: dict[str, dict[int, int]] = {name: defaultdict(int) for name in OUTCOMES}
    times: dict[int, Any] = defaultdict(histogram)
    for row in records.of("request"):
        _, time, _, _, _, outcome, due, _ = row
        counts[outcome][due // 1_000_000] += 1
        if outcome in ("served", "late"):
            times[due // 1_000_000].record_value(max(1, time - due))
    seconds = sorted({second for of in counts.values() for second in of})
    loads: dict[int, list[tuple[float, int]]] = defaultdict(list)
    for row in records.of("load"):
        loads[row[2]].append((row[1] / 1e6, row[3]))
    if not loads:
        for row in records.of("recv"):
            loads[row[3]].append((row[1] // 1_000_000, 1))
        for server, points in loads.items():
            by_second: dict[float, int] = defaultdict(int)
            for second, one in points:
                by_second[second] += one
            loads[server] = sorted(by_second.items())
    figure, (top, middle, bottom) = plt.subplots(3, 1, figsize=(11, 9), sharex=True, layout="constrained")
    stack = [[counts[name].get(second, 0) for second in seconds] for name in OUTCOMES]
    top.stackplot(seconds, stack, labels=list(OUTCOMES), colors=list(OUTCOMES.values()))
    top.set_ylabel("requests a second")
    top.legend(loc="upper left", ncols=5, fontsize=8)
    for percentile, colour in ((50, "#2a5f9f"), (99, "#b02a2a")):
        line = [times[s].get_value_at_percentile(percentile) / 1000 if s in times else None for s in seconds]
        middle.plot(seconds, line, color=colour, label=f"p{percentile}")
    middle.set_ylabel("latency, ms")
    middle.set_yscale("log")
    middle.legend(loc="upper left", fontsize=8)
    held = any(True for _ in records.of("load"))
    for server, points in sorted(loads.items()):
        bottom.plot(*zip(*points, strict=True), linewidth=0.9, label=f"s-{server}")
    bottom.set_ylabel("requests held by each server" if held else "attempts a second at each server")
    bottom.set_xlabel("seconds since the run began")
    if len(loads) <= 24:
        bottom.legend(loc="upper left", ncols=8, fontsize=7)
    for place, (kind, begin, end) in enumerate(troubles(records)):
        for axes in (top, middle, bottom):
            axes.axvspan(begin, end, color="#777777", alpha=0.13, linewidth=0)
        top.annotate(
            kind,
            (begin, 0.80 - 0.09 * (place % 4)),
            xycoords=("data", "axes fraction"),
            fontsize=8,
            color="#333333",
        )
    top.set_title("{scenario}, seed {seed}, {driver} time".format_map(records.header))
    figure.savefig(path, dpi=110)
    plt.close(figure)
