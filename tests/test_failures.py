"""Errors of the code under test as failures."""

from __future__ import annotations

import pytest

from sagetrack.lab.fault_injection.failures import ErrorsAsFailures
from sagetrack.lab.fault_injection.faulty_filesystem import SimulatedCrash


def test_error_is_recorded_and_suppressed() -> None:
    failures: list[str] = []
    reached = []
    with ErrorsAsFailures(failures, lambda error: f"part 1: {error!r}"):
        reached.append("before")
        raise ValueError("bad")
    with ErrorsAsFailures(failures, repr):
        reached.append("after")
    assert failures == ["part 1: ValueError('bad')"] and reached == ["before", "after"]


@pytest.mark.parametrize("error", [SimulatedCrash, KeyboardInterrupt])
def test_crash_and_interrupt_propagate(error: type[BaseException]) -> None:
    failures: list[str] = []
    with pytest.raises(error), ErrorsAsFailures(failures, repr):
        raise error
    assert not failures
