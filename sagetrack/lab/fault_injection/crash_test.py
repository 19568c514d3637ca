"""Crash tests of the store: each byte truncated and flipped, crashes between any two calls, a writer killed.

Each part counts what it tried. A failure is a store that does not open, that recovers to anything else than
an earlier consistent state, or that has lost what it acknowledged.
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

CRASHES_PER_STORE = 4  # of one store
DAMAGE_TIME_SHARE = 0.6  # of the time, at most, for `damage_every_byte`
CALLS_THAT_MAY_FAIL = ("sync", "append", "sync_names", "create")


@dataclass(slots=True)
class CrashTestReport:
    """What was done, and what failed."""

    truncations: int = 0  # bytes at which a file was cut
    flipped_bits: int = 0
    lossless_recoveries: int = 0  # of these: nothing was lost
    crashes: int = 0
    disk_errors: int = 0  # injected
    kills: int = 0
    acknowledged_batches: int = 0  # batches of the writer that was killed
    failures: list[str] = field(default_factory=list)


def sample_store(seed: int, batches: int = 40, checkpoints: int = 2) -> tuple[FaultyDirectory, list[State]]:
    """A store with several logs and checkpoints, and its state after each batch."""
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
    """Open a damaged store, and compare it with the states that there were; then write to it again."""
    store = Store(directory, SMALL_STORE)
    with ErrorsAsFailures(report.failures, lambda error: f"{damage}: {error!r}"):
        sequence = store.open().sequence
        state = state_of(store)
        if not 0 <= sequence < len(states) or states[sequence] != state:
            report.failures.append(f"{damage}: not the state after batch {sequence}")
            return
        report.lossless_recoveries += sequence == len(states) - 1
        with ErrorsAsFailures(report.failures, lambda error: f"{damage}, written again: {error!r}"):
            store.write([[Record("a", b"again", b"x")]])
            store.sync()
            reopened = Store(directory, SMALL_STORE)
            if reopened.open().sequence != sequence + 1 or reopened.get("a", b"again") != b"x":
                report.failures.append(f"{damage}: what was written after it is not there")


def damage_every_byte(
    report: CrashTestReport, deadline_s: float, progress: Callable[[float], None], seed: int = 1
) -> bool:
    """Truncate each file at each byte, flip each bit; False if the time ended first."""
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
            check_recovery(damaged, states, report, f"{name} cut at {offset}")
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
    """Write to one store through crashes and errors of its disk, and check it after each crash."""
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
    """At random, the disk begins to fail, or to be full, or works again, or stays as it is."""
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
    """Some batches; now and then a compaction before them, more often a sync after them."""
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
    """Kill a writing process, and check the store that it leaves; returns the last batch that is there."""
    acknowledged = write_and_kill(folder, rng, last_batch)
    report.kills += 1
    report.acknowledged_batches += max(0, acknowledged - last_batch)
    store = Store(DiskDirectory(folder), LARGE_STORE)
    try:
        sequence = store.open().sequence
        if sequence < acknowledged:
            report.failures.append(
                f"kill {report.kills}: batch {acknowledged} was acknowledged, {sequence} is there"
            )
        state = state_of(store)
        if sequence and any(state.get(key) != value for key, value in newest_values(sequence).items()):
            report.failures.append(f"kill {report.kills}: a value is not that of batch {sequence}")
        return sequence
    finally:
        store.close()


def crash_test(seconds: float, seed: int, progress: Callable[[str, float], None]) -> CrashTestReport:
    """All parts for about so long: at most 0.6 of it for bytes, then crashes and kills by halves.

    Args:
        seconds: How long, about.
        seed: All random choices follow from it.
        progress: Called with the part (bytes, crashes or kills) and the share of it that is done.
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
