"""Calculates the deadline of an attempt."""

from __future__ import annotations

from sagetrack.policy.settings import RequestClass
from sagetrack.policy.state import Request

# Part of the time until the latency objective that an attempt may take if late responses have no value
OBJECTIVE_SHARE = 0.98


def attempt_deadline_us(request: Request, request_class: RequestClass, now_us: int) -> int:
    """Return the deadline of an attempt that is sent at `now_us`.

    It is the deadline of the request. If responses after the latency objective have no value, it is shortly
    before the objective.
    """
    if request_class.late_priority_weight > 0.0:
        return request.deadline_us
    return min(request.deadline_us, now_us + int(OBJECTIVE_SHARE * (request.objective_at_us - now_us)))
