"""The command line as users run it, and the lab in real time with real gateway processes."""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from sagetrack.lab.errors import LabError
from sagetrack.lab.model.scenario import load_scenario
from sagetrack.lab.processes.child_process import require_file_descriptors
from sagetrack.lab.processes.run import play
from tests.sockets import configuration

ROOT = Path(__file__).parent.parent
SHORT_RUN = (
    "--set",
    "seconds=3",
    "--set",
    "settle_s=0",
    "--set",
    "class.1.work_ms=15",
    "--set",
    "class.2.work_ms=15",
)


def command(*arguments: str, **environment: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "sagetrack", *arguments],
        cwd=ROOT,
        env=os.environ | environment,
        text=True,
        capture_output=True,
        timeout=120,
    )


def test_check_reports_all_faults_and_exits_with_2(tmp_path: Path) -> None:
    operator, scenario, config = tmp_path / "o.toml", tmp_path / "s.toml", tmp_path / "c.json"
    operator.write_text('[log]\nlevel = "loud"\nburts = 1\n')
    scenario.write_text('name = "x"\nsecnds = 3\n')
    config.write_text(json.dumps(configuration("127.0.0.1:1")))
    result = command("check", "--config", str(config), "--operator", str(operator), str(scenario))
    assert result.returncode == 2 and result.stdout == f"{config}: fine\n"
    lines = result.stderr.splitlines()
    assert len(lines) == 3 and "o.toml:2: log.level" in lines[0] and "s.toml:2: secnds" in lines[2]


def test_an_invalid_operator_file_stops_the_gateway_before_it_listens(tmp_path: Path) -> None:
    config, operator = tmp_path / "c.json", tmp_path / "o.toml"
    config.write_text(json.dumps(configuration("127.0.0.1:1")))
    operator.write_text('[log]\nformat = "xml"\n')
    result = command(LB_CONFIG=str(config), LB_OPERATOR=str(operator))
    assert result.returncode == 2 and result.stderr.count("\n") == 1
    assert 'log.format = "xml" is not allowed; it must be one of console, json, plain' in result.stderr


def test_a_gateway_started_by_the_platform_imports_no_command_line_library(tmp_path: Path) -> None:
    result = subprocess.run(
        [sys.executable, "-X", "importtime", "-m", "sagetrack"],
        cwd=ROOT,
        text=True,
        capture_output=True,
        env=os.environ | {"LB_CONFIG": str(tmp_path / "none")},
        timeout=60,
    )
    assert result.returncode == 2
    for library in (
        "typer",
        "click",
        "rich",
        "msgspec",
        "structlog",
        "numpy",
        "sagetrack.cli",
        "sagetrack.lab",
    ):
        assert f" {library}\n" not in result.stderr


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("lab", "run", "none.toml"), "none.toml: No such file"),
        (("lab", "run", "scenarios/everyday.toml", "--set", "load.use=9"), "load.use = 9 is not allowed"),
        (("lab", "run", "scenarios/everyday.toml", "--set", "x"), "the form is key=value"),
        (
            ("lab", "run", "scenarios/everyday.toml", "--fault", "none", "--virtual"),
            "allowed are answers-twice",
        ),
        (("lab", "sweep", "scenarios/everyday.toml", "--out", "x", "--seeds", "a"), "the form is 10 or 3-12"),
        (("lab", "compare", "none", "none"), "no results"),
        (("check",), "nothing to check"),
    ],
)
def test_invalid_arguments_print_one_line_and_exit_with_2(arguments: tuple[str, ...], message: str) -> None:
    result = command(*arguments, LB_CONFIG="", LB_OPERATOR="")
    assert result.returncode == 2 and result.stderr.count("\n") == 1 and message in result.stderr


def test_a_run_prints_one_json_object_and_an_injected_fault_exits_with_1() -> None:
    good = command("lab", "run", "scenarios/everyday.toml", "--virtual", "--json")
    row = json.loads(good.stdout.splitlines()[-1])
    assert good.returncode == 0 and row["service"] > 0.97 and row["rules_broken"] == {}
    expected_keys = {"served", "refused", "failed", "p50_ms", "p99_ms", "late", "expect_held"}
    assert expected_keys <= row.keys()
    bad = command("lab", "run", "scenarios/everyday.toml", "--virtual", "--json", "--fault", "answers-twice")
    assert bad.returncode == 1 and json.loads(bad.stdout)["rules_broken"]["one_answer"] > 0


def test_a_real_fleet_survives_a_gateway_crash_and_an_upgrade(tmp_path: Path) -> None:
    """The deadlines are long, so that the result does not depend on the speed of the machine.

    An overloaded machine responds late, but it still responds.
    """
    records_path = tmp_path / "records.gz"
    long_deadlines = [f"class.{n}.{key}=20000" for n in (1, 2, 3) for key in ("deadline_ms", "aim_ms")]
    result = command(
        "lab",
        "run",
        "scenarios/upgrade.toml",
        "--json",
        *SHORT_RUN,
        "--set",
        "trouble.1.at_s=0.5",
        "--set",
        "trouble.2.at_s=1.0",
        "--set",
        'trouble.2.kind="gateway-death"',
        "--set",
        "trouble.2.seconds=0.5",
        "--set",
        "trouble.3.at_s=1.5",
        "--set",
        'trouble.3.kind="deploy"',
        "--set",
        "discovery.drain_s=0.5",
        *(part for override in long_deadlines for part in ("--set", override)),
        "--records",
        str(records_path),
        "--plot",
        str(tmp_path / "run.png"),
    )
    assert result.stdout, f"exit status {result.returncode}, stderr: {result.stderr}"
    row = json.loads(result.stdout.splitlines()[-1])
    assert row["rules_broken"] == {}, (row["violations"], result.stderr)
    assert row["served"] > 0.6 * row["requests"] and records_path.exists(), (row, result.stderr)
    assert (tmp_path / "run.png").read_bytes().startswith(b"\x89PNG")


def test_an_interrupt_leaves_nothing_running() -> None:
    """Interrupts are Ctrl-C (SIGINT) and the close of the terminal (SIGHUP)."""
    for signum in (signal.SIGINT, signal.SIGHUP):
        marker = f"LAB_TEST_{os.getpid()}_{signum}"
        process = subprocess.Popen(
            [sys.executable, "-m", "sagetrack", "lab", "run", "scenarios/everyday.toml"],
            cwd=ROOT,
            env=os.environ | {marker: "1"},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        timeout_at_s = time.monotonic() + 30
        while len(processes_with(marker)) < 4 and time.monotonic() < timeout_at_s:
            assert process.poll() is None
        process.send_signal(signum)
        _, stderr_text = process.communicate(timeout=30)
        assert process.returncode == 130 and "nothing is left running" in stderr_text
        assert processes_with(marker) == []


def processes_with(marker: str) -> list[int]:
    """Return the ids of processes whose environment contains the marker."""
    process_ids = []
    for path in Path("/proc").glob("[0-9]*/environ"):
        try:
            if marker.encode() in path.read_bytes():
                process_ids.append(int(path.parent.name))
        except OSError:
            continue
    return process_ids


def test_a_gateway_that_fails_to_start_is_reported_and_leaves_no_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scenario = load_scenario(ROOT / "scenarios" / "everyday.toml")
    monkeypatch.setattr(sys, "executable", shutil.which("false"))
    with pytest.raises(LabError, match="gateway . ended with status 1"):
        play(scenario, 1)


def test_a_low_descriptor_limit_is_reported_before_anything_starts() -> None:
    with pytest.raises(LabError, match="descriptors are needed"):
        require_file_descriptors(10**9)


def test_a_startup_failure_is_logged_even_at_level_error(tmp_path: Path) -> None:
    config, operator = tmp_path / "c.json", tmp_path / "o.toml"
    foreign_address = {"listen": "192.0.2.1:1"}  # a documentation address, which no interface has
    config.write_text(json.dumps(configuration("127.0.0.1:1") | foreign_address))
    operator.write_text('[log]\nlevel = "error"\n')
    result = command(LB_CONFIG=str(config), LB_OPERATOR=str(operator))
    assert result.returncode == 1 and "cannot listen on 192.0.2.1:1" in result.stderr
