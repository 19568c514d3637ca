"""A simulated gateway: the policy of a gateway without sockets.

Attempts end after a fixed simulated latency, and the timers of a request fire when it has ended.
docs/CAPACITY.md and the stored results call a simulated gateway "hollow".
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
EXPIRED_TIMEOUT_US = 1_000  # too short for a response in time, so that the request is rejected
LATENCY_US = 4_000  # simulated duration of each attempt
REQUEST_INTERVAL_US = 8_200  # 122 requests per second
RECOVERY_INTERVAL_US = 500_000  # between requests while breakers and retry budgets recover
RECOVERY_REQUESTS = 6


class SimulatedGateway:
    """A load balancer with a simulated clock, simulated server responses and timers."""

    def __init__(self, settings: Settings, servers: tuple[ListedServer, ...], seed: int = 1) -> None:
        self.balancer = LoadBalancer(settings, seed)
        self.rng = random.Random(seed)
        self.now_us = START_US
        self.request_count = 0
        self.timers: list[int] = []  # tokens of the timers set by the current request
        self.tenants = len(settings.tenants)
        self.balancer.handle(self.now_us, EndpointList(ListKind.FULL, servers))

    def handle(self, event: Event) -> list[SendAttempt]:
        """Pass an event to the policy; return the attempts to send, and store the timers that it sets."""
        attempts = []
        for action in self.balancer.handle(self.now_us, event):
            if isinstance(action, SendAttempt):
                attempts.append(action)
            elif isinstance(action, SetTimer):
                self.timers.append(action.token)
        return attempts

    def send_request(self, class_index: int = SAFE, failures: int = 0) -> list[int]:
        """Simulate a request whose first `failures` attempts fail; return the servers of its attempts."""
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
        """Simulate a client's retry with too short a deadline, which is rejected with a Retry-After."""
        self.request_count += 1
        self.timers = []
        self.handle(RequestArrived(f"{self.request_count:x}", SAFE, EXPIRED_TIMEOUT_US, is_retry=True))

    def recover(self) -> None:
        """Simulate successful requests, so that retry budgets refill and circuit breakers close."""
        for _ in range(RECOVERY_REQUESTS):
            self.send_request()
            self.now_us += RECOVERY_INTERVAL_US
