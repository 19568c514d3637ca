"""Whether this process takes clients, stands by or leaves: the one place that knows.

Readiness, the operators' calls and SIGTERM all ask or move this one state. It knows of no protocol: times
come in as readings of the caller's clock, and a connection is judged by what any protocol's has.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

LONGEST_DRAIN_DEADLINE_S = 3.0  # a longer deadline is counted as this when a process is made to leave
KILL_GRACE_S = 0.7  # what the platform allows on top of that
EXIT_MARGIN_S = 0.2  # kept of it for the last answers to go out, and for the exit itself
SHUTDOWN_IDLE_DELAY_S = (
    0.5  # after SIGTERM: until then a connection is closed only with word of it in an answer
)
SHUTDOWN_ACCEPT_S = 0.7  # after SIGTERM: new connections go on coming for 0.4 s
STANDBY_IDLE_DELAY_S = 1.2  # the same after `standby`: what is idle still then is hardly in use
SHUTDOWN_INCOMPLETE_WAIT_S = 1.0  # after SIGTERM: by then who wants an answer has asked for it
FIRST_REQUEST_TIMEOUT_S = 0.5  # for the first request on a new connection to come


class DrainPhase(Enum):
    ACTIVE = "active"
    STANDBY = "standby"  # until `active`
    SHUTTING_DOWN = "leaving"  # for good


@dataclass(slots=True)
class Drain:
    """The state machine: ACTIVE and STANDBY turn into each other and into LEAVING, which is the end."""

    longest_deadline_s: float
    phase: DrainPhase = DrainPhase.ACTIVE
    since_s: float = 0.0

    def begin_standby(self, now_s: float) -> bool:
        """Begin a drain; one that is on goes on as it is. False on the way out."""
        if self.phase is DrainPhase.ACTIVE:
            self.phase, self.since_s = DrainPhase.STANDBY, now_s
        return self.phase is DrainPhase.STANDBY

    def end_standby(self, now_s: float) -> bool:
        """End the drain, if one is on. False on the way out."""
        if self.phase is DrainPhase.STANDBY:
            self.phase, self.since_s = DrainPhase.ACTIVE, now_s
        return self.phase is DrainPhase.ACTIVE

    def begin_shutdown(self, now_s: float) -> None:
        """Begin the way out; a second word of it changes nothing."""
        if self.phase is not DrainPhase.SHUTTING_DOWN:
            self.phase, self.since_s = DrainPhase.SHUTTING_DOWN, now_s

    @property
    def is_draining(self) -> bool:
        """Whether no new client should come, and each answer is the last on its connection."""
        return self.phase is not DrainPhase.ACTIVE

    def may_close_idle(self, now_s: float, opened_s: float, used: bool) -> bool:
        """Whether a connection with nothing to do is closed by now.

        Not at once: a close that crosses a request makes the client send it again, while a last answer that
        says so does not. A new connection has time for its first request.
        """
        if not self.is_draining or (not used and now_s - opened_s < FIRST_REQUEST_TIMEOUT_S):
            return False
        quiet_s = SHUTDOWN_IDLE_DELAY_S if self.phase is DrainPhase.SHUTTING_DOWN else STANDBY_IDLE_DELAY_S
        return now_s - self.since_s >= quiet_s

    def awaits_incomplete_requests(self, now_s: float) -> bool:
        """Whether a process that leaves still waits for requests that have begun and are not whole.

        Guards against staying away for long for the sake of connections that never finish one.
        """
        return now_s - self.since_s < SHUTDOWN_INCOMPLETE_WAIT_S

    def is_past_answer_cutoff(self, now_s: float) -> bool:
        return self.phase is DrainPhase.SHUTTING_DOWN and now_s >= self.answer_cutoff_s

    @property
    def answer_cutoff_s(self) -> float:
        """When a process that leaves gives up what is unanswered: a little later it may be killed."""
        return (
            self.since_s
            + min(self.longest_deadline_s, LONGEST_DRAIN_DEADLINE_S)
            + KILL_GRACE_S
            - EXIT_MARGIN_S
        )
