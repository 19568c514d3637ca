"""The storage engine: damaged files, crashes, disk errors, format versions, size limits and snapshots."""

from __future__ import annotations

import errno
import random
from contextlib import closing, suppress
from pathlib import Path

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sagetrack.lab.fault_injection.crash_test import (
    CrashTestReport,
    check_recovery,
    crash_repeatedly,
    kill_writer,
    sample_store,
)
from sagetrack.lab.fault_injection.faulty_filesystem import FaultyDirectory, SimulatedCrash
from sagetrack.lab.fault_injection.store_states import SMALL_STORE, ExpectedStates, state_of
from sagetrack.store.engine import Store
from sagetrack.store.errors import NewerFormatError, StoreFullError
from sagetrack.store.format import LOG_MAGIC, Record, encode_file_header, encode_frame
from sagetrack.store.options import RetentionPolicy, StoreOptions


def test_recovery_restores_an_earlier_state_after_truncation_or_a_flipped_bit() -> None:
    files, states = sample_store(3, batches=9, checkpoints=2)
    report = CrashTestReport()
    for name in files.names():
        for offset in range(files.size(name)):
            damaged = files.copy()
            del damaged.files[name].data[offset:]
            check_recovery(damaged, states, report, f"{name} truncated at {offset}")
            damaged = files.copy()
            damaged.files[name].data[offset] ^= 1 << offset % 8
            check_recovery(damaged, states, report, f"{name} bit flipped at {offset}")
    assert not report.failures, report.failures[:3]
    # If only the newest checkpoint is damaged, the older one and the log restore the newest state.
    assert report.lossless_recoveries > 300


def test_crashes_and_disk_errors_lose_no_acknowledged_batch() -> None:
    report = CrashTestReport()
    for seed in range(150):
        crash_repeatedly(seed, report)
    assert not report.failures, report.failures[:3]
    assert report.crashes > 500 and report.disk_errors > 500


class StoreMachine(RuleBasedStateMachine):
    """Arbitrary sequences of writes, syncs, compactions, disk errors and crashes."""

    def __init__(self) -> None:
        super().__init__()
        self.files, self.expected = FaultyDirectory(), ExpectedStates()
        self.reopen()

    def reopen(self) -> None:
        self.files.errors_by_call = {}
        self.store = Store(self.files, SMALL_STORE)
        assert self.expected.check_recovered(self.store.open().sequence, state_of(self.store)) is None

    @rule(keys=st.lists(st.integers(0, 5), min_size=1, max_size=3), value=st.binary(max_size=300))
    def write(self, keys: list[int], value: bytes) -> None:
        records = [Record("s", b"%d" % key, value + b"%d" % key if value else None, 1) for key in keys]
        self.expected.begin_write([records])
        try:
            self.store.write([records])
        except OSError:
            return
        self.expected.end_write([records])

    @rule()
    def sync(self) -> None:
        with suppress(OSError):
            self.expected.acknowledge(self.store.sync())

    @rule(steps=st.integers(0, 20))
    def compact(self, steps: int) -> None:
        with suppress(OSError), closing(self.store.compact(0)) as compaction:
            for _ in range(steps):
                next(compaction, None)

    @rule(call=st.sampled_from(["append", "sync", "create", "rename", "sync_names"]))
    def fail(self, call: str) -> None:
        self.files.errors_by_call = {call: errno.EIO}

    @precondition(lambda self: self.files.errors_by_call)
    @rule()
    def repair_disk(self) -> None:
        self.files.errors_by_call = {}

    @rule(seed=st.integers(0, 99), calls=st.integers(1, 9))
    def crash(self, seed: int, calls: int) -> None:
        self.files.errors_by_call = {}
        self.files.crash_at_call = self.files.calls + calls
        with suppress(SimulatedCrash):
            for _ in range(9):
                self.sync()
                self.write([seed % 6], b"at the end")
                self.compact(50)
        self.files = self.files.after_crash(random.Random(seed))
        self.reopen()

    @invariant()
    def reads_what_was_written(self) -> None:
        if not self.files.errors_by_call and self.store.log.current_segment is not None:
            assert state_of(self.store) == self.expected.newest


TestMachine = StoreMachine.TestCase
TestMachine.settings = settings(max_examples=40, stateful_step_count=25, deadline=None, derandomize=True)


def test_acknowledged_batches_survive_a_killed_writer_process(tmp_path: Path) -> None:
    report, last, rng = CrashTestReport(), 0, random.Random(1)
    for _ in range(3):
        last = kill_writer(tmp_path, rng, last, report)
    assert not report.failures and report.acknowledged_batches > 0


def test_an_older_format_is_migrated_and_a_newer_one_is_left_unchanged() -> None:
    directory = FaultyDirectory()
    directory.create("log-0000000000000001")
    rows = msgspec.msgpack.encode([("s", b"k", b"old")])
    directory.append(
        "log-0000000000000001", encode_file_header(LOG_MAGIC, 1, version=1) + encode_frame(rows, 1)
    )
    store = Store(directory, SMALL_STORE)
    store.open()
    store.write([[Record("s", b"n", b"new", 1)]])
    list(store.compact(0))
    reopened = Store(directory, SMALL_STORE)
    assert reopened.open().records == 2 and reopened.get("s", b"k") == b"old"
    directory.create("log-00000000000000ff")
    directory.append("log-00000000000000ff", encode_file_header(LOG_MAGIC, 9, version=7))
    before = {name: bytes(body.data) for name, body in directory.files.items()}
    with pytest.raises(NewerFormatError, match="format 7; this program knows formats 1 to 2"):
        Store(directory, SMALL_STORE).open()
    assert before == {name: bytes(body.data) for name, body in directory.files.items()}


def test_the_size_limit_evicts_the_oldest_evictable_records_and_rejects_others() -> None:
    spaces = {"notes": RetentionPolicy(evictable=True), "brief": RetentionPolicy(max_age_ms=1000)}
    store = Store(FaultyDirectory(), StoreOptions(4000, 40_000, spaces))
    store.open()
    store.write([[Record("brief", b"b", b"x", 0), Record("kept", b"k", b"stays", 0)]])
    rejected = 0
    for n in range(400):
        try:
            store.write([[Record("notes", b"%d" % n, bytes(200), n * 60_000)]])
        except StoreFullError:
            rejected += 1
        if store.compaction_due:
            list(store.compact(n * 60_000))
        assert store.bytes_used <= 40_000
    remaining = {key for space, key in state_of(store) if space == "notes"}
    assert b"399" in remaining and b"0" not in remaining and rejected == 0
    assert store.get("kept", b"k") == b"stays" and store.get("brief", b"b", 10_000) is None
    with pytest.raises(StoreFullError):
        for n in range(400):
            store.write([[Record("kept", b"%d" % n, bytes(200), 0)]])


def test_a_snapshot_does_not_change_while_compactions_replace_checkpoints() -> None:
    files = FaultyDirectory()
    store = Store(files, SMALL_STORE)
    store.open()
    for n in range(60):
        store.write([[Record("s", b"%d" % (n % 20), b"%d" % n, 1)]])
        if n == 30:
            list(store.compact(0))
    snapshot, before = store.snapshot(), state_of(store)
    for n in range(3):
        store.write([[Record("s", b"%d" % n, b"later", 1)]])
        list(store.compact(0))
    assert {(record.space, record.key): record.value for record in snapshot.items()} == before
    assert snapshot.get("s", b"0") == b"40" and store.get("s", b"0") == b"later"
    names = len(files.names())
    snapshot.close()
    assert len(files.names()) < names
