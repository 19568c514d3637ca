"""The oracle of the soak: which rules the events of one run break. Pure.

It is told what was done to whom (`History`), and takes as broken only what nothing excuses. Times that two
processes have stamped differ by how late either was scheduled: `SCHEDULING_S` is allowed for that.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from sagetrack.lab.soak.events import (
    Answered,
    AnyEvent,
    Begun,
    Left,
    Misbehaved,
    Rejected,
    Sent,
    Unanswered,
    Whole,
)

S = 1_000_000  # microseconds
SCHEDULING_S = 0.25
ANSWER_LATE_S = 0.5  # a final answer may be so late
LEFT_S = 0.1  # an attempt may begin so long after its client's close
DRAIN_S = 2.05  # and so long after word that its server is withdrawn
FAILING_S = 6.0  # word counts as had this long after it could be had, whatever fails
DEADLINE_S = 0.15  # what a server is told may be over what is left
TERM_TAKES_S = 0.7  # after SIGTERM: what is sent until then is owed its answer
KEYED_WINDOW_S = 2.0
WINDOW_S = 3.0  # the slow-start budget's


@dataclass(slots=True)
class Withdrawal:
    """A server that may get nothing new."""

    server: int
    at_us: int  # discovery had it
    until_us: int | None = None  # it was listed again


@dataclass(slots=True)
class Restart:
    """A server that has started anew, and what it may be sent in a window while it is cold."""

    server: int
    at_us: int


@dataclass(slots=True)
class History:
    """What was done in a run. Spans are pairs of microseconds; an open one ends with the run."""

    kills: list[tuple[int, int]] = field(default_factory=list)  # gateway, when
    terms: list[tuple[int, int]] = field(default_factory=list)
    down: list[tuple[int, int, int]] = field(default_factory=list)  # gateway, without a ready process
    unreachable: list[tuple[int, int, int]] = field(default_factory=list)  # gateway's discovery, from, to
    failing: list[tuple[int, int, int]] = field(default_factory=list)  # its system calls
    withdrawals: list[Withdrawal] = field(default_factory=list)
    restarts: list[Restart] = field(default_factory=list)
    groups: dict[int, int] = field(default_factory=dict)  # of servers
    starts_us: dict[int, list[int]] = field(default_factory=dict)  # of gateways' processes
    crashes: list[str] = field(default_factory=list)
    leaks: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)  # that gateways have counted themselves


@dataclass(slots=True, frozen=True)
class Break:
    """A rule that was broken, and the trace of it."""

    rule: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.detail}"


@dataclass(slots=True)
class Call:
    """All that happened to one request."""

    sent: list[Sent] = field(default_factory=list)
    answers: list[Answered] = field(default_factory=list)
    unanswered: list[Unanswered] = field(default_factory=list)
    left: Left | None = None
    begun: list[Begun] = field(default_factory=list)
    whole: list[Whole] = field(default_factory=list)
    rejected: list[Rejected] = field(default_factory=list)


def calls_of(events: Sequence[AnyEvent]) -> dict[str, Call]:
    calls: dict[str, Call] = defaultdict(Call)
    for event in events:
        match event:
            case Sent():
                calls[event.call].sent.append(event)
            case Answered():
                calls[event.call].answers.append(event)
            case Unanswered():
                calls[event.call].unanswered.append(event)
            case Left():
                calls[event.call].left = event
            case Begun():
                calls[event.call].begun.append(event)
            case Whole():
                calls[event.call].whole.append(event)
            case Rejected():
                calls[event.call].rejected.append(event)
    return calls


def judge(events: Sequence[AnyEvent], history: History) -> list[Break]:
    """All rules that were broken."""
    found = [Break("crash", crash) for crash in history.crashes]
    found += [Break("leak", leak) for leak in history.leaks]
    found += [Break("counted", violation) for violation in history.violations]
    for name, call in calls_of(events).items():
        found += _lost(name, call, history)
        found += _twice(name, call, history)
        found += _begun_late(name, call, history)
    for event in events:
        if not isinstance(event, Misbehaved):
            continue
        if not _queued(event.gateway, event.at_us - 3 * S, event.at_us, history):
            found.append(Break("bad_client", f"{event.what!r} at gateway {event.gateway}"))
    return found + _cold(events, history)


def _excused(gateway: int, sent_us: int, until_us: int, history: History) -> bool:
    """Whether the gateway was killed under a request, or was told to end too long before it, or was down."""
    if any(of == gateway and killed <= sent_us <= up for of, killed, up in history.down):
        return True
    if any(of == gateway and sent_us - S // 5 <= at_us <= until_us for of, at_us in history.kills):
        return True
    spared_us = int(TERM_TAKES_S * S)
    return any(of == gateway and spared_us < sent_us - at_us < 6 * S for of, at_us in history.terms)


def _queued(gateway: int, from_us: int, until_us: int, history: History) -> bool:
    """Whether a client may have waited in the listening socket while no process was ready: nobody sees it."""
    return any(of == gateway and down < until_us and up > from_us for of, down, up in history.down)


def _lost(name: str, call: Call, history: History) -> list[Break]:
    """One final answer, in time, and the right one."""
    found = [Break("wrong_answer", name) for answer in call.answers if not answer.right]
    if call.left is not None or not call.sent:
        return found
    last = call.sent[-1]
    due_us = last.at_us + int((last.budget_ms / 1000 + ANSWER_LATE_S + SCHEDULING_S) * S)
    told = f"{name} {last.class_name} at gateway {last.gateway}, {last.budget_ms} ms, sent at {last.at_us}"
    for answer in call.answers[:1]:
        excused = not answer.status or _excused(last.gateway, last.at_us, answer.at_us, history)
        if answer.at_us > due_us and not excused:
            found.append(Break("late", f"{told}, answered {(answer.at_us - due_us) / 1000:.0f} ms too late"))
    for end in call.unanswered:
        sent = [one for one in call.sent if one.at_us <= end.at_us][-1]
        if _excused(sent.gateway, sent.at_us, end.at_us, history):
            continue
        begun = [one for one in call.begun if sent.at_us - S <= one.at_us <= end.at_us]
        if not end.closed or sent.fresh or begun:
            how = "closed" if end.closed else "silent"
            where = "a new" if sent.fresh else "a kept"
            after = (end.at_us - sent.at_us) / 1000
            found.append(
                Break("lost", f"{told}, {how} after {after:.0f} ms on {where} connection, {len(begun)} begun")
            )
    return found


def _twice(name: str, call: Call, history: History) -> list[Break]:
    """What may have run is not sent again but where its repeats are dropped."""
    if len(call.sent) != 1 or call.sent[0].class_name == "search":
        return []  # a client that has sent it again itself has reason to: see _lost
    class_name, found = call.sent[0].class_name, []
    for number, later in enumerate(call.whole):
        for earlier in call.whole[:number]:
            if any(rejected.server == earlier.server for rejected in call.rejected):
                continue
            here, there = history.groups[later.server], history.groups[earlier.server]
            late_s = (later.at_us - earlier.at_us) / S
            if class_name == "transfer" or (class_name == "reserve" and here != there):
                found.append(
                    Break("duplicate", f"{name} {class_name} at {earlier.server} and {later.server}")
                )
            elif late_s > KEYED_WINDOW_S + SCHEDULING_S:
                found.append(Break("duplicate", f"{name} {class_name} again after {late_s:.2f} s"))
    return found


def _begun_late(name: str, call: Call, history: History) -> list[Break]:
    """Attempts after their client's end, beyond its time, or at a server that is withdrawn."""
    found = []
    for begun in call.begun:
        if call.left is not None and begun.at_us > call.left.at_us + (LEFT_S + SCHEDULING_S) * S:
            late = (begun.at_us - call.left.at_us) / 1000
            found.append(Break("after_close", f"{name} begun {late:.0f} ms after its client's close"))
        sent = [one for one in call.sent if one.at_us <= begun.at_us + S // 10]
        if sent:
            left_ms = sent[-1].budget_ms - (begun.at_us - sent[-1].at_us) / 1000
            queued = _queued(begun.gateway, sent[-1].at_us, begun.at_us, history)
            if not queued and begun.told_ms > left_ms + (DEADLINE_S + SCHEDULING_S) * 1000:
                found.append(Break("told", f"{name} told {begun.told_ms} ms with {left_ms:.0f} left"))
        found += _withdrawn(name, begun, history)
    return found


def _withdrawn(name: str, begun: Begun, history: History) -> list[Break]:
    for one in history.withdrawals:
        if one.server != begun.server or begun.at_us <= one.at_us:
            continue
        if one.until_us is not None and begun.at_us >= one.until_us:
            continue
        told_us = told_at(begun.gateway, one.at_us, history)
        late_s = (begun.at_us - told_us) / S - DRAIN_S - SCHEDULING_S
        if late_s > 0:
            where = f"server {begun.server} by gateway {begun.gateway}"
            return [Break("drain", f"{name} begun at {where}, {late_s + DRAIN_S:.2f} s after word")]
    return []


def told_at(gateway: int, change_us: int, history: History) -> int:
    """When a change counts as told: at once where discovery can be reached, later where calls fail."""
    told_us = change_us
    for of, from_us, to_us in sorted(history.unreachable):
        if of == gateway and from_us <= told_us < to_us:
            told_us = to_us
    grace_us = int((FAILING_S) * S)
    for of, from_us, to_us in history.failing:
        if of == gateway and from_us < told_us + grace_us and to_us > told_us:
            return told_us + grace_us
    return told_us


def _cold(events: Sequence[AnyEvent], history: History) -> list[Break]:
    """What all gateways send to a server that has just started, in any window."""
    found = []
    for restart in history.restarts:
        times = [
            event.at_us
            for event in events
            if isinstance(event, Whole) and event.server == restart.server and event.at_us >= restart.at_us
        ]
        for first, at_us in enumerate(times):
            sent = sum(at_us <= time < at_us + WINDOW_S * S for time in times[first:])
            allowed = cold_budget((at_us - restart.at_us) / S + WINDOW_S)
            if sent > allowed:
                after = (at_us - restart.at_us) / S
                detail = f"server {restart.server}: {sent} of {allowed:.0f} in a window from {after:.1f} s on"
                found.append(Break("cold", detail))
                break
    return found


START_CAPACITY, WARM_S, MULTIPLE = 0.13, 12.0, 4.0
MEAN_WORK_S = 0.0175  # as `server.WORK_S` is drawn from


def cold_budget(age_s: float) -> float:
    """Requests in one window that a server of this age bears."""
    capacity = min(1.0, START_CAPACITY + (1.0 - START_CAPACITY) * age_s / WARM_S)
    n = MULTIPLE * capacity * WINDOW_S / MEAN_WORK_S
    return float(n + (3 if n < 30 else 2) * n**0.5 + (3 if n < 30 else 2))
