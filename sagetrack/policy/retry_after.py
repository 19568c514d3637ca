"""Calculates the Retry-After of rejected requests."""

from __future__ import annotations

from sagetrack.policy.admission import AdmissionController
from sagetrack.policy.endpoints import Endpoints
from sagetrack.policy.event_context import EventContext
from sagetrack.policy.reservations import Requester, RetryAfterLimits
from sagetrack.policy.settings import Settings
from sagetrack.policy.state import Request

# Part of the class's latency objective; an overload is expected to subside within this time.
DEFAULT_RETRY_AFTER_SHARE = 0.25


class RetryAfter:
    """Calculates the Retry-After of rejected requests."""

    def __init__(
        self,
        context: EventContext,
        settings: Settings,
        endpoints: Endpoints,
        admission: AdmissionController[Request] | None,
    ) -> None:
        self._context = context
        self._settings = settings
        self._endpoints = endpoints
        self._admission = admission

    def wait_us(self, request: Request) -> int:
        """Return the Retry-After of a rejected request, in microseconds.

        The wait keeps the client from retrying while the reason of the rejection persists. A value that
        admission control has already set takes precedence. If the breakers of all servers are open, it is the
        shortest remaining cooldown. Otherwise admission control chooses it, or, without admission control or
        without servers, it is a part of the latency objective.
        """
        max_wait_us, now_us = self._settings.max_retry_after_us, self._context.now_us
        closes_at_us = self._endpoints.earliest_cooldown_end_us()
        if self._admission is not None and request.retry_after_us >= 0:
            return min(request.retry_after_us, max_wait_us)
        if self._admission is not None and closes_at_us is None and self._endpoints.servers:
            return self._reserve_us(self._admission, request, max_wait_us)
        if closes_at_us is not None:
            wait_us = closes_at_us - now_us
        else:
            wait_us = int(
                DEFAULT_RETRY_AFTER_SHARE * self._settings.classes[request.class_index].latency_objective_us
            )
        return max(0, min(wait_us, max_wait_us))

    def _reserve_us(self, admission: AdmissionController[Request], request: Request, max_wait_us: int) -> int:
        now_us, jitter_draw = self._context.now_us, self._context.random.random()
        work_us = admission.estimated_work_us(request.class_index, request.relative_work)
        late_is_worthless = self._settings.classes[request.class_index].late_priority_weight <= 0.0
        client_timeout_us = (request.objective_at_us if late_is_worthless else request.deadline_us) - now_us
        requester = Requester(request.admission_tenant, request.client, request.key or 0)
        limits = RetryAfterLimits(jitter_draw, max_wait_us, client_timeout_us)
        return admission.retry_after_us(now_us, requester, work_us, limits)
