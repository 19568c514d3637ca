"""Known failures: tests that show a real fault that is not fixed yet, as listed in KNOWN-RED.txt.

They run like all other tests and are printed at the end. If one of them passes again, the run fails until its
line is removed from the list.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3  # maximum number of known failures
SEPARATOR = " | "  # separates the fields of a line: test, cause, issue


def known_failures() -> dict[str, str]:
    """Return the cause and the issue of each known failure by test id; UsageError for an invalid list."""
    if not LIST.exists():
        return {}
    failures = {}
    for line in LIST.read_text().splitlines():
        fields = [field.strip() for field in line.split(SEPARATOR)]
        if len(fields) != 3 or not all(fields):
            raise pytest.UsageError(
                f"{LIST.name}: expected 'test{SEPARATOR}cause{SEPARATOR}issue', got: {line}"
            )
        test, cause, issue = fields
        failures[test] = f"{cause} ({issue})"
    if len(failures) > MOST:
        raise pytest.UsageError(f"{LIST.name}: {len(failures)} known failures, at most {MOST} are allowed")
    return failures


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    for item in items:
        cause = known_failures().get(item.nodeid)
        if cause is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    for test, cause in known_failures().items():
        terminalreporter.write_line(f"known failure: {test}: {cause}")
