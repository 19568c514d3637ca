"""The lab in virtual time: validation of scenarios, reproducible runs, the judges, and resumable sweeps."""

from __future__ import annotations

import json
import math
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sagetrack.config.errors import FileError
from sagetrack.lab.analysis.figures import compute_figures
from sagetrack.lab.analysis.judges import RULES, find_violations
from sagetrack.lab.analysis.records import (
    TYPES,
    CallAnswered,
    CallSent,
    Record,
    Records,
    ServerStarted,
    read_records,
)
from sagetrack.lab.benchmarks import sweep as sweeps
from sagetrack.lab.benchmarks.comparison import compare
from sagetrack.lab.model.idempotency_keys import IdempotencyKeys
from sagetrack.lab.model.scenario import DegradationRules, Fleet, Scenario, load_scenario, with_overrides
from sagetrack.lab.model.server import Job, Result, Server
from sagetrack.lab.virtual.faulty_gateways import DETECTED_BY, FAULTS
from sagetrack.lab.virtual.simulation import simulate

SCENARIOS = Path(__file__).parent.parent / "scenarios"
SHORT = with_overrides(load_scenario(SCENARIOS / "three-troubles.toml"), {"seconds": 22.0})


# Scenarios


@pytest.mark.parametrize("path", sorted(SCENARIOS.glob("*.toml")), ids=lambda path: path.stem)
def test_each_bundled_scenario_is_valid(path: Path) -> None:
    scenario = load_scenario(path)
    assert scenario.name == path.stem and scenario.about


def test_an_invalid_value_is_reported_with_its_line(tmp_path: Path) -> None:
    path = tmp_path / "typo.toml"
    path.write_text('name = "typo"\n[[trouble]]\nkind = "slwo"\nat_s = 90\n')
    with pytest.raises(FileError) as caught:
        load_scenario(path)
    assert caught.value.faults[0].startswith(
        f'{path}:3: trouble[1].kind = "slwo" is not allowed; it must be one of burst'
    )


def test_faults_that_types_cannot_express_are_reported() -> None:
    with pytest.raises(FileError, match="after the last arrival"):
        with_overrides(SHORT, {"seconds": 5.0})
    with pytest.raises(FileError, match="no such key"):
        with_overrides(SHORT, {"fleet.serverz.x": 1})


# The server model


class ServerRig:
    """A server under test, which records the result of each job and whether the job had an effect."""

    def __init__(
        self, cold: bool = False, keys: dict[str, IdempotencyKeys] | None = None, **fleet_settings: object
    ) -> None:
        keys = keys or {"all": IdempotencyKeys(), "zone": IdempotencyKeys(), "rack": IdempotencyKeys()}
        fleet = Fleet(speed=(1.0, 1.0), **fleet_settings)  # type: ignore[arg-type]
        self.effects: list[bool] = []
        self.results: list[tuple[int, Result]] = []
        self.server = Server(
            1, fleet, 0, 0, 1.0, 0, cold, keys, lambda job, effect: self.effects.append(effect)
        )

    def send(self, now_us: int, work_us: float = 10_000, key: int | None = None) -> Result | None:
        job = Job(
            "c",
            work_us,
            key,
            5_000_000,
            "rack",
            10**9,
            lambda job, result: self.results.append((self.server.now_us, result)),
        )
        return self.server.receive(now_us, job)


def test_a_server_processes_its_queue_and_rejects_requests_beyond_it() -> None:
    rig = ServerRig(waiting_per_core=2)
    assert [rig.send(0) for _ in range(4)] == [None, None, None, Result.REJECTED]
    rig.server.advance(1_000_000)
    assert rig.results == [(10_000, Result.SERVED), (20_000, Result.SERVED), (30_000, Result.SERVED)]


def test_requests_that_complete_at_the_same_time_all_end() -> None:
    rig = ServerRig(cores=4)
    for _ in range(9):
        rig.send(0)
    for _ in range(3):
        next_us = rig.server.next_event_us()
        assert next_us is not None
        rig.server.advance(next_us)
    assert [now for now, _ in rig.results] == [10_000] * 4 + [20_000] * 4 + [30_000]


def test_a_cold_server_is_slow_and_crashes_under_overload() -> None:
    rig = ServerRig(cold=True, cold_share=0.2, cold_s=10.0, fall_multiple=4.0, fall_s=3.0)
    rig.send(0)
    rig.server.advance(200_000)
    # The server has a fifth of its speed at the start, and slightly more at the end of the request.
    assert 49_000 <= rig.results[0][0] <= 50_000
    budget_us = 1.1 * 4.0 * 0.2 * 3_000_000
    sent_work_us = 0.0
    while not rig.server.down:
        sent_work_us += 50_000
        rig.send(200_001, 50_000)
        assert sent_work_us < 2 * budget_us
    assert budget_us - 100_000 <= sent_work_us <= budget_us * 1.1
    assert rig.results[-1][1] is Result.RESET


def test_an_overloaded_server_stays_slow_until_it_has_been_mostly_idle() -> None:
    choke = DegradationRules(
        queue_per_core=2, overloaded_s=0.5, slowdown=4.0, calm_s=2.0, calm_utilization=0.3, max_s=60.0
    )
    rig = ServerRig(choke=choke)
    for _ in range(15):
        rig.send(0, 200_000)
    rig.server.advance(1_000_000)
    assert rig.server.is_degraded
    assert math.isclose(rig.server.rate(1_000_000), 0.25)
    while rig.server.request_count:
        rig.server.advance(rig.server.now_us + 100_000)
    idle_since_us = rig.server.now_us
    assert rig.server.is_degraded
    rig.server.advance(idle_since_us + 1_000_000)
    assert rig.server.is_degraded
    rig.server.advance(idle_since_us + 4_000_000)
    assert not rig.server.is_degraded


def test_a_key_has_one_effect_per_rack_within_its_window() -> None:
    shared_keys = {"all": IdempotencyKeys(), "zone": IdempotencyKeys(), "rack": IdempotencyKeys()}
    first, same_rack = ServerRig(keys=shared_keys), ServerRig(keys=shared_keys)
    other_rack = ServerRig()
    first.send(0, key=7)
    same_rack.send(1_000, key=7)
    other_rack.send(1_000, key=7)
    same_rack.send(5_100_000, key=7)
    assert (first.effects, same_rack.effects, other_rack.effects) == ([True], [False, True], [True])


@settings(max_examples=60)
@given(st.lists(st.tuples(st.integers(0, 50_000), st.floats(1.0, 80_000.0)), min_size=1, max_size=60))
def test_every_accepted_request_ends_once(steps: list[tuple[int, float]]) -> None:
    rig = ServerRig(cores=2, waiting_per_core=5, choke=DegradationRules(queue_per_core=1, overloaded_s=0.05))
    now, accepted = 0, 0
    for wait, work in steps:
        now += wait
        accepted += rig.send(now, work) is None
    while rig.server.request_count:
        next_us = rig.server.next_event_us()
        assert next_us is not None
        rig.server.advance(next_us)
    assert len(rig.results) == accepted


# Runs


def test_the_same_seed_gives_the_same_records_with_one_process_and_with_four(tmp_path: Path) -> None:
    records_text = "".join(simulate(SHORT, 3).lines())
    assert records_text == "".join(simulate(SHORT, 3).lines()) != "".join(simulate(SHORT, 4).lines())
    jobs = sweeps.plan(SHORT, range(1, 5), {})
    rows_of_four = sweeps.sweep(jobs, tmp_path / "four", 4)
    rows_of_one = sweeps.sweep(jobs, tmp_path / "one", 1)
    for row in (*rows_of_four, *rows_of_one):
        del row["wall_s"]
    assert rows_of_four == rows_of_one


def test_records_survive_a_round_trip_and_a_truncated_line_is_skipped(tmp_path: Path) -> None:
    records = simulate(with_overrides(SHORT, {"seconds": 22.0, "load.use": 0.05}), 1)
    for name in ("r.jsonl", "r.gz"):
        records.write(tmp_path / name)
        assert read_records(tmp_path / name).rows == records.rows
    content = (tmp_path / "r.jsonl").read_bytes()
    (tmp_path / "cut").write_bytes(content[:-9])
    assert read_records(tmp_path / "cut").rows == records.rows[:-1]


def test_typed_records_equal_the_plain_tuples() -> None:
    runs = [
        simulate(SHORT, 1, sample_s=0.5),
        *(simulate(load_scenario(SCENARIOS / f"{n}.toml"), 1) for n in ("flood", "rolling-deploy")),
    ]
    for records in runs:
        assert all(TYPES[row[0]](*row) == row for row in records.rows)
        assert list(records.of_type(ServerStarted)) == list(records.rows_of("start"))
        assert list(records.of_types(CallSent, CallAnswered)) == list(records.rows_of("ask", "answer"))
        assert records.last_us() == max(row[1] for row in records.rows)
    seen_kinds = {row[0] for records in runs for row in records.rows}
    # "dns" and "late" records occur in real time only, "gone" only if clients stop waiting.
    assert set(TYPES) - seen_kinds == {"dns", "late", "gone"}


@pytest.mark.parametrize("name", ["everyday", "rolling-deploy", "all-at-once", "partition"])
def test_no_rule_is_violated_and_expectations_hold(name: str) -> None:
    scenario = load_scenario(SCENARIOS / f"{name}.toml")
    records = simulate(scenario, 2)
    violations = find_violations(records, scenario)
    assert not violations
    assert compute_figures(records, scenario, violations).expect_held


@pytest.mark.parametrize("fault", FAULTS)
def test_each_deliberate_fault_is_detected(fault: str) -> None:
    scenario_name, rule = DETECTED_BY[fault]
    scenario = load_scenario(SCENARIOS / f"{scenario_name}.toml")
    violations = [v for v in find_violations(simulate(scenario, 1, fault=fault), scenario) if v.rule == rule]
    assert violations and violations[0].call and violations[0].time_us > 0


# Judges, on handwritten records

KEYED = Scenario(name="k")
BASE: list[Record] = [
    ("start", 0, 1, 0, 0, 0, 1.0),
    ("start", 0, 2, 0, 1, 0, 1.0),
    ("ask", 1_000, "c", 0, 0, 0, 500_000, 5, "1", 1),
    ("recv", 2_000, "c", 1, 0, "taken", 100, 1_500),
]
END: Record = ("told", 9**9, 0, 1, "SERVING")
DRAIN: Record = ("told", 3_000, 0, 2, "DRAINING")
COLD: Record = ("start", 4_000, 3, 0, 0, 1, 1.0)
SERVED: Record = ("answer", 3_000, "c", 0, "served", 0)
RACK = {"class.1.effect": "keyed", "class.1.scope": "rack"}


@pytest.mark.parametrize(
    ("rule", "settings", "added"),
    [
        ("", {}, [SERVED]),
        ("", {}, [("gateway", 90_000, 0, "down"), ("answer", 90_000, "c", 0, "broken", 0), END]),
        ("one_answer", {}, [SERVED, ("answer", 4_000, "c", 0, "refused", 0)]),
        ("one_answer", {}, [("answer", 4_000, "c", 0, "broken", 0)]),
        ("one_answer", {}, [("told", 900_000, 0, 1, "SERVING")]),
        ("", {}, [("gateway", 500, 0, "down"), ("answer", 4_000, "c", 0, "broken", 0)]),
        (
            "one_answer",
            {},
            [("gateway", 500, 0, "down"), ("gateway", 800, 0, "up"), ("answer", 4_000, "c", 0, "broken", 0)],
        ),
        ("", RACK, [("recv", 2_500, "c", 1, 0, "taken", 100, 2_500), SERVED]),
        ("repeats", RACK, [("recv", 2_500, "c", 2, 0, "taken", 100, 2_500), SERVED]),
        ("repeats", RACK, [("recv", 6_000_000, "c", 1, 0, "taken", 100, 6_000_000), SERVED]),
        ("repeats", RACK, [("answer", 3_000, "c", 0, "refused", 0)]),
        ("repeats", {"class.1.effect": "unsafe"}, [("recv", 2_500, "c", 2, 0, "taken", 100, 2_500), SERVED]),
        ("", {"class.1.effect": "unsafe"}, [("recv", 2_500, "c", 2, 0, "rejected", 100, 2_500), SERVED]),
        ("drains", {}, [SERVED, DRAIN, ("recv", 3 * 10**6, "d", 2, 0, "rejected", 1, 3 * 10**6)]),
        ("", {}, [SERVED, DRAIN, ("recv", 2 * 10**6, "d", 2, 0, "taken", 1, 2 * 10**6)]),
        ("cold_budget", {}, [SERVED, COLD, ("recv", 5_000, "d", 3, 0, "taken", 3_000_000, 5_000)]),
        ("", {}, [SERVED, COLD, ("recv", 5_000, "d", 3, 0, "taken", 2_000_000, 5_000)]),
    ],
)
def test_judges_report_exactly_the_violated_rule(
    rule: str, settings: dict[str, object], added: list[Record]
) -> None:
    records = Records()
    records.rows = BASE + added
    violated = {violation.rule for violation in find_violations(records, with_overrides(KEYED, settings))}
    assert violated == ({rule} if rule else set())


def test_a_delayed_refusal_is_detected() -> None:
    records = Records()
    request = ("ask", 0, "c", 0, 0, 0, 3_000_000, None, "1", 1)
    for time, late in ((100_000, False), (2_900_000, True)):
        records.rows = [request, ("answer", time, "c", 0, "refused", 0)]
        assert [v.rule for v in find_violations(records, KEYED)] == (["late_refusals"] if late else [])
    assert "late_refusals" in RULES


# Sweeps


def test_an_interrupted_sweep_resumes_where_it_stopped(tmp_path: Path) -> None:
    light_load = with_overrides(SHORT, {"load.use": 0.05})
    jobs = sweeps.plan(light_load, range(1, 4), {"clients.retries": [0, 2]})
    out = tmp_path / "out.jsonl"
    rows = sweeps.sweep(jobs, out, 2)
    assert len(rows) == 6 and {row["settings"]["clients.retries"] for row in rows} == {0, 2}
    lines = out.read_text().splitlines()
    out.write_text("\n".join(lines[:4]) + "\n" + lines[4][:40])
    resumed = sweeps.sweep(jobs, out, 2)
    wall_times = {json.loads(line)["id"]: json.loads(line)["wall_s"] for line in lines[:4]}
    assert [row["service"] for row in resumed] == [row["service"] for row in rows]
    assert all(row["wall_s"] == wall_times[row["id"]] for row in resumed if row["id"] in wall_times)


def test_a_comparison_pairs_seeds_and_distinguishes_noise(tmp_path: Path) -> None:
    def write(name: str, values: list[float]) -> Path:
        rows = [{"id": f"{n}", "scenario": "s", "seed": n, "service": v} for n, v in enumerate(values)]
        (tmp_path / name).write_text("".join(json.dumps(row) + "\n" for row in rows))
        return tmp_path / name

    a = write("a", [0.90, 0.80, 0.95, 0.85])
    comparison = compare(a, write("b", [0.92, 0.82, 0.97, 0.87]))
    assert (
        comparison.is_significant
        and math.isclose(comparison.difference, 0.02)
        and comparison.larger_in_b == 4
    )
    assert not compare(a, write("c", [0.95, 0.75, 0.99, 0.81])).is_significant
    with pytest.raises(ValueError, match="no figure"):
        compare(a, a, "speed")
