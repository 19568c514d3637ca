"""What an upstream server's response means for the load balancer: an outcome, and a load report."""

from __future__ import annotations

from sagetrack.core.responses import Response
from sagetrack.http1.codec import find_header
from sagetrack.policy.events import LoadReport, Outcome
from sagetrack.policy.parsing import parse_load

LOAD_REPORT_FORMAT = "TEXT"  # the only one of `X-Load-Report` that is read


def outcome_of(response: Response) -> Outcome:
    """Classify a complete response.

    A 503 or 504 counts as rejected only if the server marks it with `X-Rejected: 1`; every other status but
    200 is an error.
    """
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and find_header(response.headers, b"x-rejected") == b"1":
        return Outcome.REJECTED
    return Outcome.ERROR


def load_report_of(response: Response | None) -> LoadReport | None:
    """Return the load report that came with a response; None without one that can be parsed."""
    text = find_header(response.headers, b"x-load-report") if response is not None else None
    if text is None:
        return None
    form, _, values = text.decode("latin-1").partition(" ")
    try:
        return parse_load(values.replace(" ", "").replace("=", ":")) if form == LOAD_REPORT_FORMAT else None
    except ValueError:
        return None
