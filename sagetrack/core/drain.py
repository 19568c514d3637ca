"""The phases of a process: active, on standby, or shutting down. The one place that knows them.

Readiness, the calls of the admin address and SIGTERM all read or change this one state. It is independent of
the protocol. Times are readings of the caller's clock, in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from sagetrack.core.send_rules import FIRST_REQUEST_TIMEOUT_S

MAX_DRAIN_DEADLINE_S = 3.0  # at a shutdown a longer request deadline counts as this
KILL_GRACE_S = 0.7  # what the platform allows on top of that before it kills the process
EXIT_MARGIN_S = 0.2  # of it, reserved for the last responses to go out and for the exit itself
SHUTDOWN_ACCEPT_S = 0.7  # after SIGTERM: new connections go on coming for 0.4 s
SHUTDOWN_INCOMPLETE_WAIT_S = 1.0  # after SIGTERM, for requests of which a part has come
# Until then a connection is closed only after a response that announces it:
SHUTDOWN_IDLE_DELAY_S = 0.5  # after SIGTERM
STANDBY_IDLE_DELAY_S = 1.2  # after `standby`: a connection that is idle by then is hardly in use


class DrainPhase(Enum):
    """What the process does for clients. The values are part of the trace of the admin address."""

    ACTIVE = "active"
    STANDBY = "standby"  # until `end_standby`
    SHUTTING_DOWN = "leaving"  # for good


@dataclass(slots=True)
class Drain:
    """The state machine: ACTIVE and STANDBY change into each other and into SHUTTING_DOWN, which is final.

    Attributes:
        max_request_deadline_s: The longest deadline of a request.
        phase: The phase it is in.
        since_s: When that began; 0 for the phase at the start.
    """

    max_request_deadline_s: float
    phase: DrainPhase = DrainPhase.ACTIVE
    since_s: float = 0.0

    def begin_standby(self, now_s: float) -> bool:
        """Begin to drain, or go on draining; False if the process is shutting down."""
        if self.phase is DrainPhase.ACTIVE:
            self._enter(DrainPhase.STANDBY, now_s)
        return self.phase is DrainPhase.STANDBY

    def end_standby(self, now_s: float) -> bool:
        """Become active again, or stay so; False if the process is shutting down."""
        if self.phase is DrainPhase.STANDBY:
            self._enter(DrainPhase.ACTIVE, now_s)
        return self.phase is DrainPhase.ACTIVE

    def begin_shutdown(self, now_s: float) -> None:
        """Begin to shut down; a second call changes nothing."""
        if self.phase is not DrainPhase.SHUTTING_DOWN:
            self._enter(DrainPhase.SHUTTING_DOWN, now_s)

    def _enter(self, phase: DrainPhase, now_s: float) -> None:
        self.phase = phase
        self.since_s = now_s

    @property
    def is_draining(self) -> bool:
        """Whether no new client should come, and each response is the last on its connection."""
        return self.phase is not DrainPhase.ACTIVE

    def may_close_idle(self, now_s: float, opened_s: float, used: bool) -> bool:
        """Return whether an idle connection may be closed by now.

        It is not closed at once: a close that crosses a request makes the client send it again, while a
        response that announces the close does not. A new connection has time for its first request.

        Args:
            now_s: The time now.
            opened_s: When the connection was opened.
            used: Whether it has carried a request.
        """
        if not self.is_draining or (not used and now_s - opened_s < FIRST_REQUEST_TIMEOUT_S):
            return False
        is_shutdown = self.phase is DrainPhase.SHUTTING_DOWN
        delay_s = SHUTDOWN_IDLE_DELAY_S if is_shutdown else STANDBY_IDLE_DELAY_S
        return now_s - self.since_s >= delay_s

    def awaits_incomplete_requests(self, now_s: float) -> bool:
        """Return whether a shutdown still waits for requests of which only a part has come.

        The wait is bounded, as there may be connections that never complete one.
        """
        return now_s - self.since_s < SHUTDOWN_INCOMPLETE_WAIT_S

    def is_past_response_cutoff(self, now_s: float) -> bool:
        """Return whether the process is shutting down and past `response_cutoff_s`."""
        return self.phase is DrainPhase.SHUTTING_DOWN and now_s >= self.response_cutoff_s

    @property
    def response_cutoff_s(self) -> float:
        """When a shutdown gives up requests that are unanswered: soon after it the process may be killed."""
        deadline_s = min(self.max_request_deadline_s, MAX_DRAIN_DEADLINE_S)
        return self.since_s + deadline_s + KILL_GRACE_S - EXIT_MARGIN_S
