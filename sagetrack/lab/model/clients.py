"""Clients: how they send requests, wait for responses and retry."""

from __future__ import annotations

from sagetrack.lab.model.client_requests import ClientAttempt, ClientRequest
from sagetrack.lab.model.gateway_fleet import GatewayFleet
from sagetrack.lab.model.run_context import RunContext
from sagetrack.lab.model.scenario import RESPONSE_SLACK_US

MIN_BUDGET_US = 1000  # a client sends no attempt if less time than this is left until the deadline
RETRY_JITTER = (0.8, 1.2)  # the backoff before a retry is multiplied by a random factor from this range


class Clients:
    """Sends and retries requests, tracks the attempts that are pending, and records every outcome."""

    def __init__(self, context: RunContext, gateways: GatewayFleet) -> None:
        self.pending: dict[str, ClientAttempt] = {}
        self._context = context
        self._gateways = gateways

    def send(self, request: ClientRequest) -> None:
        """Send the next attempt of a request, or finish the request if its deadline is too close."""
        now = self._context.clock.now_us()
        first_budget_us = (
            request.request_class.deadline_ms * 1000 * self._context.scenario.clients.attempt_share
        )
        budget_us = min(request.deadline_us - now, int(first_budget_us))
        if budget_us < MIN_BUDGET_US:
            self._finish(request, "unanswered", now)
            return
        request.attempt_count += 1
        number = request.attempt_count
        gateway = self._choose_gateway(request)
        attempt = ClientAttempt(f"{request.id}-{number:x}", request, number, gateway, budget_us, now)
        self.pending[attempt.call_id] = attempt
        self._record_sent(attempt)
        # The platform accepts a final response this long after the deadline, so the client waits until then.
        self._context.clock.call_at(attempt.deadline_us + RESPONSE_SLACK_US, lambda: self._time_out(attempt))
        self._gateways.driver.send(attempt)

    def on_response(self, attempt: ClientAttempt, verdict: str, retry_after_us: int = 0) -> None:
        """Handle a response or a closed connection; one that comes too late is only recorded."""
        now = self._context.clock.now_us()
        request = attempt.request
        self._context.records.add("answer", now, attempt.call_id, attempt.gateway, verdict, retry_after_us)
        if retry_after_us and request.honors_retry_after:
            self._context.records.add(
                "advised", now, attempt.call_id, request.id, attempt.number, retry_after_us
            )
        if attempt.ended:
            return
        self._end(attempt)
        if verdict != "served":
            self._retry_or_finish(request, verdict, retry_after_us)
            return
        is_late = now - request.created_us > request.request_class.latency_objective_ms * 1000
        self._finish(request, "late" if is_late else "served", now)

    def _record_sent(self, attempt: ClientAttempt) -> None:
        request = attempt.request
        self._context.records.add(
            "ask",
            attempt.sent_us,
            attempt.call_id,
            attempt.gateway,
            request.class_index,
            request.tenant,
            attempt.budget_us,
            request.key,
            request.id,
            attempt.number,
        )
        if request.client:
            self._context.records.add("client", attempt.sent_us, request.id, request.client)

    def _choose_gateway(self, request: ClientRequest) -> int:
        """Choose a random gateway that is in rotation, preferably in the zone of the client."""
        in_rotation = [gateway for gateway, up in self._gateways.in_rotation.items() if up]
        local = [gateway for gateway in in_rotation if gateway % self._context.zone_count == request.zone]
        return self._context.random.clients.choice(local or in_rotation or list(self._gateways.in_rotation))

    def _time_out(self, attempt: ClientAttempt) -> None:
        if attempt.ended:
            return
        self._end(attempt)
        self._context.record("gone", attempt.call_id, attempt.gateway)
        self._gateways.driver.disconnect(attempt)
        self._retry_or_finish(attempt.request, "unanswered", 0)

    def _end(self, attempt: ClientAttempt) -> None:
        attempt.ended = True
        del self.pending[attempt.call_id]

    def _retry_or_finish(self, request: ClientRequest, verdict: str, retry_after_us: int) -> None:
        """Retry a failed attempt if the request's class and the client's settings allow it, or finish."""
        clients = self._context.scenario.clients
        now = self._context.clock.now_us()
        if request.attempt_count > clients.retries or not _may_retry(request, verdict, now):
            outcome = verdict if verdict in ("refused", "unanswered") else "failed"
            self._finish(request, outcome, now)
            return
        backoff_us = self._draw_backoff_us(request, retry_after_us)
        if now + backoff_us >= request.created_us + request.request_class.deadline_ms * 1000:
            self._finish(request, "refused" if verdict == "refused" else "failed", now)
            return
        self._context.clock.call_at(now + backoff_us, lambda: self.send(request))

    def _draw_backoff_us(self, request: ClientRequest, retry_after_us: int) -> int:
        clients = self._context.scenario.clients
        backoff_ms = 0.0
        if clients.wait == "fixed":
            backoff_ms = clients.wait_ms
        elif clients.wait == "doubling":
            backoff_ms = clients.wait_ms * 2 ** (request.attempt_count - 1)
        if request.honors_retry_after and retry_after_us:
            backoff_ms = max(backoff_ms, retry_after_us / 1000)
        return int(backoff_ms * 1000 * self._context.random.clients.uniform(*RETRY_JITTER))

    def _finish(self, request: ClientRequest, outcome: str, now_us: int) -> None:
        self._context.records.add(
            "request",
            now_us,
            request.id,
            request.class_index,
            request.tenant,
            outcome,
            request.created_us,
            request.attempt_count,
        )


def _may_retry(request: ClientRequest, verdict: str, now_us: int) -> bool:
    """Whether a retry is safe, i.e. cannot have its effect a second time."""
    request_class = request.request_class
    if verdict in ("refused", "unreachable") or request_class.effect == "safe":
        return True
    is_deduplicated = request_class.effect == "keyed" and request_class.scope == "all"
    return is_deduplicated and now_us - request.created_us < request_class.window_ms * 1000
