"""Known failures: tests that fail because of an unfixed bug, listed in KNOWN-RED.txt.

They run like all other tests and are listed in the summary. If one passes, the run fails until its line is
removed from the file.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3
SEPARATOR = " | "  # between the fields of a line: test, cause, issue


def known_failures() -> dict[str, str]:
    """Return cause and issue of each known failure, by test node id; UsageError if the file is invalid."""
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
    if len(failures) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(
            f"{LIST.name}: {len(failures)} known failures, at most {MAX_KNOWN_FAILURES} are allowed"
        )
    return failures


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    for item in items:
        cause = known_failures().get(item.nodeid)
        if cause is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    for test, cause in known_failures().items():
        terminalreporter.write_line(f"known failure: {test}: {cause}")
