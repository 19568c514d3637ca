"""The soak's oracle, its draw, and one short soak of real processes."""

from __future__ import annotations

from itertools import pairwise
from pathlib import Path

import pytest

from sagetrack.lab.soak.events import (
    AnyEvent,
    AttemptReceived,
    AttemptStarted,
    ClientDisconnected,
    EventWriter,
    MalformedRequestIgnored,
    RequestRejected,
    RequestSent,
    ResponseMissing,
    ResponseReceived,
    read_events,
)
from sagetrack.lab.soak.fault_schedule import FaultKind, draw_schedule
from sagetrack.lab.soak.fleet import SoakSize
from sagetrack.lab.soak.history import GatewaySpan, GatewayTime, History, Restart, Withdrawal
from sagetrack.lab.soak.oracle import find_violations
from sagetrack.lab.soak.run import run_soak
from sagetrack.lab.soak.shim import FaultControl, SystemCallFaults, build_library

S = 1_000_000
GROUPS = {0: 0, 1: 1, 2: 0}


def sent(at_us: int = 0, class_name: str = "transfer", budget_ms: int = 1_000, **more: bool) -> RequestSent:
    return RequestSent(
        at_us, "c", class_name, budget_ms, 0, more.get("fresh", False), more.get("again", False)
    )


GOOD: list[AnyEvent] = [
    sent(),
    AttemptStarted(1_000, "c", 0, 1, 999),
    AttemptReceived(1_100, "c", 0, 1),
    ResponseReceived(30_000, "c", 200, True),
]


def rules(events: list[AnyEvent], history: History | None = None) -> set[str]:
    return {one.rule.value for one in find_violations(events, history or History(server_groups=GROUPS))}


def test_a_good_request_breaks_nothing() -> None:
    assert not rules(GOOD)


@pytest.mark.parametrize(
    ("events", "rule"),
    [
        ([sent(), ResponseReceived(30_000, "c", 200, False)], "wrong_answer"),
        ([sent(), ResponseReceived(2 * S, "c", 503, True)], "late"),
        ([sent(fresh=True), ResponseMissing(1_000, "c", True)], "lost"),
        ([sent(), ResponseMissing(2 * S, "c", False)], "lost"),
        ([sent(), AttemptStarted(500, "c", 0, 1, 999), ResponseMissing(1_000, "c", True)], "lost"),
        ([*GOOD, AttemptStarted(2_000, "c", 0, 0, 997), AttemptReceived(2_100, "c", 0, 0)], "duplicate"),
        ([sent(), ClientDisconnected(1_000, "c"), AttemptStarted(S, "c", 0, 1, 1)], "after_close"),
        ([sent(), AttemptStarted(S, "c", 0, 1, 1_000), ResponseReceived(S, "c", 200, True)], "told"),
        ([MalformedRequestIgnored(3 * S, 0, "x")], "bad_client"),
    ],
)
def test_each_rule_is_held(events: list[AnyEvent], rule: str) -> None:
    assert rules(events) == {rule}


def test_what_surely_never_ran_may_be_sent_again() -> None:
    events = [
        *GOOD,
        RequestRejected(1_500, "c", 1),
        AttemptStarted(2_000, "c", 0, 0, 997),
        AttemptReceived(2_100, "c", 0, 0),
    ]
    assert not rules(events)


def test_a_keyed_repeat_stays_in_its_group_and_window() -> None:
    def repeat(server: int, at_us: int) -> list[AnyEvent]:
        first: list[AnyEvent] = [
            sent(class_name="reserve", budget_ms=9_000),
            AttemptReceived(1_000, "c", 0, 0),
        ]
        return [*first, AttemptReceived(at_us, "c", 0, server), ResponseReceived(at_us, "c", 200, True)]

    assert not rules(repeat(2, 50_000))
    assert rules(repeat(1, 50_000)) == rules(repeat(2, 3 * S)) == {"duplicate"}


def test_a_kept_connection_may_end_under_a_request_that_nobody_has_begun() -> None:
    assert not rules(
        [
            sent(),
            ResponseMissing(1_000, "c", True),
            sent(2_000, again=True, fresh=True),
            ResponseReceived(3_000, "c", 200, True),
        ]
    )


def test_a_withdrawn_server_gets_nothing_after_word_counts() -> None:
    late: list[AnyEvent] = [
        sent(3 * S),
        AttemptStarted(3 * S, "c", 0, 1, 900),
        ResponseReceived(3 * S, "c", 200, True),
    ]
    history = History(server_groups=GROUPS, withdrawals=[Withdrawal(1, 0)])
    assert rules(late, history) == {"drain"}
    history.discovery_unreachable = [GatewaySpan(0, 0, 2 * S)]  # counts from discovery's return on
    assert not rules(late, history)
    history.discovery_unreachable = []
    history.system_call_faults = [GatewaySpan(0, 0, S)]  # and later where its own calls fail
    assert not rules(late, history)
    history.system_call_faults = []
    history.withdrawals[0].until_us = S
    assert not rules(late, history)


def test_a_cold_server_bears_only_so_much() -> None:
    events: list[AnyEvent] = [AttemptReceived(n * 1_000, f"{n}", 0, 1) for n in range(1_000)]
    assert "cold" in rules(events, History(server_groups=GROUPS, restarts=[Restart(1, 0)]))
    assert "cold" not in rules(events[:50], History(server_groups=GROUPS, restarts=[Restart(1, 0)]))


def test_a_gateway_that_was_killed_owes_nothing() -> None:
    events: list[AnyEvent] = [sent(fresh=True), ResponseMissing(1_000, "c", True)]
    assert not rules(events, History(server_groups=GROUPS, kills=[GatewayTime(0, 900)]))
    assert rules(events, History(server_groups=GROUPS, kills=[GatewayTime(1, 900)])) == {"lost"}


def test_a_gateway_that_was_down_owes_nothing() -> None:
    events: list[AnyEvent] = [sent(1_000, fresh=True), ResponseMissing(2_000, "c", True)]
    assert not rules(events, History(server_groups=GROUPS, down=[GatewaySpan(0, 500, 1_500)]))
    assert rules(events, History(server_groups=GROUPS, down=[GatewaySpan(0, 1_500, S)])) == {"lost"}
    assert rules(events, History(server_groups=GROUPS, down=[GatewaySpan(1, 500, 1_500)])) == {"lost"}


@pytest.mark.parametrize(("sent_us", "broken"), [(S // 2, {"lost"}), (S, set()), (7 * S, {"lost"})])
def test_a_gateway_owes_responses_for_a_moment_after_sigterm(sent_us: int, broken: set[str]) -> None:
    events: list[AnyEvent] = [sent(sent_us, fresh=True), ResponseMissing(sent_us + 1_000, "c", True)]
    assert rules(events, History(server_groups=GROUPS, sigterms=[GatewayTime(0, 0)])) == broken


def test_what_may_have_waited_in_the_listening_socket_is_excused() -> None:
    history = History(server_groups=GROUPS, down=[GatewaySpan(0, 100, S // 2)])
    assert not rules([sent(), AttemptStarted(S, "c", 0, 1, 1_000)], history)
    assert not rules([MalformedRequestIgnored(3 * S, 0, "x")], history)
    assert rules([MalformedRequestIgnored(4 * S, 0, "x")], history) == {"bad_client"}


def test_events_are_read_as_they_were_written_but_for_a_last_half(tmp_path: Path) -> None:
    writer = EventWriter(tmp_path / "a.events")
    for event in GOOD:
        writer.write(event)
    writer.file.write(b'{"type":"Re')
    assert read_events(tmp_path) == GOOD


def test_a_seed_draws_the_same_faults_and_they_overlap() -> None:
    faults = draw_schedule(7, 60.0, 4, 6)
    assert faults == draw_schedule(7, 60.0, 4, 6) and faults != draw_schedule(8, 60.0, 4, 6)
    assert {fault.kind for fault in draw_schedule(1, 600.0, 4, 6)} == set(FaultKind)
    overlapping = sum(other.at_s < one.at_s + one.duration_s for one, other in pairwise(faults))
    assert overlapping > len(faults) / 2


def test_the_library_compiles_and_reads_what_it_is_told(tmp_path: Path) -> None:
    control = FaultControl(tmp_path / "control", 3)
    control.set(SystemCallFaults(accept_rate=7))
    names = control.environment(build_library(tmp_path))
    assert Path(names["LD_PRELOAD"]).exists() and control.failed_calls == 0


# How busy this machine is shows in these
TIMED = {"late", "told", "after_close", "drain", "bad_client", "service"}


def test_a_short_soak_of_real_processes(tmp_path: Path) -> None:
    """Rules that no busy machine excuses; `lab soak` on idle cores holds all of them."""
    report = run_soak(4, SoakSize(gateways=2, servers=4, client_processes=1, seconds=6.0), tmp_path)
    violations = [one for one in report.violations if one.rule.value not in TIMED]
    assert not violations, "\n".join(map(str, [*violations, *report.faults]))
    assert report.sent > 50 and not report.limitations
