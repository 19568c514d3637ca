"""The store itself: a log, an index of its newest state, bases that compact it, recovery. No thread or clock.

State is what a base holds, changed by the batches of the log after it. Logs are named by number and begin
with the sequence number of their first batch; batches in a log from the first number of the next one on were
never acknowledged and do not count. A base holds one value for each key as of one sequence number, sorted by
hash, and is valid whole or not at all. The newest two bases are kept and the logs since the older one, so
that a base that is damaged costs nothing: the older one and the logs give the same state.

What is found on opening is the longest run of whole batches from a valid base on. What does not count is put
aside, named in the report, and never read again.
"""

from __future__ import annotations

import heapq
import re
from array import array
from bisect import bisect_left
from collections.abc import Callable, Generator, Iterator, Sequence
from dataclasses import dataclass, field

from crc32c import crc32c

from sagetrack.store.files import Files
from sagetrack.store.format import (
    BASE_MAGIC,
    END,
    FRAME,
    HEAD,
    LOG_MAGIC,
    LONGEST,
    VERSION,
    FormatError,
    NewerError,
    Op,
    batch,
    check_frame,
    end_record,
    frame,
    head,
    manifest,
    place,
    read_batch,
    read_end,
    read_frame_head,
    read_head,
    read_manifest,
    read_record,
    record,
)

LOG = re.compile(r"log-([0-9a-f]{16})")
BASE = re.compile(r"base-([0-9a-f]{16})")
OURS = re.compile(r"(?:log|base)-[0-9a-f]{16}|MANIFEST|(?:base|MANIFEST)[-0-9a-f]*\.new|aside-.*|LOCK")
BLOCK = 256 * 1024  # read at once
KEYS = 50_000  # in the log since the last base, before the next one is due
STEP = 200  # records of a base that are written between two looks at the time
SORT = 4_000  # keys that are sorted at once
BUCKET_MS = 60_000  # what may be dropped is counted by its age in these


class StoreError(Exception):
    """The store cannot do this now; says why."""


class FullError(StoreError):
    """The bound on disk is reached."""


@dataclass(slots=True, frozen=True)
class Space:
    """What holds for one space of keys."""

    age_ms: int = 0  # after this a value is gone; 0: never
    droppable: bool = False  # at the bound its oldest values make room


@dataclass(slots=True, frozen=True)
class Options:
    """Sizes in bytes."""

    log_bytes: int = 8 * 1024 * 1024  # of one file
    most_bytes: int = 256 * 1024 * 1024  # of all files together
    spaces: dict[str, Space] = field(default_factory=dict)
    verify: bool = True  # read all of a base on opening; else its records are checked when they are read

    @property
    def live_bytes(self) -> int:
        """Of values that count. Two bases, a third being made, and logs have to fit."""
        return self.most_bytes // 4


@dataclass(slots=True)
class Log:
    """One file of the log."""

    number: int
    first: int  # its first sequence number
    version: int
    size: int = 0

    @property
    def name(self) -> str:
        return f"log-{self.number:016x}"


@dataclass(slots=True)
class Base:
    """One base: where each record is, by hash."""

    seq: int
    hashes: array[int] = field(default_factory=lambda: array("Q"))
    offsets: array[int] = field(default_factory=lambda: array("Q"))
    size: int = 0

    @property
    def name(self) -> str:
        return f"base-{self.seq:016x}"


Place = tuple[str, int, int, int]  # log's name, offset of the frame, which op of it, version
Key = tuple[str, bytes]


@dataclass(slots=True)
class Opened:
    """What was found."""

    seq: int = 0
    batches: int = 0  # read from logs
    records: int = 0  # in the base
    aside: list[str] = field(default_factory=list)  # what does not count, and why
    lost_bytes: int = 0


class Store:
    """One open store. Not for several threads at once."""

    def __init__(
        self, files: Files, options: Options, report: Callable[[str], None] = lambda line: None
    ) -> None:
        self.files, self.options, self.report = files, options, report
        self.logs: list[Log] = []
        self.base: Base | None = None
        self.older: Base | None = None
        self.tail: dict[Key, Place] = {}  # since the base
        self.frozen: dict[Key, Place] = {}  # of it what the base that is being made takes up
        self.seq = 0
        self.durable = 0  # all up to here lasts
        self.unsynced: list[tuple[int, bytes]] = []
        self.current: Log | None = None  # being written
        self.last = 0  # the highest number of a log that there ever was
        self.bytes = 0  # of all files
        self.ages: dict[str, dict[int, int]] = {}  # by droppable space and minute: bytes
        self.kept_bytes = 0  # of live values that may not be dropped, as of the last base
        self.work: Iterator[None] | None = None  # the compaction under way
        self.refused = 0
        self.readers = 0  # snapshots that are open: files are kept for them
        self.doomed: list[str] = []

    # Opening

    def open(self) -> Opened:
        """Find the newest state. NewerError if a later version wrote it; OSError if it can't be read."""
        found = Opened()
        names = self.files.names()
        self._refuse_newer(names)
        for name in names:
            if name.endswith(".new") and OURS.fullmatch(name):
                self.files.remove(name)  # was never finished
            elif not OURS.fullmatch(name):
                self.report(f"{name}: not a file of the store, left alone")
        self.last = max((int(m[1], 16) for name in names if (m := LOG.fullmatch(name))), default=0)
        logs = [log for name in names if LOG.fullmatch(name) and (log := self._log(name, found)) is not None]
        seqs = sorted((int(m[1], 16) for name in names if (m := BASE.fullmatch(name))), reverse=True)
        self._check_manifest(names, seqs, found)
        for seq in seqs:
            base = Base(seq)
            try:
                self._load(base)
            except FormatError as error:
                self._aside(base.name, str(error), found)
                continue
            if self.base is None:
                self.base = base
            elif self.older is None:
                self.older = base
                break
        if self.older is not None:
            self.older.hashes, self.older.offsets = array("Q"), array("Q")
        self.seq = self.base.seq if self.base is not None else 0
        found.records = len(self.base.hashes) if self.base is not None else 0
        self._replay(logs, found)
        self.durable = found.seq = self.seq
        self.bytes = sum(self.files.size(name) for name in self.files.names() if name != "LOCK")
        return found

    def _refuse_newer(self, names: list[str]) -> None:
        for name in names:
            magic = LOG_MAGIC if LOG.fullmatch(name) else BASE_MAGIC if BASE.fullmatch(name) else None
            try:
                if name == "MANIFEST":
                    read_manifest(self.files.read(name, 0, 4096))
                elif magic is not None:
                    read_head(self.files.read(name, 0, HEAD.size), magic)
            except NewerError as error:
                raise NewerError(f"{name}: {error}; nothing was changed") from None
            except FormatError:
                pass  # damaged: its turn comes

    def _log(self, name: str, found: Opened) -> Log | None:
        try:
            version, first = read_head(self.files.read(name, 0, HEAD.size), LOG_MAGIC)
        except FormatError as error:
            self._aside(name, str(error), found)
            return None
        return Log(int(name[4:], 16), first, version, self.files.size(name))

    def _check_manifest(self, names: list[str], seqs: list[int], found: Opened) -> None:
        """The files tell all that counts: what the manifest adds is whether a base that was there is gone."""
        if "MANIFEST" not in names:
            return
        try:
            wanted = read_manifest(self.files.read("MANIFEST", 0, 4096))[0]
        except FormatError as error:
            self._aside("MANIFEST", f"{error}; the files themselves tell enough", found)
            return
        for seq in wanted[:1]:
            if seq not in seqs:
                found.aside.append(f"{Base(seq).name}: gone")
                self.report(f"{Base(seq).name}: the manifest names it, and it is gone")

    def _aside(self, name: str, why: str, found: Opened) -> None:
        size = self.files.size(name)
        found.aside.append(f"{name}: {why}, {size} bytes")
        found.lost_bytes += size
        self.report(f"{name}: {why}; put aside")
        self.files.rename(name, f"aside-{name}")

    def _load(self, base: Base) -> None:
        """Read a base's index, and with `verify` all of it. FormatError if it is not as it was written."""
        name = base.name
        base.size = self.files.size(name)
        _, seq = read_head(self.files.read(name, 0, HEAD.size), BASE_MAGIC)
        if seq != base.seq:
            raise FormatError("its name is that of another")
        whole, count, last = 0, 0, -1
        for at, number, payload, checksum in self._frames(name, HEAD.size, base.size, self.options.verify):
            if number == END:
                if read_end(self._payload(name, at)) != (count, whole):
                    raise FormatError("records are missing")
                if at + FRAME.size + len(self._payload(name, at)) != base.size:
                    raise FormatError("something follows the end")
                return
            if number < last:
                raise FormatError("records are out of order")
            base.hashes.append(number)
            base.offsets.append(at)
            if payload:
                op = read_record(payload)
                self._count(op.space, op.at_ms, len(payload))
            whole, count, last = crc32c(checksum.to_bytes(4, "little"), whole), count + 1, number
        raise FormatError("it has no end")

    def _count(self, space: str, at_ms: int, size: int) -> None:
        rule = self.options.spaces.get(space)
        if rule is not None and rule.droppable:
            ages = self.ages.setdefault(space, {})
            ages[at_ms // BUCKET_MS] = ages.get(at_ms // BUCKET_MS, 0) + size
        else:
            self.kept_bytes += size

    def _payload(self, name: str, at: int) -> bytes:
        """A frame's payload, checked."""
        length, checksum, number = read_frame_head(self.files.read(name, at, FRAME.size))
        payload = self.files.read(name, at + FRAME.size, length)
        check_frame(length, checksum, number, payload)
        return payload

    def _frames(
        self, name: str, at: int, end: int, verify: bool = True
    ) -> Iterator[tuple[int, int, bytes, int]]:
        """Offset, number, payload (empty without `verify`), checksum of each; FormatError at what is none."""
        data, start = b"", at
        while at < end:
            room = start + len(data) - at
            if room < FRAME.size:
                data, start = self.files.read(name, at, BLOCK), at
            length, checksum, number = read_frame_head(data, at - start)
            if verify:
                if start + len(data) - at < FRAME.size + length:
                    data, start = self.files.read(name, at, max(BLOCK, FRAME.size + length)), at
                from_ = at - start + FRAME.size
                payload = data[from_ : from_ + length]
                check_frame(length, checksum, number, payload)
                yield at, number, payload, checksum
            else:
                if at + FRAME.size + length > end:
                    raise FormatError("a frame is cut off")
                yield at, number, b"", checksum
            at += FRAME.size + length

    def _replay(self, logs: list[Log], found: Opened) -> None:
        """Take up the batches after the base, as far as they are whole and follow each other."""
        logs.sort(key=lambda log: log.number)
        begin = 0
        for index, log in enumerate(logs):
            if log.first <= self.seq + 1:
                begin = index
        stopped = ""
        for index, log in enumerate(logs):
            if index < begin:
                self.logs.append(log)  # for the older base
                continue
            if stopped or log.first > self.seq + 1:
                why = stopped or f"batches from {self.seq + 1} on are missing before it"
                self._aside(log.name, why, found)
                stopped = stopped or "it follows what is missing"
                continue
            following = logs[index + 1].first if index + 1 < len(logs) else None
            good, why = self._take(log, following, found)
            self.logs.append(log)
            if why and (following is None or self.seq + 1 < following):
                stopped = "it follows what is damaged"
                self._cut(log, good, why, found)

    def _take(self, log: Log, following: int | None, found: Opened) -> tuple[int, str]:
        """Take up one log; up to which byte it is good, and why not further."""
        good = HEAD.size
        try:
            for at, number, payload, _ in self._frames(log.name, HEAD.size, log.size):
                if following is not None and number >= following:
                    return good, ""  # written again in the next one
                if number > self.seq:
                    if number != self.seq + 1:
                        return good, f"batch {self.seq + 1} is missing"
                    for index, op in enumerate(read_batch(payload, log.version)):
                        self.tail[op.space, op.key] = (log.name, at, index, log.version)
                        self._count(op.space, op.at_ms, len(op.value or b""))
                    self.seq = number
                    found.batches += 1
                good = at + FRAME.size + len(payload)
        except FormatError as error:
            return good, str(error)
        return good, ""

    def _cut(self, log: Log, good: int, why: str, found: Opened) -> None:
        lost = log.size - good
        if lost <= 0:
            return
        found.aside.append(f"{log.name}: {why} at byte {good}, {lost} bytes")
        found.lost_bytes += lost
        aside = f"aside-{log.name}-{good}"
        self.report(f"{log.name}: {why} at byte {good}; the last {lost} bytes are put aside in {aside}")
        self.files.create(aside)
        for at in range(good, log.size, BLOCK):
            self.files.append(aside, self.files.read(log.name, at, min(BLOCK, log.size - at)))
        self.files.cut(log.name, good)
        self.files.sync(log.name)
        log.size = good

    # Reading

    def get(self, space: str, key: bytes, now_ms: int = 0) -> bytes | None:
        """The newest value; None if there is none or it is too old. FormatError if it is damaged on disk."""
        return self._get(self.base, (self.tail, self.frozen), space, key, now_ms)

    def _get(
        self, base: Base | None, tails: Sequence[dict[Key, Place]], space: str, key: bytes, now_ms: int
    ) -> bytes | None:
        for tail in tails:
            where = tail.get((space, key))
            if where is not None:
                return self._alive(self._op(where), now_ms)
        if base is None:
            return None
        number = place(space, key)
        at = bisect_left(base.hashes, number)
        while at < len(base.hashes) and base.hashes[at] == number:
            op = read_record(self._payload(base.name, base.offsets[at]))
            if (op.space, op.key) == (space, key):
                return self._alive(op, now_ms)
            at += 1
        return None

    def _op(self, where: Place) -> Op:
        name, at, index, version = where
        return read_batch(self._payload(name, at), version)[index]

    def _alive(self, op: Op, now_ms: int) -> bytes | None:
        rule = self.options.spaces.get(op.space)
        old = rule is not None and rule.age_ms > 0 and op.at_ms + rule.age_ms <= now_ms
        return None if old else op.value

    def snapshot(self) -> Snapshot:
        """All of it as it is now, to be read while writing goes on. Close it."""
        self.readers += 1
        return Snapshot(self, self.base, {**self.frozen, **self.tail})

    # Writing

    def write(self, batches: Sequence[Sequence[Op]]) -> int:
        """Append batches, each whole or not at all; returns the last number. They last once synced.

        FullError at the bound on disk. After another OSError none of it counts, but for a crash before the
        next write, after which some first batches may be there.
        """
        frames: list[bytes] = []
        for ops in batches:
            payload = batch(ops)
            if len(payload) > LONGEST:
                raise StoreError(f"a batch of {len(payload)} bytes; {LONGEST} is the most")
            frames.append(frame(payload, self.seq + 1 + len(frames)))
        data = b"".join(frames)
        if self.bytes + len(data) + HEAD.size > self.options.most_bytes:
            self.refused += len(batches)
            raise FullError(f"{self.bytes} of {self.options.most_bytes} bytes are in use")
        if self.current is None and self.unsynced:
            self._again()
        log = self.current
        if log is None or log.size >= self.options.log_bytes:
            log = self._rotate()
        try:
            self.files.append(log.name, data)
        except OSError:
            self._distrust()
            raise
        at = log.size
        for ops, made in zip(batches, frames, strict=True):
            self.seq += 1
            self.unsynced.append((self.seq, made))
            for index, op in enumerate(ops):
                self.tail[op.space, op.key] = (log.name, at, index, log.version)
                self._count(op.space, op.at_ms, len(op.value or b""))
            at += len(made)
        self.bytes += len(data)
        log.size = at
        return self.seq

    def _rotate(self) -> Log:
        """A new file of the log, from the next batch on."""
        if self.current is not None:
            self.sync()
        self.last += 1  # also where the one before could not be begun: it may be there
        log = Log(self.last, self.seq + 1, VERSION)
        data = head(LOG_MAGIC, log.first)
        self.files.create(log.name)
        self.files.append(log.name, data)
        self.files.sync(log.name)
        self.files.sync_names()
        log.size = len(data)
        self.bytes += log.size
        self.logs.append(log)
        self.current = log
        return log

    def sync(self) -> int:
        """Make all that was written last; returns up to which number it does.

        After OSError what was not durable is written again into a new file by the next write or sync: what a
        failed `fsync` leaves behind is not to be trusted, whatever the next one says (Rebello et al., 2020).
        """
        if self.unsynced and self.current is None:
            self._again()
        if self.current is not None and self.unsynced:
            try:
                self.files.sync(self.current.name)
            except OSError:
                self._distrust()
                raise
            self.unsynced.clear()
            self.durable = self.seq
        return self.durable

    def _distrust(self) -> None:
        """The current file is not written any more: what is not durable in it does not count."""
        self.current = None

    def _again(self) -> None:
        """Write what is not durable into a new file, whose first number takes it out of the old one."""
        pending, seq = self.unsynced, self.seq
        self.seq = pending[0][0] - 1
        try:
            log = self._rotate()
        finally:
            self.seq = seq
        try:
            at = log.size
            self.files.append(log.name, b"".join(made for _, made in pending))
        except OSError:
            self._distrust()
            raise
        for _, made in pending:
            for index, op in enumerate(read_batch(made[FRAME.size :])):
                self.tail[op.space, op.key] = (log.name, at, index, log.version)  # none is newer
            at += len(made)
        log.size = at
        self.bytes += sum(len(made) for _, made in pending)

    # Compaction

    @property
    def due(self) -> bool:
        """Whether a base should be made now."""
        logs = sum(log.size for log in self.logs if self.base is None or log.first > self.base.seq)
        base = self.base.size if self.base is not None else 0
        full = self.bytes > self.options.most_bytes * 3 // 4
        big = full or logs > max(2 * self.options.log_bytes, base // 2)
        return self.work is None and bool(self.tail) and (big or len(self.tail) >= KEYS)

    def compact(self, now_ms: int) -> Generator[None, None, None]:
        """Make a base, in steps: go on with it between writes. OSError leaves all as it was."""
        if self.unsynced or self.current is not None:
            self.sync()
        if self.base is not None and self.base.seq == self.seq:
            return  # nothing is new
        self.current = None  # the next batch begins a file: what the base takes up ends with the last one
        self.frozen, self.tail = {**self.frozen, **self.tail}, {}
        base = Base(self.seq)
        name = f"{base.name}.new"
        cutoffs = self._cutoffs()
        before = self.ages, self.kept_bytes
        self.ages, self.kept_bytes = {}, 0
        try:
            yield from self._write_base(base, name, cutoffs, now_ms)
        except BaseException:
            self.tail = {**self.frozen, **self.tail}
            self.frozen = {}
            self.ages, self.kept_bytes = before
            if name in self.files.names():
                self.files.remove(name)
            raise
        self._adopt(base)

    def _cutoffs(self) -> dict[str, int]:
        """By droppable space: what is older makes room, so that live values keep within their bound."""
        room = max(0, self.options.live_bytes - self.kept_bytes)
        total = sum(sum(ages.values()) for ages in self.ages.values())
        if total <= room:
            return {}
        found = {}
        for space, ages in self.ages.items():
            left = room * sum(ages.values()) / total
            for minute in sorted(ages, reverse=True):
                left -= ages[minute]
                if left < 0:
                    found[space] = (minute + 1) * BUCKET_MS
                    break
        return found

    def _write_base(self, base: Base, name: str, cutoffs: dict[str, int], now_ms: int) -> Iterator[None]:
        self.files.create(name)
        out, size, whole = bytearray(head(BASE_MAGIC, base.seq)), 0, 0
        chunks: list[list[tuple[int, Key]]] = []
        chunk: list[tuple[int, Key]] = []
        for key in self.frozen:
            chunk.append((place(*key), key))
            if len(chunk) % STEP == 0:
                yield
            if len(chunk) == SORT:
                chunk.sort()
                chunks.append(chunk)
                chunk = []
        chunk.sort()
        chunks.append(chunk)
        yield
        for count, op in enumerate(self._merged(iter(heapq.merge(*chunks)))):
            alive = self._alive(op, now_ms) is not None and op.at_ms >= cutoffs.get(op.space, 0)
            if alive:
                made = record(op)
                base.hashes.append(place(op.space, op.key))
                base.offsets.append(size + len(out))
                checksum = read_frame_head(made)[1]
                whole = crc32c(checksum.to_bytes(4, "little"), whole)
                out += made
                self._count(op.space, op.at_ms, len(made) - FRAME.size)
            if len(out) >= 64 * 1024:
                self.files.append(name, bytes(out))
                size += len(out)
                out.clear()
            if count % STEP == 0:
                yield
        out += end_record(len(base.hashes), whole)
        self.files.append(name, bytes(out))
        base.size = size + len(out)
        self.files.sync(name)

    def _merged(self, fresh: Iterator[tuple[int, Key]]) -> Iterator[Op]:
        """Records of the base and of the log in order of their hashes, of each key the newest."""
        pending = next(fresh, None)
        if self.base is not None:
            for _, number, payload, _ in self._frames(self.base.name, HEAD.size, self.base.size):
                if number == END:
                    break
                while pending is not None and pending[0] < number:
                    yield self._op(self.frozen[pending[1]])
                    pending = next(fresh, None)
                op = read_record(payload)
                if (op.space, op.key) not in self.frozen:
                    yield op
        while pending is not None:
            yield self._op(self.frozen[pending[1]])
            pending = next(fresh, None)

    def _adopt(self, base: Base) -> None:
        """Put a finished base in force, and let go what neither it nor the one before needs."""
        self.files.rename(f"{base.name}.new", base.name)
        self.files.sync_names()
        gone = self.older
        keep = self.base.seq if self.base is not None else 0
        logs = [log for log in self.logs if log.first > keep]
        bases = [base.seq] + ([self.base.seq] if self.base is not None else [])
        data = manifest(bases, min((log.number for log in logs), default=0))
        self.files.create("MANIFEST.new")
        self.files.append("MANIFEST.new", data)
        self.files.sync("MANIFEST.new")
        self.files.rename("MANIFEST.new", "MANIFEST")
        self.files.sync_names()
        self.older, self.base = self.base, base
        if self.older is not None:
            self.older.hashes, self.older.offsets = array("Q"), array("Q")
        self.frozen = {}
        self.doomed += [log.name for log in self.logs if log.first <= keep]
        if gone is not None:
            self.doomed.append(gone.name)
        self.logs = logs
        self.let_go()

    def let_go(self) -> None:
        """Remove files that nobody reads any more."""
        if self.readers:
            return
        for name in self.doomed:
            if name in self.files.names():
                self.files.remove(name)
        self.doomed.clear()
        self.bytes = sum(self.files.size(name) for name in self.files.names() if name != "LOCK")

    def close(self) -> None:
        try:
            self.sync()
        finally:
            self.files.close()


class Snapshot:
    """The store as it was at one moment."""

    def __init__(self, store: Store, base: Base | None, tail: dict[Key, Place]) -> None:
        self.store, self.tail = store, tail
        # Its own arrays: the store lets go of those of a base that another one has replaced.
        self.base = base
        self.hashes = base.hashes if base is not None else array("Q")
        self.offsets = base.offsets if base is not None else array("Q")

    def get(self, space: str, key: bytes, now_ms: int = 0) -> bytes | None:
        base = None
        if self.base is not None:
            base = Base(self.base.seq, self.hashes, self.offsets, self.base.size)
        return self.store._get(base, (self.tail,), space, key, now_ms)

    def items(self, space: str | None = None, now_ms: int = 0) -> Iterator[Op]:
        """All that is there, of one space if it is named; in no order that means anything."""
        if self.base is not None:
            for _, number, payload, _ in self.store._frames(self.base.name, HEAD.size, self.base.size):
                if number == END:
                    break
                op = read_record(payload)
                newer = (op.space, op.key) in self.tail
                if not newer and space in (None, op.space) and self.store._alive(op, now_ms) is not None:
                    yield op
        for (its, _), where in self.tail.items():
            if space is None or its == space:
                op = self.store._op(where)
                if self.store._alive(op, now_ms) is not None:
                    yield op

    def close(self) -> None:
        self.store.readers -= 1
        self.store.let_go()
