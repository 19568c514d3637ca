"""The background writer: commits batches in groups and compacts in small steps, on a thread of its own.

The event loop never waits for the disk. Submitted batches are queued in bounded memory; if the queue is full,
new batches are dropped and counted. If the disk is full, read-only or failing, the writer logs the start of
the outage and the recovery once each, and retries every few seconds.
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

COMPACTION_STEP_S = 0.002  # compaction time between rests, in which other threads can run
REST_FACTOR = 2.0  # ratio of the rest to the duration of the compaction step
MAX_REST_S = 0.05
CLOSE_TIMEOUT_S = 2.0  # maximum time that `close` waits for the disk
IDLE_WAIT_S = 1.0  # interval between checks for due work while no batches are submitted


@dataclass(slots=True)
class WriterCounts:
    """Counters since the start of the process.

    Attributes:
        batches: Written batches.
        syncs: Successful syncs.
        dropped: Batches that were dropped because the queue or the disk was full or a write failed.
        failures: Failed operations.
        checkpoints: Completed compactions.
        slowest_commit_ms: Longest duration of the commit of one group of batches, in milliseconds.
    """

    batches: int = 0
    syncs: int = 0
    dropped: int = 0
    failures: int = 0
    checkpoints: int = 0
    slowest_commit_ms: float = 0.0


class BackgroundWriter:
    """A store and the thread that writes to it.

    Batches may be submitted between `start` and `close`. `open` may be called before `start`, or by the
    `on_start` callback on the writer thread.

    Attributes:
        store: The store; None until it is open.
        counts: Counters since the start of the process.
    """

    def __init__(
        self,
        open_directory: Callable[[], StoreDirectory],
        options: StoreOptions,
        log: Callable[[str], None],
        sync_policy: SyncPolicy = "every",
        sync_interval_s: float = 0.1,
    ) -> None:
        """Create a writer; this does not open the store.

        Args:
            open_directory: Opens the directory; may raise OSError.
            options: Options of the store.
            log: Writes a line to the log; called on the calling thread or the writer thread.
            sync_policy: Sync after each group of batches ("batch"), at intervals ("every") or not at all.
            sync_interval_s: Interval between syncs in seconds.
        """
        self._open_directory = open_directory
        self._options = options
        self._log = log
        self._sync_policy = sync_policy
        self._sync_interval_s = sync_interval_s
        self.store: Store | None = None
        self.counts = WriterCounts()
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
        """Start the thread, which opens the store if necessary and retries every few seconds on failure.

        Args:
            loop: Event loop on which `on_durable` callbacks run; without one they run on the writer thread.
            on_start: Called first on the writer thread. It should open the store if this may take long,
                because the store is large or the disk may hang.
        """
        self._loop = loop
        self._on_start = on_start
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def open(self) -> RecoveryReport:
        """Open the store on the calling thread.

        Raises:
            StoreOpenError: The store cannot be opened; the message is a single line.
        """
        directory: StoreDirectory | None = None
        try:
            directory = self._open_directory()
            store = Store(directory, self._options, self._log)
            report = store.open()
        except (OSError, NewerFormatError, CorruptionError) as error:
            if directory is not None:
                directory.close()
            raise StoreOpenError(f"the store cannot be opened: {_error_text(error)}") from None
        self.store = store
        return report

    def submit(self, records: Sequence[Record], on_durable: OnDurable | None = None) -> bool:
        """Submit a batch without waiting for the disk.

        Args:
            records: Records of the batch.
            on_durable: Called with True once the batch is durable, or with False if it is dropped.

        Returns:
            True if the batch was queued; otherwise it was dropped.
        """
        queued = self._queue.offer(QueuedBatch(records, on_durable))
        if not queued:
            self.counts.dropped += 1
            if on_durable is not None:
                self._notify([on_durable], False)
        return queued

    def close(self) -> None:
        """Write the queued batches and stop the thread; wait for it at most `CLOSE_TIMEOUT_S`."""
        self._queue.close()
        if self._thread is not None:
            self._thread.join(CLOSE_TIMEOUT_S)
            self._thread = None

    def record_failure(self, reason: str) -> None:
        """Count a failure, postpone the next attempt, and log the failure if it starts an outage."""
        self.counts.failures += 1
        if self._outage.begin():
            self._log(f"store writes failing, records are dropped until it recovers: {reason}")

    def metric_values(self) -> dict[str, float]:
        """Return the current values of the exported metrics by name."""
        counts = self.counts
        store = self.store
        return {
            "store_batches_total": counts.batches,
            "store_syncs_total": counts.syncs,
            "store_dropped_total": counts.dropped,
            "store_failures_total": counts.failures,
            "store_bases_total": counts.checkpoints,
            "store_failing": int(self._outage.active),
            "store_slowest_commit_ms": round(counts.slowest_commit_ms, 1),
            "store_waiting_bytes": self._queue.queued_bytes,
            "store_bytes": store.bytes_used if store is not None else 0,
        }

    # The methods below run on the writer thread, except that `submit` also calls `_notify`.

    def _run(self) -> None:
        self._on_start()
        while True:
            batches, closing = self._queue.take(self._wait_s)
            if batches:
                self._commit(batches)
            self._sync_if_due(closing)
            if closing and not batches:
                break
            self._step_compaction()
        self._close_store()

    def _close_store(self) -> None:
        if self.store is None:
            return
        try:
            self.store.close()
        except OSError as error:
            self._log(f"store close failed: {_error_text(error)}")

    def _wait_s(self) -> float:
        """Return the maximum time to wait for batches, until the next sync or compaction step."""
        if self._compaction is not None:
            return 0.0
        if self._awaiting_sync and self._sync_policy == "every":
            return max(0.0, self._synced_at_s + self._sync_interval_s - time.monotonic())
        return IDLE_WAIT_S

    def _commit(self, batches: list[QueuedBatch]) -> None:
        """Write a group of batches by a single append, and sync it if the sync policy is "batch"."""
        callbacks = [batch.on_durable for batch in batches if batch.on_durable is not None]
        started_s = time.monotonic()
        store = self._usable_store()
        if store is None:
            self._drop(len(batches), callbacks)
            return
        try:
            store.write([batch.records for batch in batches])
            self.counts.batches += len(batches)
            self._awaiting_sync += callbacks
            if self._sync_policy == "batch":
                self._sync(store)
        except StoreFullError as error:
            self._drop(len(batches), callbacks)
            self.record_failure(str(error))
        except WriteRejectedError as error:
            self._drop(len(batches), callbacks)
            self._log(f"store rejected a write: {error}")
        except OSError as error:
            self._drop(len(batches), callbacks)
            self.record_failure(_error_text(error))
        elapsed_ms = (time.monotonic() - started_s) * 1000
        self.counts.slowest_commit_ms = max(self.counts.slowest_commit_ms, elapsed_ms)

    def _usable_store(self) -> Store | None:
        """Return the store if it can be written to; open it if necessary and if a retry is due."""
        if self.store is None and not self._outage.backing_off:
            try:
                self.open()
            except StoreOpenError as error:
                self.record_failure(str(error))
        return None if self._outage.backing_off else self.store

    def _drop(self, count: int, callbacks: list[OnDurable]) -> None:
        self.counts.dropped += count
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
            self.record_failure(_error_text(error))

    def _sync(self, store: Store) -> None:
        store.sync()
        self.counts.syncs += 1
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
        """Run one step of a compaction, then rest, so that writes and the event loop are not delayed."""
        store = self.store
        if store is None or self._outage.backing_off:
            return
        started_s = time.monotonic()
        try:
            if self._compaction is None and store.compaction_due:
                self._compaction = store.compact(int(time.time() * 1000))
            if self._compaction is None:
                return
            if self._is_finished_within_step(self._compaction, started_s):
                self._compaction = None
                self.counts.checkpoints += 1
        except (OSError, CorruptionError) as error:
            self._compaction = None
            self.record_failure(_error_text(error))
        time.sleep(min(MAX_REST_S, REST_FACTOR * (time.monotonic() - started_s)))

    @staticmethod
    def _is_finished_within_step(compaction: Generator[None, None, None], step_started_s: float) -> bool:
        """Run a compaction for `COMPACTION_STEP_S` at the most; return whether it is complete."""
        while time.monotonic() - step_started_s < COMPACTION_STEP_S:
            try:
                next(compaction)
            except StopIteration:
                return True
        return False


def _error_text(error: Exception) -> str:
    """Return the text of an error; for an OSError without its number and file name."""
    return getattr(error, "strerror", None) or str(error)
