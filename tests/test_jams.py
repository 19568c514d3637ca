"""Bursts on a virtual fleet: the servers degrade unless the gateways limit their total concurrency."""

from __future__ import annotations

import json
from typing import Any

import pytest
from typer.testing import CliRunner

from sagetrack.cli.app import app
from sagetrack.lab.analysis.records import Records
from sagetrack.lab.benchmarks.overload import (
    OverloadFigures,
    figures,
    measure,
    percentiles_by_name,
    scenario_for,
)

# A small fleet and a short run, to keep the tests fast.
SMALL = {"fleet.servers": 20, "seconds": 30, "trouble.1.at_s": 8, "trouble.1.seconds": 7}


def measure_small(gateways: int, size: float, fault: str = "", **more: object) -> OverloadFigures:
    measured, violations = measure(gateways, size, 1, fault, SMALL | more)
    assert not violations
    return measured


@pytest.mark.parametrize("size", [1.5, 2.5])
@pytest.mark.parametrize("gateways", [20, 80])
def test_goodput_holds_during_and_after_a_burst(gateways: int, size: float) -> None:
    measured = measure_small(gateways, size)
    assert measured.goodput_during >= 0.9 and measured.goodput_after >= 0.9


@pytest.mark.parametrize("gateways", [20, 80])
def test_goodput_collapses_without_the_concurrency_limit_and_does_not_recover(gateways: int) -> None:
    """The fault `whole-places` removes the limit; servers degrade as operators have observed."""
    measured = measure_small(gateways, 2.5, "whole-places")
    assert measured.goodput_during < 0.5 and measured.goodput_after < 0.7 and measured.overloaded_share > 0.3


def test_few_gateways_need_no_shared_concurrency_limit() -> None:
    """A server has a slot for each of three gateways, so the fault `whole-places` changes nothing."""
    correct, faulty = measure_small(3, 2.5), measure_small(3, 2.5, "whole-places")
    assert correct.goodput_during >= 0.9 and correct.goodput_after >= 0.9
    assert correct.in_flight == faulty.in_flight and correct.served_share == pytest.approx(
        faulty.served_share, abs=0.01
    )


def test_servers_with_many_cores_exceed_the_limit_assumed_for_one_core() -> None:
    """The limit assumes one core per server; responses without queueing show that there is more capacity."""
    cores: dict[str, Any] = {"fleet.servers": 10, "fleet.cores": 4, "load.use": 0.7}
    measured, violations = measure(20, 1.3, 1, "", SMALL | cores)
    assert (
        not violations
        and measured.served_share_before > 0.97
        and measured.goodput_during > 1.1
        and measured.goodput_after > 0.9
    )


@pytest.mark.parametrize("dead", [0.25, 0.5])
def test_goodput_holds_while_dead_gateways_are_undetected(dead: float) -> None:
    """Each gateway assumes the configured fleet size, so its share of the limit is too small at worst."""
    measured, violations = measure(40, 1.5, 1, "", SMALL, dead)
    assert not violations and measured.overloaded_share < 0.05
    assert measured.goodput_after >= 0.9


def test_figures_of_handmade_records() -> None:
    scenario = scenario_for(5, 2.0, {"seconds": 30, "trouble.1.at_s": 10, "trouble.1.seconds": 5})
    records = Records({"seed": 7})
    for second in range(30):
        for n in range(10):
            good = n < (8 if second < 10 else 4 if second < 15 else 6)
            due_us = second * 1_000_000 + n
            row = ("request", due_us + 5, f"{second}-{n}", 0, 0, "served" if good else "refused", due_us, 1)
            records.rows.append(row)
        records.rows.append(("load", second * 1_000_000, 1, second % 3, 1, second in (12, 13, 14)))
    measured = figures(records, scenario)
    assert (measured.goodput_before, measured.served_share_before) == (8.0, 0.8)
    assert (measured.goodput_during, measured.goodput_after) == (0.5, 0.75)
    assert measured.overloaded_share == pytest.approx(0.1)
    assert measured.in_flight == {"p50": 1, "p90": 2, "p99": 2, "max": 2}  # the samples are 1, 2, 0, 1, 2


def test_percentiles_without_samples_are_0() -> None:
    from collections import Counter

    assert percentiles_by_name(Counter()) == {"p50": 0, "p90": 0, "p99": 0, "max": 0}


def test_the_command_prints_a_json_array() -> None:
    result = CliRunner().invoke(app, ["lab", "overload", "--gateways", "3", "--size", "1.5", "--json"])
    (row,) = json.loads(result.stdout.splitlines()[-1])
    assert result.exit_code == 0 and row["gateways"] == 3 and row["size"] == 1.5 and not row["broken"]


@pytest.mark.parametrize(
    "options",
    [
        ("--gateways", "0"),
        ("--gateways", "1001"),
        ("--gateways", "many"),
        ("--size", "0.5"),
        ("--size", "21"),
        ("--size", "nan"),
        ("--seed", "-1"),
        ("--seeds", "0"),
        ("--fault", "unknown"),
    ],
)
def test_an_invalid_option_is_reported_in_one_line(options: tuple[str, ...]) -> None:
    result = CliRunner().invoke(app, ["lab", "overload", *options])
    assert result.exit_code == 2
    assert result.stderr.startswith("sagetrack: ") and result.stderr.count("\n") == 1 and not result.stdout
