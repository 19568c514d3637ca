"""What clients' connections wait for, and for how long: idle and slow clients are closed by these limits."""

from __future__ import annotations

import asyncio
from typing import Protocol

from sagetrack.core.send_rules import (
    FIRST_REQUEST_TIMEOUT_S,
    REQUEST_HEAD_TIMEOUT_S,
    CloseReason,
    DenialReason,
)

FIRST_BYTE_TIMEOUT_S = REQUEST_HEAD_TIMEOUT_S  # from the accept to the first byte
REQUEST_TIMEOUT_S = 2.4  # for a request without a long body to be complete; the first: since the accept
KEEPALIVE_S = 20.0  # between requests
KEEPALIVE_MANY_CLIENTS_S = 2.0  # the same where many connections are up


class TimedConnection(Protocol):
    """What the limits need of a client's connection."""

    is_closing: bool

    def may_close(self, purpose: CloseReason) -> DenialReason | None:
        """Return why it may not be closed now without a response; None if it may."""

    def close(self, reason: str = ...) -> None:
        """Close once what was written is with the client."""

    def abort(self, reason: str = ...) -> None:
        """Close at once."""

    def abandon_request(self) -> None:
        """Respond to a request that has not come in time."""

    def check_body_rate(self, now_s: float, since_s: float) -> None:
        """Respond to a request whose body comes too slowly."""


Phase = dict[TimedConnection, float]  # since when each connection is in it, the longest first


class ConnectionPhases:
    """Every connection that waits for its client, by what it waits for. Connections enter phases themselves.

    A connection that waits for its upstream server is in no phase. Times are of the loop's clock, in seconds;
    `closing` has the time at which a connection is aborted in place of the one since which it is there.
    """

    def __init__(self) -> None:
        self.awaiting_first_byte: Phase = {}
        self.receiving_request: Phase = {}
        self.receiving_body: Phase = {}
        self.idle: Phase = {}
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
        for connection, end_s in list(self.closing.items()):
            if now_s >= end_s:
                connection.abort()

    def reclaim(self, purpose: CloseReason, idle_s: float = 0.0) -> bool:
        """Close the oldest connection without a complete request, to gain a descriptor; False if none may be.

        In this order: those whose time for a request has passed, those that never sent one, those idle for
        at least `idle_s`. Only where no other descriptor can be had, new ones and those still sending follow.
        """
        now_s = asyncio.get_running_loop().time()
        incomplete = (self.awaiting_first_byte, self.receiving_request, self.receiving_body)
        candidates = [(phase, REQUEST_HEAD_TIMEOUT_S) for phase in incomplete]
        candidates += [(self.awaiting_first_byte, FIRST_REQUEST_TIMEOUT_S), (self.idle, idle_s)]
        if purpose is CloseReason.DESCRIPTORS_EXHAUSTED:
            candidates += [(phase, 0.0) for phase in incomplete]
        for phase, min_s in candidates:
            for connection, since_s in phase.items():
                if now_s - since_s < min_s:
                    break
                if connection.may_close(purpose) is None:
                    connection.close(purpose.value)
                    return True
        return False

    def count_closing(self) -> int:
        """Return how many connections end soon, whose descriptors are then free."""
        return sum(connection.is_closing for connection in self.closing)


class PhaseTracker:
    """The phase of one connection, and since when it is in it."""

    __slots__ = ("connection", "phase", "phases")

    def __init__(self, connection: TimedConnection, phases: ConnectionPhases) -> None:
        self.connection = connection
        self.phases = phases
        self.phase: Phase | None = None

    def enter(self, phase: Phase | None, since_s: float | None = None) -> None:
        """Enter a phase; None if the connection does not wait for its client.

        In a phase that it is in already, it keeps the time since which it is there.

        Args:
            phase: The phase.
            since_s: The time since which the connection counts as in it; now by default.
        """
        if phase is self.phase:
            return
        if self.phase is not None:
            self.phase.pop(self.connection, None)
        self.phase = phase
        if phase is not None:
            phase[self.connection] = asyncio.get_running_loop().time() if since_s is None else since_s

    def enter_closing(self, timeout_s: float) -> None:
        """Have the connection aborted if it has not ended after so long."""
        self.enter(self.phases.closing, asyncio.get_running_loop().time() + timeout_s)

    def await_request(
        self, in_body: bool, has_partial_request: bool, has_responded: bool, opened_s: float
    ) -> None:
        """Enter the phase of a connection with no complete request, by what has come of the next one."""
        if in_body:
            self.enter(self.phases.receiving_body)
        elif has_partial_request:
            self.enter(self.phases.receiving_request, None if has_responded else opened_s)
        elif has_responded or self.phase is not self.phases.awaiting_first_byte:
            self.enter(self.phases.idle)

    def exclude_pause(self, pause_s: float) -> None:
        """Do not count so long a pause, which was not the client's, as time for the body."""
        if self.phase is self.phases.receiving_body:
            self.phases.receiving_body[self.connection] += pause_s

    def since_s(self, opened_s: float) -> float:
        """Return since when it is in its phase; `opened_s` if it is in none."""
        return (self.phase or {}).get(self.connection, opened_s)
