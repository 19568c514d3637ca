"""The states of a circuit breaker: closed, open, half-open and closed again."""

from __future__ import annotations

from sagetrack.policy.circuit_breaker import (
    FIRST_COOLDOWN_US,
    HALF_OPEN_TRIALS,
    MIN_OUTCOMES_TO_OPEN,
    WINDOW,
    Breaker,
    State,
)
from tests.helpers import trip


def open_breaker() -> Breaker:
    """Return a breaker that has just opened, at time 0."""
    breaker = Breaker()
    trip(breaker, 0)
    return breaker


def half_open_breaker() -> Breaker:
    """Return a breaker whose first cooldown has just ended."""
    breaker = open_breaker()
    assert breaker.allows_request(FIRST_COOLDOWN_US)
    return breaker


def test_a_breaker_stays_closed_below_the_minimum_number_of_outcomes() -> None:
    breaker = Breaker()
    for _ in range(MIN_OUTCOMES_TO_OPEN - 1):
        assert breaker.record(0, True, 0, 0.0) is None
    assert breaker.state is State.CLOSED
    assert breaker.record(0, True, 0, 0.0) is State.OPEN


def test_the_window_drops_its_oldest_outcome() -> None:
    breaker = Breaker()
    breaker.record(0, True, 0, 0.0)
    for _ in range(WINDOW):
        breaker.record(0, False, 0, 0.0)
    assert breaker.failures == 0 and len(breaker.window) == WINDOW


def test_an_open_breaker_allows_no_request_until_the_cooldown_ends() -> None:
    breaker = open_breaker()
    assert not breaker.allows_request(FIRST_COOLDOWN_US - 1)
    assert breaker.allows_request(FIRST_COOLDOWN_US)
    assert breaker.state is State.HALF_OPEN


def test_a_half_open_breaker_allows_no_more_than_its_trials() -> None:
    breaker = half_open_breaker()
    for _ in range(HALF_OPEN_TRIALS):
        assert breaker.allows_request(FIRST_COOLDOWN_US)
        assert breaker.take_trial() == 1
    assert not breaker.allows_request(FIRST_COOLDOWN_US)


def test_successful_trials_close_the_breaker_and_clear_the_window() -> None:
    breaker = half_open_breaker()
    for _ in range(HALF_OPEN_TRIALS):
        breaker.take_trial()
    results = [breaker.record(FIRST_COOLDOWN_US, False, 1, 0.0) for _ in range(HALF_OPEN_TRIALS)]
    assert results[-1] is State.CLOSED
    assert not breaker.window and breaker.failures == 0


def test_failed_trials_reopen_the_breaker_for_longer() -> None:
    breaker = half_open_breaker()
    for _ in range(HALF_OPEN_TRIALS):
        breaker.take_trial()
    breaker.record(FIRST_COOLDOWN_US, True, 1, 0.0)
    assert breaker.record(FIRST_COOLDOWN_US, True, 1, 0.0) is State.OPEN
    assert breaker.open_until_us == 3 * FIRST_COOLDOWN_US


def test_a_half_open_breaker_counts_only_trials() -> None:
    breaker = half_open_breaker()
    breaker.take_trial()
    for _ in range(WINDOW):
        assert breaker.record(FIRST_COOLDOWN_US, True, 0, 0.0) is None
    assert breaker.state is State.HALF_OPEN and breaker.trials_in_flight == 1


def test_late_outcomes_of_an_open_breaker_restart_the_cooldown() -> None:
    breaker = open_breaker()
    assert breaker.record(FIRST_COOLDOWN_US // 2, True, 0, 0.0) is State.OPEN
    assert breaker.open_until_us == FIRST_COOLDOWN_US // 2 + FIRST_COOLDOWN_US


def test_failures_common_to_all_servers_open_no_breaker() -> None:
    breaker = Breaker()
    for number in range(WINDOW):
        breaker.record(0, number % 2 == 0, 0, 0.5)
    assert breaker.state is State.CLOSED
