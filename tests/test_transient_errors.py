"""Calls are retried while their errors are transient, up to the time limit for startup."""

from __future__ import annotations

import errno
from collections.abc import Callable

import pytest

from sagetrack.core import transient_errors
from sagetrack.core.transient_errors import (
    RETRY_DELAY_S,
    RETRY_TIMEOUT_S,
    is_transient,
    retry_while_transient_blocking,
)
from tests.sockets import on_event_loop


class Clock:
    """A clock that advances only in `sleep`."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s

    def sleep(self, delay_s: float) -> None:
        self.now_s += delay_s


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(transient_errors, "time", clock)
    return clock


def failing_call(failures: int, error_number: int) -> Callable[[], str]:
    remaining_failures = failures

    def call() -> str:
        nonlocal remaining_failures
        if remaining_failures:
            remaining_failures -= 1
            raise OSError(error_number, "injected")
        return "made"

    return call


def test_a_transient_error_is_retried_until_the_call_succeeds(clock: Clock) -> None:
    assert retry_while_transient_blocking(failing_call(3, errno.EMFILE)) == "made"
    assert clock.now_s == pytest.approx(100.0 + 3 * RETRY_DELAY_S)


def test_an_error_that_is_not_transient_is_raised_immediately(clock: Clock) -> None:
    assert not is_transient(OSError(errno.EACCES, "injected"))
    with pytest.raises(OSError, match="injected"):
        retry_while_transient_blocking(failing_call(1, errno.EACCES))
    assert clock.now_s == 100.0


def test_a_persistent_transient_error_is_raised_after_the_time_limit(clock: Clock) -> None:
    with pytest.raises(OSError, match="injected"):
        retry_while_transient_blocking(failing_call(10_000, errno.EMFILE))
    assert RETRY_TIMEOUT_S <= clock.now_s - 100.0 <= RETRY_TIMEOUT_S + 2 * RETRY_DELAY_S


@on_event_loop
async def test_the_asynchronous_retry_follows_the_same_rules() -> None:
    assert await transient_errors.retry_while_transient(failing_call(2, errno.EMFILE)) == "made"
    with pytest.raises(OSError, match="injected"):
        await transient_errors.retry_while_transient(failing_call(1, errno.EACCES))
