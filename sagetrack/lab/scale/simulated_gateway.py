"""A gateway's policy without sockets: requests are answered at once, timers fire when a request is over.

docs/CAPACITY.md and the stored results call this "hollow".
"""

from __future__ import annotations

import random

from sagetrack.lab.scale.target_fleet import SAFE
from sagetrack.policy.actions import SendAttempt, SetTimer
from sagetrack.policy.events import (
    AttemptEnded,
    EndpointList,
    Event,
    ListedServer,
    ListKind,
    Outcome,
    RequestArrived,
    TimerFired,
)
from sagetrack.policy.load_balancer import LoadBalancer
from sagetrack.policy.settings import Settings

START_US = 1_000_000_000
REQUEST_TIMEOUT_US = 3_000_000
EXPIRED_TIMEOUT_US = 1_000  # too short for a retry to be answered in time
LATENCY_US = 4_000  # of each attempt
REQUEST_INTERVAL_US = 8_200  # between requests: 122 a second
RECOVERY_INTERVAL_US = 500_000  # between requests that let breakers and retry budgets recover
RECOVERY_REQUESTS = 6


class SimulatedGateway:
    """One load balancer with its clock, its servers' answers and its timers."""

    def __init__(self, settings: Settings, servers: tuple[ListedServer, ...], seed: int = 1) -> None:
        self.balancer = LoadBalancer(settings, seed)
        self.rng = random.Random(seed)
        self.now_us = START_US
        self.request_count = 0
        self.timers: list[int] = []  # set by the request that is under way
        self.tenants = len(settings.tenants)
        self.balancer.handle(self.now_us, EndpointList(ListKind.FULL, servers))

    def handle(self, event: Event) -> list[SendAttempt]:
        """Pass an event to the policy; return the attempts to send, and keep the timers that it sets."""
        attempts = []
        for action in self.balancer.handle(self.now_us, event):
            if isinstance(action, SendAttempt):
                attempts.append(action)
            elif isinstance(action, SetTimer):
                self.timers.append(action.token)
        return attempts

    def send_request(self, class_index: int = SAFE, failures: int = 0) -> list[int]:
        """Play one request whose first `failures` attempts fail; return the servers it was sent to."""
        self.request_count += 1
        self.timers = []
        name = f"{self.request_count:x}"
        tenant = self.rng.randrange(max(1, self.tenants))
        arrived = RequestArrived(name, class_index, REQUEST_TIMEOUT_US, key=self.request_count, tenant=tenant)
        to_send = self.handle(arrived)
        attempt = 0
        attempted_servers: list[int] = []
        while to_send:
            server = to_send[0].server
            attempted_servers.append(server)
            self.now_us += LATENCY_US
            outcome = Outcome.ERROR if attempt < failures else Outcome.OK
            to_send = self.handle(AttemptEnded(name, attempt, server, outcome, LATENCY_US))
            attempt += 1
        for token in self.timers:
            self.handle(TimerFired(token))
        self.now_us += REQUEST_INTERVAL_US
        return attempted_servers

    def reject_request(self) -> None:
        """Play a client's retry that comes too late to be answered: it is rejected with a Retry-After."""
        self.request_count += 1
        self.timers = []
        self.handle(RequestArrived(f"{self.request_count:x}", SAFE, EXPIRED_TIMEOUT_US, is_retry=True))

    def recover(self) -> None:
        """Play requests that succeed, so that retry budgets fill and circuit breakers close."""
        for _ in range(RECOVERY_REQUESTS):
            self.send_request()
            self.now_us += RECOVERY_INTERVAL_US
