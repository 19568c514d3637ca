"""Dispatches events to the load balancer and executes the resulting actions, strictly one event at a time."""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable
from typing import Protocol

from sagetrack.core.clock import now_us
from sagetrack.core.invariants import Invariant, InvariantViolations
from sagetrack.policy.actions import Action, Fail
from sagetrack.policy.events import AttemptEnded, Event, RequestArrived
from sagetrack.policy.load_balancer import LoadBalancer

LazyEvent = Callable[[], Event | None]  # makes an event when it is dequeued; None if it no longer applies
PostEvent = Callable[[LazyEvent], None]  # queues an event; see `EventDispatcher.post`


class Executor(Protocol):
    """Executes actions of the load balancer."""

    def execute(self, action: Action) -> None:
        """Execute one action."""
        ...


class EventDispatcher:
    """A queue of events; all actions of an event are executed before the next event is handled.

    The queue holds functions that make the events when they are dequeued. An event thus describes the state
    at that time; a function returns None if its event no longer applies.
    """

    def __init__(self, balancer: LoadBalancer, violations: InvariantViolations) -> None:
        self._balancer = balancer
        self._violations = violations
        self._executor: Executor | None = None
        self._queue: deque[LazyEvent] = deque()
        self._is_dispatching = False
        self._is_closed = False

    def start(self, executor: Executor) -> None:
        """Set the executor of the actions; must be called before the first `post`."""
        self._executor = executor

    def close(self) -> None:
        """Stop the dispatcher; events in the queue and events posted later are not handled."""
        self._is_closed = True

    def post(self, make_event: LazyEvent) -> None:
        """Queue an event, and process the queue unless a caller further up the stack already does so."""
        self._queue.append(make_event)
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._queue and not self._is_closed:
                event = self._make_event(self._queue.popleft())
                if event is not None:
                    self._dispatch(event)
        finally:
            self._is_dispatching = False

    def _make_event(self, make_event: LazyEvent) -> Event | None:
        try:
            return make_event()
        except Exception:  # noqa: BLE001 events queued after it would be delayed until the next post
            self._violations.record(Invariant.NO_HANDLER_ERROR, "event", traceback.format_exc())
            return None

    def _dispatch(self, event: Event) -> None:
        assert self._executor is not None
        try:
            actions = self._balancer.handle(now_us(), event)
        except Exception:  # noqa: BLE001 one faulty decision must not terminate the process and all requests
            detail = f"{event!r}\n{traceback.format_exc()}"
            self._violations.record(Invariant.NO_HANDLER_ERROR, "module", detail)
            actions = [Fail(event.request)] if isinstance(event, RequestArrived | AttemptEnded) else []
        for action in actions:
            try:
                self._executor.execute(action)
            except Exception:  # noqa: BLE001 it would abort the client connection that is being served
                detail = f"{action!r}\n{traceback.format_exc()}"
                self._violations.record(Invariant.NO_HANDLER_ERROR, "action", detail)
