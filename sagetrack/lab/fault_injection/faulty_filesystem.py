"""A directory in memory that crashes between any two calls, loses or tears what was not synced, and fails.

What a crash leaves (Pillai et al., All File Systems Are Not Created Equal, OSDI 2014): of appended bytes that
were not synced any 512-byte sectors, a file longer or shorter than it was; of creations, renames and removals
some first ones in order.
"""

from __future__ import annotations

import errno
import os
import random
from dataclasses import dataclass, field

SECTOR = 512


class Crash(BaseException):
    """The machine has stopped: nothing after this was done."""


@dataclass(slots=True, eq=False)
class Body:
    """One file."""

    data: bytearray = field(default_factory=bytearray)
    lasts: bytes = b""  # as of the last sync
    cut_to: int | None = None  # the least that it was cut to since


class SimFiles:
    """`store.directory.StoreDirectory` in memory."""

    def __init__(self, bodies: dict[str, Body] | None = None) -> None:
        self.bodies = bodies or {}
        self.lasting = dict(self.bodies)
        self.pending: list[tuple[str, str, Body | None]] = []  # changes of names since they were synced
        self.calls = 0
        self.crash_at = -1
        self.failing: dict[str, int] = {}  # by call: error number, until it is taken out
        self.room: int | None = None  # bytes that may still be appended
        self.most_read = 0

    def _call(self, what: str) -> None:
        self.calls += 1
        if 0 < self.crash_at <= self.calls:
            raise Crash  # and whatever is tried from then on
        code = self.failing.get(what)
        if code is not None:
            raise OSError(code, os.strerror(code))

    def _body(self, name: str) -> Body:
        body = self.bodies.get(name)
        if body is None:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return body

    def names(self) -> list[str]:
        return sorted(self.bodies)

    def size(self, name: str) -> int:
        return len(self._body(name).data)

    def read(self, name: str, at: int, count: int) -> bytes:
        self.most_read = max(self.most_read, count)
        return bytes(self._body(name).data[at : at + count])

    def create(self, name: str) -> None:
        self._call("create")
        body = self.bodies[name] = Body()
        self.pending.append(("set", name, body))

    def append(self, name: str, data: bytes) -> None:
        body = self._body(name)
        try:
            self._call("append")
            if self.room is not None and len(data) > self.room:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        except Crash:
            body.data += data  # it may have got that far
            raise
        except OSError:
            body.data += data[: len(data) // 2]
            raise
        if self.room is not None:
            self.room -= len(data)
        body.data += data

    def sync(self, name: str) -> None:
        body = self._body(name)
        try:
            self._call("sync")
        except OSError:
            # The pages are marked clean and may never have been written (Rebello et al., ATC 2020).
            body.data[len(body.lasts) :] = bytes(len(body.data) - len(body.lasts))
            raise
        body.lasts, body.cut_to = bytes(body.data), None

    def cut(self, name: str, size: int) -> None:
        self._call("cut")
        body = self._body(name)
        del body.data[size:]
        body.cut_to = size if body.cut_to is None else min(size, body.cut_to)

    def rename(self, old: str, new: str) -> None:
        self._call("rename")
        body = self._body(old)
        del self.bodies[old]
        self.bodies[new] = body
        self.pending += [("rename", f"{old}\n{new}", body)]

    def remove(self, name: str) -> None:
        self._call("remove")
        self._body(name)
        del self.bodies[name]
        self.pending.append(("del", name, None))

    def sync_names(self) -> None:
        self._call("sync_names")
        self.lasting, self.pending = dict(self.bodies), []

    def close(self) -> None:
        """Nothing is held."""

    def after_crash(self, draw: random.Random) -> SimFiles:
        """What is found when the machine is up again."""
        names = dict(self.lasting)
        for what, name, body in self.pending[: draw.randint(0, len(self.pending))]:
            if what == "set" and body is not None:
                names[name] = body
            elif what == "rename" and body is not None:
                old, new = name.split("\n")
                names.pop(old, None)
                names[new] = body
            else:
                names.pop(name, None)
        found = {}
        for name, body in names.items():
            data = left_of(body, draw)
            found[name] = Body(bytearray(data), data)
        return SimFiles(found)

    def copy(self) -> SimFiles:
        """As it is, all of it lasting."""
        return SimFiles({name: Body(bytearray(b.data), bytes(b.data)) for name, b in self.bodies.items()})


def left_of(body: Body, draw: random.Random) -> bytes:
    """A file's bytes after a crash."""
    lasts = body.lasts
    if body.cut_to is not None and draw.random() < 0.5:
        lasts = lasts[: body.cut_to]
    if bytes(body.data[: len(lasts)]) != lasts:
        return lasts  # cut and written again, none of it synced
    data = bytearray(lasts)
    end = draw.randint(len(lasts), max(len(lasts), len(body.data)))
    at = len(lasts)
    while at < end:
        size = min(SECTOR - at % SECTOR, end - at)
        data += body.data[at : at + size] if draw.random() < 0.7 else bytes(size)
        at += size
    return bytes(data)
