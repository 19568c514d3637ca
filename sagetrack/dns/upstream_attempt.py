"""One attempt of a query at an upstream DNS server, from its sending to its one outcome."""

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
    """Totals since the start."""

    udp_attempts: int = 0
    tcp_retries: int = 0  # attempts that were repeated over TCP
    unmatched: int = 0  # late, forged or duplicate responses
    malformed: int = 0


class AttemptCarrier(Protocol):
    """The socket or connection on which an attempt waits."""

    def forget(self, attempt: DnsAttempt) -> None:
        """Drop an attempt that has ended."""


@dataclass(slots=True, eq=False)
class DnsAttempt:
    """One attempt. It ends exactly once, by `finish`, which tells its observer."""

    upstream: UpstreamServerRecord
    query: Query
    observer: AttemptObserver
    sent_us: int
    latency_us: int = 0
    ended: bool = False
    timer: asyncio.TimerHandle | None = None
    carrier: AttemptCarrier | None = None
    id: int = 0  # message id
    request_sent: bool = False

    @property
    def server(self) -> int:
        """Number of the server."""
        return self.upstream.id

    def start_timeout(self, timer: asyncio.TimerHandle) -> None:
        """Take the timer that ends the attempt; it is cancelled where the attempt ends before."""
        self.timer = timer

    def assign(self, carrier: AttemptCarrier) -> None:
        """Take the socket or connection that carries the attempt."""
        self.carrier = carrier

    def use_message_id(self, message_id: int) -> None:
        """Take the message id that the query is sent with."""
        self.id = message_id

    def on_request_sent(self) -> None:
        """Note that the query has been sent."""
        self.request_sent = True
        self.observer.on_request_sent()

    def complete(self, response: DnsResponse) -> None:
        """End with a response; any rcode but NOERROR and NXDOMAIN is an error of the server."""
        successful = response.rcode in SUCCESSFUL_RCODES
        self.finish(Outcome.OK if successful else Outcome.ERROR, response if successful else None)

    def finish(self, outcome: Outcome, response: DnsResponse | None = None) -> None:
        """End the attempt and tell its observer; any call after the first has no effect."""
        if self.ended:
            return
        self.ended = True
        self.latency_us = now_us() - self.sent_us
        if self.timer is not None:
            self.timer.cancel()
        if self.carrier is not None:
            self.carrier.forget(self)
        self.observer.on_attempt_ended(self, outcome, response, None)


def unused_message_id(used: Container[int]) -> int:
    """Draw a random message id that no waiting query has (RFC 5452, section 9.2)."""
    id_ = secrets.randbits(16)
    while id_ in used:
        id_ = secrets.randbits(16)
    return id_
