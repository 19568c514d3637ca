"""A watchdog that enforces a final response to every request by the client's deadline."""

from __future__ import annotations

import asyncio

from sagetrack.core.clock import now_us
from sagetrack.core.context import GatewayContext
from sagetrack.core.event_dispatcher import Executor
from sagetrack.core.invariants import Invariant
from sagetrack.policy.actions import Fail
from sagetrack.policy.events import RequestCancelled

CHECK_INTERVAL_S = 0.15
MAX_LATENESS_US = 50_000  # a request this long past its deadline counts as overdue


class ResponseDeadlineWatchdog:
    """Fails overdue requests, whatever the reason, so that no request is left without a response.

    A request must be overdue at two consecutive checks. After the process was suspended, the load balancer's
    own timers are due too, and can run between the two checks.
    """

    def __init__(self, context: GatewayContext, executor: Executor, loop: asyncio.AbstractEventLoop) -> None:
        self._context = context
        self._executor = executor
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedule the next check."""
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def close(self) -> None:
        """Cancel the next check."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        self.start()
        context = self._context
        now = now_us()
        for id_, in_flight in list(context.in_flight.items()):
            remaining_us = in_flight.remaining_us(now)
            if (
                in_flight.is_finished
                or in_flight.streaming_attempt is not None
                or remaining_us > -MAX_LATENESS_US
            ):
                continue
            if not in_flight.was_overdue:
                in_flight.was_overdue = True
                continue
            detail = f"{-remaining_us / 1000:.0f} ms past the deadline"
            context.violations.record(Invariant.RESPONSE_BY_DEADLINE, id_, detail)
            self._executor.execute(Fail(id_))
            context.post(lambda id_=id_: RequestCancelled(id_))  # type: ignore[misc]
