"""Phases of client connections and their time limits, by which idle and slow clients are closed."""

from __future__ import annotations

import asyncio
from typing import Protocol

from sagetrack.core.send_rules import (
    FIRST_REQUEST_TIMEOUT_S,
    REQUEST_HEAD_TIMEOUT_S,
    CloseReason,
    DenialReason,
)
from sagetrack.http1.write_progress import WriteProgress

FIRST_BYTE_TIMEOUT_S = REQUEST_HEAD_TIMEOUT_S  # time limit from the accept to the first byte
# Time limit of a request without a streamed body, from its first byte (first request: from the accept).
REQUEST_TIMEOUT_S = 2.4
WRITE_STALL_TIMEOUT_S = 30.0  # time limit for a client that takes none of the data written for it
KEEPALIVE_S = 20.0  # idle timeout between requests
KEEPALIVE_MANY_CLIENTS_S = 2.0  # idle timeout while many clients are connected


class TimedConnection(Protocol):
    """The interface of a client connection that the time limits use."""

    is_closing: bool

    def may_close(self, reason: CloseReason) -> DenialReason | None:
        """Return why the connection may not be closed now without a response; None if it may."""

    def close(self, reason: str = ...) -> None:
        """Close when all written data has been sent."""

    def abort(self, reason: str = ...) -> None:
        """Close at once."""

    def abandon_request(self) -> None:
        """Respond with an error to a request that is not complete in time."""

    def check_body_rate(self, now_s: float, since_s: float) -> None:
        """Abandon a request whose body arrives too slowly."""

    @property
    def write_progress(self) -> WriteProgress:
        """Tells whether the client takes the data written for it."""


Phase = dict[TimedConnection, float]  # entry time of each connection, in order of entry


class ConnectionPhases:
    """The connections that wait for their client, grouped by phase.

    Connections enter and leave phases by their `PhaseTracker`. A connection that waits for an upstream server
    is in no phase. Times are event loop times in seconds. `closing` holds the time at which a connection is
    aborted, and `sending` the time at which its client was last known to read; the other phases hold the time
    at which it entered the phase.
    """

    def __init__(self) -> None:
        self.awaiting_first_byte: Phase = {}
        self.receiving_request: Phase = {}
        self.receiving_body: Phase = {}
        self.idle: Phase = {}
        self.sending: Phase = {}  # data waits for the client; the connection may be closing as well
        self.closing: Phase = {}

    def close_expired(self, now_s: float, has_many_clients: bool) -> None:
        """Close connections that have been in their phase for too long."""
        keepalive_s = KEEPALIVE_MANY_CLIENTS_S if has_many_clients else KEEPALIVE_S
        for phase, limit_s in ((self.awaiting_first_byte, FIRST_BYTE_TIMEOUT_S), (self.idle, keepalive_s)):
            for connection, since_s in list(phase.items()):
                if now_s - since_s < limit_s:
                    break
                if connection.may_close(CloseReason.IDLE) is None:
                    connection.close(CloseReason.IDLE.value)
        for connection, since_s in list(self.receiving_request.items()):
            if now_s - since_s >= REQUEST_TIMEOUT_S:
                connection.abandon_request()
        for connection, since_s in list(self.receiving_body.items()):
            connection.check_body_rate(now_s, since_s)
        self._abort_stalled(now_s)
        for connection, end_s in list(self.closing.items()):
            if now_s >= end_s:
                connection.abort()

    def _abort_stalled(self, now_s: float) -> None:
        """Abort connections whose client has taken nothing for `WRITE_STALL_TIMEOUT_S`."""
        for connection, since_s in list(self.sending.items()):
            if now_s - since_s < WRITE_STALL_TIMEOUT_S:
                continue
            if connection.write_progress.has_advanced():
                self.sending[connection] = now_s
            else:
                connection.abort()

    def reclaim(self, reason: CloseReason, idle_s: float = 0.0) -> bool:
        """Close one connection without a complete request to free a descriptor; return False if none may be.

        Candidates are, in this order: connections without a complete request after `REQUEST_HEAD_TIMEOUT_S`,
        connections without a first byte after `FIRST_REQUEST_TIMEOUT_S`, and connections that have been idle
        for at least `idle_s`. For `DESCRIPTORS_EXHAUSTED`, newer connections without a complete request
        follow. Within a phase, the oldest connection is closed first.
        """
        now_s = asyncio.get_running_loop().time()
        incomplete = (self.awaiting_first_byte, self.receiving_request, self.receiving_body)
        candidates = [(phase, REQUEST_HEAD_TIMEOUT_S) for phase in incomplete]
        candidates += [(self.awaiting_first_byte, FIRST_REQUEST_TIMEOUT_S), (self.idle, idle_s)]
        if reason is CloseReason.DESCRIPTORS_EXHAUSTED:
            candidates += [(phase, 0.0) for phase in incomplete]
        for phase, min_age_s in candidates:
            for connection, since_s in phase.items():
                if now_s - since_s < min_age_s:
                    break
                if connection.may_close(reason) is None:
                    connection.close(reason.value)
                    return True
        return False

    def count_closing(self) -> int:
        """Return the number of connections that are being closed and will free their descriptors soon."""
        return sum(connection.is_closing for connection in self.closing)


class PhaseTracker:
    """Tracks the phase of one connection, and when the connection entered it."""

    __slots__ = ("connection", "phase", "phases")

    def __init__(self, connection: TimedConnection, phases: ConnectionPhases) -> None:
        self.connection = connection
        self.phases = phases
        self.phase: Phase | None = None

    def enter(self, phase: Phase | None, since_s: float | None = None) -> bool:
        """Enter a phase; return False, without any effect, if the connection is already in it.

        Args:
            phase: The new phase; None if the connection does not wait for its client.
            since_s: The entry time to record; by default the current time.
        """
        if phase is self.phase:
            return False
        if self.phase is not None:
            self.phase.pop(self.connection, None)
        self.phase = phase
        if phase is not None:
            phase[self.connection] = asyncio.get_running_loop().time() if since_s is None else since_s
        return True

    def enter_closing(self, timeout_s: float) -> None:
        """Enter the closing phase, in which the connection is aborted after `timeout_s`."""
        self.enter(self.phases.closing, asyncio.get_running_loop().time() + timeout_s)

    def await_request(
        self, in_body: bool, has_partial_request: bool, has_responded: bool, opened_s: float
    ) -> None:
        """Enter the phase that matches what has been received of the next request."""
        if in_body:
            self.enter(self.phases.receiving_body)
        elif has_partial_request:
            self.enter(self.phases.receiving_request, None if has_responded else opened_s)
        elif has_responded or self.phase is not self.phases.awaiting_first_byte:
            self.enter(self.phases.idle)

    def exclude_pause(self, pause_s: float) -> None:
        """Exclude a pause by this process from the time that the client has for the body."""
        if self.phase is self.phases.receiving_body:
            self.phases.receiving_body[self.connection] += pause_s

    def since_s(self, opened_s: float) -> float:
        """Return when the connection entered its phase; `opened_s` if it is in none."""
        return (self.phase or {}).get(self.connection, opened_s)
