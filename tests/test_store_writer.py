"""The background writer of the store: slow and failing disks, and a store locked by another process."""

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


def test_a_store_is_locked_against_other_processes(tmp_path: Path) -> None:
    first = DiskDirectory(tmp_path)
    with pytest.raises(BlockingIOError):
        DiskDirectory(tmp_path)
    writer = BackgroundWriter(lambda: DiskDirectory(tmp_path), SMALL_STORE, lambda line: None)
    with pytest.raises(StoreOpenError, match="locked by another process"):
        writer.open()
    first.close()
    DiskDirectory(tmp_path).close()


class BlockingDirectory(FaultyDirectory):
    """A disk whose appends block until `go` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.go = threading.Event()
        self.is_blocked = threading.Event()

    def append(self, name: str, data: bytes) -> None:
        self.is_blocked.set()
        self.go.wait(10)
        super().append(name, data)


def test_a_slow_or_failing_disk_does_not_block_submitters_and_is_logged_once() -> None:
    files, lines, outcomes = BlockingDirectory(), list[str](), list[bool]()
    writer = BackgroundWriter(lambda: files, SMALL_STORE, lines.append, sync_policy="batch")
    writer.open()
    writer.start()
    started_s = time.monotonic()
    for n in range(200):
        assert writer.submit([Record("s", b"%d" % n, bytes(30), 1)], outcomes.append)
        assert files.is_blocked.wait(5)  # the first append blocks, so later batches are queued
    while writer.submit([Record("s", b"big", bytes(100_000), 1)]):
        pass  # fills the queue until it rejects a batch
    assert time.monotonic() - started_s < 5 and writer.counts.dropped == 1 and not outcomes
    files.errors_by_call = {"sync": errno.EIO, "append": errno.ENOSPC}
    files.go.set()
    writer.close()
    assert len([line for line in lines if "store writes failing" in line]) == 1
    assert outcomes.count(False) == 200 and writer.metric_values()["store_failing"] == 1
    second_writer = BackgroundWriter(FaultyDirectory, SMALL_STORE, lines.append, sync_policy="batch")
    second_writer.open()
    second_writer.start()
    second_writer.submit([Record("s", b"k", b"v", 1)], outcomes.append)
    second_writer.close()
    assert (
        outcomes[-1] is True
        and second_writer.store is not None
        and second_writer.store.get("s", b"k") == b"v"
    )
