"""The soak's oracle, its draw, and one short soak of real processes."""

from __future__ import annotations

from itertools import pairwise
from pathlib import Path

import pytest

from sagetrack.lab.soak import events
from sagetrack.lab.soak.events import (
    Answered,
    AnyEvent,
    Begun,
    Journal,
    Left,
    Misbehaved,
    Rejected,
    Sent,
    Unanswered,
    Whole,
)
from sagetrack.lab.soak.fault_schedule import Kind, drawn
from sagetrack.lab.soak.oracle import History, Restart, Withdrawal, judge
from sagetrack.lab.soak.run import Size, soak
from sagetrack.lab.soak.shim import Control, Faults, build

S = 1_000_000
GROUPS = {0: 0, 1: 1, 2: 0}


def sent(at_us: int = 0, class_name: str = "transfer", budget_ms: int = 1_000, **more: bool) -> Sent:
    return Sent(at_us, "c", class_name, budget_ms, 0, more.get("fresh", False), more.get("again", False))


GOOD: list[AnyEvent] = [
    sent(),
    Begun(1_000, "c", 0, 1, 999),
    Whole(1_100, "c", 0, 1),
    Answered(30_000, "c", 200, True),
]


def rules(told: list[AnyEvent], history: History | None = None) -> set[str]:
    return {one.rule for one in judge(told, history or History(groups=GROUPS))}


def test_a_good_request_breaks_nothing() -> None:
    assert not rules(GOOD)


@pytest.mark.parametrize(
    ("told", "rule"),
    [
        ([sent(), Answered(30_000, "c", 200, False)], "wrong_answer"),
        ([sent(), Answered(2 * S, "c", 503, True)], "late"),
        ([sent(fresh=True), Unanswered(1_000, "c", True)], "lost"),
        ([sent(), Unanswered(2 * S, "c", False)], "lost"),
        ([sent(), Begun(500, "c", 0, 1, 999), Unanswered(1_000, "c", True)], "lost"),
        ([*GOOD, Begun(2_000, "c", 0, 0, 997), Whole(2_100, "c", 0, 0)], "duplicate"),
        ([sent(), Left(1_000, "c"), Begun(S, "c", 0, 1, 1)], "after_close"),
        ([sent(), Begun(S, "c", 0, 1, 1_000), Answered(S, "c", 200, True)], "told"),
        ([Misbehaved(3 * S, 0, "x")], "bad_client"),
    ],
)
def test_each_rule_is_held(told: list[AnyEvent], rule: str) -> None:
    assert rules(told) == {rule}


def test_what_surely_never_ran_may_be_sent_again() -> None:
    told = [*GOOD, Rejected(1_500, "c", 1), Begun(2_000, "c", 0, 0, 997), Whole(2_100, "c", 0, 0)]
    assert not rules(told)


def test_a_keyed_repeat_stays_in_its_group_and_window() -> None:
    def repeat(server: int, at_us: int) -> list[AnyEvent]:
        first: list[AnyEvent] = [sent(class_name="reserve", budget_ms=9_000), Whole(1_000, "c", 0, 0)]
        return [*first, Whole(at_us, "c", 0, server), Answered(at_us, "c", 200, True)]

    assert not rules(repeat(2, 50_000))
    assert rules(repeat(1, 50_000)) == rules(repeat(2, 3 * S)) == {"duplicate"}


def test_a_kept_connection_may_end_under_a_request_that_nobody_has_begun() -> None:
    assert not rules(
        [
            sent(),
            Unanswered(1_000, "c", True),
            sent(2_000, again=True, fresh=True),
            Answered(3_000, "c", 200, True),
        ]
    )


def test_a_withdrawn_server_gets_nothing_after_word_counts() -> None:
    late: list[AnyEvent] = [sent(3 * S), Begun(3 * S, "c", 0, 1, 900), Answered(3 * S, "c", 200, True)]
    history = History(groups=GROUPS, withdrawals=[Withdrawal(1, 0)])
    assert rules(late, history) == {"drain"}
    history.unreachable = [(0, 0, 2 * S)]  # counts from discovery's return on
    assert not rules(late, history)
    history.unreachable, history.failing = [], [(0, 0, S)]  # and later where its own calls fail
    assert not rules(late, history)
    history.failing, history.withdrawals[0].until_us = [], S
    assert not rules(late, history)


def test_a_cold_server_bears_only_so_much() -> None:
    told: list[AnyEvent] = [Whole(n * 1_000, f"{n}", 0, 1) for n in range(1_000)]
    assert "cold" in rules(told, History(groups=GROUPS, restarts=[Restart(1, 0)]))
    assert "cold" not in rules(told[:50], History(groups=GROUPS, restarts=[Restart(1, 0)]))


def test_a_gateway_that_was_killed_owes_nothing() -> None:
    told: list[AnyEvent] = [sent(fresh=True), Unanswered(1_000, "c", True)]
    assert not rules(told, History(groups=GROUPS, kills=[(0, 900)]))
    assert rules(told, History(groups=GROUPS, kills=[(1, 900)])) == {"lost"}


def test_events_are_read_as_they_were_written_but_for_a_last_half(tmp_path: Path) -> None:
    journal = Journal(tmp_path / "a.events")
    for event in GOOD:
        journal.write(event)
    journal.file.write(b'{"type":"Se')
    assert events.read(tmp_path) == GOOD


def test_a_seed_draws_the_same_troubles_and_they_overlap() -> None:
    troubles = drawn(7, 60.0, 4, 6)
    assert troubles == drawn(7, 60.0, 4, 6) and troubles != drawn(8, 60.0, 4, 6)
    assert {trouble.kind for trouble in drawn(1, 600.0, 4, 6)} == set(Kind)
    overlapping = sum(other.at_s < one.at_s + one.length_s for one, other in pairwise(troubles))
    assert overlapping > len(troubles) / 2


def test_the_library_compiles_and_reads_what_it_is_told(tmp_path: Path) -> None:
    control = Control(tmp_path / "control", 3)
    control.set(Faults(accept_rate=7))
    names = control.environment(build(tmp_path))
    assert Path(names["LD_PRELOAD"]).exists() and control.failed == 0


# How busy this machine is shows in these
TIMED = {"late", "told", "after_close", "drain", "bad_client", "service"}


def test_a_short_soak_of_real_processes(tmp_path: Path) -> None:
    """Rules that no busy machine excuses; `lab soak` on idle cores holds all of them."""
    report = soak(4, Size(gateways=2, servers=4, clients=1, seconds=6.0), tmp_path)
    breaks = [one for one in report.breaks if one.rule not in TIMED]
    assert not breaks, "\n".join(map(str, [*breaks, *report.troubles]))
    assert report.sent > 50 and not report.without
