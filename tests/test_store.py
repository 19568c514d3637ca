"""The storage engine: damaged bytes, crashes, disks that fail, other versions, limits, snapshots."""

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


def test_whatever_byte_is_cut_or_flipped_an_earlier_state_is_found() -> None:
    files, states = sample_store(3, batches=9, checkpoints=2)
    report = CrashTestReport()
    for name in files.names():
        for at in range(files.size(name)):
            made = files.copy()
            del made.files[name].data[at:]
            check_recovery(made, states, report, f"{name} cut at {at}")
            made = files.copy()
            made.files[name].data[at] ^= 1 << at % 8
            check_recovery(made, states, report, f"{name} flipped at {at}")
    assert not report.failures, report.failures[:3]
    assert report.complete > 300  # a damaged base costs nothing


def test_crashes_and_errors_of_the_disk_lose_nothing_that_was_acknowledged() -> None:
    report = CrashTestReport()
    for seed in range(150):
        crash_repeatedly(seed, report)
    assert not report.failures, report.failures[:3]
    assert report.crashes > 500 and report.disk_errors > 500


class Machine(RuleBasedStateMachine):
    """Any order of writes, syncs, compactions, errors and crashes that hypothesis thinks of."""

    def __init__(self) -> None:
        super().__init__()
        self.files, self.expected = FaultyDirectory(), ExpectedStates()
        self.up()

    def up(self) -> None:
        self.files.failing = {}
        self.store = Store(self.files, SMALL_STORE)
        assert self.expected.check_recovered(self.store.open().sequence, state_of(self.store)) is None

    @rule(keys=st.lists(st.integers(0, 5), min_size=1, max_size=3), value=st.binary(max_size=300))
    def write(self, keys: list[int], value: bytes) -> None:
        ops = [Record("s", b"%d" % key, value + b"%d" % key if value else None, 1) for key in keys]
        self.expected.begin_write([ops])
        try:
            self.store.write([ops])
        except OSError:
            return
        self.expected.end_write([ops])

    @rule()
    def sync(self) -> None:
        with suppress(OSError):
            self.expected.acknowledge(self.store.sync())

    @rule(steps=st.integers(0, 20))
    def compact(self, steps: int) -> None:
        with suppress(OSError), closing(self.store.compact(0)) as work:
            for _ in range(steps):
                next(work, None)

    @rule(call=st.sampled_from(["append", "sync", "create", "rename", "sync_names"]))
    def fail(self, call: str) -> None:
        self.files.failing = {call: errno.EIO}

    @precondition(lambda self: self.files.failing)
    @rule()
    def work_again(self) -> None:
        self.files.failing = {}

    @rule(seed=st.integers(0, 99), calls=st.integers(1, 9))
    def crash(self, seed: int, calls: int) -> None:
        self.files.failing = {}
        self.files.crash_at = self.files.calls + calls
        with suppress(SimulatedCrash):
            for _ in range(9):
                self.sync()
                self.write([seed % 6], b"at the end")
                self.compact(50)
        self.files = self.files.after_crash(random.Random(seed))
        self.up()

    @invariant()
    def reads_what_was_written(self) -> None:
        if not self.files.failing and self.store.log.current_segment is not None:
            assert state_of(self.store) == self.expected.newest


TestMachine = Machine.TestCase
TestMachine.settings = settings(max_examples=40, stateful_step_count=25, deadline=None, derandomize=True)


def test_what_was_acknowledged_outlives_a_writer_that_is_killed(tmp_path: Path) -> None:
    report, last, draw = CrashTestReport(), 0, random.Random(1)
    for _ in range(3):
        last = kill_writer(tmp_path, draw, last, report)
    assert not report.failures and report.acknowledged > 0


def test_an_older_format_is_carried_over_and_a_newer_one_left_alone() -> None:
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
    again = Store(directory, SMALL_STORE)
    assert again.open().records == 2 and again.get("s", b"k") == b"old"
    directory.create("log-00000000000000ff")
    directory.append("log-00000000000000ff", encode_file_header(LOG_MAGIC, 9, version=7))
    before = {name: bytes(body.data) for name, body in directory.files.items()}
    with pytest.raises(NewerFormatError, match="format 7; this program knows formats 1 to 2"):
        Store(directory, SMALL_STORE).open()
    assert before == {name: bytes(body.data) for name, body in directory.files.items()}


def test_at_the_size_limit_the_oldest_droppable_records_go_and_others_are_rejected() -> None:
    spaces = {"notes": RetentionPolicy(evictable=True), "brief": RetentionPolicy(max_age_ms=1000)}
    store = Store(FaultyDirectory(), StoreOptions(4000, 40_000, spaces))
    store.open()
    store.write([[Record("brief", b"b", b"x", 0), Record("kept", b"k", b"stays", 0)]])
    refused = 0
    for n in range(400):
        try:
            store.write([[Record("notes", b"%d" % n, bytes(200), n * 60_000)]])
        except StoreFullError:
            refused += 1
        if store.compaction_due:
            list(store.compact(n * 60_000))
        assert store.bytes_used <= 40_000
    there = {key for space, key in state_of(store) if space == "notes"}
    assert b"399" in there and b"0" not in there and refused == 0
    assert store.get("kept", b"k") == b"stays" and store.get("brief", b"b", 10_000) is None
    with pytest.raises(StoreFullError):
        for n in range(400):
            store.write([[Record("kept", b"%d" % n, bytes(200), 0)]])


def test_a_snapshot_stays_as_it_was_while_a_base_takes_the_place_of_another() -> None:
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
    assert {(op.space, op.key): op.value for op in snapshot.items()} == before
    assert snapshot.get("s", b"0") == b"40" and store.get("s", b"0") == b"later"
    names = len(files.names())
    snapshot.close()
    assert len(files.names()) < names
