"""Drain state of a process: active, on standby, or shutting down.

Readiness checks, admin commands and SIGTERM all read or change this state, which is independent of the
protocol. Times are in seconds of the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from sagetrack.core.send_rules import FIRST_REQUEST_TIMEOUT_S

MAX_DRAIN_DEADLINE_S = 3.0  # during shutdown, longer request deadlines are reduced to this
KILL_GRACE_S = 0.7  # time after that deadline at which the platform kills the process
EXIT_MARGIN_S = 0.2  # part of the kill grace reserved for sending the last responses and exiting
SHUTDOWN_ACCEPT_S = 0.7  # accept connections this long after SIGTERM; new ones arrive for up to 0.4 s
SHUTDOWN_INCOMPLETE_WAIT_S = 1.0  # wait this long after SIGTERM for partially received requests to complete
# Until these delays have passed, a connection is closed only after a response that announces the close.
SHUTDOWN_IDLE_DELAY_S = 0.5  # delay after SIGTERM
STANDBY_PIPELINE_S = 2.0  # time after `standby` for which a connection is kept as more requests follow
STANDBY_IDLE_DELAY_S = 1.2  # delay after the `standby` command; a connection still idle then is hardly in use


class DrainPhase(Enum):
    """Phase of the process. The values appear in the event trace on the admin address."""

    ACTIVE = "active"
    STANDBY = "standby"  # drains until `end_standby`
    SHUTTING_DOWN = "leaving"  # drains and then exits


@dataclass(slots=True)
class Drain:
    """State machine of the drain phases.

    ACTIVE and STANDBY can change into each other and into SHUTTING_DOWN, which is final.

    Attributes:
        max_request_deadline_s: The longest request deadline in the settings.
        phase: The current phase.
        since_s: Time at which the current phase began; 0 for the initial phase.
    """

    max_request_deadline_s: float
    phase: DrainPhase = DrainPhase.ACTIVE
    since_s: float = 0.0

    def begin_standby(self, now_s: float) -> bool:
        """Enter standby, or stay in it; returns False if the process is shutting down."""
        if self.phase is DrainPhase.ACTIVE:
            self._enter(DrainPhase.STANDBY, now_s)
        return self.phase is DrainPhase.STANDBY

    def end_standby(self, now_s: float) -> bool:
        """Become active again, or stay active; returns False if the process is shutting down."""
        if self.phase is DrainPhase.STANDBY:
            self._enter(DrainPhase.ACTIVE, now_s)
        return self.phase is DrainPhase.ACTIVE

    def begin_shutdown(self, now_s: float) -> None:
        """Begin to shut down; further calls have no effect."""
        if self.phase is not DrainPhase.SHUTTING_DOWN:
            self._enter(DrainPhase.SHUTTING_DOWN, now_s)

    def _enter(self, phase: DrainPhase, now_s: float) -> None:
        self.phase = phase
        self.since_s = now_s

    @property
    def is_draining(self) -> bool:
        """True if new clients should go elsewhere, and each connection closes after its next response."""
        return self.phase is not DrainPhase.ACTIVE

    def may_close_idle(self, now_s: float, opened_s: float, used: bool) -> bool:
        """Return whether an idle connection may be closed now.

        It is not closed immediately: a close that crosses a request in transit makes the client send it
        again, while a response that announces the close does not. A new connection is given time for its
        first request.

        Args:
            now_s: The current time.
            opened_s: Time at which the connection was opened.
            used: True if the connection has carried a request.
        """
        if not self.is_draining or (not used and now_s - opened_s < FIRST_REQUEST_TIMEOUT_S):
            return False
        is_shutdown = self.phase is DrainPhase.SHUTTING_DOWN
        delay_s = SHUTDOWN_IDLE_DELAY_S if is_shutdown else STANDBY_IDLE_DELAY_S
        return now_s - self.since_s >= delay_s

    def awaits_incomplete_requests(self, now_s: float) -> bool:
        """Return whether a shutdown still waits for partially received requests.

        The wait is bounded, because some clients may never complete their request.
        """
        return now_s - self.since_s < SHUTDOWN_INCOMPLETE_WAIT_S

    def is_past_response_cutoff(self, now_s: float) -> bool:
        """Return whether the process is shutting down and `response_cutoff_s` has passed."""
        return self.phase is DrainPhase.SHUTTING_DOWN and now_s >= self.response_cutoff_s

    def ends_connection(self, has_more: bool) -> bool:
        """Return whether a connection is closed after its next response, because the process is draining.

        Requests that were read still get a response. From the cutoff of a shutdown on, and for pipelined
        requests on standby, that is a rejection at once, so that this ends.

        Args:
            has_more: True if a further request, or a part of one, has arrived on the connection.
        """
        return self.is_draining and not has_more

    def rejects_pipelined(self, now_s: float) -> bool:
        """Return whether requests are rejected that keep a connection open which should have ended."""
        return self.phase is DrainPhase.STANDBY and now_s - self.since_s >= STANDBY_PIPELINE_S

    @property
    def response_cutoff_s(self) -> float:
        """Time at which a shutdown gives up pending requests, shortly before the process may be killed."""
        deadline_s = min(self.max_request_deadline_s, MAX_DRAIN_DEADLINE_S)
        return self.since_s + deadline_s + KILL_GRACE_S - EXIT_MARGIN_S
