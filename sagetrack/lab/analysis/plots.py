"""Plots of a run over time: request outcomes, latencies and the load of each server.

A plot is a single PNG or SVG image drawn with `matplotlib`, in which the injected faults are marked.
"""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from typing import Any, NamedTuple

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt
from matplotlib.axes import Axes

from sagetrack.lab.analysis.figures import latency_histogram
from sagetrack.lab.analysis.records import (
    AttemptReceived,
    FaultStateChanged,
    Records,
    RequestFinished,
    ServerLoad,
)

SECOND_US = 1_000_000
OUTCOMES = {
    "served": "#2a7f4f",
    "late": "#b8a12f",
    "refused": "#c8701f",
    "failed": "#b02a2a",
    "unanswered": "#5a2a6b",
}
PERCENTILES = {50: "#2a5f9f", 99: "#b02a2a"}
MAX_SERVERS_IN_LEGEND = 24

ServerPoints = dict[int, list[tuple[float, int]]]  # (second of the run, value) points by server


class FaultSpan(NamedTuple):
    """The kind of a fault, and the seconds of the run at which it began and ended."""

    kind: str
    begin_s: float
    end_s: float


def fault_spans(records: Records) -> list[FaultSpan]:
    """Return the faults in order of their start; a fault without an end lasts until the last record."""
    begins: dict[str, list[float]] = defaultdict(list)
    spans = []
    for change in records.of_type(FaultStateChanged):
        if change.state == "begins":
            begins[change.fault].append(change.time_us / 1e6)
        elif begins[change.fault]:
            spans.append(FaultSpan(change.fault, begins[change.fault].pop(0), change.time_us / 1e6))
    last_s = records.last_us() / 1e6
    spans += [FaultSpan(kind, begin, last_s) for kind, open_begins in begins.items() for begin in open_begins]
    return sorted(spans, key=lambda span: span.begin_s)


def draw_plot(records: Records, path: Path | str) -> None:
    """Draw the plot of a run into a file, whose suffix selects the image format.

    Raises:
        OSError: The file cannot be written.
        ValueError: The image format is not supported.
    """
    figure, (top, middle, bottom) = plt.subplots(3, 1, figsize=(11, 9), sharex=True, layout="constrained")
    _draw_requests(records, top, middle)
    _draw_servers(records, bottom)
    for index, span in enumerate(fault_spans(records)):
        for axes in (top, middle, bottom):
            axes.axvspan(span.begin_s, span.end_s, color="#777777", alpha=0.13, linewidth=0)
        top.annotate(
            span.kind,
            (span.begin_s, 0.80 - 0.09 * (index % 4)),
            xycoords=("data", "axes fraction"),
            fontsize=8,
            color="#333333",
        )
    top.set_title("{scenario}, seed {seed}, {driver} time".format_map(records.header))
    figure.savefig(path, dpi=110)
    plt.close(figure)


def _draw_requests(records: Records, outcome_axes: Axes, latency_axes: Axes) -> None:
    """Draw outcomes and latencies by the second in which the requests were due."""
    counts: dict[str, dict[int, int]] = {name: defaultdict(int) for name in OUTCOMES}
    latencies: dict[int, Any] = defaultdict(latency_histogram)
    for request in records.of_type(RequestFinished):
        second = request.due_us // SECOND_US
        counts[request.outcome][second] += 1
        if request.outcome in ("served", "late"):
            latencies[second].record_value(max(1, request.time_us - request.due_us))
    seconds = sorted({second for by_second in counts.values() for second in by_second})
    stack = [[counts[name].get(second, 0) for second in seconds] for name in OUTCOMES]
    outcome_axes.stackplot(seconds, stack, labels=list(OUTCOMES), colors=list(OUTCOMES.values()))
    outcome_axes.set_ylabel("requests a second")
    outcome_axes.legend(loc="upper left", ncols=5, fontsize=8)
    for percentile, colour in PERCENTILES.items():
        line: list[Any] = [
            latencies[second].get_value_at_percentile(percentile) / 1000 if second in latencies else None
            for second in seconds
        ]
        latency_axes.plot(seconds, line, color=colour, label=f"p{percentile}")
    latency_axes.set_ylabel("latency, ms")
    latency_axes.set_yscale("log")
    latency_axes.legend(loc="upper left", fontsize=8)


def _draw_servers(records: Records, axes: Axes) -> None:
    """Draw each server's sampled requests in flight or, without samples, its attempts a second."""
    samples: ServerPoints = defaultdict(list)
    for sample in records.of_type(ServerLoad):
        samples[sample.server].append((sample.time_us / 1e6, sample.in_flight))
    points_by_server = samples or _attempts_by_second(records)
    for server, points in sorted(points_by_server.items()):
        axes.plot(*zip(*points, strict=True), linewidth=0.9, label=f"s-{server}")
    axes.set_ylabel("requests in flight at each server" if samples else "attempts a second at each server")
    axes.set_xlabel("seconds since the run began")
    if len(points_by_server) <= MAX_SERVERS_IN_LEGEND:
        axes.legend(loc="upper left", ncols=8, fontsize=7)


def _attempts_by_second(records: Records) -> ServerPoints:
    counts: dict[int, dict[float, int]] = defaultdict(lambda: defaultdict(int))
    for attempt in records.of_type(AttemptReceived):
        counts[attempt.server][attempt.time_us // SECOND_US] += 1
    return {server: sorted(by_second.items()) for server, by_second in counts.items()}
