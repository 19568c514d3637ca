"""The background writer: commits batches in groups and compacts in steps, on a thread of its own.

An event loop never waits for a disk. Submitted batches wait in bounded memory; at the bound new ones are
dropped and counted. A disk that is full, slow, read-only or failing is logged once, and again when it has
recovered; meanwhile it is retried every few seconds.
"""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable, Generator, Sequence
from dataclasses import dataclass
from typing import Literal

from sagetrack.store.batch_queue import BatchQueue, OnDurable, QueuedBatch
from sagetrack.store.directory import StoreDirectory
from sagetrack.store.engine import Store
from sagetrack.store.errors import (
    CorruptionError,
    NewerFormatError,
    StoreFullError,
    StoreOpenError,
    WriteRejectedError,
)
from sagetrack.store.format import Record
from sagetrack.store.options import StoreOptions
from sagetrack.store.outage import Outage
from sagetrack.store.recovery import RecoveryReport

SyncPolicy = Literal["batch", "every", "never"]

COMPACTION_STEP_S = 0.002  # of compaction at once: other threads get the interpreter in between
REST_FACTOR = 2.0  # the thread rests this many times as long as the step took
MAX_REST_S = 0.05
CLOSE_TIMEOUT_S = 2.0  # how long `close` waits for the disk
IDLE_WAIT_S = 1.0  # between looks at what is due when nothing is submitted


@dataclass(slots=True)
class WriterCounters:
    """Totals since the start.

    Attributes:
        batches: Batches that were written.
        syncs: Syncs that succeeded.
        dropped: Batches for which there was no capacity, in memory or on disk, or whose write failed.
        failures: Operations that failed.
        checkpoints: Compactions that were completed.
        slowest_commit_ms: The longest that one group took.
    """

    batches: int = 0
    syncs: int = 0
    dropped: int = 0
    failures: int = 0
    checkpoints: int = 0
    slowest_commit_ms: float = 0.0


class BackgroundWriter:
    """One store and its thread.

    Batches may be submitted between `start` and `close`. `open` is called before `start`, or on the thread by
    what `start` is given.

    Attributes:
        store: The store once it is open.
        counters: What was done since the start.
    """

    def __init__(
        self,
        open_directory: Callable[[], StoreDirectory],
        options: StoreOptions,
        log: Callable[[str], None],
        sync_policy: SyncPolicy = "every",
        sync_interval_s: float = 0.1,
    ) -> None:
        """Prepare a writer; nothing is opened yet.

        Args:
            open_directory: Opens the directory; may raise OSError.
            options: Of the store.
            log: Takes a line of the log; called on either thread.
            sync_policy: Whether to sync each group of batches, at intervals, or never.
            sync_interval_s: The interval in seconds.
        """
        self._open_directory = open_directory
        self._options = options
        self._log = log
        self._sync_policy = sync_policy
        self._sync_interval_s = sync_interval_s
        self.store: Store | None = None
        self.counters = WriterCounters()
        self._queue = BatchQueue()
        self._outage = Outage()
        self._thread: threading.Thread | None = None
        self._on_start: Callable[[], None] = lambda: None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._awaiting_sync: list[OnDurable] = []
        self._synced_at_s = 0.0
        self._compaction: Generator[None, None, None] | None = None

    def start(
        self, loop: asyncio.AbstractEventLoop | None = None, on_start: Callable[[], None] = lambda: None
    ) -> None:
        """Start the thread; a store that is not open yet is retried every few seconds.

        Args:
            loop: The event loop on which `on_durable` callbacks run; without one they run on the thread.
            on_start: What the thread does before anything else: the place to open a store that may be
                large, or on a disk that hangs.
        """
        self._loop = loop
        self._on_start = on_start
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def open(self) -> RecoveryReport:
        """Open the store on the calling thread.

        Raises:
            StoreOpenError: With one plain line, if the store cannot be opened.
        """
        directory: StoreDirectory | None = None
        try:
            directory = self._open_directory()
            store = Store(directory, self._options, self._log)
            report = store.open()
        except (OSError, NewerFormatError, CorruptionError) as error:
            if directory is not None:
                directory.close()
            raise StoreOpenError(f"the store cannot be opened: {_reason(error)}") from None
        self.store = store
        return report

    def submit(self, records: Sequence[Record], on_durable: OnDurable | None = None) -> bool:
        """Submit a batch without waiting for the disk.

        Args:
            records: The batch.
            on_durable: Called with whether the batch is durable.

        Returns:
            Whether the batch was queued; else it is dropped.
        """
        queued = self._queue.offer(QueuedBatch(records, on_durable))
        if not queued:
            self.counters.dropped += 1
            if on_durable is not None:
                self._notify([on_durable], False)
        return queued

    def close(self) -> None:
        """Write what is queued, and end. Waits for the disk, but not for one that hangs."""
        self._queue.close()
        if self._thread is not None:
            self._thread.join(CLOSE_TIMEOUT_S)
            self._thread = None

    def record_failure(self, why: str) -> None:
        """Count a failure, put off the next try, and log the first failure of an outage."""
        self.counters.failures += 1
        if self._outage.begin():
            self._log(f"store writes failing, records are dropped until it recovers: {why}")

    def metric_values(self) -> dict[str, float]:
        """Values by exported metric name."""
        counters = self.counters
        store = self.store
        return {
            "store_batches_total": counters.batches,
            "store_syncs_total": counters.syncs,
            "store_dropped_total": counters.dropped,
            "store_failures_total": counters.failures,
            "store_bases_total": counters.checkpoints,
            "store_failing": int(self._outage.active),
            "store_slowest_commit_ms": round(counters.slowest_commit_ms, 1),
            "store_waiting_bytes": self._queue.queued_bytes,
            "store_bytes": store.bytes_used if store is not None else 0,
        }

    # Everything below runs on the writer's thread.

    def _run(self) -> None:
        self._on_start()
        while True:
            taken, closing = self._queue.take(self._wait_s)
            if taken:
                self._commit(taken)
            self._sync_if_due(closing)
            if closing and not taken:
                break
            self._step_compaction()
        self._close_store()

    def _close_store(self) -> None:
        if self.store is None:
            return
        try:
            self.store.close()
        except OSError as error:
            self._log(f"store close failed: {_reason(error)}")

    def _wait_s(self) -> float:
        """How long to wait for batches: there may be something to sync or to compact."""
        if self._compaction is not None:
            return 0.0
        if self._awaiting_sync and self._sync_policy == "every":
            return max(0.0, self._synced_at_s + self._sync_interval_s - time.monotonic())
        return IDLE_WAIT_S

    def _commit(self, taken: list[QueuedBatch]) -> None:
        """Write a group by one append, and sync it if the policy is to sync each."""
        callbacks = [batch.on_durable for batch in taken if batch.on_durable is not None]
        began = time.monotonic()
        store = self._usable_store()
        if store is None:
            self._drop(len(taken), callbacks)
            return
        try:
            store.write([batch.records for batch in taken])
            self.counters.batches += len(taken)
            self._awaiting_sync += callbacks
            if self._sync_policy == "batch":
                self._sync(store)
        except StoreFullError as error:
            self._drop(len(taken), callbacks)
            self.record_failure(str(error))
        except WriteRejectedError as error:
            self._drop(len(taken), callbacks)
            self._log(f"store rejected a write: {error}")
        except OSError as error:
            self._drop(len(taken), callbacks)
            self.record_failure(_reason(error))
        took_ms = (time.monotonic() - began) * 1000
        self.counters.slowest_commit_ms = max(self.counters.slowest_commit_ms, took_ms)

    def _usable_store(self) -> Store | None:
        """The store if it may be written to now; opens one that is not open when a retry is due."""
        if self.store is None and not self._outage.backing_off:
            try:
                self.open()
            except StoreOpenError as error:
                self.record_failure(str(error))
        return None if self._outage.backing_off else self.store

    def _drop(self, count: int, callbacks: list[OnDurable]) -> None:
        self.counters.dropped += count
        self._notify(callbacks, False)

    def _sync_if_due(self, closing: bool) -> None:
        store = self.store
        if store is None or self._sync_policy == "never" or not (store.has_unsynced or self._awaiting_sync):
            return
        if not closing and time.monotonic() < self._synced_at_s + self._sync_interval_s:
            return
        if self._outage.backing_off and not closing:
            return
        try:
            self._sync(store)
        except OSError as error:
            self.record_failure(_reason(error))

    def _sync(self, store: Store) -> None:
        store.sync()
        self.counters.syncs += 1
        self._synced_at_s = time.monotonic()
        callbacks = self._awaiting_sync
        self._awaiting_sync = []
        self._notify(callbacks, True)
        if self._outage.end():
            self._log("store writes recovered")

    def _notify(self, callbacks: list[OnDurable], durable: bool) -> None:
        if not callbacks:
            return
        if self._loop is None or self._loop.is_closed():
            for callback in callbacks:
                callback(durable)
        else:
            self._loop.call_soon_threadsafe(lambda: [callback(durable) for callback in callbacks])

    def _step_compaction(self) -> None:
        """Do a part of a compaction, and rest, so that neither writes nor the event loop wait for it."""
        store = self.store
        if store is None or self._outage.backing_off:
            return
        began = time.monotonic()
        try:
            if self._compaction is None and store.compaction_due:
                self._compaction = store.compact(int(time.time() * 1000))
            if self._compaction is None:
                return
            if self._is_finished_within_step(self._compaction, began):
                self._compaction = None
                self.counters.checkpoints += 1
        except (OSError, CorruptionError) as error:
            self._compaction = None
            self.record_failure(_reason(error))
        time.sleep(min(MAX_REST_S, REST_FACTOR * (time.monotonic() - began)))

    @staticmethod
    def _is_finished_within_step(compaction: Generator[None, None, None], began_s: float) -> bool:
        """Go on with a compaction until COMPACTION_STEP_S after `began_s`; whether it is complete."""
        while time.monotonic() - began_s < COMPACTION_STEP_S:
            try:
                next(compaction)
            except StopIteration:
                return True
        return False


def _reason(error: Exception) -> str:
    """What an error says without its number and file."""
    return getattr(error, "strerror", None) or str(error)
