"""Any error of the code under test is a failure that is reported, and not the end of the test."""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType


class ErrorsAsFailures:
    """A context that ends at the first exception in it and adds this one's description to a list.

    What is no `Exception`, as an interrupt or a simulated crash, passes through.
    """

    def __init__(self, failures: list[str], describe: Callable[[Exception], str]) -> None:
        self._failures = failures
        self._describe = describe

    def __enter__(self) -> None:
        """Nothing is to be done before."""

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> bool:
        """Take in the error, if there is one."""
        if not isinstance(error, Exception):
            return False
        self._failures.append(self._describe(error))
        return True
