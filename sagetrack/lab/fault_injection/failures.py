"""Records exceptions of the code under test as failures, so that a test run continues."""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType


class ErrorsAsFailures:
    """A context manager that suppresses an exception and adds a description of it to a list of failures.

    Exceptions that do not derive from `Exception`, such as an interrupt or a simulated crash, propagate.
    """

    def __init__(self, failures: list[str], describe: Callable[[Exception], str]) -> None:
        self._failures = failures
        self._describe = describe

    def __enter__(self) -> None:
        """Enter the context; there is nothing to set up."""

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> bool:
        """Record and suppress the exception, if there is one that derives from `Exception`."""
        if not isinstance(error, Exception):
            return False
        self._failures.append(self._describe(error))
        return True
