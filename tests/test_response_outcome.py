"""Outcomes and load reports derived from upstream responses."""

from __future__ import annotations

import pytest

from sagetrack.core.responses import Header, Response
from sagetrack.http1.response_outcome import load_report_of, outcome_of
from sagetrack.policy.events import Outcome

REJECTED: Header = (b"X-Rejected", b"1")


def response(status: int, *headers: Header) -> Response:
    return Response(status, list(headers), b"", True)


@pytest.mark.parametrize(
    ("status", "headers", "outcome"),
    [
        (200, [], Outcome.OK),
        (200, [REJECTED], Outcome.OK),
        (503, [REJECTED], Outcome.REJECTED),
        (504, [REJECTED], Outcome.REJECTED),
        (503, [], Outcome.ERROR),
        (503, [(b"X-Rejected", b"0")], Outcome.ERROR),
        (500, [REJECTED], Outcome.ERROR),
        (204, [], Outcome.ERROR),
        (302, [], Outcome.ERROR),
    ],
)
def test_the_outcome_follows_from_the_status_and_the_rejection_header(
    status: int, headers: list[Header], outcome: Outcome
) -> None:
    assert outcome_of(response(status, *headers)) is outcome


def test_a_valid_load_report_is_parsed_and_an_invalid_one_ignored() -> None:
    report = load_report_of(response(200, (b"X-Load-Report", b"TEXT queue=3")))
    assert report is not None and report == load_report_of(response(503, (b"x-load-report", b"TEXT queue:3")))
    assert load_report_of(None) is None and load_report_of(response(200)) is None
    assert load_report_of(response(200, (b"X-Load-Report", b"JSON queue=3"))) is None
    assert load_report_of(response(200, (b"X-Load-Report", b"TEXT queue=many"))) is None
