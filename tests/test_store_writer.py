"""The store's background writer: a disk that is slow or fails, and one that another process has."""

from __future__ import annotations

import errno
import threading
import time
from pathlib import Path

import pytest

from sagetrack.lab.fault_injection.faulty_filesystem import FaultyDirectory
from sagetrack.lab.fault_injection.store_states import SMALL_STORE
from sagetrack.store.directory import DiskDirectory
from sagetrack.store.errors import StoreOpenError
from sagetrack.store.format import Record
from sagetrack.store.writer import BackgroundWriter


def test_another_process_is_kept_out(tmp_path: Path) -> None:
    first = DiskDirectory(tmp_path)
    with pytest.raises(BlockingIOError):
        DiskDirectory(tmp_path)
    keeper = BackgroundWriter(lambda: DiskDirectory(tmp_path), SMALL_STORE, lambda line: None)
    with pytest.raises(StoreOpenError, match="another process has it"):
        keeper.open()
    first.close()
    DiskDirectory(tmp_path).close()


class Slow(FaultyDirectory):
    """A disk that stands still until it is let go."""

    def __init__(self) -> None:
        super().__init__()
        self.go = threading.Event()
        self.stands_still = threading.Event()

    def append(self, name: str, data: bytes) -> None:
        self.stands_still.set()
        self.go.wait(10)
        super().append(name, data)


def test_a_slow_or_failing_disk_blocks_no_one_and_is_logged_once() -> None:
    files, lines, lasting = Slow(), list[str](), list[bool]()
    keeper = BackgroundWriter(lambda: files, SMALL_STORE, lines.append, sync_policy="batch")
    keeper.open()
    keeper.start()
    began = time.monotonic()
    for n in range(200):
        assert keeper.submit([Record("s", b"%d" % n, bytes(30), 1)], lasting.append)
        assert files.stands_still.wait(5)  # the thread holds the first: what comes next has to wait
    while keeper.submit([Record("s", b"big", bytes(100_000), 1)]):
        pass  # the disk stands still: memory is bounded
    assert time.monotonic() - began < 5 and keeper.counters.dropped == 1 and not lasting
    files.failing = {"sync": errno.EIO, "append": errno.ENOSPC}
    files.go.set()
    keeper.close()
    assert len([line for line in lines if "store writes failing" in line]) == 1
    assert lasting.count(False) == 200 and keeper.metric_values()["store_failing"] == 1
    good = BackgroundWriter(FaultyDirectory, SMALL_STORE, lines.append, sync_policy="batch")
    good.open()
    good.start()
    good.submit([Record("s", b"k", b"v", 1)], lasting.append)
    good.close()
    assert lasting[-1] is True and good.store is not None and good.store.get("s", b"k") == b"v"
