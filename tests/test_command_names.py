"""Renamed commands: the old name has the same options and output, and the help lists only the new name."""

from __future__ import annotations

import json
import re
from typing import Any

import pytest
from typer.core import TyperCommand, TyperGroup
from typer.main import get_command
from typer.testing import CliRunner

from sagetrack.cli.app import app
from sagetrack.cli.lab import ALIASES, COMMANDS
from sagetrack.lab.fault_injection import crash_test, dns_spoofing

RENAMED = [
    ("lab", "cold", "slow-start"),
    ("lab", "jams", "overload"),
    ("lab", "together", "mixed-protocols"),
    ("lab", "door", "fair-queue"),
    ("lab", "forge-dns", "spoof-dns"),
    ("store", "torture", "crash-test"),
]
LISTED = re.compile(r"^│ ([a-z][a-z0-9-]*) ", re.MULTILINE)  # a command's line in the help


def command_of(group: str, name: str) -> TyperCommand:
    whole = get_command(app)
    assert isinstance(whole, TyperGroup)
    inner = whole.commands[group]
    assert isinstance(inner, TyperGroup)
    command = inner.commands[name]
    assert isinstance(command, TyperCommand)
    return command


def options_of(command: TyperCommand) -> list[tuple[object, ...]]:
    return [
        (option.name, option.opts, option.secondary_opts, option.required, option.default)
        for option in command.params
    ]


def help_of(group: str, name: str) -> list[str]:
    code, shown, _ = outcome(group, name, "--help")
    assert code == 0
    return [line.rstrip() for line in shown.splitlines()]


def outcome(*words: str) -> tuple[int, str, str]:
    done = CliRunner().invoke(app, list(words))
    return done.exit_code, done.stdout, done.stderr


def test_all_lab_aliases_are_covered_here() -> None:
    assert dict(ALIASES) == {old: new for group, old, new in RENAMED if group == "lab"}


@pytest.mark.parametrize(("group", "old", "new"), RENAMED)
def test_the_old_name_is_hidden_and_has_the_same_options(group: str, old: str, new: str) -> None:
    alias, command = command_of(group, old), command_of(group, new)
    assert alias.hidden and not command.hidden
    assert options_of(alias) == options_of(command)
    assert help_of(group, old) == [
        line.replace(f"{group} {new}", f"{group} {old}") for line in help_of(group, new)
    ]


@pytest.mark.parametrize("group", ["lab", "store"])
def test_help_lists_only_the_new_names(group: str) -> None:
    code, shown, _ = outcome(group, "--help")
    listed = LISTED.findall(shown)
    assert code == 0 and len(listed) == len(set(listed))
    assert {new for of, _, new in RENAMED if of == group} <= set(listed)
    assert not {old for of, old, _ in RENAMED if of == group} & set(listed)
    if group == "lab":
        assert listed == list(COMMANDS)


@pytest.mark.parametrize(
    ("old", "new", "options"),
    [
        ("cold", "slow-start", ("--gateways", "2", "--case", "few", "--json")),
        ("cold", "slow-start", ("--gateways", "0")),
        ("jams", "overload", ("--gateways", "3", "--size", "1.5", "--json")),
        ("jams", "overload", ("--size", "none")),
        ("door", "fair-queue", ("--clients", "none")),
        ("door", "fair-queue", ("--clients", "0")),
    ],
)
def test_both_names_have_the_same_output(old: str, new: str, options: tuple[str, ...]) -> None:
    assert outcome("lab", old, *options) == outcome("lab", new, *options)


def test_both_names_of_the_benchmarks_have_the_same_output(monkeypatch: pytest.MonkeyPatch) -> None:
    """The measurements are replaced with fixed results, as real ones differ from run to run."""
    both = {"capacity_http": 5, "capacity_dns": 7, "rows": [{"http_ms": 1.5, "dns_ms": 2.5}]}

    def measured(*arguments: object) -> dict[str, Any]:
        return both

    def queues(*arguments: object) -> list[dict[str, Any]]:
        return [{"clients": arguments[0], "calls": arguments[1]}]

    monkeypatch.setattr("sagetrack.lab.benchmarks.mixed_protocols.measure", measured)
    monkeypatch.setattr("sagetrack.lab.benchmarks.fair_queue.measure", queues)
    report = dns_spoofing.SpoofingReport(1000, 2.0, 200, 199, 1)
    monkeypatch.setattr(dns_spoofing, "spoof", lambda rate, seconds, progress: report)
    crashes = crash_test.CrashTestReport(crashes=3, failures=["seed 1: lost"])
    monkeypatch.setattr(crash_test, "crash_test", lambda seconds, seed, progress: crashes)

    code, shown, _ = outcome("lab", "mixed-protocols", "--json")
    assert (code, json.loads(shown)) == (0, both) and outcome("lab", "together", "--json") == (0, shown, "")
    assert outcome("lab", "mixed-protocols") == outcome("lab", "together")
    code, shown, _ = outcome("lab", "fair-queue", "--clients", "10,20")
    assert code == 0 and "[10, 20]" in shown
    assert outcome("lab", "door", "--clients", "10,20") == (0, shown, "")
    code, shown, _ = outcome("lab", "spoof-dns")
    assert code == 1 and "1000 forged answers, 500 a second: 1 accepted; 199 of 200 queries" in shown
    assert outcome("lab", "forge-dns") == (1, shown, "")
    code, shown, _ = outcome("store", "crash-test")
    assert code == 1 and "3 crashes" in shown and shown.endswith("seed 1: lost\n")
    assert outcome("store", "torture") == (1, shown, "")
