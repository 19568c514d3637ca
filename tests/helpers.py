"""Settings, and a driver that passes events to a load balancer and records the timers that it sets."""

from __future__ import annotations

from dataclasses import replace

from sagetrack.policy.actions import Action, Fail, Reject, SendAttempt, SetTimer
from sagetrack.policy.circuit_breaker import MIN_OUTCOMES_TO_OPEN, Breaker, State
from sagetrack.policy.events import (
    AttemptEnded,
    EndpointList,
    Event,
    ListedServer,
    ListKind,
    Outcome,
    RequestArrived,
)
from sagetrack.policy.load_balancer import LoadBalancer
from sagetrack.policy.settings import Effect, RequestClass, Scope, Settings

# Modules of the gateway that import `now_us`, for tests that replace the clock in all of them
GATEWAY_CLOCK_USERS = tuple(
    f"sagetrack.core.{name}"
    for name in (
        "action_executor",
        "answer_watchdog",
        "attempt_observer",
        "attempt_starter",
        "event_dispatcher",
        "gateway",
    )
)
SAFE = RequestClass(
    latency_objective_us=200_000,
    request_timeout_us=400_000,
    priority_weight=3.0,
    late_priority_weight=0.2,
    effect=Effect.SAFE,
)
KEYED = RequestClass(
    latency_objective_us=200_000,
    request_timeout_us=800_000,
    priority_weight=5.0,
    late_priority_weight=0.2,
    effect=Effect.KEYED,
    scope=Scope.GROUP,
    window_us=150_000,
)
UNSAFE = RequestClass(
    latency_objective_us=300_000,
    request_timeout_us=1_000_000,
    priority_weight=8.0,
    late_priority_weight=0.2,
    effect=Effect.UNSAFE,
)
SETTINGS = Settings(classes=(SAFE, KEYED, UNSAFE), hedging=True)
START_US = 50_000_000


class Driver:
    """A load balancer with a clock that only the test advances."""

    def __init__(self, settings: Settings = SETTINGS, servers: int = 3, seed: int = 1) -> None:
        self.balancer = LoadBalancer(settings, seed)
        self.now_us = START_US
        self.count = 0
        self.timers: list[SetTimer] = []
        if servers:
            self.list_servers(*(ListedServer(n, group=n % 2) for n in range(servers)))

    def handle(self, event: Event) -> list[Action]:
        """Pass an event to the balancer at the current time, and record the timers among the actions."""
        actions = self.balancer.handle(self.now_us, event)
        self.timers += [action for action in actions if isinstance(action, SetTimer)]
        return actions

    def list_servers(self, *entries: ListedServer, kind: ListKind = ListKind.FULL) -> list[Action]:
        """Deliver a full endpoint list or a delta."""
        return self.handle(EndpointList(kind, entries))

    def arrive(
        self, class_index: int = 0, client_timeout_us: int = 400_000, **extra: int | bool
    ) -> tuple[str, list[Action]]:
        """Deliver a new request; return its id and the resulting actions."""
        self.count += 1
        name = f"r{self.count}"
        event = RequestArrived(name, class_index, client_timeout_us)
        return name, self.handle(replace(event, **extra))  # type: ignore[arg-type]

    def end(
        self,
        request: str,
        server: int,
        outcome: Outcome = Outcome.OK,
        attempt: int = 0,
        latency_us: int = 20_000,
    ) -> list[Action]:
        """End an attempt of a request; return the resulting actions."""
        finished = outcome is Outcome.OK
        return self.handle(AttemptEnded(request, attempt, server, outcome, latency_us, finished))


def send_actions(actions: list[Action]) -> list[SendAttempt]:
    """Return the actions that send an attempt."""
    return [action for action in actions if isinstance(action, SendAttempt)]


def final_actions(actions: list[Action]) -> list[Reject | Fail]:
    """Return the actions that end a request with a response of the gateway itself."""
    return [action for action in actions if isinstance(action, Reject | Fail)]


def timer_actions(actions: list[Action]) -> list[SetTimer]:
    """Return the actions that set a timer."""
    return [action for action in actions if isinstance(action, SetTimer)]


def trip(breaker: Breaker, now_us: int) -> None:
    """Open a new circuit breaker by recording the minimum number of failures."""
    for _ in range(MIN_OUTCOMES_TO_OPEN):
        breaker.record(now_us, True, 0, 0.0)
    assert breaker.state is State.OPEN
