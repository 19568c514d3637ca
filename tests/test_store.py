"""The store: damaged bytes, crashes, disks that fail, other versions, its thread and its commands."""

from __future__ import annotations

import errno
import json
import random
import subprocess
import sys
import threading
import time
from contextlib import closing, suppress
from pathlib import Path

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sagetrack.config.operator import load as load_operator
from sagetrack.config.validation import FileError
from sagetrack.lab.crash_test import SMALL, Life, Tried, crash_once, kill_once, look, sample, state_of
from sagetrack.lab.faulty_filesystem import Crash, SimFiles
from sagetrack.lab.judges import judge
from sagetrack.lab.scenario import altered, load
from sagetrack.lab.scripted import peer
from sagetrack.lab.virtual import VirtualGateway, play
from sagetrack.policy.interface import Event, ObservationsReceived
from sagetrack.store.directory import Disk
from sagetrack.store.engine import Store
from sagetrack.store.errors import NewerFormatError, StoreFullError, StoreOpenError
from sagetrack.store.format import FILE_HEADER, LOG_MAGIC, Record, encode_file_header, encode_frame
from sagetrack.store.options import SpacePolicy, StoreOptions
from sagetrack.store.recorder import (
    MAX_EVENTS,
    Recorder,
    bucket_lower_bound_us,
    decode_second,
    latency_bucket,
)
from sagetrack.store.writer import BackgroundWriter
from tests.sockets import configuration, on_loop, request, running

ROOT = Path(__file__).resolve().parent.parent


def test_whatever_byte_is_cut_or_flipped_an_earlier_state_is_found() -> None:
    files, states = sample(3, batches=9, bases=2)
    tried = Tried()
    for name in files.names():
        for at in range(files.size(name)):
            made = files.copy()
            del made.bodies[name].data[at:]
            look(made, states, tried, f"{name} cut at {at}")
            made = files.copy()
            made.bodies[name].data[at] ^= 1 << at % 8
            look(made, states, tried, f"{name} flipped at {at}")
    assert not tried.wrong, tried.wrong[:3]
    assert tried.whole > 300  # a damaged base costs nothing


def test_crashes_and_errors_of_the_disk_lose_nothing_that_was_acknowledged() -> None:
    tried = Tried()
    for seed in range(150):
        crash_once(seed, tried)
    assert not tried.wrong, tried.wrong[:3]
    assert tried.crashes > 500 and tried.errors > 500


class Machine(RuleBasedStateMachine):
    """Any order of writes, syncs, compactions, errors and crashes that hypothesis thinks of."""

    def __init__(self) -> None:
        super().__init__()
        self.files, self.life = SimFiles(), Life()
        self.up()

    def up(self) -> None:
        self.files.failing = {}
        self.store = Store(self.files, SMALL)
        assert self.life.found(self.store.open().sequence, state_of(self.store)) is None

    @rule(keys=st.lists(st.integers(0, 5), min_size=1, max_size=3), value=st.binary(max_size=300))
    def write(self, keys: list[int], value: bytes) -> None:
        ops = [Record("s", b"%d" % key, value + b"%d" % key if value else None, 1) for key in keys]
        self.life.begin([ops])
        try:
            self.store.write([ops])
        except OSError:
            return
        self.life.written([ops])

    @rule()
    def sync(self) -> None:
        with suppress(OSError):
            self.life.lasts(self.store.sync())

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
        with suppress(Crash):
            for _ in range(9):
                self.sync()
                self.write([seed % 6], b"at the end")
                self.compact(50)
        self.files = self.files.after_crash(random.Random(seed))
        self.up()

    @invariant()
    def reads_what_was_written(self) -> None:
        if not self.files.failing and self.store.log.current_segment is not None:
            assert state_of(self.store) == self.life.states[-1]


TestMachine = Machine.TestCase
TestMachine.settings = settings(max_examples=40, stateful_step_count=25, deadline=None, derandomize=True)


def test_what_was_acknowledged_outlives_a_writer_that_is_killed(tmp_path: Path) -> None:
    tried, last, draw = Tried(), 0, random.Random(1)
    for _ in range(3):
        last = kill_once(tmp_path, draw, last, tried)
    assert not tried.wrong and tried.acknowledged > 0


def test_an_older_format_is_carried_over_and_a_newer_one_left_alone() -> None:
    files = SimFiles()
    files.create("log-0000000000000001")
    rows = msgspec.msgpack.encode([("s", b"k", b"old")])
    files.append("log-0000000000000001", encode_file_header(LOG_MAGIC, 1, version=1) + encode_frame(rows, 1))
    store = Store(files, SMALL)
    store.open()
    store.write([[Record("s", b"n", b"new", 1)]])
    list(store.compact(0))
    again = Store(files, SMALL)
    assert again.open().records == 2 and again.get("s", b"k") == b"old"
    files.create("log-00000000000000ff")
    files.append("log-00000000000000ff", encode_file_header(LOG_MAGIC, 9, version=7))
    before = {name: bytes(body.data) for name, body in files.bodies.items()}
    with pytest.raises(NewerFormatError, match="format 7; this program knows formats 1 to 2"):
        Store(files, SMALL).open()
    assert before == {name: bytes(body.data) for name, body in files.bodies.items()}


def test_at_the_bound_the_oldest_of_what_may_go_makes_room_and_the_rest_is_refused() -> None:
    spaces = {"notes": SpacePolicy(evictable=True), "brief": SpacePolicy(max_age_ms=1000)}
    store = Store(SimFiles(), StoreOptions(4000, 40_000, spaces))
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
    files = SimFiles()
    store = Store(files, SMALL)
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


def test_another_process_is_kept_out(tmp_path: Path) -> None:
    first = Disk(tmp_path)
    with pytest.raises(BlockingIOError):
        Disk(tmp_path)
    keeper = BackgroundWriter(lambda: Disk(tmp_path), SMALL, lambda line: None)
    with pytest.raises(StoreOpenError, match="another process has it"):
        keeper.open()
    first.close()
    Disk(tmp_path).close()


class Slow(SimFiles):
    """A disk that stands still until it is let go."""

    def __init__(self) -> None:
        super().__init__()
        self.go = threading.Event()

    def append(self, name: str, data: bytes) -> None:
        self.go.wait(10)
        super().append(name, data)


def test_a_slow_or_failing_disk_holds_nobody_up_and_is_told_once() -> None:
    files, lines, lasting = Slow(), list[str](), list[bool]()
    keeper = BackgroundWriter(lambda: files, SMALL, lines.append, sync_policy="batch")
    keeper.open()
    keeper.start()
    began = time.monotonic()
    for n in range(200):
        assert keeper.submit([Record("s", b"%d" % n, bytes(30), 1)], lasting.append)
    while keeper.submit([Record("s", b"big", bytes(100_000), 1)]):
        pass  # the disk stands still: memory is bounded
    assert time.monotonic() - began < 5 and keeper.counters.dropped == 1 and not lasting
    files.failing = {"sync": errno.EIO, "append": errno.ENOSPC}
    files.go.set()
    keeper.close()
    assert len([line for line in lines if "store writes failing" in line]) == 1
    assert lasting.count(False) == 200 and keeper.metric_values()["store_failing"] == 1
    good = BackgroundWriter(SimFiles, SMALL, lines.append, sync_policy="batch")
    good.open()
    good.start()
    good.submit([Record("s", b"k", b"v", 1)], lasting.append)
    good.close()
    assert lasting[-1] is True and good.store is not None and good.store.get("s", b"k") == b"v"


def test_the_commands_tell_and_mend_what_is_damaged(tmp_path: Path) -> None:
    folder = tmp_path / "store"
    store = Store(Disk(folder), SMALL)
    store.open()
    for n in range(5):
        store.write([[Record("s", b"k%d" % n, msgspec.msgpack.encode({"n": n}), 7)]])
    store.close()
    (folder / "strange.txt").write_text("not ours")
    log = next(folder.glob("log-*"))
    log.write_bytes(log.read_bytes()[:-3])

    def command(*words: str) -> subprocess.CompletedProcess[str]:
        line = [sys.executable, "-m", "sagetrack", "store", *words]
        return subprocess.run(line, cwd=ROOT, text=True, capture_output=True, timeout=60)

    bad = command("verify", str(folder))
    assert bad.returncode == 1 and "batch 4 is the last; 4 values" in bad.stdout
    rows = [json.loads(line) for line in command("dump", str(folder)).stdout.splitlines()]
    assert {"space": "s", "key": "k2", "at_ms": 7, "value": {"n": 2}} in rows and len(rows) == 4
    size = log.stat().st_size
    dry = command("repair", str(folder), "--dry-run")
    assert dry.returncode == 0 and log.stat().st_size == size and "would be put aside" in dry.stdout
    assert command("repair", str(folder)).returncode == 0 and log.stat().st_size < size
    assert command("verify", str(folder)).returncode == 0
    assert command("compact", str(folder)).returncode == 0
    none = command("verify", str(tmp_path / "none"))
    assert none.returncode == 2 and none.stderr.count("\n") == 1
    assert (folder / "strange.txt").read_text() == "not ours" and FILE_HEADER.size == 22


def test_a_second_is_recorded_and_read_again() -> None:
    recorder = Recorder(2)
    for latency_us in (1, 64, 100, 5_000, 10**9):
        assert bucket_lower_bound_us(latency_bucket(latency_us)) <= max(64, latency_us)
    recorder.attempt(1, "ok", 5_000, True)
    recorder.attempt(1, "reset", 9, False)
    for n in range(MAX_EVENTS + 3):
        recorder.event(f"breaker {n}")
    value = recorder.end_second(7, [[1, 2], [0, 0], [0, 1], [1, 3]])
    assert value is not None and recorder.end_second(8, [[1, 2], [0, 0], [0, 1], [1, 3]]) is None
    made = decode_second(value)
    assert made.answered == [1, 2] and made.outcomes == {"ok": 1, "reset": 1} and made.dropped_events == 3
    assert made.latencies == [{}, {latency_bucket(5_000): 1}] and len(made.events) == MAX_EVENTS
    with pytest.raises(ValueError, match="version 9"):
        decode_second(msgspec.msgpack.encode(msgspec.structs.replace(made, version=9)))


@on_loop
async def test_a_gateway_that_starts_again_knows_its_servers_and_has_its_record(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(f'[store]\nfolder = "{tmp_path}/{{gateway}}"\nsync = "batch"\n')
    async with peer() as host:
        config = configuration(host)
        async with running(config, load_operator(str(file))) as gateway:
            for _ in range(8):
                assert (await gateway.ask(request())).status == 200
            before = {s.server: s.weight for s in gateway.gateway.balancer.sights()[0]}
            assert gateway.instance.keeping is not None and before
            async with running(config, load_operator(str(file))) as successor:  # as at an upgrade
                assert (await successor.ask(request())).status == 200
                assert "svc_store_failing 1" in successor.server.stats()
        async with running(config, load_operator(str(file))) as gateway:
            heard = gateway.gateway.balancer.heard
            assert {server for server, _ in heard} == set(before)
            assert "svc_store_failing 0" in gateway.server.stats()
            store = gateway.instance.keeping.keeper.store  # type: ignore[union-attr]
            assert store is not None
            rows = [decode_second(op.value or b"") for op in store.snapshot().items("seconds")]
        assert sum(sum(row.answered) for row in rows) == 8 and rows[0].outcomes["ok"] == 8
    file.write_text("[store]\nmost_mb = 5.0\n")
    with pytest.raises(FileError, match="store needs folder"):
        load_operator(str(file))


def test_gateways_of_the_lab_take_up_what_they_kept_when_all_were_killed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nobody is left to ask: what they hear after the death is what they knew before."""
    scenario = load(ROOT / "scenarios" / "all-killed.toml")
    heard: dict[bool, int] = {True: 0, False: 0}
    handle = VirtualGateway.handle

    def watched(gateway: VirtualGateway, event: Event) -> None:
        if isinstance(event, ObservationsReceived):
            heard[use] += len(event.sights)
        handle(gateway, event)

    monkeypatch.setattr(VirtualGateway, "handle", watched)
    for use in heard:
        played = altered(scenario, {"store.use": use, "seconds": 13.0})
        assert not judge(play(played, 1), played)
    assert heard[True] >= 12 and not heard[False]
