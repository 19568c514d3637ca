"""Events are handled one after the other, each made when its turn comes, whatever fails in between."""

from __future__ import annotations

from collections.abc import Callable

from sagetrack.core.event_dispatcher import EventDispatcher
from sagetrack.core.event_trace import EventTrace
from sagetrack.core.invariants import Invariant, InvariantViolations
from sagetrack.policy.actions import Action, Fail
from sagetrack.policy.events import Event, RequestArrived, RequestCancelled, TimerFired
from sagetrack.policy.load_balancer import LoadBalancer
from tests.helpers import SETTINGS


class Recorded:
    """A dispatcher over a load balancer and an executor that record what reaches them."""

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


def test_what_is_posted_while_an_event_is_handled_waits_for_all_its_actions() -> None:
    recorded = Recorded()
    first, second = TimerFired(1), TimerFired(2)
    recorded.on_handle = lambda event: [Fail("a"), Fail("b")] if event == first else []

    def post_second(action: Action) -> None:
        if action == Fail("a"):
            recorded.dispatcher.post(lambda: second)

    recorded.on_execute = post_second
    recorded.dispatcher.post(lambda: first)
    assert recorded.log == [first, Fail("a"), Fail("b"), second]


def test_a_queued_event_is_made_when_its_turn_comes_and_may_be_void_by_then() -> None:
    recorded = Recorded()
    state = "before"

    def change(action: Action) -> None:
        nonlocal state
        recorded.dispatcher.post(lambda: RequestCancelled(state))
        recorded.dispatcher.post(lambda: None if state == "after" else TimerFired(9))
        state = "after"

    recorded.on_handle = lambda event: [Fail("a")] if event == TimerFired(1) else []
    recorded.on_execute = change
    recorded.dispatcher.post(lambda: TimerFired(1))
    assert recorded.log == [TimerFired(1), Fail("a"), RequestCancelled("after")]


def test_an_event_that_cannot_be_made_is_counted_and_stops_none_behind_it() -> None:
    recorded = Recorded()

    def broken() -> Event:
        recorded.dispatcher.post(lambda: TimerFired(2))
        raise RuntimeError("a planted fault")

    recorded.dispatcher.post(broken)
    assert recorded.log == [TimerFired(2)] and recorded.errors == 1


def test_a_request_whose_handling_fails_is_failed_and_other_events_have_no_actions() -> None:
    recorded = Recorded()

    def broken(event: Event) -> list[Action]:
        raise RuntimeError("a planted fault")

    recorded.on_handle = broken
    arrived = RequestArrived("r", 0, 1_000)
    recorded.dispatcher.post(lambda: arrived)
    recorded.dispatcher.post(lambda: TimerFired(1))
    assert recorded.log == [arrived, Fail("r"), TimerFired(1)] and recorded.errors == 2


def test_an_action_that_fails_stops_none_behind_it() -> None:
    recorded = Recorded()
    recorded.on_handle = lambda event: [Fail("a"), Fail("b")]

    def broken(action: Action) -> None:
        raise RuntimeError("a planted fault")

    recorded.on_execute = broken
    recorded.dispatcher.post(lambda: TimerFired(1))
    assert recorded.log == [TimerFired(1), Fail("a"), Fail("b")] and recorded.errors == 2


def test_after_the_close_nothing_is_handled() -> None:
    recorded = Recorded()
    recorded.on_handle = lambda event: [Fail("a")]
    recorded.on_execute = lambda action: recorded.dispatcher.close()
    recorded.dispatcher.post(lambda: TimerFired(1))
    recorded.dispatcher.post(lambda: TimerFired(2))
    assert recorded.log == [TimerFired(1), Fail("a")]
