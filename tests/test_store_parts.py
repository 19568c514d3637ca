"""Parts of the store without a disk: retention, the batch queue, outages, file names and exceptions."""

from __future__ import annotations

import pytest

from sagetrack.store.batch_queue import MAX_QUEUED_BYTES, BatchQueue, QueuedBatch
from sagetrack.store.errors import StoreError, StoreFullError, StoreOpenError, WriteRejectedError
from sagetrack.store.file_names import (
    checkpoint_name,
    checkpoint_sequence,
    is_store_file,
    quarantine_name,
    segment_name,
    segment_number,
    unfinished_name,
)
from sagetrack.store.format import Record
from sagetrack.store.options import RetentionPolicy, StoreOptions
from sagetrack.store.outage import Outage
from sagetrack.store.space_limits import Retention


def test_records_expire_at_their_maximum_age_and_tombstones_have_no_value() -> None:
    retention = Retention(StoreOptions(spaces={"brief": RetentionPolicy(max_age_ms=1000)}))
    record = Record("brief", b"k", b"v", 5000)
    assert retention.visible_value(record, 5999) == b"v"
    assert retention.visible_value(record, 6000) is None
    assert retention.visible_value(Record("other", b"k", b"v", 0), 2**60) == b"v"
    assert retention.visible_value(Record("other", b"k", None, 0), 0) is None


def test_eviction_removes_the_oldest_records_of_evictable_spaces_only() -> None:
    retention = Retention(StoreOptions(max_bytes=4000, spaces={"notes": RetentionPolicy(evictable=True)}))
    retention.count("kept", 0, 400)
    for minute in range(6):
        retention.count("notes", minute * 60_000, 100)
    assert retention.eviction_cutoffs() == {}
    retention.count("notes", 6 * 60_000, 100)
    assert retention.eviction_cutoffs() == {"notes": 60_000}
    previous = retention.begin_recount()
    assert retention.eviction_cutoffs() == {}
    retention.restore(previous)
    assert retention.eviction_cutoffs() == {"notes": 60_000}


def test_the_queue_is_bounded_and_rejects_batches_after_closing() -> None:
    queue = BatchQueue()
    large = QueuedBatch([Record("s", b"", bytes(MAX_QUEUED_BYTES - 64))], None)
    small = QueuedBatch([Record("s", b"", b"x")], None)
    assert queue.offer(large) and not queue.offer(small)
    assert queue.take(lambda: 0.0) == ([large], False) and queue.queued_bytes == 0
    assert queue.offer(small)
    queue.close()
    assert not queue.offer(small)
    assert queue.take(lambda: 0.0) == ([small], True) and queue.take(lambda: 0.0) == ([], True)


def test_an_outage_reports_its_begin_and_its_end_once() -> None:
    outage = Outage()
    assert not outage.backing_off and not outage.end()
    assert outage.begin() and not outage.begin() and outage.backing_off
    assert outage.end() and not outage.backing_off


@pytest.mark.parametrize("number", [0, 1, 0xFF, 2**64 - 1])
def test_file_names_round_trip(number: int) -> None:
    segment, checkpoint = segment_name(number), checkpoint_name(number)
    assert segment_number(segment) == number and checkpoint_sequence(checkpoint) == number
    assert segment_number(checkpoint) is None and checkpoint_sequence(segment) is None
    names = [segment, checkpoint, unfinished_name(checkpoint), quarantine_name(segment, 5)]
    assert all(is_store_file(name) for name in names) and not is_store_file("strange.txt")


def test_store_exceptions_have_a_common_base_class() -> None:
    assert issubclass(StoreFullError, WriteRejectedError) and issubclass(StoreOpenError, StoreError)
    assert issubclass(WriteRejectedError, StoreError) and not issubclass(StoreError, OSError)
