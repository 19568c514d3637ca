"""Executes the actions of the load balancer."""

from __future__ import annotations

from asyncio import AbstractEventLoop
from collections.abc import Callable
from typing import Any

from sagetrack.core.attempt_starter import AttemptStarter
from sagetrack.core.clock import now_us
from sagetrack.core.context import GatewayContext
from sagetrack.core.event_trace import TraceEventKind
from sagetrack.core.log import log
from sagetrack.policy.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    FetchEndpoints,
    Log,
    Probe,
    Reject,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from sagetrack.policy.events import LoadReport, Outcome, Probed, TimerFired

# Added to each timer: the event loop rounds to milliseconds, and no timer may fire before it is due.
TIMER_ROUNDING_S = 0.001


class ActionExecutor:
    """Executes actions one at a time, with one handler method per action type."""

    def __init__(self, context: GatewayContext, attempts: AttemptStarter, loop: AbstractEventLoop) -> None:
        self._context = context
        self._loop = loop
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            SendAttempt: attempts.send,
            SetTimer: self._set_timer,
            Reject: self._reject,
            Fail: self._fail,
            Cancel: attempts.cancel,
            WatchEndpoints: self._watch_endpoints,
            FetchEndpoints: self._fetch_endpoints,
            Probe: self._probe,
            CloseIdle: self._close_idle,
            Log: self._log,
        }

    def execute(self, action: Action) -> None:
        """Execute an action; an unsupported action is logged and ignored."""
        handler = self._handlers.get(type(action))
        if handler is None:
            log(f"unsupported action ignored: {action!r}")
        else:
            handler(action)

    def _set_timer(self, action: SetTimer) -> None:
        delay_s = max(0, action.due_us - now_us()) / 1e6 + TIMER_ROUNDING_S
        event = TimerFired(action.token)
        self._loop.call_later(delay_s, self._context.post, lambda: event)

    def _reject(self, action: Reject) -> None:
        context = self._context
        in_flight = context.in_flight.finish_if_pending(action.request)
        if in_flight is not None:
            in_flight.count_in(context.metrics.deferred)
            context.rejections.add(action.reason.value)
            context.trace.record(TraceEventKind.REJECTED, action.request, action.reason.value)
            in_flight.request.client.on_rejected(in_flight.request, action.retry_after_us)

    def _fail(self, action: Fail) -> None:
        context = self._context
        in_flight = context.in_flight.finish_if_pending(action.request)
        if in_flight is not None:
            in_flight.count_in(context.metrics.errored)
            context.trace.record(
                TraceEventKind.FAILED, action.request, "timed out" if in_flight.timed_out else ""
            )
            in_flight.request.client.on_failed(in_flight.request, in_flight.timed_out)

    def _watch_endpoints(self, action: WatchEndpoints) -> None:
        if self._context.endpoint_source is not None:
            self._context.endpoint_source.watch(action.on)

    def _fetch_endpoints(self, action: FetchEndpoints) -> None:
        if self._context.endpoint_source is not None:
            self._context.endpoint_source.fetch()

    def _probe(self, action: Probe) -> None:
        server = action.server
        post = self._context.post

        def on_result(outcome: Outcome, latency_us: int, load: LoadReport | None) -> None:
            post(lambda: Probed(server, outcome, latency_us, load))

        self._context.upstream.probe(server, on_result)

    def _close_idle(self, action: CloseIdle) -> None:
        self._context.upstream.close_idle(action.server)

    def _log(self, action: Log) -> None:
        fields = {} if action.server is None else {"server": action.server}
        log(action.line, "info", "module", **fields)
        if self._context.recorder is not None:
            self._context.recorder.record_event(action.line)
