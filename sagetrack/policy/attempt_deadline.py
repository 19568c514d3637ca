"""The deadline of an attempt."""

from __future__ import annotations

from sagetrack.policy.settings import RequestClass
from sagetrack.policy.state import Request

OBJECTIVE_SHARE = 0.98  # of the time to the objective, where a response after the objective has no value


def attempt_deadline_us(request: Request, request_class: RequestClass, now_us: int) -> int:
    """Return the request's deadline; just before its latency objective where a late response has no value."""
    if request_class.late_priority_weight > 0.0:
        return request.deadline_us
    return min(request.deadline_us, now_us + int(OBJECTIVE_SHARE * (request.objective_at_us - now_us)))
