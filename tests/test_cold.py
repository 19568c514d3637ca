"""Load of all gateways together on cold servers: the judge `cold_sum`, the deliberate faults that it must
detect, and correct gateways on the virtual fleet.
"""

from __future__ import annotations

import json
import math
from dataclasses import replace

import pytest
from typer.testing import CliRunner

from sagetrack.cli.app import app
from sagetrack.lab.analysis.records import Record, Records
from sagetrack.lab.analysis.warm_up import check_cold_sum, warm_up_windows
from sagetrack.lab.benchmarks.slow_start import CASES, Case, SlowStartGateways, measure
from sagetrack.lab.benchmarks.slow_start_figures import figures
from sagetrack.lab.model.scenario import Fleet, RequestClass, Scenario
from sagetrack.lab.virtual.faulty_gateways import SLOW_START_FAULT_CASES, SLOW_START_FAULTS
from sagetrack.lab.virtual.simulation import simulate
from sagetrack.policy.events import ObservationsReceived

# The judge and the figures, on handmade records: a server starts at 1 s with a fifth of its capacity, is warm
# at 11 s, and tolerates 4 times its current capacity. A call is 100 ms of work; a window is 3 s.

SCENARIO = Scenario(
    name="cold",
    fleet=Fleet(servers=1, gateways=2, cold_share=0.2, cold_s=10, fall_multiple=4, fall_s=3),
    classes=[RequestClass(name="lookup", work_ms=100)],
)
STARTED_US = 1_000_000
PLANNED = 4 * 0.2 * 3 / 0.1  # calls that the settings allow in the first window: 24
BUDGET = math.floor(PLANNED + 2 * math.sqrt(PLANNED) + 2)  # 35


def records_of(arrivals: list[int], work_us: int = 100_000, verdict: str = "taken") -> Records:
    """Records of a warm server 1 and a cold server 2, which receives calls at these times.

    Two gateways send the calls alternately.
    """
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
def test_calls_over_the_budget_violate_the_rule_whatever_their_verdict(verdict: str) -> None:
    assert not list(check_cold_sum(records_of(burst(BUDGET), verdict=verdict), SCENARIO))
    violations = list(check_cold_sum(records_of(burst(BUDGET + 4), verdict=verdict), SCENARIO))
    # Violations are reported once per server.
    assert [(v.rule, v.server, v.call) for v in violations] == [("cold_sum", 2, f"{BUDGET}")]


def test_the_planned_calls_follow_the_capacity_at_the_start_of_the_window() -> None:
    late = STARTED_US + 5_000_000  # the window begins 2 s after the start; the capacity is 0.2 + 0.8 * 0.2
    (window,) = warm_up_windows(records_of([late]), SCENARIO)
    assert window.planned_calls == pytest.approx(4 * 0.36 * 3 / 0.1)
    early = STARTED_US + 2_000_000  # the window would begin before the server starts
    (window,) = warm_up_windows(records_of([early]), SCENARIO)
    assert window.planned_calls == pytest.approx(PLANNED)


def test_a_window_contains_only_the_calls_within_its_span() -> None:
    span = 3_000_000
    first = STARTED_US + 10
    windows = list(warm_up_windows(records_of([first, first + 1, first + span, first + span + 1]), SCENARIO))
    assert [window.calls for window in windows] == [1, 2, 2, 2]


def test_calls_count_by_the_mean_work_of_their_class_and_work_by_the_drawn_work() -> None:
    (window,) = warm_up_windows(records_of([STARTED_US + 10], work_us=250_000), SCENARIO)
    assert (window.calls, window.work) == (1.0, 2.5)


def test_warm_servers_are_not_judged() -> None:
    assert not list(warm_up_windows(records_of(burst(200, STARTED_US + 10_000_000)), SCENARIO))
    warm = records_of(burst(200))
    warm.rows[1] = (*warm.rows[1][:5], 0, 1.0)
    assert not list(warm_up_windows(warm, SCENARIO))


def test_used_capacity_is_relative_to_the_capacity_that_the_load_could_use() -> None:
    """The offered load is 20 calls of 100 ms per second, enough for two cores.

    The warm server does the work of one core. The cold server can do 7.8 s of work in its first 12 s.
    """
    records = records_of([n * 50_000 for n in range(1, 280)])
    measured = figures(records, SCENARIO, "x")
    assert measured.usable_requests == pytest.approx(80, rel=0.03)
    assert measured.received_requests == pytest.approx(80, rel=0.03)  # it receives more than it can do
    assert measured.used_share == 1.0 and measured.cold_servers == 1
    half = records_of([n * 100_000 for n in range(1, 140)])  # the warm server alone can do all the work
    assert figures(half, SCENARIO, "x").usable_requests < 1


# The virtual fleet

SHORT_S = 5.5  # length of a run; the cold servers start at 3.3 s


@pytest.mark.parametrize("fault", SLOW_START_FAULTS)
def test_each_deliberate_fault_violates_the_rule(fault: str) -> None:
    seconds = 7.0 if fault == "three-for-granted" else SHORT_S
    measured, violations = measure(CASES[SLOW_START_FAULT_CASES[fault]], 30, 1, fault, seconds=seconds)
    assert measured.windows_over_budget > 0 and measured.max_window_requests > 1.0
    assert "cold_sum" in {violation.rule for violation in violations}


@pytest.mark.parametrize(
    ("gateways", "case"), [(3, "most"), *((20, case) for case in CASES), (30, "most-jump")]
)
def test_correct_gateways_stay_within_the_budget(gateways: int, case: str) -> None:
    measured, violations = measure(CASES[case], gateways, 1, seconds=6.5)
    assert not violations
    assert measured.windows > 0 and 0.0 < measured.max_window_requests <= 1.0
    assert measured.cold_servers == (3 if "few" in case else 15)


def test_the_same_seed_gives_the_same_verdict() -> None:
    one, two = (measure(CASES["overlap"], 5, 4, seconds=5.0) for _ in range(2))
    assert one == two


class RecordingGateways(SlowStartGateways):
    """Records the announcements of the fleet size, and whether observations are saved when a gateway ends."""

    announced: list[tuple[int, int, set[int]]]  # time, running gateways, and the sizes that processes assume
    saved: list[bool]  # for each end of a gateway: whether its latest observations are in its store

    def kill(self, gateway: int) -> None:
        observations, latencies = self.running[gateway].balancer.own_observations()
        super().kill(gateway)
        self.saved.append(
            self.stored_observations.get(gateway)
            == ObservationsReceived(tuple(observations), tuple(latencies))
        )

    def announce_fleet_size(self, alive: int) -> None:
        super().announce_fleet_size(alive)
        self.announced.append(
            (self.clock.now_us(), alive, {p.load_balancer.fleet.gateways for p in self.running.values()})
        )


def run_case(case: Case, seconds: float, gateways: int = 10) -> tuple[RecordingGateways, Records]:
    """Run a case; returns its gateways and its records."""
    fleets: list[RecordingGateways] = []

    def make(*arguments: object) -> RecordingGateways:
        fleets.append(RecordingGateways(case, *arguments))  # type: ignore[arg-type]
        fleets[0].announced, fleets[0].saved = [], []
        return fleets[0]

    records = simulate(case.scenario(gateways, seconds), 1, fleet=make)
    return fleets[0], records


def test_the_fleet_size_is_announced_with_a_delay() -> None:
    fleet, _ = run_case(CASES["late-number"], 6.0)
    # Four of ten gateways die at 0.5 s. The others may take over at most a quarter of the shares.
    assert fleet.announced[3] == (5_500_000, 6, {8})


def test_old_and_new_process_both_receive_calls_and_halve_their_share() -> None:
    fleet, records = run_case(replace(CASES["overlap"], overlap_s=1000.0), 6.0)
    assert sorted(fleet.old_processes) == sorted(fleet.running) == list(range(10))
    assert all(
        p.load_balancer.fleet.processes == 2
        for n in range(10)
        for p in (fleet.running[n], fleet.old_processes[n])
    )
    sent = sum(row[1] >= 3_500_000 and row[9] == 1 for row in records.rows_of("ask"))  # first attempts
    new = sum(p.load_balancer.priorities.first_tries[0] for p in fleet.running.values())
    assert 0.4 < new / sent < 0.6


def test_the_new_process_has_its_full_share_once_the_old_one_has_ended() -> None:
    fleet, _ = run_case(replace(CASES["overlap"], overlap_s=0.5), 5.0)
    assert not fleet.old_processes and len(fleet.running) == 10
    assert all(p.load_balancer.fleet.processes == 1 for p in fleet.running.values())


def test_gateways_that_shut_down_in_order_save_their_latest_observations() -> None:
    fleet, _ = run_case(CASES["restarts"], 6.0, 3)
    assert len(fleet.saved) >= 9 and all(fleet.saved)
    killed, _ = run_case(CASES["deaths"], 6.0)
    assert killed.saved and not all(killed.saved)  # killed gateways have only saved once a second


# The command


@pytest.mark.parametrize(
    ("options", "message"),
    [
        (("--gateways", "0"), "--gateways 0: each is from 1 to 1000"),
        (("--gateways", "3,1001"), "--gateways 3,1001: each is from 1 to 1000"),
        (("--gateways", "many"), "--gateways many: the form is 3,20,30"),
        (("--case", "most,none"), "--case most,none: allowed are most, few"),
        (("--seed", "-1"), "--seed -1: it must be from 0"),
        (("--seeds", "0"), "--seeds 0: they must be from 1"),
        (("--fault", "crowds-cold"), "--fault crowds-cold: allowed are counts-others-only"),
    ],
)
def test_invalid_options_give_one_line_and_exit_code_2(options: tuple[str, ...], message: str) -> None:
    result = CliRunner().invoke(app, ["lab", "slow-start", *options])
    assert result.exit_code == 2 and result.stdout == ""
    assert result.stderr.count("\n") == 1 and result.stderr.startswith(f"sagetrack: {message}")


def test_the_command_prints_the_figures_of_each_run_as_json() -> None:
    command = ["lab", "slow-start", "--gateways", "2", "--case", "few", "--seed", "3", "--json"]
    result = CliRunner().invoke(app, command)
    assert result.exit_code == 0
    (row,) = json.loads(result.stdout)
    assert (row["gateways"], row["case"], row["seed"], row["cold"]) == (2, "few", 3, 3)
    assert row["past_budget"] == 0 and row["broken"] == [] and row["windows"] > 0 < row["used"] <= 1
