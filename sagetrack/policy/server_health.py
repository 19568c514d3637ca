"""Outlier detection: derives the health of servers, and of request classes at them, from attempt outcomes."""

from __future__ import annotations

from collections import deque

from sagetrack.policy.circuit_breaker import FIRST_COOLDOWN_US, Breaker, State
from sagetrack.policy.client_timeouts import ClientTimeouts
from sagetrack.policy.endpoints import Endpoints
from sagetrack.policy.event_context import EventContext
from sagetrack.policy.events import AttemptEnded, Outcome
from sagetrack.policy.latency import LatencyEstimator
from sagetrack.policy.state import MAX_WEIGHT, MIN_WEIGHT, Attempt, ClassHealth, Request, Server

RECENT_OUTCOMES = 100  # outcomes of all servers from which the common failure share is computed
WEIGHT_STEP = 0.02  # added to the weight after a success
WEIGHT_CUT = 0.7  # factor applied to the weight after a failure or a slow response
SLOW_FACTOR = 2.0  # a response is slow if it takes more than this times the expected latency
# Outcomes that count for the breaker of the request's class. Others, such as connection failures, count only
# for the whole server.
CLASS_OUTCOMES = frozenset({Outcome.OK, Outcome.ERROR, Outcome.REJECTED, Outcome.TIMEOUT})


class OutlierDetector:
    """Updates circuit breakers and weights; weights increase additively and decrease multiplicatively."""

    def __init__(
        self,
        context: EventContext,
        endpoints: Endpoints,
        latency: LatencyEstimator,
        client_timeouts: ClientTimeouts,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._latency = latency
        self._client_timeouts = client_timeouts
        # Server id, class index, and True if the attempt failed.
        self._recent: deque[tuple[int, int, bool]] = deque(maxlen=RECENT_OUTCOMES)

    def record_outcome(self, request: Request, attempt: Attempt, event: AttemptEnded) -> bool:
        """Record an outcome; return False if it says nothing about the health or load of the whole server."""
        server, outcome = attempt.server, event.outcome
        health = server.class_health(request.class_index)
        if outcome not in CLASS_OUTCOMES:
            health.breaker.return_trial(attempt.class_half_open_period)
        expected_us = self._latency.expected_us(request.class_index, request.relative_work)
        if self._is_inconclusive(request, attempt, event, expected_us):
            server.breaker.return_trial(attempt.half_open_period)
            return False
        failed = outcome is not Outcome.OK
        server.last_outcome_us = self._context.now_us
        self._recent.append((server.entry.server, request.class_index, failed))
        is_slow = not failed and event.latency_us / max(1.0, expected_us) > SLOW_FACTOR
        if not failed:
            self._latency.learn(request.class_index, request.relative_work, event.latency_us)
        if outcome in CLASS_OUTCOMES:
            self._record_class_outcome(request.class_index, attempt, failed)
            others = [h.last_succeeded for h in server.health_by_class.values() if h is not health]
            if failed and others and all(others) and outcome is not Outcome.TIMEOUT:
                server.breaker.return_trial(attempt.half_open_period)
                return False  # the server is healthy for the other classes
        self._record_server_outcome(attempt, outcome, is_slow)
        return True

    def _is_inconclusive(
        self, request: Request, attempt: Attempt, event: AttemptEnded, expected_us: float
    ) -> bool:
        """Return whether an outcome is inconclusive.

        It is if the attempt was not sent or was cancelled before it stalled. It also is if the attempt timed
        out sooner than a response may take, and clients of its class and tenant use irregular timeouts.
        """
        outcome = event.outcome
        if outcome is Outcome.NOT_SENT or (outcome is Outcome.CANCELLED and not attempt.stalled):
            return True
        if outcome is not Outcome.TIMEOUT or event.latency_us >= SLOW_FACTOR * expected_us:
            return False
        return self._client_timeouts.has_varying_timeouts(request.class_index, request.tenant)

    def _record_class_outcome(self, class_index: int, attempt: Attempt, failed: bool) -> None:
        server = attempt.server
        health = server.class_health(class_index)
        health.last_succeeded = not failed
        adjust_weight(health, failed)
        common_share = self._common_failure_share(server, class_index) if failed else 0.0
        changed = health.breaker.record(
            self._context.now_us, failed, attempt.class_half_open_period, common_share
        )
        self._log_change(server, health.breaker, changed, f" for class {class_index}")

    def _record_server_outcome(self, attempt: Attempt, outcome: Outcome, is_slow: bool) -> None:
        server, now_us = attempt.server, self._context.now_us
        failed = outcome is not Outcome.OK
        adjust_weight(server, failed or is_slow)
        common_share = self._common_failure_share(server, None) if failed else 0.0
        changed = server.breaker.record(now_us, failed, attempt.half_open_period, common_share)
        recently_succeeded = now_us - server.last_success_us <= FIRST_COOLDOWN_US
        connect_failed = outcome is Outcome.CONNECT_FAILED
        if connect_failed and server.breaker.state is not State.OPEN and not recently_succeeded:
            # The process is dead or its connection table is full. A single such outcome opens the breaker,
            # also from half-open, unless the last outcome was a recent success.
            changed = server.breaker.reopen(now_us)
        server.last_success_us = 0 if failed else now_us
        self._endpoints.breaker_changed(server)
        self._log_change(server, server.breaker, changed)

    def _common_failure_share(self, server: Server, class_index: int | None) -> float:
        """Return the recent failure share of the other servers, which reflects failures with a common cause.

        It is computed from all outcomes; the breakers' windows would leave out servers with tripped breakers.
        """
        number = server.entry.server
        others = [
            failed
            for other, recent_class, failed in self._recent
            if other != number and class_index in (None, recent_class)
        ]
        return sum(others) / len(others) if others else 0.0

    def _log_change(self, server: Server, breaker: Breaker, changed: State | None, scope: str = "") -> None:
        if changed is State.OPEN:
            time_s = breaker.cooldown_us / 1e6
            self._context.log(f"breaker{scope} open for {time_s:g} s", server.entry.server)
        elif changed is State.CLOSED:
            self._context.log(f"breaker{scope} closed", server.entry.server)


def adjust_weight(target: Server | ClassHealth, is_bad: bool) -> None:
    """Raise or cut a weight after an outcome; the weight is frozen while the breaker is not closed."""
    if target.breaker.state is not State.CLOSED:
        return
    if is_bad:
        target.weight = max(MIN_WEIGHT, target.weight * WEIGHT_CUT)
    else:
        target.weight = min(MAX_WEIGHT, target.weight + WEIGHT_STEP)
