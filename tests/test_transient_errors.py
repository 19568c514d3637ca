"""Calls are retried while their errors are transient, and no longer than a start may take."""

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
    """Time that passes only while it is slept."""

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


def failing(times: int, number: int) -> Callable[[], str]:
    left = times

    def call() -> str:
        nonlocal left
        if left:
            left -= 1
            raise OSError(number, "planted")
        return "made"

    return call


def test_a_transient_error_is_retried_until_the_call_succeeds(clock: Clock) -> None:
    assert retry_while_transient_blocking(failing(3, errno.EMFILE)) == "made"
    assert clock.now_s == pytest.approx(100.0 + 3 * RETRY_DELAY_S)


def test_another_error_is_raised_at_once(clock: Clock) -> None:
    assert not is_transient(OSError(errno.EACCES, "planted"))
    with pytest.raises(OSError, match="planted"):
        retry_while_transient_blocking(failing(1, errno.EACCES))
    assert clock.now_s == 100.0


def test_a_transient_error_that_stays_is_raised_in_the_end(clock: Clock) -> None:
    with pytest.raises(OSError, match="planted"):
        retry_while_transient_blocking(failing(10_000, errno.EMFILE))
    assert RETRY_TIMEOUT_S <= clock.now_s - 100.0 <= RETRY_TIMEOUT_S + 2 * RETRY_DELAY_S


@on_event_loop
async def test_on_an_event_loop_the_same_rule_holds() -> None:
    assert await transient_errors.retry_while_transient(failing(2, errno.EMFILE)) == "made"
    with pytest.raises(OSError, match="planted"):
        await transient_errors.retry_while_transient(failing(1, errno.EACCES))
