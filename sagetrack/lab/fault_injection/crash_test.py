"""The store tortured: every byte cut and flipped, crashes between any two calls, a real writer killed.

Each part says what it tried; whatever was not an earlier consistent state, or lost what was acknowledged, or
would not open, is told.
"""

from __future__ import annotations

import errno
import os
import random
import select
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import closing
from dataclasses import dataclass, field
from pathlib import Path

from sagetrack.lab.fault_injection.faulty_filesystem import Crash, SimFiles
from sagetrack.store.directory import Disk
from sagetrack.store.engine import Store
from sagetrack.store.errors import CorruptionError, WriteRejectedError
from sagetrack.store.format import Record
from sagetrack.store.options import StoreOptions

State = dict[tuple[str, bytes], bytes]
SMALL = StoreOptions(segment_bytes=700, max_bytes=1_000_000)
LOGGED = StoreOptions(segment_bytes=64 * 1024, max_bytes=64_000_000)


@dataclass(slots=True)
class Tried:
    """What was done, and what was wrong."""

    cut: int = 0  # bytes at which a file was cut
    flipped: int = 0  # bits
    whole: int = 0  # of these: nothing was lost
    crashes: int = 0
    errors: int = 0  # injected
    kills: int = 0
    acknowledged: int = 0  # batches of the writer that was killed
    wrong: list[str] = field(default_factory=list)


def state_of(store: Store) -> State:
    snapshot = store.snapshot()
    try:
        return {(op.space, op.key): op.value for op in snapshot.items() if op.value is not None}
    finally:
        snapshot.close()


def changed(state: State, ops: list[Record]) -> State:
    made = dict(state)
    for op in ops:
        if op.value is None:
            made.pop((op.space, op.key), None)
        else:
            made[op.space, op.key] = op.value
    return made


def drawn(draw: random.Random, keys: int = 12) -> list[Record]:
    """A batch: some values, now and then one taken out."""
    ops = []
    for _ in range(draw.randint(1, 3)):
        value = None if draw.random() < 0.2 else draw.randbytes(draw.randint(0, 20))
        ops.append(Record(draw.choice("ab"), b"k%d" % draw.randrange(keys), value, 5))
    return ops


def sample(seed: int, batches: int = 40, bases: int = 2) -> tuple[SimFiles, list[State]]:
    """A store with several logs and bases, and its state after each batch."""
    draw, files = random.Random(seed), SimFiles()
    store = Store(files, SMALL)
    states: list[State] = [{}]
    store.open()
    for number in range(1, batches + 1):
        ops = drawn(draw)
        store.write([ops])
        store.sync()
        states.append(changed(states[-1], ops))
        if number % (batches // (bases + 1)) == 0 and number < batches:
            for _ in store.compact(0):
                pass
    return files, states


def look(files: SimFiles, states: list[State], tried: Tried, what: str) -> None:
    """Open what is left, and hold it against all states that there were."""
    store = Store(files, SMALL)
    try:
        found = store.open()
        state = state_of(store)
    except Exception as fault:
        tried.wrong.append(f"{what}: {fault!r}")
        return
    if not 0 <= found.sequence < len(states) or states[found.sequence] != state:
        tried.wrong.append(f"{what}: not the state after batch {found.sequence}")
        return
    tried.whole += found.sequence == len(states) - 1
    try:  # it can be written to again, and has it then
        store.write([[Record("a", b"again", b"x")]])
        store.sync()
        again = Store(files, SMALL)
        if again.open().sequence != found.sequence + 1 or again.get("a", b"again") != b"x":
            tried.wrong.append(f"{what}: what was written after it is not there")
    except Exception as fault:
        tried.wrong.append(f"{what}, written again: {fault!r}")


def every_byte(tried: Tried, until_s: float, progress: Callable[[float], None], seed: int = 1) -> bool:
    """Cut each file at each byte, flip each bit; False if time ended first."""
    files, states = sample(seed)
    names = [name for name in files.names() if name != "LOCK"]
    total, done = sum(files.size(name) for name in names), 0
    for name in names:
        for at in range(files.size(name)):
            if time.monotonic() > until_s:
                return False
            made = files.copy()
            del made.bodies[name].data[at:]
            look(made, states, tried, f"{name} cut at {at}")
            tried.cut += 1
            for bit in range(8):
                made = files.copy()
                made.bodies[name].data[at] ^= 1 << bit
                look(made, states, tried, f"{name}, byte {at}, bit {bit} flipped")
                tried.flipped += 1
            done += 1
            progress(done / total)
    return True


class Life:
    """What may be found, by number of the last batch: one state up to what was acknowledged, else several.

    A batch whose writing failed or was cut short may be there after all, while no other one has its place.
    """

    def __init__(self) -> None:
        self.states: list[State] = [{}]  # as written
        self.may: dict[int, list[State]] = {}
        self.acknowledged = 0

    def begin(self, batches: list[list[Record]]) -> None:
        state = self.states[-1]
        for number, ops in enumerate(batches, len(self.states)):
            state = changed(state, ops)
            self.may.setdefault(number, []).append(state)

    def written(self, batches: list[list[Record]]) -> None:
        for ops in batches:
            self.states.append(changed(self.states[-1], ops))

    def lasts(self, number: int) -> None:
        self.acknowledged = number
        self.may = {n: states for n, states in self.may.items() if n > number}

    def found(self, number: int, state: State) -> str | None:
        """What is wrong with this; the life goes on from it."""
        if number < self.acknowledged:
            return f"{self.acknowledged} was acknowledged, {number} is there"
        allowed = self.may.get(number, [])
        if number < len(self.states):
            allowed = [*allowed, self.states[number]]
        if state not in allowed:
            return f"not the state after batch {number}"
        known = self.states[:number]
        self.states = [*known, *[state] * (number + 1 - len(known))]
        self.may.clear()
        self.acknowledged = number
        return None


def crash_once(seed: int, tried: Tried) -> None:
    """A life with crashes and errors: what was acknowledged is there after each, and nothing else."""
    draw, files, life = random.Random(seed), SimFiles(), Life()
    for _ in range(4):
        store = Store(files, SMALL)
        files.failing, files.room = {}, None
        try:
            wrong = life.found(store.open().sequence, state_of(store))
        except (OSError, CorruptionError) as fault:
            wrong = repr(fault)
        if wrong is not None:
            tried.wrong.append(f"seed {seed}: {wrong}")
            return
        files.crash_at = files.calls + draw.randint(1, 60)
        try:
            while True:
                trouble(files, draw, tried)
                try:
                    if draw.random() < 0.08:
                        with closing(store.compact(0)) as work:
                            for _ in work:
                                if draw.random() < 0.1:
                                    put(store, life, [drawn(draw)])
                    put(store, life, [drawn(draw) for _ in range(draw.randint(1, 3))])
                    if draw.random() < 0.6:
                        life.lasts(store.sync())
                except (OSError, WriteRejectedError):
                    pass
        except Crash:
            tried.crashes += 1
            files = files.after_crash(draw)


def trouble(files: SimFiles, draw: random.Random, tried: Tried) -> None:
    """The disk begins to fail, or to be full, or works again."""
    what = draw.random()
    if what < 0.1:
        files.failing = {draw.choice(("sync", "append", "sync_names", "create")): errno.EIO}
        tried.errors += 1
    elif what < 0.15:
        files.room = draw.randrange(200)
        tried.errors += 1
    elif what < 0.6:
        files.failing, files.room = {}, None


def put(store: Store, life: Life, batches: list[list[Record]]) -> None:
    life.begin(batches)
    store.write(batches)
    life.written(batches)


def writer(folder: str) -> None:
    """A real writer: batch n sets eight keys to values that follow from n; tells n once it lasts."""
    store = Store(Disk(folder), LOGGED)
    sequence = store.open().sequence
    while True:
        sequence += 1
        store.write([numbered(sequence)])
        store.sync()
        os.write(1, b"%d\n" % sequence)
        if store.compaction_due or sequence % 200 == 0:
            for _ in store.compact(0):
                pass


def numbered(sequence: int) -> list[Record]:
    draw = random.Random(sequence)
    return [Record("w", b"%d" % draw.randrange(50), b"%d:" % sequence + draw.randbytes(40)) for _ in range(8)]


def kill_once(folder: Path, draw: random.Random, before: int, tried: Tried) -> int:
    """Let a writer write for a moment, kill it, and look; returns the last batch that is there."""
    code = f"from sagetrack.lab.fault_injection.crash_test import writer; writer({str(folder)!r})"
    process = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)
    assert process.stdout is not None
    os.set_blocking(process.stdout.fileno(), False)
    told = b""
    end: float | None = None
    while end is None or time.monotonic() < end:
        left = 10.0 if end is None else max(0.0, end - time.monotonic())
        if not select.select([process.stdout], [], [], left)[0]:
            break
        told += process.stdout.read() or b""
        if end is None:
            end = time.monotonic() + draw.random() * 0.1  # from the first batch on
    process.send_signal(signal.SIGKILL)
    process.wait()
    told += process.stdout.read() or b""
    process.stdout.close()
    lines = told.split(b"\n")[:-1]
    last = int(lines[-1]) if lines else before
    tried.kills += 1
    tried.acknowledged += max(0, last - before)
    store = Store(Disk(folder), LOGGED)
    try:
        found = store.open()
        if found.sequence < last:
            tried.wrong.append(
                f"kill {tried.kills}: batch {last} was acknowledged, {found.sequence} is there"
            )
        state: State = {}
        for sequence in range(max(1, found.sequence - 400), found.sequence + 1):
            state = changed(state, numbered(sequence))
        there = state_of(store)
        if found.sequence and any(there.get(key) != value for key, value in state.items()):
            tried.wrong.append(f"kill {tried.kills}: a value is not that of batch {found.sequence}")
        return found.sequence
    finally:
        store.close()


def torture(seconds: float, seed: int, progress: Callable[[str, float], None]) -> Tried:
    """All of it for about so long: at most 0.6 of it for bytes, then crashes and kills by halves."""
    tried = Tried()
    start = time.monotonic()
    whole = every_byte(tried, start + seconds * 0.6, lambda share: progress("bytes", share), seed)
    if not whole:
        progress("bytes", 1.0)
    left = start + seconds - time.monotonic()
    began, number = time.monotonic(), seed * 1_000_000
    while time.monotonic() < began + left / 2:
        crash_once(number, tried)
        number += 1
        progress("crashes", (time.monotonic() - began) / (left / 2))
    draw = random.Random(seed)
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="sagetrack-store-") as folder:
        last = 0
        while time.monotonic() < began + left / 2:
            last = kill_once(Path(folder), draw, last, tried)
            progress("kills", (time.monotonic() - began) / (left / 2))
    return tried
