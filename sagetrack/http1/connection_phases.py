"""What clients' connections wait for, and for how long: idle and slow clients are closed by these limits."""

from __future__ import annotations

import asyncio
from typing import Protocol

from sagetrack.core.send_rules import FIRST_REQUEST_S, OVERDUE_S, Closing, DenialReason

FIRST_BYTE_TIMEOUT_S = OVERDUE_S  # from the accept to the first byte
REQUEST_TIMEOUT_S = 2.4  # for a request without a long body to be complete; the first: since the accept
KEEPALIVE_S = 20.0  # between requests
KEEPALIVE_CROWDED_S = 2.0  # the same where many connections are up


class TimedConnection(Protocol):
    """What the limits need of a client's connection."""

    is_closing: bool

    def may_close(self, purpose: Closing) -> DenialReason | None:
        """Why it may not be closed now without a response; None if it may."""

    def close(self, reason: str = ...) -> None:
        """Close once what was written is with the client."""

    def abort(self, reason: str = ...) -> None:
        """Close at once."""

    def abandon_request(self) -> None:
        """Answer a request that has not come in time."""

    def check_body_rate(self, now_s: float, since_s: float) -> None:
        """Answer a request whose body comes too slowly."""


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

    def close_expired(self, now_s: float, is_crowded: bool) -> None:
        """Close what has been in its phase for too long."""
        keepalive_s = KEEPALIVE_CROWDED_S if is_crowded else KEEPALIVE_S
        for phase, limit_s in ((self.awaiting_first_byte, FIRST_BYTE_TIMEOUT_S), (self.idle, keepalive_s)):
            for connection, since_s in list(phase.items()):
                if now_s - since_s < limit_s:
                    break
                if connection.may_close(Closing.IDLE) is None:
                    connection.close("idle")
        for connection, since_s in list(self.receiving_request.items()):
            if now_s - since_s >= REQUEST_TIMEOUT_S:
                connection.abandon_request()
        for connection, since_s in list(self.receiving_body.items()):
            connection.check_body_rate(now_s, since_s)
        for connection, end_s in list(self.closing.items()):
            if now_s >= end_s:
                connection.abort()

    def reclaim(self, purpose: Closing, idle_s: float = 0.0) -> bool:
        """Close the oldest connection without a complete request, to gain a descriptor; False if none may be.

        In this order: those that have had their time for a request, those that never sent one, those idle for
        at least `idle_s`. Only where no other descriptor can be had, new ones and those still sending follow.
        """
        now_s = asyncio.get_running_loop().time()
        unfinished = (self.awaiting_first_byte, self.receiving_request, self.receiving_body)
        candidates = [(phase, OVERDUE_S) for phase in unfinished]
        candidates += [(self.awaiting_first_byte, FIRST_REQUEST_S), (self.idle, idle_s)]
        if purpose is Closing.EXHAUSTED:
            candidates += [(phase, 0.0) for phase in unfinished]
        for phase, least_s in candidates:
            for connection, since_s in phase.items():
                if now_s - since_s < least_s:
                    break
                if connection.may_close(purpose) is None:
                    connection.close(purpose.value)
                    return True
        return False

    def count_closing(self) -> int:
        """Return how many connections end soon, whose descriptors are then free."""
        return sum(connection.is_closing for connection in self.closing)
