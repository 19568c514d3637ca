"""Settings, and a driver that feeds events to a load balancer and keeps the timers that it sets."""

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

# Modules of the gateway that read the clock, for tests that replace `now_us` in all of them
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
    """One load balancer with a clock that only the test moves."""

    def __init__(self, settings: Settings = SETTINGS, servers: int = 3, seed: int = 1) -> None:
        self.balancer = LoadBalancer(settings, seed)
        self.now_us = START_US
        self.count = 0
        self.timers: list[SetTimer] = []
        if servers:
            self.list_servers(*(ListedServer(n, group=n % 2) for n in range(servers)))

    def handle(self, event: Event) -> list[Action]:
        """Handle an event now, and keep the timers among its actions."""
        actions = self.balancer.handle(self.now_us, event)
        self.timers += [action for action in actions if isinstance(action, SetTimer)]
        return actions

    def list_servers(self, *entries: ListedServer, kind: ListKind = ListKind.FULL) -> list[Action]:
        """Deliver an endpoint list, or changes of it."""
        return self.handle(EndpointList(kind, entries))

    def arrive(
        self, class_index: int = 0, client_timeout_us: int = 400_000, **extra: int | bool
    ) -> tuple[str, list[Action]]:
        """Let a request arrive; return its id and the actions that follow."""
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
        """End an attempt of a request; return the actions that follow."""
        finished = outcome is Outcome.OK
        return self.handle(AttemptEnded(request, attempt, server, outcome, latency_us, finished))


def send_actions(actions: list[Action]) -> list[SendAttempt]:
    """Return the attempts that are to be sent."""
    return [action for action in actions if isinstance(action, SendAttempt)]


def final_actions(actions: list[Action]) -> list[Reject | Fail]:
    """Return the final responses that the gateway generates itself."""
    return [action for action in actions if isinstance(action, Reject | Fail)]


def timer_actions(actions: list[Action]) -> list[SetTimer]:
    """Return the timers that are to be set."""
    return [action for action in actions if isinstance(action, SetTimer)]


def trip(breaker: Breaker, now_us: int) -> None:
    """Open a new circuit breaker with the smallest number of failures that opens it."""
    for _ in range(MIN_OUTCOMES_TO_OPEN):
        breaker.record(now_us, True, 0, 0.0)
    assert breaker.state is State.OPEN
