"""Crash tests of the store, in three parts.

One part truncates the files at every byte and flips every bit, one simulates crashes between any two calls of
the file system, and one kills a writing process. A store fails the test if it cannot be opened, recovers to a
state that is not a state after some batch, or loses acknowledged batches.
"""

from __future__ import annotations

import errno
import random
import tempfile
import time
from collections.abc import Callable
from contextlib import closing, suppress
from dataclasses import dataclass, field
from pathlib import Path

from sagetrack.lab.fault_injection.failures import ErrorsAsFailures
from sagetrack.lab.fault_injection.faulty_filesystem import FaultyDirectory, SimulatedCrash
from sagetrack.lab.fault_injection.store_states import (
    SMALL_STORE,
    Batch,
    ExpectedStates,
    State,
    random_batch,
    state_after,
    state_of,
)
from sagetrack.lab.fault_injection.writer_process import LARGE_STORE, newest_values, write_and_kill
from sagetrack.store.directory import DiskDirectory
from sagetrack.store.engine import Store
from sagetrack.store.errors import CorruptionError, WriteRejectedError
from sagetrack.store.format import Record

CRASHES_PER_STORE = 4
DAMAGE_TIME_SHARE = 0.6  # upper limit on the share of the time that `damage_every_byte` gets
CALLS_THAT_MAY_FAIL = ("sync", "append", "sync_names", "create")


@dataclass(slots=True)
class CrashTestReport:
    """Numbers of injected faults, and the failures found."""

    truncations: int = 0
    flipped_bits: int = 0
    lossless_recoveries: int = 0  # recoveries from a truncation or a flipped bit that lost no batch
    crashes: int = 0
    disk_errors: int = 0
    kills: int = 0
    acknowledged_batches: int = 0  # batches that killed writers reported to be durable
    failures: list[str] = field(default_factory=list)


def sample_store(seed: int, batches: int = 40, checkpoints: int = 2) -> tuple[FaultyDirectory, list[State]]:
    """Create a store with several logs and checkpoints; returns its directory and the state per batch."""
    rng = random.Random(seed)
    directory = FaultyDirectory()
    store = Store(directory, SMALL_STORE)
    states: list[State] = [{}]
    store.open()
    for batch_number in range(1, batches + 1):
        batch = random_batch(rng)
        store.write([batch])
        store.sync()
        states.append(state_after(states[-1], batch))
        if batch_number % (batches // (checkpoints + 1)) == 0 and batch_number < batches:
            for _ in store.compact(0):
                pass
    return directory, states


def check_recovery(
    directory: FaultyDirectory, states: list[State], report: CrashTestReport, damage: str
) -> None:
    """Check that a damaged store opens, recovers to the state after some batch, and accepts new batches."""
    store = Store(directory, SMALL_STORE)
    with ErrorsAsFailures(report.failures, lambda error: f"{damage}: {error!r}"):
        sequence = store.open().sequence
        state = state_of(store)
        if not 0 <= sequence < len(states) or states[sequence] != state:
            report.failures.append(f"{damage}: recovered state is not the state after batch {sequence}")
            return
        report.lossless_recoveries += sequence == len(states) - 1
        with ErrorsAsFailures(report.failures, lambda error: f"{damage}, write after recovery: {error!r}"):
            store.write([[Record("a", b"again", b"x")]])
            store.sync()
            reopened = Store(directory, SMALL_STORE)
            if reopened.open().sequence != sequence + 1 or reopened.get("a", b"again") != b"x":
                report.failures.append(f"{damage}: batch written after recovery is missing")


def damage_every_byte(
    report: CrashTestReport, deadline_s: float, progress: Callable[[float], None], seed: int = 1
) -> bool:
    """Truncate each file at each byte and flip each bit; returns whether all were done in time.

    Args:
        report: Counts the faults, and collects the failures.
        deadline_s: Time on the monotonic clock at which to stop.
        progress: Called with the share that is done.
        seed: Seed of the store's content.
    """
    directory, states = sample_store(seed)
    names = [name for name in directory.names() if name != "LOCK"]
    total = sum(directory.size(name) for name in names)
    done = 0
    for name in names:
        for offset in range(directory.size(name)):
            if time.monotonic() > deadline_s:
                return False
            damaged = directory.copy()
            del damaged.files[name].data[offset:]
            check_recovery(damaged, states, report, f"{name} truncated to {offset} bytes")
            report.truncations += 1
            for bit in range(8):
                damaged = directory.copy()
                damaged.files[name].data[offset] ^= 1 << bit
                check_recovery(damaged, states, report, f"{name}, byte {offset}, bit {bit} flipped")
                report.flipped_bits += 1
            done += 1
            progress(done / total)
    return True


def crash_repeatedly(seed: int, report: CrashTestReport) -> None:
    """Write to a store during disk errors and crashes, and check the recovered state after each crash."""
    rng = random.Random(seed)
    directory = FaultyDirectory()
    expected = ExpectedStates()
    for _ in range(CRASHES_PER_STORE):
        store = Store(directory, SMALL_STORE)
        directory.errors_by_call = {}
        directory.free_bytes = None
        try:
            failure = expected.check_recovered(store.open().sequence, state_of(store))
        except (OSError, CorruptionError) as error:
            failure = repr(error)
        if failure is not None:
            report.failures.append(f"seed {seed}: {failure}")
            return
        directory.crash_at_call = directory.calls + rng.randint(1, 60)
        try:
            while True:
                change_disk_fault(directory, rng, report)
                with suppress(OSError, WriteRejectedError):
                    _write_randomly(store, expected, rng)
        except SimulatedCrash:
            report.crashes += 1
            directory = directory.after_crash(rng)


def change_disk_fault(directory: FaultyDirectory, rng: random.Random, report: CrashTestReport) -> None:
    """Make a call fail or the disk full, clear such faults, or change nothing, at random."""
    choice = rng.random()
    if choice < 0.1:
        directory.errors_by_call = {rng.choice(CALLS_THAT_MAY_FAIL): errno.EIO}
        report.disk_errors += 1
    elif choice < 0.15:
        directory.free_bytes = rng.randrange(200)
        report.disk_errors += 1
    elif choice < 0.6:
        directory.errors_by_call = {}
        directory.free_bytes = None


def _write_randomly(store: Store, expected: ExpectedStates, rng: random.Random) -> None:
    """Write one to three batches, sometimes after a compaction, and often followed by a sync."""
    if rng.random() < 0.08:
        with closing(store.compact(0)) as compaction:
            for _ in compaction:
                if rng.random() < 0.1:
                    _write(store, expected, [random_batch(rng)])
    _write(store, expected, [random_batch(rng) for _ in range(rng.randint(1, 3))])
    if rng.random() < 0.6:
        expected.acknowledge(store.sync())


def _write(store: Store, expected: ExpectedStates, batches: list[Batch]) -> None:
    expected.begin_write(batches)
    store.write(batches)
    expected.end_write(batches)


def kill_writer(folder: Path, rng: random.Random, last_batch: int, report: CrashTestReport) -> int:
    """Kill a writing process and check the store; returns the sequence number of the last batch in it."""
    acknowledged = write_and_kill(folder, rng, last_batch)
    report.kills += 1
    report.acknowledged_batches += max(0, acknowledged - last_batch)
    store = Store(DiskDirectory(folder), LARGE_STORE)
    try:
        sequence = store.open().sequence
        if sequence < acknowledged:
            report.failures.append(
                f"kill {report.kills}: acknowledged up to batch {acknowledged}, recovered up to {sequence}"
            )
        state = state_of(store)
        if sequence and any(state.get(key) != value for key, value in newest_values(sequence).items()):
            report.failures.append(f"kill {report.kills}: values differ from those of batch {sequence}")
        return sequence
    finally:
        store.close()


def crash_test(seconds: float, seed: int, progress: Callable[[str, float], None]) -> CrashTestReport:
    """Run all parts of the crash test: bytes, crashes and kills.

    The part bytes gets at most 0.6 of the time; crashes and kills share the rest equally.

    Args:
        seconds: Approximate duration of the test.
        seed: Seed of all random choices.
        progress: Called with the name of the part and the share of it that is done.
    """
    report = CrashTestReport()
    start_s = time.monotonic()
    deadline_s = start_s + seconds * DAMAGE_TIME_SHARE
    if not damage_every_byte(report, deadline_s, lambda share: progress("bytes", share), seed):
        progress("bytes", 1.0)
    part_s = (start_s + seconds - time.monotonic()) / 2
    part_start_s = time.monotonic()
    crash_seed = seed * 1_000_000
    while time.monotonic() < part_start_s + part_s:
        crash_repeatedly(crash_seed, report)
        crash_seed += 1
        progress("crashes", (time.monotonic() - part_start_s) / part_s)
    rng = random.Random(seed)
    part_start_s = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="sagetrack-store-") as folder:
        sequence = 0
        while time.monotonic() < part_start_s + part_s:
            sequence = kill_writer(Path(folder), rng, sequence, report)
            progress("kills", (time.monotonic() - part_start_s) / part_s)
    return report
