"""Processes of one gateway that run side by side for a while, as they meet in $TMPDIR.

Each holds a lock on a file of its own; the kernel lets go of it however the process ends, so that a file left
behind says nothing. The file has no content that could be half-written: its name tells whether it serves.
"""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import re
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from sagetrack.config.platform import Address
from sagetrack.core.log import log
from sagetrack.discovery.client import list_as_json

NAME = re.compile(r"sagetrack-(\d+)\.(starting|serving)")
LIST = "sagetrack-list.json"  # the address servers as a process last heard of them
LIST_LIMIT = 1024 * 1024  # bytes: files count as memory
LIST_EVERY_S = 1.0  # the list is written at most once in this: 200 entries may change within a second


class HotRestart:
    """This process's mark in the folder, and those of the others."""

    def __init__(self, folder: str | None) -> None:
        self.folder = Path(folder) if folder else None
        self.descriptor: int | None = None
        self.path: Path | None = None
        self.others = 0  # other processes of this gateway that run
        self.serving = 0  # those of them that serve
        self.news: tuple[Address, Callable[[], dict[str, Any]]] | None = None  # not written yet
        self.writing: asyncio.TimerHandle | None = None  # while it is on, nothing is written

    def join(self) -> None:
        """Be seen by the others: locked first, named after, so that no unlocked mark is ever ours.

        Where the folder can't be used the process runs all the same, as if it were the only one.
        """
        if self.folder is None:
            return
        fresh = self.folder / f"sagetrack-{os.getpid()}.new"
        try:
            self.descriptor = os.open(fresh, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._rename(fresh, "starting")
        except OSError as error:
            log(f"TMPDIR {self.folder} cannot be used, other processes are not seen: {error.strerror}")
            self.folder = None
            return
        self.look()

    def serve(self) -> None:
        """Say that this process takes clients."""
        self._mark("serving")

    def begin_leaving(self) -> None:
        """Say that this process takes clients no longer: another that leaves must not count on it.

        It goes on sharing the limits until its end, as one that starts does.
        """
        self._mark("starting")

    def _mark(self, state: str) -> None:
        """Change what the others see; they see the state before for longer where the folder fails."""
        if self.path is None:
            return
        try:
            self._rename(self.path, state)
        except OSError as error:
            log(f"the mark in {self.folder} cannot be changed: {error.strerror}", "warning")

    def _rename(self, old: Path, state: str) -> None:
        new = old.with_name(f"sagetrack-{os.getpid()}.{state}")
        os.replace(old, new)
        self.path = new

    def look(self) -> None:
        """Count the others again; marks of processes that have ended are cleared away.

        Where the folder cannot be read, as there is no descriptor for it, the counts stay as they were.
        """
        if self.folder is None or self.path is None:
            return
        others = serving = 0
        try:
            names = os.listdir(self.folder)
        except OSError:
            return
        for name in names:
            mark = NAME.fullmatch(name)
            if mark is None or name == self.path.name:
                continue
            if self._is_held(self.folder / name):
                others += 1
                serving += mark[2] == "serving"
        self.others, self.serving = others, serving

    @staticmethod
    def _is_held(path: Path) -> bool:
        """Whether a process holds this mark; where that cannot be found out, the mark stands for one."""
        try:
            descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        except FileNotFoundError:
            return False  # renamed or gone meanwhile
        except OSError:
            return True
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(descriptor)
        with suppress(OSError):
            path.unlink(missing_ok=True)
        return False

    # What a process has heard of the address servers, for the next one

    def hand_on(self, discovery: Address, known: Callable[[], dict[str, Any]]) -> None:
        """There is news of the list: it is written at once, or soon after it was last, as it stands then."""
        if self.folder is None:
            return
        self.news = discovery, known
        if self.writing is None:
            self._write_news()

    def _write_news(self) -> None:
        self.writing = None
        if self.news is not None:
            self.writing = asyncio.get_running_loop().call_later(LIST_EVERY_S, self._write_news)
            discovery, known = self.news
            self.news = None
            self.keep_list(discovery, known())

    def keep_list(self, discovery: Address, known: dict[str, Any]) -> None:
        """Write it whole under another name first: nobody finds half of it."""
        if self.folder is None:
            return
        data = b'{"discovery":%s,"known":%s}' % (json.dumps(list(discovery)).encode(), list_as_json(known))
        if len(data) > LIST_LIMIT:
            return
        fresh = self.folder / f"{LIST}.{os.getpid()}"
        try:
            fresh.write_bytes(data)
            os.replace(fresh, self.folder / LIST)
        except OSError as error:
            log(f"the list of address servers is not handed on: {error.strerror}")

    def newer_list(
        self,
        discovery: Address,
        known: dict[str, Any],
        usable: Callable[[dict[str, Any]], bool] = lambda newer: True,
    ) -> dict[str, Any]:
        """That list, if it can be used, is from the same service and newer than what the platform knew."""
        if self.folder is None:
            return known
        try:
            with open(self.folder / LIST, "rb") as file:
                kept = json.loads(file.read(LIST_LIMIT + 1))
            newer: dict[str, Any] = kept["known"]
            same = kept["discovery"] == list(discovery)
            if not usable(newer):
                raise ValueError("no entry of it can be read")
            return newer if same and int(newer["index"]) > int(known.get("index", -1)) else known
        except FileNotFoundError:
            return known
        except (OSError, ValueError, TypeError, KeyError, AttributeError) as error:
            log(f"a list of address servers that was left behind cannot be used: {error!r}")
            return known

    def leave(self) -> None:
        """Be seen no longer. News that is held back is written first, but where another process serves."""
        if self.writing is not None:
            self.writing.cancel()
            self.writing = None
        if self.news is not None and not self.serving:  # one that serves writes its own, which is newer
            self.keep_list(self.news[0], self.news[1]())
        self.news = None
        if self.descriptor is not None and self.path is not None:
            with suppress(OSError):  # what is left there has no lock, and the next process clears it away
                self.path.unlink(missing_ok=True)
            os.close(self.descriptor)
            self.descriptor = self.path = None
