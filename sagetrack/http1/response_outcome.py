"""Derives the outcome and the load report for the load balancer from an upstream response."""

from __future__ import annotations

from sagetrack.core.responses import Response
from sagetrack.http1.codec import find_header
from sagetrack.policy.events import LoadReport, Outcome
from sagetrack.policy.parsing import parse_load

LOAD_REPORT_FORMAT = "TEXT"  # the only supported format of the `X-Load-Report` header


def outcome_of(response: Response) -> Outcome:
    """Classify a complete response.

    Status 200 is a success. Status 503 and 504 are rejections if the server adds `X-Rejected: 1`. Everything
    else is an error.
    """
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and find_header(response.headers, b"x-rejected") == b"1":
        return Outcome.REJECTED
    return Outcome.ERROR


def load_report_of(response: Response | None) -> LoadReport | None:
    """Return the load report in a response; None if there is none or it cannot be parsed."""
    text = find_header(response.headers, b"x-load-report") if response is not None else None
    if text is None:
        return None
    form, _, values = text.decode("latin-1").partition(" ")
    try:
        return parse_load(values.replace(" ", "").replace("=", ":")) if form == LOAD_REPORT_FORMAT else None
    except ValueError:
        return None
