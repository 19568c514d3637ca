"""The store's own thread: takes what is to be kept off the event loop, commits in groups, compacts in steps.

The loop never waits for a disk. What is put here waits in bounded memory; at the bound the newest is dropped
and counted. A disk that is full, slow, read-only or failing is told once, and again when it works once more;
it is tried every few seconds meanwhile.
"""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Literal

from sagetrack.store.engine import FullError, Opened, Options, Store, StoreError
from sagetrack.store.files import Files
from sagetrack.store.format import FormatError, NewerError, Op

Sync = Literal["batch", "every", "never"]
STEP_S = 0.002  # of compaction at once: the loop gets the interpreter in between
REST = 2.0  # times as long as a step takes the thread rests after it
AGAIN_S = 5.0  # after a failure
LEAVE_S = 2.0  # that a way out waits for the disk
WAITING_BYTES = 4 * 1024 * 1024  # that wait for the disk


@dataclass(slots=True)
class Counts:
    """Since the start."""

    batches: int = 0
    syncs: int = 0
    dropped: int = 0  # batches for which there was no room, in memory or on disk
    failures: int = 0
    bases: int = 0
    slowest_ms: float = 0.0  # one commit
    failing: bool = False


Done = Callable[[bool], None]


class Keeper:
    """One store and its thread. `open` reads it, `start` and `close` bound when `put` may be called.

    `open` is called before `start`, or in the thread by what `start` is given.
    """

    def __init__(
        self,
        make: Callable[[], Files],
        options: Options,
        log: Callable[[str], None],
        sync: Sync = "every",
        every_s: float = 0.1,
    ) -> None:
        self.make, self.options, self.log, self.sync, self.every_s = make, options, log, sync, every_s
        self.store: Store | None = None
        self.counts = Counts()
        self.lock = threading.Condition()
        self.waiting: list[tuple[Sequence[Op], Done | None]] = []
        self.waiting_bytes = 0
        self.ending = False
        self.thread: threading.Thread | None = None
        self.first: Callable[[], None] = lambda: None
        self.loop: asyncio.AbstractEventLoop | None = None
        self.unkept: list[Done] = []  # written, and not yet lasting
        self.synced_s = 0.0
        self.retry_s = 0.0

    def start(
        self, loop: asyncio.AbstractEventLoop | None = None, first: Callable[[], None] = lambda: None
    ) -> None:
        """Begin to keep; a store that is not open yet is tried again every few seconds.

        `first` is what the thread does before anything else: a long store, or a disk that stands still, is no
        business of the loop.
        """
        self.loop, self.first = loop, first
        self.thread = threading.Thread(target=self.run, name="store", daemon=True)
        self.thread.start()

    def open(self) -> Opened:
        """Open the store, here and now. StoreError with one plain line if that cannot be."""
        files: Files | None = None
        try:
            files = self.make()
            store = Store(files, self.options, self.log)
            found = store.open()
        except (OSError, NewerError, FormatError) as error:
            if files is not None:
                files.close()
            why = getattr(error, "strerror", None) or str(error)
            raise StoreError(f"the store cannot be opened: {why}") from None
        self.store = store
        return found

    def put(self, ops: Sequence[Op], done: Done | None = None) -> bool:
        """Have a batch kept; False if it was dropped. `done` hears on the loop whether it lasts."""
        size = sum(len(op.key) + len(op.value or b"") + 64 for op in ops)
        with self.lock:
            if self.ending or self.waiting_bytes + size > WAITING_BYTES:
                self.counts.dropped += 1
                dropped = True
            else:
                dropped = False
                self.waiting.append((ops, done))
                self.waiting_bytes += size
                if len(self.waiting) == 1:
                    self.lock.notify()
        if dropped and done is not None:
            self.tell([done], False)
        return not dropped

    # The thread

    def run(self) -> None:
        self.first()
        while True:
            with self.lock:
                if not self.waiting and not self.ending:
                    self.lock.wait(self.patience())
                taken, self.waiting, self.waiting_bytes = self.waiting, [], 0
                ending = self.ending
            if taken:
                self.commit(taken)
            self.sync_if_due(ending)
            if ending and not taken:
                break
            self.step()
        if self.store is not None:
            try:
                self.store.close()
            except OSError as error:
                self.log(f"the store could not be closed: {error.strerror or error}")

    def patience(self) -> float | None:
        """How long to wait for work: there may be something to sync or to compact."""
        if self.store is not None and self.store.work is not None:
            return 0.0
        if self.unkept and self.sync == "every":
            return max(0.0, self.synced_s + self.every_s - time.monotonic())
        return 1.0

    def commit(self, taken: list[tuple[Sequence[Op], Done | None]]) -> None:
        """Write a group at once, and sync it where each batch is to last when it is told."""
        dones = [done for _, done in taken if done is not None]
        began = time.monotonic()
        if not self.usable():
            self.drop(len(taken), dones)
            return
        assert self.store is not None
        try:
            self.store.write([ops for ops, _ in taken])
            self.counts.batches += len(taken)
            self.unkept += dones
            if self.sync == "batch":
                self.sync_now()
        except FullError as error:
            self.drop(len(taken), dones)
            self.fail(str(error))
        except StoreError as error:
            self.drop(len(taken), dones)
            self.log(f"the store does not take it: {error}")
        except OSError as error:
            self.drop(len(taken), dones)
            self.fail(error.strerror or str(error))
        self.counts.slowest_ms = max(self.counts.slowest_ms, (time.monotonic() - began) * 1000)

    def usable(self) -> bool:
        """Whether the store may be written to now; one that failed is tried again after a while."""
        if self.store is None and time.monotonic() >= self.retry_s:
            try:
                self.open()
            except StoreError as error:
                self.fail(str(error))
        return self.store is not None and (not self.counts.failing or time.monotonic() >= self.retry_s)

    def drop(self, count: int, dones: list[Done]) -> None:
        self.counts.dropped += count
        self.tell(dones, False)

    def fail(self, why: str) -> None:
        self.counts.failures += 1
        self.retry_s = time.monotonic() + AGAIN_S
        if not self.counts.failing:
            self.counts.failing = True
            self.log(f"the store keeps nothing for now: {why}")

    def sync_if_due(self, ending: bool) -> None:
        store = self.store
        if store is None or self.sync == "never" or not (store.unsynced or self.unkept):
            return
        if not ending and time.monotonic() < self.synced_s + self.every_s:
            return
        if self.counts.failing and not ending and time.monotonic() < self.retry_s:
            return
        try:
            self.sync_now()
        except OSError as error:
            self.fail(error.strerror or str(error))

    def sync_now(self) -> None:
        assert self.store is not None
        self.store.sync()
        self.counts.syncs += 1
        self.synced_s = time.monotonic()
        dones, self.unkept = self.unkept, []
        self.tell(dones, True)
        if self.counts.failing:
            self.counts.failing = False
            self.log("the store keeps what comes again")

    def tell(self, dones: list[Done], lasts: bool) -> None:
        if not dones:
            return
        if self.loop is None or self.loop.is_closed():
            for done in dones:
                done(lasts)
        else:
            self.loop.call_soon_threadsafe(lambda: [done(lasts) for done in dones])

    def step(self) -> None:
        """Some of a compaction, and a rest, so that neither writes nor the loop wait for it."""
        store = self.store
        if store is None or (self.counts.failing and time.monotonic() < self.retry_s):
            return
        began = time.monotonic()
        try:
            if store.due:
                store.work = store.compact(int(time.time() * 1000))
            if store.work is None:
                return
            while time.monotonic() - began < STEP_S:
                if next(store.work, self) is self:
                    store.work = None
                    self.counts.bases += 1
                    break
        except (OSError, FormatError) as error:
            store.work = None
            self.fail(getattr(error, "strerror", None) or str(error))
        time.sleep(min(0.05, REST * (time.monotonic() - began)))

    def close(self) -> None:
        """Keep what waits, and end. Waits for the disk, but not for one that stands still."""
        with self.lock:
            self.ending = True
            self.lock.notify()
        if self.thread is not None:
            self.thread.join(LEAVE_S)
            self.thread = None

    def figures(self) -> dict[str, float]:
        """For the stats."""
        c, store = self.counts, self.store
        return {
            "store_batches_total": c.batches,
            "store_syncs_total": c.syncs,
            "store_dropped_total": c.dropped,
            "store_failures_total": c.failures,
            "store_bases_total": c.bases,
            "store_failing": int(c.failing),
            "store_slowest_commit_ms": round(c.slowest_ms, 1),
            "store_waiting_bytes": self.waiting_bytes,
            "store_bytes": store.bytes if store is not None else 0,
        }
