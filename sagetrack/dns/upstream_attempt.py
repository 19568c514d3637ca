"""An attempt to get a response to a query from an upstream DNS server."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Container
from dataclasses import dataclass
from typing import Protocol

from sagetrack.core.clock import now_us
from sagetrack.core.interfaces import AttemptObserver
from sagetrack.core.upstream_server import UpstreamServerRecord
from sagetrack.dns.answer import DnsResponse
from sagetrack.dns.message import Query, Rcode
from sagetrack.policy.events import Outcome

SUCCESSFUL_RCODES = frozenset({Rcode.NOERROR, Rcode.NXDOMAIN})


@dataclass(slots=True)
class UpstreamCounts:
    """Counters since the start of the process."""

    udp_attempts: int = 0
    tcp_retries: int = 0  # attempts repeated over TCP
    unmatched: int = 0  # responses that match no attempt: late, spoofed or duplicate ones
    malformed: int = 0  # responses that match an attempt but cannot be parsed


class AttemptCarrier(Protocol):
    """The UDP socket or TCP connection on which an attempt waits for its response."""

    def discard(self, attempt: DnsAttempt) -> None:
        """Remove an attempt that has ended."""


@dataclass(slots=True, eq=False)
class DnsAttempt:
    """An attempt, which ends with the first call of `finish`."""

    upstream: UpstreamServerRecord
    query: Query
    observer: AttemptObserver
    sent_us: int
    latency_us: int = 0
    ended: bool = False
    timer: asyncio.TimerHandle | None = None
    carrier: AttemptCarrier | None = None
    id: int = 0  # id of the DNS message
    request_sent: bool = False

    @property
    def server(self) -> int:
        """The id of the server."""
        return self.upstream.id

    def start_timeout(self, timer: asyncio.TimerHandle) -> None:
        """Set the running timer that ends the attempt; it is cancelled if the attempt ends earlier."""
        self.timer = timer

    def assign(self, carrier: AttemptCarrier) -> None:
        """Set the socket or connection that carries the attempt."""
        self.carrier = carrier

    def use_message_id(self, message_id: int) -> None:
        """Set the message id with which the query is sent."""
        self.id = message_id

    def on_request_sent(self) -> None:
        """Record that the query has been sent."""
        self.request_sent = True
        self.observer.on_request_sent()

    def complete(self, response: DnsResponse) -> None:
        """End the attempt with a response; any rcode except NOERROR and NXDOMAIN is a server error."""
        successful = response.rcode in SUCCESSFUL_RCODES
        self.finish(Outcome.OK if successful else Outcome.ERROR, response if successful else None)

    def finish(self, outcome: Outcome, response: DnsResponse | None = None) -> None:
        """End the attempt and notify its observer; calls after the first have no effect."""
        if self.ended:
            return
        self.ended = True
        self.latency_us = now_us() - self.sent_us
        if self.timer is not None:
            self.timer.cancel()
        if self.carrier is not None:
            self.carrier.discard(self)
        self.observer.on_attempt_ended(self, outcome, response, None)


def unused_message_id(used: Container[int]) -> int:
    """Return a random message id that no query in flight uses (RFC 5452, section 9.2)."""
    id_ = secrets.randbits(16)
    while id_ in used:
        id_ = secrets.randbits(16)
    return id_
