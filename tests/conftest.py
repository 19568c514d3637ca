"""Known failures: tests that show a real fault which is not mended yet, as KNOWN-RED.txt lists them.

They run like all others and are printed at the end; one that passes again fails the run until its line is
taken off the list.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3  # known failures at a time
SEPARATOR = " | "  # between a line's fields: test, cause, issue


def known_failures() -> dict[str, str]:
    """The cause and the issue of each known failure, by the test's node id; UsageError for a bad list."""
    if not LIST.exists():
        return {}
    failures = {}
    for line in LIST.read_text().splitlines():
        fields = [field.strip() for field in line.split(SEPARATOR)]
        if len(fields) != 3 or not all(fields):
            raise pytest.UsageError(f"{LIST.name}: 'test{SEPARATOR}cause{SEPARATOR}issue' is wanted: {line}")
        test, cause, issue = fields
        failures[test] = f"{cause} ({issue})"
    if len(failures) > MOST:
        raise pytest.UsageError(f"{LIST.name}: {len(failures)} known failures, and {MOST} at most may stand")
    return failures


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    for item in items:
        cause = known_failures().get(item.nodeid)
        if cause is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    for test, cause in known_failures().items():
        terminalreporter.write_line(f"known failure: {test}: {cause}")
