"""Background tasks of a run. The run ends when one of them fails."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from sagetrack.lab.errors import LabError


class BackgroundTasks:
    """Holds references to tasks until they are done.

    `failure` is the error message of the first task that failed, or None.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.failure: str | None = None

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a coroutine as a task."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and self.failure is None:
            # An unexpected error fails the run too: results of a run without its clients are meaningless.
            self.failure = str(error) if isinstance(error, LabError) else repr(error)

    def cancel_all(self) -> None:
        """Cancel every task."""
        for task in list(self.tasks):
            task.cancel()
