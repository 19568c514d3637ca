"""The log: plain and structured lines, and the rate limit per event."""

from __future__ import annotations

import io
import json
import os
import sys
from collections.abc import Iterator

import pytest

from sagetrack.core import log as log_module
from sagetrack.core.log import LogRateLimit, log, use_sink
from sagetrack.core.structured import sink


@pytest.fixture(autouse=True)
def default_sink() -> Iterator[None]:
    use_sink(log_module.plain_sink)
    yield
    use_sink(log_module.plain_sink)


def test_a_flood_of_one_event_hides_no_other_and_is_counted() -> None:
    rate_limit = LogRateLimit(burst=3, rate=1)
    assert [rate_limit.admit("flood", 0.0) for _ in range(5)] == [0, 0, 0, -1, -1]
    assert rate_limit.admit("other", 0.0) == 0
    assert rate_limit.admit("flood", 1.0) == 2


def test_events_without_a_limit_of_their_own_share_one() -> None:
    rate_limit = LogRateLimit(burst=1, rate=0.001)
    passed = sum(rate_limit.admit(f"event {number}", 0.0) >= 0 for number in range(10_000))
    assert (
        passed <= log_module.MAX_RATE_LIMITED_EVENTS + 1
        and len(rate_limit.buckets) <= log_module.MAX_RATE_LIMITED_EVENTS + 1
    )


def test_json_lines_carry_the_fields_by_their_names() -> None:
    out = io.StringIO()
    use_sink(sink("json", "info", "g1", out))
    log("refused", server="s-1", call="c", class_="lookup", member="acme")
    log("hidden", level="debug")
    (line,) = out.getvalue().splitlines()
    row = json.loads(line)
    assert row.pop("timestamp").endswith("Z")
    assert row == {
        "event": "refused",
        "level": "info",
        "gateway": "g1",
        "server": "s-1",
        "call": "c",
        "class": "lookup",
        "member": "acme",
    }


def test_the_plain_log_has_a_minimum_level(capsys: pytest.CaptureFixture[str]) -> None:
    use_sink(log_module.with_minimum_level("warning", log_module.plain_sink))
    log("hidden")
    log("shown", "warning")
    assert capsys.readouterr().err == "sagetrack: shown\n"


def test_a_plain_line_has_the_event_after_the_name_of_the_program(capsys: pytest.CaptureFixture[str]) -> None:
    log("ends; connections to hosts: 3")
    assert capsys.readouterr().err == "sagetrack: ends; connections to hosts: 3\n"


def test_logging_to_a_full_pipe_does_not_block(monkeypatch: pytest.MonkeyPatch) -> None:
    reader, writer = os.pipe()
    with open(writer, "w") as stream, open(reader) as lines:
        monkeypatch.setattr(sys, "stderr", stream)
        use_sink(log_module.plain_sink, LogRateLimit(10_000, 10_000))
        for number in range(2_000):  # more than the pipe buffer holds
            log(f"line {number}: {'x' * 100}")
        assert log_module._unwritten > 0
        os.set_blocking(reader, False)
        assert lines.read().startswith("sagetrack: line 0: ")
        log("read again")
        assert lines.read().startswith("sagetrack: read again unwritten=")


def test_logging_to_a_closed_stream_is_not_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    stream = io.StringIO()
    stream.close()
    monkeypatch.setattr(sys, "stderr", stream)
    log("written to a closed stream")
