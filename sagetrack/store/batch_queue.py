"""The bounded queue between threads that submit batches and the writer thread."""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from typing import NamedTuple

from sagetrack.store.format import Record

OnDurable = Callable[[bool], None]  # called with True if the batch is durable, with False if it was dropped

MAX_QUEUED_BYTES = 4 * 1024 * 1024
RECORD_OVERHEAD_BYTES = 64  # estimated size of a queued record without its key and value


class QueuedBatch(NamedTuple):
    """A submitted batch and the callback for its outcome."""

    records: Sequence[Record]
    on_durable: OnDurable | None


class BatchQueue:
    """Batches on their way from any thread to the writer thread, in bounded memory."""

    __slots__ = ("_batches", "_closing", "_condition", "queued_bytes")

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._batches: list[QueuedBatch] = []
        self._closing = False
        self.queued_bytes = 0

    def offer(self, batch: QueuedBatch) -> bool:
        """Queue a batch; return False if the size limit is reached or the queue is closing."""
        size = sum(
            len(record.key) + len(record.value or b"") + RECORD_OVERHEAD_BYTES for record in batch.records
        )
        with self._condition:
            if self._closing or self.queued_bytes + size > MAX_QUEUED_BYTES:
                return False
            self._batches.append(batch)
            self.queued_bytes += size
            if len(self._batches) == 1:
                self._condition.notify()
        return True

    def take(self, wait_s: Callable[[], float]) -> tuple[list[QueuedBatch], bool]:
        """Take all queued batches; if there are none, wait once for a batch.

        Args:
            wait_s: Returns the maximum time to wait, in seconds; called only if the queue is empty.

        Returns:
            The batches in order of submission, and whether the queue is closing.
        """
        with self._condition:
            if not self._batches and not self._closing:
                self._condition.wait(wait_s())
            batches = self._batches
            self._batches = []
            self.queued_bytes = 0
            return batches, self._closing

    def close(self) -> None:
        """Reject further batches and wake the writer thread."""
        with self._condition:
            self._closing = True
            self._condition.notify()
