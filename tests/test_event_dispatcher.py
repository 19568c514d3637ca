"""The dispatcher handles events one at a time, makes each when it is dequeued, and survives exceptions."""

from __future__ import annotations

from collections.abc import Callable

from sagetrack.core.event_dispatcher import EventDispatcher
from sagetrack.core.event_trace import EventTrace
from sagetrack.core.invariants import Invariant, InvariantViolations
from sagetrack.policy.actions import Action, Fail
from sagetrack.policy.events import Event, RequestArrived, RequestCancelled, TimerFired
from sagetrack.policy.load_balancer import LoadBalancer
from tests.helpers import SETTINGS


class RecordingDispatcher:
    """A dispatcher with a load balancer and an executor that record the events and actions they receive."""

    def __init__(self) -> None:
        self.log: list[object] = []
        self.on_handle: Callable[[Event], list[Action]] = lambda event: []
        self.on_execute: Callable[[Action], None] = lambda action: None
        balancer = LoadBalancer(SETTINGS, 1)
        balancer.handle = self.handle  # type: ignore[method-assign]
        self.violations = InvariantViolations(EventTrace())
        self.dispatcher = EventDispatcher(balancer, self.violations)
        self.dispatcher.start(self)

    def handle(self, now_us: int, event: Event) -> list[Action]:
        self.log.append(event)
        return self.on_handle(event)

    def execute(self, action: Action) -> None:
        self.log.append(action)
        self.on_execute(action)

    @property
    def errors(self) -> int:
        return self.violations.counts[Invariant.NO_HANDLER_ERROR]


def test_an_event_posted_during_another_waits_for_all_its_actions() -> None:
    recording = RecordingDispatcher()
    first, second = TimerFired(1), TimerFired(2)
    recording.on_handle = lambda event: [Fail("a"), Fail("b")] if event == first else []

    def post_second(action: Action) -> None:
        if action == Fail("a"):
            recording.dispatcher.post(lambda: second)

    recording.on_execute = post_second
    recording.dispatcher.post(lambda: first)
    assert recording.log == [first, Fail("a"), Fail("b"), second]


def test_a_queued_event_is_made_when_dequeued_and_may_no_longer_apply() -> None:
    recording = RecordingDispatcher()
    state = "before"

    def change(action: Action) -> None:
        nonlocal state
        recording.dispatcher.post(lambda: RequestCancelled(state))
        recording.dispatcher.post(lambda: None if state == "after" else TimerFired(9))
        state = "after"

    recording.on_handle = lambda event: [Fail("a")] if event == TimerFired(1) else []
    recording.on_execute = change
    recording.dispatcher.post(lambda: TimerFired(1))
    assert recording.log == [TimerFired(1), Fail("a"), RequestCancelled("after")]


def test_an_event_that_cannot_be_made_is_counted_and_does_not_stop_later_events() -> None:
    recording = RecordingDispatcher()

    def fail() -> Event:
        recording.dispatcher.post(lambda: TimerFired(2))
        raise RuntimeError("injected fault")

    recording.dispatcher.post(fail)
    assert recording.log == [TimerFired(2)] and recording.errors == 1


def test_a_request_whose_handling_fails_is_failed_and_other_events_have_no_actions() -> None:
    recording = RecordingDispatcher()

    def fail(event: Event) -> list[Action]:
        raise RuntimeError("injected fault")

    recording.on_handle = fail
    arrived = RequestArrived("r", 0, 1_000)
    recording.dispatcher.post(lambda: arrived)
    recording.dispatcher.post(lambda: TimerFired(1))
    assert recording.log == [arrived, Fail("r"), TimerFired(1)] and recording.errors == 2


def test_an_action_that_fails_does_not_stop_later_actions() -> None:
    recording = RecordingDispatcher()
    recording.on_handle = lambda event: [Fail("a"), Fail("b")]

    def fail(action: Action) -> None:
        raise RuntimeError("injected fault")

    recording.on_execute = fail
    recording.dispatcher.post(lambda: TimerFired(1))
    assert recording.log == [TimerFired(1), Fail("a"), Fail("b")] and recording.errors == 2


def test_no_event_is_handled_after_close() -> None:
    recording = RecordingDispatcher()
    recording.on_handle = lambda event: [Fail("a")]
    recording.on_execute = lambda action: recording.dispatcher.close()
    recording.dispatcher.post(lambda: TimerFired(1))
    recording.dispatcher.post(lambda: TimerFired(2))
    assert recording.log == [TimerFired(1), Fail("a")]
