"""The lab in virtual time: scenarios are checked, runs repeat, judges catch what is wrong, sweeps resume."""

from __future__ import annotations

import json
import math
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sagetrack.config.errors import FileError
from sagetrack.lab.analysis.figures import figures
from sagetrack.lab.analysis.judges import RULES, judge
from sagetrack.lab.analysis.records import (
    TYPES,
    CallAnswered,
    CallSent,
    Record,
    Records,
    ServerStarted,
    read,
)
from sagetrack.lab.benchmarks import sweep as sweeps
from sagetrack.lab.benchmarks.comparison import compare
from sagetrack.lab.model.idempotency_keys import IdempotencyKeys
from sagetrack.lab.model.scenario import DegradationRules, Fleet, Scenario, altered, load
from sagetrack.lab.model.server import Job, Result, Server
from sagetrack.lab.virtual.faulty_gateways import FAULTS, SHOWN_BY
from sagetrack.lab.virtual.simulation import play

SCENARIOS = Path(__file__).parent.parent / "scenarios"
SHORT = altered(load(SCENARIOS / "three-troubles.toml"), {"seconds": 22.0})


# Scenarios


@pytest.mark.parametrize("path", sorted(SCENARIOS.glob("*.toml")), ids=lambda path: path.stem)
def test_each_scenario_that_ships_can_be_read(path: Path) -> None:
    scenario = load(path)
    assert scenario.name == path.stem and scenario.about


def test_a_scenario_with_a_typo_names_the_line(tmp_path: Path) -> None:
    path = tmp_path / "typo.toml"
    path.write_text('name = "typo"\n[[trouble]]\nkind = "slwo"\nat_s = 90\n')
    with pytest.raises(FileError) as caught:
        load(path)
    assert caught.value.faults[0].startswith(
        f'{path}:3: trouble[1].kind = "slwo" is not allowed; it is one of burst'
    )


def test_what_types_cannot_tell_is_checked_too() -> None:
    with pytest.raises(FileError, match="after the last arrival"):
        altered(SHORT, {"seconds": 5.0})
    with pytest.raises(FileError, match="no such key"):
        altered(SHORT, {"fleet.serverz.x": 1})


# The model of a server


class Bench:
    """One server, and what it did."""

    def __init__(
        self, cold: bool = False, racks: dict[str, IdempotencyKeys] | None = None, **fleet: object
    ) -> None:
        keys = racks or {"all": IdempotencyKeys(), "zone": IdempotencyKeys(), "rack": IdempotencyKeys()}
        made = Fleet(speed=(1.0, 1.0), **fleet)  # type: ignore[arg-type]
        self.runs: list[bool] = []
        self.ends: list[tuple[int, Result]] = []
        self.server = Server(1, made, 0, 0, 1.0, 0, cold, keys, lambda job, effect: self.runs.append(effect))

    def send(self, now_us: int, work_us: float = 10_000, key: int | None = None) -> Result | None:
        job = Job(
            "c",
            work_us,
            key,
            5_000_000,
            "rack",
            10**9,
            lambda job, r: self.ends.append((self.server.now_us, r)),
        )
        return self.server.receive(now_us, job)


def test_a_server_works_through_its_queue_and_turns_away_beyond_it() -> None:
    bench = Bench(waiting_per_core=2)
    assert [bench.send(0) for _ in range(4)] == [None, None, None, Result.REJECTED]
    bench.server.advance(1_000_000)
    assert bench.ends == [(10_000, Result.SERVED), (20_000, Result.SERVED), (30_000, Result.SERVED)]


def test_requests_that_end_together_all_end() -> None:
    bench = Bench(cores=4)
    for _ in range(9):
        bench.send(0)
    for _ in range(3):
        due = bench.server.next_us()
        assert due is not None
        bench.server.advance(due)
    assert [now for now, _ in bench.ends] == [10_000] * 4 + [20_000] * 4 + [30_000]


def test_a_cold_server_is_slow_and_falls_over_when_pushed() -> None:
    bench = Bench(cold=True, cold_share=0.2, cold_s=10.0, fall_multiple=4.0, fall_s=3.0)
    bench.send(0)
    bench.server.advance(200_000)
    assert 49_000 <= bench.ends[0][0] <= 50_000  # a fifth of its speed, and a little more by then
    budget_us = 1.1 * 4.0 * 0.2 * 3_000_000
    sent = 0.0
    while not bench.server.down:
        sent += 50_000
        bench.send(200_001, 50_000)
        assert sent < 2 * budget_us
    assert budget_us - 100_000 <= sent <= budget_us * 1.1
    assert bench.ends[-1][1] is Result.RESET


def test_a_crowded_server_stays_slow_until_it_was_left_alone() -> None:
    choke = DegradationRules(
        queue_per_core=2, overloaded_s=0.5, slowdown=4.0, calm_s=2.0, calm_utilization=0.3, max_s=60.0
    )
    bench = Bench(choke=choke)
    for _ in range(15):
        bench.send(0, 200_000)
    bench.server.advance(1_000_000)
    assert bench.server.is_degraded
    assert math.isclose(bench.server.rate(1_000_000), 0.25)
    while bench.server.request_count:
        bench.server.advance(bench.server.now_us + 100_000)
    calm = bench.server.now_us
    assert bench.server.is_degraded
    bench.server.advance(calm + 1_000_000)
    assert bench.server.is_degraded
    bench.server.advance(calm + 4_000_000)
    assert not bench.server.is_degraded


def test_a_key_has_its_effect_once_in_its_rack_and_again_after_its_window() -> None:
    rack = {"all": IdempotencyKeys(), "zone": IdempotencyKeys(), "rack": IdempotencyKeys()}
    one, other = Bench(racks=rack), Bench(racks=rack)
    far = Bench()
    one.send(0, key=7)
    other.send(1_000, key=7)
    far.send(1_000, key=7)
    other.send(5_100_000, key=7)
    assert (one.runs, other.runs, far.runs) == ([True], [False, True], [True])


@settings(max_examples=60)
@given(st.lists(st.tuples(st.integers(0, 50_000), st.floats(1.0, 80_000.0)), min_size=1, max_size=60))
def test_every_request_that_a_server_takes_ends_once(steps: list[tuple[int, float]]) -> None:
    bench = Bench(cores=2, waiting_per_core=5, choke=DegradationRules(queue_per_core=1, overloaded_s=0.05))
    now, taken = 0, 0
    for wait, work in steps:
        now += wait
        taken += bench.send(now, work) is None
    while bench.server.request_count:
        due = bench.server.next_us()
        assert due is not None
        bench.server.advance(due)
    assert len(bench.ends) == taken


# Runs


def test_the_same_seed_gives_the_same_records_in_one_process_and_in_four(tmp_path: Path) -> None:
    here = "".join(play(SHORT, 3).lines())
    assert here == "".join(play(SHORT, 3).lines()) != "".join(play(SHORT, 4).lines())
    jobs = sweeps.plan(SHORT, range(1, 5), {})
    four = sweeps.sweep(jobs, tmp_path / "four", 4)
    one = sweeps.sweep(jobs, tmp_path / "one", 1)
    for row in (*four, *one):
        del row["wall_s"]
    assert four == one


def test_records_are_read_as_they_were_written_and_a_cut_line_is_left_out(tmp_path: Path) -> None:
    records = play(altered(SHORT, {"seconds": 22.0, "load.use": 0.05}), 1)
    for name in ("r.jsonl", "r.gz"):
        records.write(tmp_path / name)
        assert read(tmp_path / name).rows == records.rows
    whole = (tmp_path / "r.jsonl").read_bytes()
    (tmp_path / "cut").write_bytes(whole[:-9])
    assert read(tmp_path / "cut").rows == records.rows[:-1]


def test_records_have_named_fields_and_stay_the_same_tuples() -> None:
    runs = [
        play(SHORT, 1, sample_s=0.5),
        *(play(load(SCENARIOS / f"{n}.toml"), 1) for n in ("flood", "rolling-deploy")),
    ]
    for records in runs:
        assert all(TYPES[row[0]](*row) == row for row in records.rows)
        assert list(records.typed(ServerStarted)) == list(records.of("start"))
        assert list(records.mixed(CallSent, CallAnswered)) == list(records.of("ask", "answer"))
        assert records.last_us() == max(row[1] for row in records.rows)
    seen = {row[0] for records in runs for row in records.rows}
    assert set(TYPES) - seen == {"dns", "late", "gone"}  # in real time only, and where clients give up


@pytest.mark.parametrize("path", ["everyday", "rolling-deploy", "all-at-once", "partition"])
def test_no_rule_is_broken_and_expectations_hold(path: str) -> None:
    scenario = load(SCENARIOS / f"{path}.toml")
    records = play(scenario, 2)
    violations = judge(records, scenario)
    assert not violations
    assert figures(records, scenario, violations).expect_held


@pytest.mark.parametrize("fault", FAULTS)
def test_each_deliberate_fault_is_caught(fault: str) -> None:
    name, rule = SHOWN_BY[fault]
    scenario = load(SCENARIOS / f"{name}.toml")
    found = [v for v in judge(play(scenario, 1, fault=fault), scenario) if v.rule == rule]
    assert found and found[0].call and found[0].time_us > 0


# Judges, on records made by hand

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
    ("rule", "settings", "more"),
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
def test_a_judge_tells_right_from_wrong(rule: str, settings: dict[str, object], more: list[Record]) -> None:
    records = Records()
    records.rows = BASE + more
    broken = {violation.rule for violation in judge(records, altered(KEYED, settings))}
    assert broken == ({rule} if rule else set())


def test_a_refusal_that_was_held_back_is_found() -> None:
    records = Records()
    ask = ("ask", 0, "c", 0, 0, 0, 3_000_000, None, "1", 1)
    for time, late in ((100_000, False), (2_900_000, True)):
        records.rows = [ask, ("answer", time, "c", 0, "refused", 0)]
        assert [v.rule for v in judge(records, KEYED)] == (["late_refusals"] if late else [])
    assert "late_refusals" in RULES


# Sweeps


def test_a_sweep_goes_on_where_it_was_cut_off(tmp_path: Path) -> None:
    small = altered(SHORT, {"load.use": 0.05})
    jobs = sweeps.plan(small, range(1, 4), {"clients.retries": [0, 2]})
    out = tmp_path / "out.jsonl"
    rows = sweeps.sweep(jobs, out, 2)
    assert len(rows) == 6 and {row["settings"]["clients.retries"] for row in rows} == {0, 2}
    lines = out.read_text().splitlines()
    out.write_text("\n".join(lines[:4]) + "\n" + lines[4][:40])
    again = sweeps.sweep(jobs, out, 2)
    kept = {json.loads(line)["id"]: json.loads(line)["wall_s"] for line in lines[:4]}
    assert [row["service"] for row in again] == [row["service"] for row in rows]
    assert all(row["wall_s"] == kept[row["id"]] for row in again if row["id"] in kept)


def test_a_comparison_pairs_seeds_and_knows_noise(tmp_path: Path) -> None:
    def write(name: str, values: list[float]) -> Path:
        rows = [{"id": f"{n}", "scenario": "s", "seed": n, "service": v} for n, v in enumerate(values)]
        (tmp_path / name).write_text("".join(json.dumps(row) + "\n" for row in rows))
        return tmp_path / name

    a = write("a", [0.90, 0.80, 0.95, 0.85])
    clear = compare(a, write("b", [0.92, 0.82, 0.97, 0.87]))
    assert clear.is_significant and math.isclose(clear.difference, 0.02) and clear.larger_in_b == 4
    assert not compare(a, write("c", [0.95, 0.75, 0.99, 0.81])).is_significant
    with pytest.raises(ValueError, match="no figure"):
        compare(a, a, "speed")
