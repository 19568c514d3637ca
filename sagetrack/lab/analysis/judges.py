"""Judges: what a run's records show of the rules. They read records alone, never a gateway's word.

Each judge yields violations that name the call, the server and the time. A rule that was broken is counted,
and none may be.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from sagetrack.lab.analysis.records import Record, Records
from sagetrack.lab.model.scenario import Scenario

SLACK_US = 50_000  # on every time limit: clocks, scheduling
COLD_SLACK = 1.1  # of a cold server's budget, for chance
CALLERS_SLACK_US = 100_000  # between a client's end of patience and the gateway's


@dataclass(slots=True, frozen=True)
class Violation:
    """One breach: the rule, when (microseconds since the run began), which call and which server."""

    rule: str
    time_us: int
    call: str
    server: int
    why: str

    def __str__(self) -> str:
        where = f" server {self.server}" if self.server >= 0 else ""
        return f"{self.rule} at {self.time_us / 1e6:.3f} s: call {self.call or '-'}{where}: {self.why}"


def one_answer(records: Records, scenario: Scenario) -> Iterator[Violation]:
    """Each call that a gateway took gets one final answer before its client stops waiting.

    A call counts as taken unless its gateway was down when it came, or died while it held it.
    """
    answers: dict[str, list[Record]] = defaultdict(list)
    for row in records.of("answer"):
        answers[row[2]].append(row)
    spans: dict[int, list[list[float]]] = defaultdict(list)  # by gateway: from when to when it was down
    for row in records.of("gateway"):
        if row[3] in ("down", "left"):
            spans[row[2]].append([row[1], math.inf])
        elif spans[row[2]]:
            spans[row[2]][-1][1] = min(spans[row[2]][-1][1], row[1])
    last = max((row[1] for row in records.rows), default=0)
    for row in records.of("ask"):
        _, asked, call, gateway, _, _, budget = row[:7]
        mine = answers.get(call, [])
        final = [answer for answer in mine if answer[4] in ("served", "refused", "failed")]
        if len(final) > 1:
            yield Violation(
                "one_answer", final[1][1], call, -1, f"gateway {gateway} answered {len(final)} times"
            )
        died = any(down <= asked + budget and asked <= up for down, up in spans[gateway])
        broken = [answer for answer in mine if answer[4] == "broken"]
        if broken and not final and not died:
            yield Violation(
                "one_answer", broken[0][1], call, -1, f"gateway {gateway} ended it without an answer"
            )
        unreached = any(answer[4] == "unreachable" for answer in mine)
        over = asked + budget + SLACK_US <= last
        if not mine and not died and not unreached and over:
            yield Violation("one_answer", asked + budget, call, -1, f"gateway {gateway} never answered")


def repeats(records: Records, scenario: Scenario) -> Iterator[Violation]:
    """An attempt that may have run is repeated only as its class allows.

    An unsafe call runs once; a keyed one only where its key is dropped, and within its window.
    """
    asks = {row[2]: row for row in records.of("ask")}
    places = {row[2]: (row[3], row[4]) for row in records.of("start")}
    first: dict[str, Record] = {}
    for row in records.of("recv"):
        _, time, call, server, _, verdict, _, sent = row
        if verdict == "rejected" or call not in asks:
            continue
        before = first.setdefault(call, row)
        if before is row:
            continue
        kind = scenario.classes[asks[call][4]]
        if kind.effect == "unsafe":
            yield Violation(
                "repeats", time, call, server, f"sent again after server {before[3]} may have run it"
            )
        elif kind.effect == "keyed":
            (zone, rack), (zone0, rack0) = places[server], places[before[3]]
            outside = (kind.scope == "zone" and zone != zone0) or (kind.scope == "rack" and rack != rack0)
            if outside:
                why = f"a keyed call left the {kind.scope} of server {before[3]}"
                yield Violation("repeats", time, call, server, why)
            elif sent - before[7] > kind.window_ms * 1000 + SLACK_US:
                yield Violation("repeats", time, call, server, "a keyed call was sent again after its window")
    effects: dict[str, int] = {}
    for row in records.of("run"):
        _, time, call, server, _, effect = row
        if not effect or call not in asks or scenario.classes[asks[call][4]].effect == "safe":
            continue
        if call in effects:
            yield Violation(
                "repeats", time, call, server, f"had its effect twice, first at server {effects[call]}"
            )
        effects.setdefault(call, server)


def refused_harmless(records: Records, scenario: Scenario) -> Iterator[Violation]:
    """A refusal says that trying again does no harm: not of a call that may have run elsewhere."""
    asks = {row[2]: row for row in records.of("ask")}
    ran: dict[str, Record] = {}
    for row in records.of("recv"):
        if row[5] != "rejected":
            ran.setdefault(row[2], row)
    for row in records.of("answer"):
        _, time, call, _, verdict, _ = row
        if verdict != "refused" or call not in ran or call not in asks or ran[call][1] > time:
            continue
        kind = scenario.classes[asks[call][4]]
        if kind.effect == "unsafe" or (kind.effect == "keyed" and kind.scope != "all"):
            yield Violation("repeats", time, call, ran[call][3], "refused though it may have run")


def drains(records: Records, scenario: Scenario) -> Iterator[Violation]:
    """Nothing new goes to a server longer than the grace after word that it drains or is gone."""
    grace = scenario.gateways.drain_grace_ms * 1000 + SLACK_US
    told: dict[tuple[int, int], int] = {}
    for row in records.rows:
        if row[0] == "told":
            _, time, gateway, server, status = row
            if status == "SERVING":
                told.pop((gateway, server), None)
            else:
                told.setdefault((gateway, server), time)
        elif row[0] == "recv":
            _, time, call, server, gateway, _, _, sent = row
            since = told.get((gateway, server))
            if since is not None and sent - since > grace:
                late = (sent - since) / 1e6
                why = f"gateway {gateway} sent it {late:.2f} s after word that the server leaves"
                yield Violation("drains", sent, call, server, why)


def cold_budget(records: Records, scenario: Scenario) -> Iterator[Violation]:
    """All gateways together stay within a cold server's budget: in no span of `fall_s` more than so many
    times what it can do by then. Told of once for each server.
    """
    fleet = scenario.fleet
    span, whole = int(fleet.fall_s * 1e6), fleet.cold_s * 1e6
    starts = {row[2]: row for row in records.of("start") if row[5]}
    arrived: dict[int, list[tuple[int, float, str]]] = defaultdict(list)
    for row in records.of("recv"):
        if row[3] in starts and row[1] - starts[row[3]][1] < whole:
            arrived[row[3]].append((row[1], float(row[6]), row[2]))
    for server, works in arrived.items():
        started, capacity = starts[server][1], starts[server][6]
        first, total = 0, 0.0
        for time, work, call in works:
            total += work
            while works[first][0] <= time - span:
                total -= works[first][1]
                first += 1
            warmth = fleet.cold_share + (1.0 - fleet.cold_share) * (time - started) / whole
            budget = fleet.fall_multiple * capacity * warmth * span
            if total > COLD_SLACK * budget:
                why = f"{total / budget:.2f} times its budget in {fleet.fall_s:g} s"
                yield Violation("cold_budget", time, call, server, why)
                break


@dataclass(slots=True, frozen=True)
class Window:
    """The span of `fall_s` that ends with one call's arrival at a cold server, over all gateways together.

    All in calls of mean work. `calls` counts each call as the mean of its class, which is what a gateway can
    know; `work` counts it as the work that was drawn for it.
    """

    end_us: int
    call: str
    server: int
    calls: float
    work: float
    planned: float  # N: what the settings allow the server by its warmth at the span's begin

    @property
    def budget(self) -> float:
        """N and what is chance beyond it."""
        return self.planned + 2.0 * math.sqrt(self.planned) + 2.0


def cold_windows(records: Records, scenario: Scenario) -> Iterator[Window]:
    """Every window of every cold server: one for each call that reached it, taken or turned away.

    All processes of all gateways count, also the old and the new one of an upgrade: it is the server that
    says what came. N goes by the server's true capacity and by its warmth when the window begins, or when
    the server started if that is later: the least that it has within the window, so that nothing passes
    that any other moment would forbid. A server counts as cold until `cold_s` after its start.
    """
    fleet = scenario.fleet
    span, whole, mean = int(fleet.fall_s * 1e6), fleet.cold_s * 1e6, scenario.mean_work_ms * 1000
    starts = {row[2]: row for row in records.of("start") if row[5]}
    sizes = {row[2]: scenario.classes[row[4]].work_ms * 1000 / mean for row in records.of("ask")}
    came: dict[int, deque[tuple[int, float, float]]] = defaultdict(deque)
    for row in records.of("recv"):
        _, time, call, server, _, _, work, _ = row
        if server not in starts or time - starts[server][1] >= whole:
            continue
        held, started = came[server], starts[server][1]
        held.append((time, sizes.get(call, 1.0), work / mean))
        while held[0][0] <= time - span:
            held.popleft()
        begin = max(started, time - span)
        warmth = fleet.cold_share + (1.0 - fleet.cold_share) * (begin - started) / whole
        planned = fleet.fall_multiple * starts[server][6] * warmth * span / mean
        calls = math.fsum(one[1] for one in held)
        yield Window(time, call, server, calls, math.fsum(one[2] for one in held), planned)


def cold_sum(records: Records, scenario: Scenario) -> Iterator[Violation]:
    """All gateways together send a cold server no more than N + 2 x root of N + 2 calls in any window.

    Beyond N only so much is chance, whatever their number. Told of once for each server.
    """
    told: set[int] = set()
    for window in cold_windows(records, scenario):
        if window.calls > window.budget and window.server not in told:
            told.add(window.server)
            why = f"{window.calls:.0f} calls in {scenario.fleet.fall_s:g} s, N is {window.planned:.1f}"
            yield Violation("cold_sum", window.end_us, window.call, window.server, why)


def late_refusals(records: Records, scenario: Scenario) -> Iterator[Violation]:
    """What is given up is answered at once: not past half of its time with no attempt at any server.

    Attempts that found no connection are not in the servers' records, so the time that these may take is let
    pass. A call to a gateway that is down can wait in the listening socket that its next process inherits:
    no gateway holds it until that one is up.
    """
    went: dict[int, int] = {}
    downs: dict[int, list[tuple[int, int]]] = defaultdict(list)  # by gateway: from when, until when
    for _, time, gateway, state in records.of("gateway"):
        if state == "down":
            went[gateway] = time
        elif state == "up" and gateway in went:
            downs[gateway].append((went.pop(gateway), time))
    received = {row[2] for row in records.of("recv")}
    asks = {row[2]: row for row in records.of("ask")}
    tries = scenario.network.connect_timeout_ms * 1000 * scenario.gateways.max_attempts
    for row in records.of("answer"):
        _, time, call, gateway, verdict, _ = row
        if verdict not in ("refused", "failed") or call in received or call not in asks:
            continue
        asked, budget = asks[call][1], asks[call][6]
        had = max((up for down, up in downs[gateway] if down <= asked < up), default=asked)
        if time - had > max(budget / 2, min(tries, 0.8 * budget)) + SLACK_US:
            share = (time - had) / budget
            why = f"gateway {gateway} held it for {share:.0%} of its time and sent it nowhere"
            yield Violation("late_refusals", time, call, -1, why)


Judge = Callable[[Records, Scenario], Iterator[Violation]]
JUDGES: tuple[Judge, ...] = (
    one_answer,
    repeats,
    refused_harmless,
    drains,
    cold_budget,
    cold_sum,
    late_refusals,
)
RULES = ("one_answer", "repeats", "drains", "cold_budget", "cold_sum", "late_refusals")


def judge(records: Records, scenario: Scenario) -> list[Violation]:
    """All violations, by time."""
    found = [violation for judge in JUDGES for violation in judge(records, scenario)]
    return sorted(found, key=lambda violation: (violation.time_us, violation.rule, violation.call))
