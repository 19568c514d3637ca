"""Property-based tests: the retry and ordering rules hold for any sequence of events."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sagetrack.policy.actions import Action, Cancel, Fail, Reject, SendAttempt, SetTimer
from sagetrack.policy.events import (
    NEVER_RAN,
    AttemptEnded,
    EndpointList,
    Event,
    ListedServer,
    ListKind,
    Outcome,
    RequestArrived,
    RequestCancelled,
    ServerStatus,
    TimerFired,
)
from sagetrack.policy.load_balancer import LoadBalancer
from sagetrack.policy.settings import Effect, Scope, Settings
from tests.helpers import SAFE, START_US, UNSAFE
from tests.helpers import SETTINGS as PLAIN

GROUP = {n: n // 3 for n in range(6)}
ORDERED = replace(UNSAFE, in_order=True)
SETTINGS = replace(PLAIN, classes=(*PLAIN.classes, ORDERED, replace(SAFE, in_order=True)))
SETTINGS_VARIANTS = (
    SETTINGS,
    replace(SETTINGS, rejection_may_have_run=True),
    replace(SETTINGS, rejection_may_have_run=True, key_cooldown_us=30_000, hedging=False),
)
MAY_STILL_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


@dataclass
class Attempt:
    """An attempt sent by the load balancer."""

    server: int
    sent_us: int
    timeout_us: int
    outcome: Outcome | None = None
    ended_us: int = 0


@dataclass
class RequestRecord:
    """A request, its attempts and its final responses."""

    class_index: int
    key: int | None
    deadline_us: int
    attempts: list[Attempt] = field(default_factory=list)
    final_responses: list[Action] = field(default_factory=list)
    finished: bool = False  # served, rejected, failed or cancelled by the client


class RuleChecker:
    """Runs a load balancer, checks each of its actions against the rules, and carries it out."""

    def __init__(self, seed: int, balancer_settings: Settings = SETTINGS) -> None:
        self.settings = balancer_settings
        self.balancer = LoadBalancer(balancer_settings, seed)
        self.now_us = START_US
        self.requests: dict[str, RequestRecord] = {}
        self.timers: list[tuple[int, int]] = []
        self.status = dict.fromkeys(GROUP, ServerStatus.READY)
        self.deliver(
            EndpointList(
                ListKind.FULL, tuple(ListedServer(server, group=group) for server, group in GROUP.items())
            )
        )

    def deliver(self, event: Event) -> None:
        """Pass an event to the load balancer, and check and carry out its actions."""
        for action in self.balancer.handle(self.now_us, event):
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        """Check an action against the rules and record its effect."""
        if isinstance(action, SendAttempt):
            self.check_send(action)
        elif isinstance(action, Reject | Fail):
            record = self.requests[action.request]
            assert not record.finished, "request has two final responses"
            assert self.now_us <= record.deadline_us + 8_000
            record.finished = True
            record.final_responses.append(action)
            if isinstance(action, Reject):
                self.check_reject(record)
        elif isinstance(action, SetTimer):
            self.timers.append((action.due_us, action.token))
        elif isinstance(action, Cancel):
            assert action.attempt < len(self.requests[action.request].attempts)

    def check_send(self, action: SendAttempt) -> None:
        """Check that an attempt is allowed, and record it."""
        record = self.requests[action.request]
        assert not record.finished, "attempt sent after the final response"
        assert self.status[action.server] is ServerStatus.READY
        assert len(record.attempts) < self.settings.max_attempts
        assert self.settings.hedging or all(attempt.outcome is not None for attempt in record.attempts)
        self.check_order(action.request, record)
        assert action.timeout_us > 0
        request_class = self.settings.classes[record.class_index]
        possibly_run = [attempt for attempt in record.attempts if self.may_have_run(attempt)]
        if request_class.effect is Effect.UNSAFE:
            assert not possibly_run, "unsafe request that may have run was sent again"
        if request_class.effect is Effect.KEYED and possibly_run:
            assert all(GROUP[attempt.server] == GROUP[action.server] for attempt in possibly_run)
            assert self.now_us - possibly_run[0].sent_us < request_class.window_us
        record.attempts.append(Attempt(action.server, self.now_us, action.timeout_us))

    def may_have_run(self, attempt: Attempt) -> bool:
        """Whether a server may have executed an attempt, as far as the gateway can know."""
        return attempt.outcome not in NEVER_RAN or (
            attempt.outcome is Outcome.REJECTED and self.settings.rejection_may_have_run
        )

    def check_order(self, name: str, record: RequestRecord) -> None:
        """Check that earlier requests of an ordered key are finished and that its cooldown has ended."""
        if record.key is None or not self.settings.classes[record.class_index].in_order:
            return
        for earlier_name, earlier in self.requests.items():
            if earlier_name == name:
                break
            if earlier.key != record.key or not self.settings.classes[earlier.class_index].in_order:
                continue
            assert earlier.finished, "sent before an earlier request with its key had finished"
            assert all(
                attempt.outcome is not None for attempt in earlier.attempts
            ), "an earlier request with its key has an attempt in flight"
            uncertain_ends_us = [
                attempt.ended_us for attempt in earlier.attempts if attempt.outcome in MAY_STILL_RUN
            ]
            assert (
                self.now_us >= max(uncertain_ends_us, default=0) + self.settings.key_cooldown_us
            ), "sent during the cooldown of its key"

    def check_reject(self, record: RequestRecord) -> None:
        """Check that a rejected request either did not run or can safely be retried."""
        request_class = self.settings.classes[record.class_index]
        possibly_run = [attempt for attempt in record.attempts if self.may_have_run(attempt)]
        if possibly_run:
            may_reject = request_class.effect is Effect.KEYED and request_class.scope is Scope.ALL
            assert request_class.effect is Effect.SAFE or may_reject

    def arrive(self, class_index: int, client_timeout_us: int) -> None:
        """Deliver a request with one of two keys or none."""
        name = f"r{len(self.requests)}"
        key = client_timeout_us % 3 or None
        self.requests[name] = RequestRecord(class_index, key, self.now_us + client_timeout_us)
        self.deliver(RequestArrived(name, class_index, client_timeout_us, key))

    def finish_attempt(self, index: int, outcome: Outcome) -> None:
        """End one of the attempts in flight."""
        in_flight = [
            (name, number)
            for name, record in self.requests.items()
            for number, attempt in enumerate(record.attempts)
            if attempt.outcome is None
        ]
        if in_flight:
            self.end_attempt(*in_flight[index % len(in_flight)], outcome)

    def end_attempt(self, name: str, number: int, outcome: Outcome) -> None:
        """End an attempt with an outcome."""
        record = self.requests[name]
        attempt = record.attempts[number]
        attempt.outcome, attempt.ended_us = outcome, self.now_us
        record.finished = record.finished or outcome is Outcome.OK
        event = AttemptEnded(
            name, number, attempt.server, outcome, self.now_us - attempt.sent_us, finished=record.finished
        )
        self.deliver(event)

    def cancel_request(self, index: int) -> None:
        """Cancel one of the unfinished requests."""
        unfinished = [name for name, record in self.requests.items() if not record.finished]
        if unfinished:
            name = unfinished[index % len(unfinished)]
            self.requests[name].finished = True
            self.deliver(RequestCancelled(name))

    def set_status(self, server: int, status: ServerStatus) -> None:
        """Change the status of a server in the endpoint list."""
        self.status[server] = status
        self.deliver(EndpointList(ListKind.DELTA, (ListedServer(server, status, group=GROUP[server]),)))

    def advance(self, duration_us: int) -> None:
        """Advance the clock, firing each timer and timeout when it becomes due."""
        target_us = self.now_us + duration_us
        while True:
            due_times_us = [due_us for due_us, _ in self.timers] + [
                attempt.sent_us + attempt.timeout_us
                for record in self.requests.values()
                for attempt in record.attempts
                if attempt.outcome is None
            ]
            due_us = min(due_times_us, default=target_us + 1)
            if due_us > target_us:
                break
            self.now_us = max(self.now_us, due_us)
            for name, record in self.requests.items():
                for number, attempt in enumerate(record.attempts):
                    if attempt.outcome is None and attempt.sent_us + attempt.timeout_us <= self.now_us:
                        self.end_attempt(name, number, Outcome.TIMEOUT)
            fired = [token for due_at_us, token in self.timers if due_at_us <= self.now_us]
            self.timers = [(due_at_us, token) for due_at_us, token in self.timers if due_at_us > self.now_us]
            for token in fired:
                self.deliver(TimerFired(token))
        self.now_us = target_us


STEP = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 4), st.integers(1_000, 400_000)),
    st.tuples(st.just("arrive"), st.integers(0, 4), st.integers(100_000, 400_000)),
    st.tuples(st.just("finish"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("finish"), st.integers(0, 50), st.just(Outcome.OK)),
    st.tuples(st.just("repeat"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("leave"), st.integers(0, 50), st.just(0)),
    st.tuples(st.just("status"), st.integers(0, 5), st.sampled_from(list(ServerStatus))),
    st.tuples(st.just("advance"), st.integers(100, 200_000), st.just(0)),
)


@settings(max_examples=150, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 3), st.sampled_from(SETTINGS_VARIANTS), st.lists(STEP, min_size=10, max_size=150))
def test_retry_and_ordering_rules_hold_for_any_sequence_of_events(
    seed: int, balancer_settings: Settings, steps: list[tuple[str, int, int]]
) -> None:
    checker = RuleChecker(seed, balancer_settings)
    for step, first, second in steps:
        if step == "arrive":
            checker.arrive(first, second)
        elif step == "finish":
            checker.finish_attempt(first, second)  # type: ignore[arg-type]
        elif step == "repeat":  # an outcome of an attempt that ended long ago or was never sent
            checker.deliver(AttemptEnded(f"r{first}", 9, 0, second, 1))  # type: ignore[arg-type]
        elif step == "leave":
            checker.cancel_request(first)
        elif step == "status":
            checker.set_status(first, second)  # type: ignore[arg-type]
        else:
            checker.advance(first)
    checker.advance(2_000_000)
    for record in checker.requests.values():
        assert record.finished, "a request was left without its final answer"
    balancer = checker.balancer
    assert not balancer.requests and not balancer.timers.pending and not balancer.ordered_keys
    assert all(not server.in_flight for server in balancer.servers.values())


@pytest.mark.parametrize("seed", [1, 7])
def test_equal_events_and_seeds_give_equal_actions(seed: int) -> None:
    logs = []
    for _ in range(2):
        balancer = LoadBalancer(SETTINGS, seed)
        log = list(
            balancer.handle(START_US, EndpointList(ListKind.FULL, tuple(ListedServer(n) for n in range(8))))
        )
        for n in range(200):
            log += balancer.handle(START_US + n * 1_000, RequestArrived(f"r{n}", n % 3, 300_000))
        logs.append(log)
    assert logs[0] == logs[1]
    assert sum(isinstance(action, SendAttempt) for action in logs[0]) > 8
