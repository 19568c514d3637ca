"""The measured part of docs/CAPACITY.md, made from what `lab scale --json` wrote, so that both agree."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from sagetrack.lab.scale.process import CHANGED
from sagetrack.lab.scale.target import (
    ADDED_P99_MS,
    CHANGES_PER_DAY,
    CONTROL_BYTES,
    CONTROL_BYTES_PER_S,
    CONTROL_CORE,
    DAY_S,
    FAILED_PER_DAY,
    IN_FORCE_S,
    RACK_MACHINES,
    RESTARTED_PER_DAY,
    Sizes,
)

BEGIN, END = "<!-- measured: begin -->", "<!-- measured: end -->"
NOT_RUN = "not run"
READY_S = 10.0  # for a restarted process, as the terms have it
KNOWN_S = 5.0  # assumed: "within seconds"
ENTRIES_EACH = 3  # a server that is replaced drains, goes, and comes again
LIST_CHANGES_PER_S = (ENTRIES_EACH * RESTARTED_PER_DAY + 2 * FAILED_PER_DAY) / DAY_S
MIB = 1024.0 * 1024.0


class Figures:
    """What was found, asked for by probe and measure; remembers what it was asked for."""

    def __init__(self, found: dict[str, Any]) -> None:
        self.found = found
        self.rows = {row["probe"]: row for row in found["rows"]}
        self.asked: list[tuple[str, str]] = []

    def at(self, probe: str, measure: str) -> float:
        """At the target. KeyError if it was not run."""
        self.asked.append((probe, measure))
        return float(self.rows[probe]["at_target"][measure])

    def real(self, measure: str) -> float:
        """Of the real gateway. KeyError if it was not run."""
        self.asked.append(("real-gateway", measure))
        return float((self.found["real"] or {})[measure])

    @property
    def sizes(self) -> dict[str, float]:
        return dict(self.found["sizes"])


@dataclass(slots=True, frozen=True)
class Need:
    """A row: what one role needs at the target, in the unit that the target allows it in."""

    role: str
    what: str
    unit: str
    allowed: float | None  # None: the target says nothing
    need: Callable[[Figures], float]
    basis: str = "hollow"


def change_us(f: Figures) -> float:
    """One changed entry: taken by the module, and the whole list written for the next process."""
    return f.at("change-by-servers", "cpu_us") + f.at("handing-on-by-servers", "cpu_us")


def per_gateway(f: Figures) -> float:
    """Requests a second."""
    sizes = Sizes(**f.found["sizes"])
    return sizes.requests_per_s / sizes.gateways


def held_mib(f: Figures) -> float:
    """Tenants and servers in the module, the settings, the list as it is kept for handing on."""
    parts = (
        ("decision-by-tenants", "held_bytes"),
        ("decision-by-servers", "held_bytes"),
        ("configuration-by-tenants", "held_bytes"),
        ("text-by-servers", "held_bytes"),
    )
    return sum(f.at(*part) for part in parts) / MIB


NEEDS = (
    Need(
        "gateway",
        "one call, all tenants",
        "ms",
        ADDED_P99_MS,
        lambda f: f.at("decision-by-tenants", "cpu_us") / 1e3,
    ),
    Need(
        "gateway",
        "deciding its part of the load, all tenants",
        "cores",
        1.0,
        lambda f: f.at("decision-by-tenants", "cpu_us") * per_gateway(f) / 1e6,
        "hollow; one core assumed",
    ),
    Need(
        "gateway",
        "a keyed call with one repeat",
        "ms",
        ADDED_P99_MS,
        lambda f: f.at("repeat-by-servers", "cpu_us") / 1e3,
    ),
    Need("gateway", "a refusal", "ms", ADDED_P99_MS, lambda f: f.at("refusal-by-servers", "cpu_us") / 1e3),
    Need(
        "gateway",
        "the loop is held by a whole list",
        "ms",
        ADDED_P99_MS,
        lambda f: f.at("list-by-servers", "longest_ms") + f.at("text-by-servers", "longest_ms"),
    ),
    Need(
        "gateway",
        "the loop is held by one changed entry",
        "ms",
        ADDED_P99_MS,
        lambda f: f.at("change-by-servers", "longest_ms") + f.at("handing-on-by-servers", "longest_ms"),
    ),
    Need(
        "gateway",
        "changed entries of an ordinary day",
        "cores",
        CONTROL_CORE,
        lambda f: change_us(f) * LIST_CHANGES_PER_S / 1e6,
        "hollow; 3 entries a restart assumed",
    ),
    Need(
        "gateway",
        f"{CHANGED} changed entries in one second",
        "cores",
        CONTROL_CORE,
        lambda f: change_us(f) * CHANGED / 1e6,
    ),
    Need(
        "gateway",
        "the loop is held as a zone goes",
        "ms",
        ADDED_P99_MS,
        lambda f: f.at("zone-by-servers", "longest_ms"),
    ),
    Need(
        "gateway",
        "gathering what it has seen, each second",
        "cores",
        CONTROL_CORE,
        lambda f: f.at("sights-by-servers", "cpu_us") / 1e6,
    ),
    Need(
        "gateway",
        "the loop is held by a configuration read again",
        "ms",
        ADDED_P99_MS,
        lambda f: f.at("configuration-by-tenants", "longest_ms"),
    ),
    Need(
        "gateway",
        "configurations read again, on an ordinary day",
        "cores",
        CONTROL_CORE,
        lambda f: f.at("configuration-by-tenants", "cpu_us") * CHANGES_PER_DAY / DAY_S / 1e6,
    ),
    Need("gateway", "tenants, servers, settings and list in memory", "MiB", CONTROL_BYTES / MIB, held_mib),
    Need(
        "gateway",
        "a module for each service",
        "MiB",
        CONTROL_BYTES / MIB,
        lambda f: f.at("decision-by-services", "held_bytes") / MIB,
    ),
    Need(
        "gateway",
        "99 in 100, added while 9,600 are listed",
        "ms",
        ADDED_P99_MS,
        lambda f: f.real("listing_added_p99_ms"),
        "real",
    ),
    Need(
        "gateway",
        f"99 in 100, added while {CHANGED} change in a second",
        "ms",
        ADDED_P99_MS,
        lambda f: f.real("changes_added_p99_ms"),
        "real",
    ),
    Need(
        "gateway",
        "99 in 100, added while a zone goes",
        "ms",
        ADDED_P99_MS,
        lambda f: f.real("zone_added_p99_ms"),
        "real",
    ),
    Need(
        "gateway",
        "refused in these three, 15 s each (5 s with `--quick`)",
        "requests",
        None,
        lambda f: sum(f.real(f"{part}_refused") for part in ("listing", "changes", "zone")),
        "real",
    ),
    Need(
        "gateway",
        "start to ready, whole list and all tenants",
        "s",
        READY_S,
        lambda f: f.real("ready_full_list_s"),
        "real, one core free",
    ),
    Need(
        "gateway",
        "the whole process in memory",
        "MiB",
        CONTROL_BYTES / MIB,
        lambda f: f.real("ready_memory_mb") * 1e6 / MIB,
        "real; the allowance is for control alone",
    ),
    Need(
        "agent",
        "a whole list at a start, within 10 s",
        "B/s",
        CONTROL_BYTES_PER_S,
        lambda f: f.at("text-by-servers", "bytes") / READY_S,
    ),
    Need(
        "agent",
        "changed entries of an ordinary day",
        "B/s",
        CONTROL_BYTES_PER_S,
        lambda f: f.at("text-by-servers", "change_bytes") * LIST_CHANGES_PER_S,
    ),
    Need(
        "agent",
        "the list is written anew, on an ordinary day",
        "B/s to disk",
        None,
        lambda f: f.at("handing-on-by-servers", "bytes") * LIST_CHANGES_PER_S,
    ),
    Need(
        "peers",
        "membership",
        "B/s",
        CONTROL_BYTES_PER_S,
        lambda f: f.at("membership-by-gateways", "bytes_per_s"),
        "hollow, simulated time",
    ),
    Need(
        "peers",
        "membership, messages",
        "1/s",
        None,
        lambda f: f.at("membership-by-gateways", "messages_per_s"),
        "hollow, simulated time",
    ),
    Need(
        "peers",
        "membership",
        "cores",
        CONTROL_CORE,
        lambda f: f.at("membership-by-gateways", "cpu_us_per_s") / 1e6,
        "hollow, the simulator's included",
    ),
    Need(
        "peers",
        "membership in memory",
        "MiB",
        CONTROL_BYTES / MIB,
        lambda f: f.at("membership-by-gateways", "held_bytes") / MIB,
    ),
    Need(
        "peers",
        "a death is known to 99 in 100",
        "s",
        KNOWN_S,
        lambda f: f.at("membership-by-gateways", "known_p99_s"),
        f"hollow, simulated time; {KNOWN_S:g} s assumed",
    ),
    Need(
        "peers",
        "all views equal after a cut",
        "s",
        None,
        lambda f: f.at("healing-by-gateways", "healed_s"),
        "hollow, simulated time",
    ),
    Need(
        "peers",
        "demands told",
        "B/s",
        CONTROL_BYTES_PER_S,
        lambda f: f.at("demands-by-tenants", "bytes_per_s"),
    ),
    Need(
        "peers",
        "demands told once and read six times a second",
        "cores",
        CONTROL_CORE,
        lambda f: 6 * f.at("demands-by-tenants", "cpu_us") / 1e6,
        "hollow, from above: six tellings too",
    ),
    Need(
        "peers",
        "a warm start's answers, within 10 s",
        "B/s",
        CONTROL_BYTES_PER_S,
        lambda f: f.at("warm-start-by-servers", "bytes") / READY_S,
    ),
    Need(
        "peers",
        "a warm start's answers taken up, within 10 s",
        "cores",
        CONTROL_CORE,
        lambda f: 3
        * f.at("warm-start-by-servers", "messages")
        * f.at("learned-by-servers", "cpu_us")
        / READY_S
        / 1e6,
    ),
    Need(
        "servers",
        "connections held to one server, mean",
        "open",
        None,
        lambda f: f.at("connections-by-gateways", "open_each"),
        "hollow; 10 s idle assumed",
    ),
    Need(
        "servers",
        "connections held to one server, most",
        "open",
        None,
        lambda f: f.at("connections-by-gateways", "open_most"),
        "hollow; 10 s idle assumed",
    ),
    Need(
        "servers",
        "connections held by one gateway",
        "open",
        None,
        lambda f: f.at("connections-by-gateways", "open_each") * f.sizes["servers"] / f.sizes["gateways"],
        "hollow; every gateway serves every service",
    ),
    Need(
        "servers",
        "handshakes for a call",
        "share",
        None,
        lambda f: f.at("connections-by-gateways", "handshakes_per_call"),
        "hollow; 10 s idle assumed",
    ),
    Need(
        "servers",
        "handshakes at one server",
        "1/s",
        None,
        lambda f: f.at("connections-by-gateways", "messages_per_s"),
        "hollow; 10 s idle assumed",
    ),
    Need(
        "control",
        "a changed configuration, whole, to each gateway within 18 s",
        "B/s",
        CONTROL_BYTES_PER_S,
        lambda f: f.at("change-to-gateways", "bytes") / f.sizes["gateways"] / IN_FORCE_S,
        "reckoned",
    ),
    Need(
        "control",
        "changes of an ordinary day, whole, to each gateway",
        "B/s",
        CONTROL_BYTES_PER_S,
        lambda f: f.at("change-to-gateways", "bytes_per_s") / f.sizes["gateways"],
        "reckoned",
    ),
    Need(
        "control",
        "one change, sent by each of the 5 machines",
        "B/s",
        None,
        lambda f: f.at("change-to-gateways", "machine_bytes_per_s"),
        "reckoned",
    ),
)


def shown(value: float) -> str:
    """Three figures, without an exponent where one can do without."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{float(f'{value:.3g}'):g}" if abs(value) >= 0.001 else f"{value:.2g}"


def asked(need: Need, found: dict[str, Any]) -> tuple[float | None, Figures]:
    """What it comes to, or None where it was not run."""
    figures = Figures(found)
    try:
        return need.need(figures), figures
    except KeyError:
        return None, figures


def factor(need: Need, value: float | None) -> float | None:
    return value / need.allowed if value is not None and need.allowed else None


def whence(need: Need, figures: Figures) -> tuple[str, str, str, str]:
    """Basis, command, spread and mechanism of a row, by the probes that it rests on."""
    names = list(dict.fromkeys(probe for probe, _ in figures.asked))
    rows = [figures.rows[name] for name in names if name in figures.rows]
    beyond = [f"{row['axis']} from {row['reached']:,}" for row in rows if row["extrapolated"]]
    reached = ", size reached" if rows else ""
    basis = need.basis + (f", extrapolated in {', '.join(beyond)}" if beyond else reached)
    command = ", ".join(f"`{name}`" for name in names)
    spreads = []
    for probe, measure in figures.asked:
        row = figures.rows.get(probe)
        last = row["points"][-1] if row else {}
        if measure in ("cpu_us", "longest_ms") and last.get("cpu_us"):
            most, least = last["cpu_us_most"], last["cpu_us_least"]
            spreads.append(f"±{50 * (most - least) / last['cpu_us']:.0f}%")
        elif row is not None:
            fit = row["fits"].get(measure)
            spreads.append(f"fit ±{min(fit['residual'], fit['slope_residual']):.2f}" if fit else "exact")
        else:
            spreads.append("one play")
    mechanism = "; ".join(dict.fromkeys(row["mechanism"] for row in rows)) or "the whole process"
    return basis, command, ", ".join(dict.fromkeys(spreads)), mechanism


def needs_table(before: dict[str, Any], after: dict[str, Any] | None) -> list[str]:
    lines = [
        "| role | what | allowed | needed | factor | after the mends | spread | basis | probe | carried by |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for need in NEEDS:
        value, figures = asked(need, before)
        times = factor(need, value)
        later, later_times = None, None
        if after is not None:
            later, _ = asked(need, after)
            later_times = factor(need, later)
        basis, command, spread, mechanism = whence(need, figures)
        basis = basis if value is not None else need.basis
        allowed = "-" if need.allowed is None else f"{shown(need.allowed)} {need.unit}"
        needed = NOT_RUN if value is None else f"{shown(value)} {need.unit}"
        mended = "" if after is None else NOT_RUN if later is None else f"{shown(later)} {need.unit}"
        if later_times is not None:
            mended += f" ({shown(later_times)})"
        times_shown = "-" if times is None else shown(times)
        lines.append(
            f"| {need.role} | {need.what} | {allowed} | {needed} | {times_shown} | {mended} | "
            f"{spread if value is not None else '-'} | {basis} | {command} | {mechanism} |"
        )
    return lines


def ranking(found: dict[str, Any]) -> list[tuple[float, Need]]:
    """Rows over their allowance, the worst first."""
    over = [(times, need) for need in NEEDS if (times := factor(need, asked(need, found)[0])) is not None]
    return sorted((pair for pair in over if pair[0] > 1.0), key=lambda pair: -pair[0])


def ranking_lines(found: dict[str, Any]) -> list[str]:
    unknown = [need for need in NEEDS if need.allowed and asked(need, found)[0] is None]
    lines = [
        f"{place}. {need.role}: {need.what}, {shown(times)} times what is allowed"
        for place, (times, need) in enumerate(ranking(found), 1)
    ]
    if unknown:
        lines += ["", f"{len(unknown)} rows with an allowance are not run and not ranked."]
    return lines or ["No row is over its allowance."]


def work_table(found: dict[str, Any]) -> list[str]:
    """Work by size: the same every time."""
    lines = [
        "| probe | event | swept | held | steps at each size | steps for one more | longest hold, ms |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in found["rows"]:
        points = row["points"]
        if "steps" not in points[0]:
            continue
        fit = row["fits"]["steps"]
        steps = ", ".join(f"{point['steps']:,.0f}" for point in points)
        sizes = ", ".join(f"{point['size']:,}" for point in points)
        hold = shown(points[-1]["longest_ms"]) if "longest_ms" in points[-1] else NOT_RUN
        lines.append(
            f"| `{row['probe']}` | {row['about']} | {row['axis']} {sizes} | {row['held']} | {steps} | "
            f"{shown(fit['slope'])} ±{fit['slope_residual']:.2f} | {hold} |"
        )
    return lines


@dataclass(slots=True, frozen=True)
class Failure:
    """One of the target's failures: how often, what it costs, when it is over. Texts with figures in them."""

    name: str
    often: str
    cost: Callable[[Figures], str]
    over: Callable[[Figures], str]


def sent(f: Figures, entries: float) -> str:
    """Bytes of so many changed entries to one gateway and to all."""
    one = f.at("text-by-servers", "change_bytes") * entries
    return f"{shown(one)} B to each gateway, {shown(one * f.sizes['gateways'])} B to all"


def by_module(f: Figures, entries: float) -> str:
    steps = f.at("change-by-servers", "steps") * entries
    try:
        spent = f"{shown(change_us(f) * entries / 1e3)} ms of a core"
    except KeyError:
        spent = f"time {NOT_RUN}"
    return f"{shown(steps)} steps ({spent}) at each gateway"


def known(f: Figures) -> str:
    median, late = (f.at("membership-by-gateways", name) for name in ("known_s", "known_p99_s"))
    return f"its fellows know after {shown(median)} s (median) and {shown(late)} s (99 in 100)"


def zone_cost(f: Figures) -> str:
    entries = f.at("zone-by-servers", "entries")
    steps = f.at("zone-by-servers", "steps")
    one = f.at("text-by-servers", "bytes") / f.sizes["servers"] * entries
    return f"{shown(entries)} entries in one word: {shown(one)} B to each gateway; {shown(steps)} steps there"


def real_over(name: str) -> Callable[[Figures], str]:
    def over(f: Figures) -> str:
        return f"taken {shown(f.real(f'{name}_over_s'))} s after it was told (real)"

    return over


FAILURES = (
    Failure(
        "a configuration changes",
        f"{CHANGES_PER_DAY:,} a day",
        lambda f: f"{shown(f.at('change-to-gateways', 'bytes'))} B to all, if it were sent whole",
        lambda f: "not before someone sends SIGHUP on each machine: no channel",
    ),
    Failure(
        "a machine with a gateway fails",
        f"a part of {FAILED_PER_DAY} a day",
        lambda f: "its clients' connections; its part of budgets lies idle",
        known,
    ),
    Failure(
        "a machine with a server fails",
        f"a part of {FAILED_PER_DAY} a day",
        lambda f: f"{sent(f, 2)}; {by_module(f, 2)}",
        lambda f: "at each gateway with its first refused connection or overdue attempt, or the list",
    ),
    Failure(
        "a server is restarted or replaced",
        f"{RESTARTED_PER_DAY:,} a day, gateways among them",
        lambda f: f"{sent(f, ENTRIES_EACH)}; {by_module(f, ENTRIES_EACH)}",
        real_over("changes"),
    ),
    Failure(
        "a gateway is restarted",
        "a part of those",
        lambda f: f"{shown(f.at('text-by-servers', 'bytes'))} B of list; "
        f"{shown(f.at('warm-start-by-servers', 'bytes'))} B of its fellows' answers",
        lambda f: f"ready after {shown(f.real('ready_full_list_s'))} s (real)",
    ),
    Failure(
        "a rack or switch goes",
        "every week",
        lambda f: f"{RACK_MACHINES} servers (assumed): {sent(f, RACK_MACHINES)}; "
        f"{by_module(f, RACK_MACHINES)}",
        real_over("changes"),
    ),
    Failure("a zone goes", "a few times a year", zone_cost, real_over("zone")),
    Failure(
        "regions lose each other",
        "for an hour, now and then",
        lambda f: "half of the members are held for dead on each side; no side has the majority, so no "
        "gateway takes over another's part (`decide/shares.py`)",
        lambda f: f"views are equal {shown(f.at('healing-by-gateways', 'healed_s'))} s after the end "
        "(a third cut off for 60 s)",
    ),
)


def failures_table(found: dict[str, Any]) -> list[str]:
    lines = ["| failure | how often | what it costs | over |", "| --- | --- | --- | --- |"]
    for failure in FAILURES:
        told = []
        for text in (failure.cost, failure.over):
            try:
                told.append(text(Figures(found)))
            except KeyError:
                told.append(NOT_RUN)
        lines.append(f"| {failure.name} | {failure.often} | {told[0]} | {told[1]} |")
    return lines


def heading(found: dict[str, Any], what: str) -> str:
    how = [] if found["times"] else ["`--counts` (no times)"]
    how += ["`--quick`"] if found["quick"] else []
    sizes = ", ".join(f"{count:,} {name}" for name, count in found["sizes"].items())
    return (
        f"{what}: {found['made']}, Python {found['python']}, seed {found['seed']}, {found['seconds']:g} s"
        f"{', ' + ', '.join(how) if how else ''}; {sizes}; services of {found['smallest_service']} to "
        f"{found['largest_service']} servers."
    )


def measured(before: dict[str, Any], after: dict[str, Any] | None = None) -> str:
    """The part between the marks."""
    last = after if after is not None else before
    lines = [heading(before, "Run")]
    if after is not None:
        lines.append(heading(after, "After the mends"))
    lines += ["", "## Need and allowance", "", *needs_table(before, after)]
    lines += ["", "## Ranking by need over allowance", "", *ranking_lines(before)]
    if after is not None:
        lines += ["", "### After the mends", "", *ranking_lines(after)]
    lines += ["", "## What each failure costs", "", *failures_table(last)]
    lines += ["", "## Work by size", "", *work_table(last)]
    return "\n".join(lines)


def filled(text: str, before: dict[str, Any], after: dict[str, Any] | None = None) -> str:
    """The page with its measured part made anew. ValueError if its marks are not there, once and in order."""
    if text.count(BEGIN) != 1 or text.count(END) != 1 or text.index(BEGIN) > text.index(END):
        raise ValueError(f"it needs the lines {BEGIN} and {END}, once each")
    head, rest = text.split(BEGIN)
    tail = rest.split(END)[1]
    return f"{head}{BEGIN}\n{measured(before, after)}\n{END}{tail}"
