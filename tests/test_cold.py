"""Cold servers under the sum of what all gateways send: the judge, its planted faults, the virtual fleet."""

from __future__ import annotations

import json
import math
from dataclasses import replace

import pytest
from typer.testing import CliRunner

from sagetrack.cli.app import app
from sagetrack.lab.analysis.records import Record, Records
from sagetrack.lab.analysis.warm_up import cold_sum, warm_up_windows
from sagetrack.lab.benchmarks.slow_start import CASES, Case, SlowStartGateways, measure
from sagetrack.lab.benchmarks.slow_start_figures import figures
from sagetrack.lab.model.scenario import Fleet, RequestClass, Scenario
from sagetrack.lab.virtual.faulty_gateways import COLD_FAULTS, COLD_SHOWN_BY
from sagetrack.lab.virtual.simulation import play
from sagetrack.policy.events import ObservationsReceived

# The judge and the figures, on records made by hand: a server that starts at 1 s with a fifth of its
# capacity is warm at 11 s and bears 4 times what it has. A call is 100 ms of work, a window 3 s.

SCENARIO = Scenario(
    name="cold",
    fleet=Fleet(servers=1, gateways=2, cold_share=0.2, cold_s=10, fall_multiple=4, fall_s=3),
    classes=[RequestClass(name="lookup", work_ms=100)],
)
STARTED_US = 1_000_000
PLANNED = 4 * 0.2 * 3 / 0.1  # N of the first window: 24 calls
BUDGET = math.floor(PLANNED + 2 * math.sqrt(PLANNED) + 2)  # 35


def records_of(arrivals: list[int], work_us: int = 100_000, verdict: str = "taken") -> Records:
    """A cold server 2 beside a warm server 1, and calls that reach it at these times, by turns of two
    gateways."""
    records = Records({"seed": 1})
    records.rows = [("start", 0, 1, 0, 0, 0, 1.0), ("start", STARTED_US, 2, 0, 1, 1, 1.0)]
    for n, at in enumerate(arrivals):
        rows: list[Record] = [
            ("ask", at - 2_000, f"{n}", n % 2, 0, 0, 500_000, None, f"r{n}", 1),
            ("recv", at, f"{n}", 2, n % 2, verdict, work_us, at - 1_000),
        ]
        records.rows += rows
    return records


def burst(count: int, at_us: int = STARTED_US + 10) -> list[int]:
    return [at_us + n for n in range(count)]


@pytest.mark.parametrize("verdict", ["taken", "rejected", "lost"])
def test_one_call_beyond_chance_is_a_break_whoever_sent_it_and_whatever_became_of_it(verdict: str) -> None:
    assert not list(cold_sum(records_of(burst(BUDGET), verdict=verdict), SCENARIO))
    found = list(cold_sum(records_of(burst(BUDGET + 4), verdict=verdict), SCENARIO))
    assert [(v.rule, v.server, v.call) for v in found] == [("cold_sum", 2, f"{BUDGET}")]  # once a server


def test_n_goes_by_the_warmth_when_the_window_begins() -> None:
    late = STARTED_US + 5_000_000  # the window begins 2 s after the start: 0.2 + 0.8 * 0.2
    (window,) = warm_up_windows(records_of([late]), SCENARIO)
    assert window.planned == pytest.approx(4 * 0.36 * 3 / 0.1)
    early = STARTED_US + 2_000_000  # it would begin before the start
    (window,) = warm_up_windows(records_of([early]), SCENARIO)
    assert window.planned == pytest.approx(PLANNED)


def test_a_window_holds_what_came_within_its_span_and_not_before() -> None:
    span = 3_000_000
    first = STARTED_US + 10
    windows = list(warm_up_windows(records_of([first, first + 1, first + span, first + span + 1]), SCENARIO))
    assert [window.calls for window in windows] == [1, 2, 2, 2]


def test_calls_count_by_their_classes_mean_and_work_as_it_was_drawn() -> None:
    (window,) = warm_up_windows(records_of([STARTED_US + 10], work_us=250_000), SCENARIO)
    assert (window.calls, window.work) == (1.0, 2.5)


def test_a_server_that_is_warm_is_not_judged() -> None:
    assert not list(warm_up_windows(records_of(burst(200, STARTED_US + 10_000_000)), SCENARIO))
    warm = records_of(burst(200))
    warm.rows[1] = (*warm.rows[1][:5], 0, 1.0)
    assert not list(warm_up_windows(warm, SCENARIO))


def test_used_is_held_against_what_the_server_could_do_while_there_was_work() -> None:
    """Asked for: 20 calls of 100 ms a second, two cores' worth. The warm server does one of them, and the
    cold one could do its own share of a core, 7.8 s of work in its first 12 s."""
    records = records_of([n * 50_000 for n in range(1, 280)])
    made = figures(records, SCENARIO, "x")
    assert made.usable_requests == pytest.approx(80, rel=0.03)
    assert made.received_requests == pytest.approx(80, rel=0.03)  # it was sent more than it could do
    assert made.used_share == 1.0 and made.cold_servers == 1
    half = records_of([n * 100_000 for n in range(1, 140)])  # the warm server could do all of it
    assert figures(half, SCENARIO, "x").usable_requests < 1


# The virtual fleet

SHORT_S = 5.5  # of a play here: the cold ones come at 3.3 s


@pytest.mark.parametrize("fault", COLD_FAULTS)
def test_each_planted_fault_breaks_the_rule(fault: str) -> None:
    seconds = 7.0 if fault == "three-for-granted" else SHORT_S
    made, found = measure(CASES[COLD_SHOWN_BY[fault]], 30, 1, fault, seconds=seconds)
    assert made.windows_over_budget > 0 and made.max_window_requests > 1.0
    assert "cold_sum" in {violation.rule for violation in found}


@pytest.mark.parametrize(
    ("gateways", "case"), [(3, "most"), *((20, case) for case in CASES), (30, "most-jump")]
)
def test_correct_gateways_stay_within_the_budget(gateways: int, case: str) -> None:
    made, found = measure(CASES[case], gateways, 1, seconds=6.5)
    assert not found
    assert made.windows > 0 and 0.0 < made.max_window_requests <= 1.0
    assert made.cold_servers == (3 if "few" in case else 15)


def test_the_verdict_is_the_same_every_time() -> None:
    one, two = (measure(CASES["overlap"], 5, 4, seconds=5.0) for _ in range(2))
    assert one == two


class Noting(SlowStartGateways):
    """Keeps when the number of the living was told, and what each process then shares by."""

    told: list[tuple[int, int, set[int]]]
    whole: list[bool]  # for each end: whether all that was known then is kept

    def kill(self, gateway: int) -> None:
        sights, latencies = self.up[gateway].balancer.own_observations()
        super().kill(gateway)
        self.whole.append(self.kept.get(gateway) == ObservationsReceived(tuple(sights), tuple(latencies)))

    def announce_fleet_size(self, alive: int) -> None:
        super().announce_fleet_size(alive)
        self.told.append(
            (self.clock.now_us(), alive, {p.load_balancer.fleet.gateways for p in self.up.values()})
        )


def watched(case: Case, seconds: float, gateways: int = 10) -> tuple[Noting, Records]:
    """The fleet of a case after its play, and the records."""
    fleets: list[Noting] = []

    def make(*arguments: object) -> Noting:
        fleets.append(Noting(case, *arguments))  # type: ignore[arg-type]
        fleets[0].told, fleets[0].whole = [], []
        return fleets[0]

    records = play(case.scenario(gateways, seconds), 1, fleet=make)
    return fleets[0], records


def test_the_number_of_the_living_is_told_late() -> None:
    fleet, _ = watched(CASES["late-number"], 6.0)
    assert fleet.told[3] == (
        5_500_000,
        6,
        {8},
    )  # four died at 0.5 s; a quarter of the shares may be taken over


def test_old_and_new_process_take_calls_together_and_halve_their_part() -> None:
    fleet, records = watched(replace(CASES["overlap"], overlap_s=1000.0), 6.0)
    assert sorted(fleet.old_processes) == sorted(fleet.up) == list(range(10))
    assert all(
        p.load_balancer.fleet.processes == 2 for n in range(10) for p in (fleet.up[n], fleet.old_processes[n])
    )
    came = sum(row[1] >= 3_500_000 and row[9] == 1 for row in records.of("ask"))  # first tries
    new = sum(p.load_balancer.priorities.first_tries[0] for p in fleet.up.values())
    assert 0.4 < new / came < 0.6


def test_the_new_process_has_its_whole_part_when_the_old_one_has_left() -> None:
    fleet, _ = watched(replace(CASES["overlap"], overlap_s=0.5), 5.0)
    assert not fleet.old_processes and len(fleet.up) == 10
    assert all(p.load_balancer.fleet.processes == 1 for p in fleet.up.values())


def test_gateways_that_end_in_order_keep_what_they_spent_up_to_their_end() -> None:
    fleet, _ = watched(CASES["restarts"], 6.0, 3)
    assert len(fleet.whole) >= 9 and all(fleet.whole)
    killed, _ = watched(CASES["deaths"], 6.0)
    assert killed.whole and not all(killed.whole)  # these keep it once a second


# The command


@pytest.mark.parametrize(
    ("words", "why"),
    [
        (("--gateways", "0"), "--gateways 0: each is from 1 to 1000"),
        (("--gateways", "3,1001"), "--gateways 3,1001: each is from 1 to 1000"),
        (("--gateways", "many"), "--gateways many: the form is 3,20,30"),
        (("--case", "most,none"), "--case most,none: there are most, few"),
        (("--seed", "-1"), "--seed -1: it is from 0"),
        (("--seeds", "0"), "--seeds 0: they are from 1"),
        (("--fault", "crowds-cold"), "--fault crowds-cold: allowed are counts-others-only"),
    ],
)
def test_options_out_of_range_are_one_plain_line_and_2(words: tuple[str, ...], why: str) -> None:
    done = CliRunner().invoke(app, ["lab", "slow-start", *words])
    assert done.exit_code == 2 and done.stdout == ""
    assert done.stderr.count("\n") == 1 and done.stderr.startswith(f"sagetrack: {why}")


def test_the_command_gives_the_figures_of_each_play_as_json() -> None:
    words = ["lab", "slow-start", "--gateways", "2", "--case", "few", "--seed", "3", "--json"]
    done = CliRunner().invoke(app, words)
    assert done.exit_code == 0
    (row,) = json.loads(done.stdout)
    assert (row["gateways"], row["case"], row["seed"], row["cold"]) == (2, "few", 3, 3)
    assert row["past_budget"] == 0 and row["broken"] == [] and row["windows"] > 0 < row["used"] <= 1
