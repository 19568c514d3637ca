"""The table of the target's failures, with the cost and the recovery of each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from sagetrack.lab.scale.page.figures import (
    NOT_RUN,
    FigureNotRunError,
    FigureReader,
    change_cpu_us,
    format_figure,
)
from sagetrack.lab.scale.page.requirement import ENTRIES_PER_RESTART
from sagetrack.lab.scale.results import StoredResults
from sagetrack.lab.scale.target import (
    CHANGES_PER_DAY,
    FAILURES_PER_DAY,
    MACHINES_PER_RACK,
    RESTARTS_PER_DAY,
)

ENTRIES_PER_FAILURE = 2  # changed list entries: the server is deleted, and later listed again
TextBuilder = Callable[[FigureReader], str]


@dataclass(slots=True, frozen=True)
class Failure:
    """A kind of failure, with texts for its frequency, its cost and its recovery."""

    name: str
    frequency: str
    cost: TextBuilder
    recovery: TextBuilder


def _list_bytes(figures: FigureReader, entries: float) -> str:
    """Return a text with the bytes of changed list entries sent to one gateway and to all gateways."""
    to_one = figures.at_target("text-by-servers", "change_bytes") * entries
    to_all = to_one * figures.sizes.gateways
    return f"{format_figure(to_one)} B to each gateway, {format_figure(to_all)} B to all"


def _policy_work(figures: FigureReader, entries: float) -> str:
    """Return a text with the work of handling changed list entries at each gateway."""
    steps = figures.at_target("change-by-servers", "steps") * entries
    try:
        spent = f"{format_figure(change_cpu_us(figures) * entries / 1e3)} ms of a core"
    except FigureNotRunError:
        spent = f"time {NOT_RUN}"
    return f"{format_figure(steps)} steps ({spent}) at each gateway"


def _entries_cost(figures: FigureReader, entries: float) -> str:
    return f"{_list_bytes(figures, entries)}; {_policy_work(figures, entries)}"


def _configuration_cost(figures: FigureReader) -> str:
    sent = figures.at_target("change-to-gateways", "bytes")
    return f"{format_figure(sent)} B to all, if it were sent whole"


def _gateway_failure_known(figures: FigureReader) -> str:
    median_s = figures.at_target("membership-by-gateways", "known_s")
    p99_s = figures.at_target("membership-by-gateways", "known_p99_s")
    median, p99 = format_figure(median_s), format_figure(p99_s)
    return f"its fellows know after {median} s (median) and {p99} s (99 in 100)"


def _gateway_restart_cost(figures: FigureReader) -> str:
    list_bytes = figures.at_target("text-by-servers", "bytes")
    warm_start_bytes = figures.at_target("warm-start-by-servers", "bytes")
    return (
        f"{format_figure(list_bytes)} B of list; "
        f"{format_figure(warm_start_bytes)} B of its fellows' answers"
    )


def _gateway_ready(figures: FigureReader) -> str:
    return f"ready after {format_figure(figures.real('ready_full_list_s'))} s (real)"


def _rack_cost(figures: FigureReader) -> str:
    return f"{MACHINES_PER_RACK} servers (assumed): {_entries_cost(figures, MACHINES_PER_RACK)}"


def _zone_cost(figures: FigureReader) -> str:
    entries = figures.at_target("zone-by-servers", "entries")
    steps = figures.at_target("zone-by-servers", "steps")
    list_bytes = figures.at_target("text-by-servers", "bytes") / figures.sizes.servers * entries
    return (
        f"{format_figure(entries)} entries in one word: {format_figure(list_bytes)} B to each gateway; "
        f"{format_figure(steps)} steps there"
    )


def _views_equal(figures: FigureReader) -> str:
    healed_s = figures.at_target("healing-by-gateways", "healed_s")
    return f"views are equal {format_figure(healed_s)} s after the end (a third cut off for 60 s)"


def _list_applied(phase: str) -> TextBuilder:
    """Return a builder of a text with the time until the real gateway had applied a phase's changes."""

    def text(figures: FigureReader) -> str:
        return f"taken {format_figure(figures.real(f'{phase}_over_s'))} s after it was told (real)"

    return text


def _fixed_text(text: str) -> TextBuilder:
    """Return a builder that always gives this text."""
    return lambda figures: text


FAILURES = (
    Failure(
        "a configuration changes",
        f"{CHANGES_PER_DAY:,} a day",
        _configuration_cost,
        _fixed_text("not before someone sends SIGHUP on each machine: no channel"),
    ),
    Failure(
        "a machine with a gateway fails",
        f"a part of {FAILURES_PER_DAY} a day",
        _fixed_text("its clients' connections; its part of budgets lies idle"),
        _gateway_failure_known,
    ),
    Failure(
        "a machine with a server fails",
        f"a part of {FAILURES_PER_DAY} a day",
        lambda figures: _entries_cost(figures, ENTRIES_PER_FAILURE),
        _fixed_text("at each gateway with its first refused connection or overdue attempt, or the list"),
    ),
    Failure(
        "a server is restarted or replaced",
        f"{RESTARTS_PER_DAY:,} a day, gateways among them",
        lambda figures: _entries_cost(figures, ENTRIES_PER_RESTART),
        _list_applied("changes"),
    ),
    Failure("a gateway is restarted", "a part of those", _gateway_restart_cost, _gateway_ready),
    Failure("a rack or switch goes", "every week", _rack_cost, _list_applied("changes")),
    Failure("a zone goes", "a few times a year", _zone_cost, _list_applied("zone")),
    Failure(
        "regions lose each other",
        "for an hour, now and then",
        _fixed_text(
            "half of the members are held for dead on each side; no side has the majority, so no "
            "gateway takes over another's part (`policy/fleet_size.py`)"
        ),
        _views_equal,
    ),
)


def failures_table(results: StoredResults) -> list[str]:
    """Return the table of failures; a text whose figures were not run is replaced by NOT_RUN."""
    lines = ["| failure | how often | what it costs | over |", "| --- | --- | --- | --- |"]
    for failure in FAILURES:
        cost = _text_or_not_run(failure.cost, results)
        recovery = _text_or_not_run(failure.recovery, results)
        lines.append(f"| {failure.name} | {failure.frequency} | {cost} | {recovery} |")
    return lines


def _text_or_not_run(text: TextBuilder, results: StoredResults) -> str:
    try:
        return text(FigureReader(results))
    except FigureNotRunError:
        return NOT_RUN
