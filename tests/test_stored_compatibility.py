"""Compatibility of stored files and datagrams with earlier versions.

The files in `tests/fixtures/before_2026_12_02` were written by the version of that day with
`tests/fixtures/generate_before.py`. This version must read them correctly and write them byte for byte.
They must not be changed: an intended change of a format gets a new format version, and these files must
remain readable.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
import shutil
from collections.abc import Iterator
from contextlib import closing
from pathlib import Path

import msgspec
import pytest

from sagetrack.config.operator import Operator, StoreSettings
from sagetrack.config.platform import parse, stable_hash
from sagetrack.peers import handover
from sagetrack.peers.codec import DemandGossip, Message, WarmStartResponse, decode, encode
from sagetrack.peers.demand_gossip import decode_demands
from sagetrack.peers.handover import STALE_US
from sagetrack.peers.observation_codec import decode_latencies, decode_observations
from sagetrack.peers.stored_observations import HandoverRecord, decode_record
from sagetrack.policy.peer_observations import CLOSED, HALF_OPEN, OPEN, ClassLatency, Observation
from sagetrack.server.endpoint_list_file import EndpointListFile
from sagetrack.server.gateway_assembly import GatewayAssembly
from sagetrack.server.hot_restart import HotRestart
from sagetrack.server.persistence import OBSERVATIONS_SPACE, RECORDER_SPACE
from sagetrack.store.directory import DiskDirectory, DryRunDirectory
from sagetrack.store.engine import Store
from sagetrack.store.format import (
    CHECKPOINT_MAGIC,
    LOG_MAGIC,
    Record,
    decode_file_header,
    decode_manifest,
)
from sagetrack.store.recorder import decode_second
from tests.fixtures.generate_before import (
    BEFORE,
    DATAGRAMS,
    DATAGRAMS_FILE,
    DISCOVERY,
    GATEWAY,
    HANDOVER_RECORD,
    IDS,
    IDS_FILE,
    KNOWN_LIST,
    LATENCIES,
    NOW_MS,
    NOW_US,
    OBSERVATIONS,
    OPTIONS,
    OTHER_HANDOVER_RECORD,
    SECONDS_AGE_MS,
    STORE_FOLDER,
    TMPDIR_FOLDER,
    generate,
    live_records,
    seconds_key,
)
from tests.sockets import configuration, on_event_loop

STORE = BEFORE / STORE_FOLDER
TMPDIR = BEFORE / TMPDIR_FOLDER
ENCODED: dict[str, bytes] = {
    name: bytes.fromhex(data)
    for name, data in (line.split(" ") for line in (BEFORE / DATAGRAMS_FILE).read_text().splitlines())
}
FILES = [
    "datagrams.txt",
    "ids.txt",
    "store/LOCK",
    "store/MANIFEST",
    "store/base-0000000000000003",
    "store/base-0000000000000004",
    "store/log-0000000000000002",
    "store/log-0000000000000003",
    "store/log-0000000000000004",
    "tmpdir/sagetrack-knowledge.bin",
    "tmpdir/sagetrack-list.json",
]


def files_in(folder: Path) -> list[str]:
    return sorted(str(path.relative_to(folder)) for path in folder.rglob("*") if path.is_file())


@pytest.fixture(scope="module")
def written_files(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The directory of the same files, written by this version."""
    folder = tmp_path_factory.mktemp("stored") / "now"
    generate(folder)
    return folder


@pytest.fixture
def store_copy(tmp_path: Path) -> Path:
    return Path(shutil.copytree(STORE, tmp_path / "store"))


@pytest.fixture
def old_store() -> Iterator[Store]:
    """The store of the earlier version, opened by a dry run."""
    with closing(Store(DryRunDirectory(STORE), OPTIONS)) as store:
        report = store.open()
        assert (report.sequence, report.batches, report.records) == (6, 2, 3)
        assert (report.quarantined, report.lost_bytes) == ([], 0)
        yield store


def sorted_records(store: Store, now_ms: int = 0) -> list[Record]:
    return sorted(store.snapshot().items(now_ms=now_ms), key=lambda record: (record.space, record.key))


# All files


def test_the_set_of_written_files_is_unchanged(written_files: Path) -> None:
    assert files_in(BEFORE) == FILES
    assert files_in(written_files) == FILES


@pytest.mark.parametrize("name", FILES)
def test_a_file_is_written_byte_for_byte_as_before(name: str, written_files: Path) -> None:
    assert (written_files / name).read_bytes() == (BEFORE / name).read_bytes()


# Datagrams


def test_the_datagrams_cover_every_message_type() -> None:
    assert list(ENCODED) == list(DATAGRAMS)
    types = {type(message) for datagram in DATAGRAMS.values() for message in datagram.messages}
    assert types == set(Message.__args__)


@pytest.mark.parametrize("name", DATAGRAMS)
def test_a_datagram_is_decoded_correctly(name: str) -> None:
    datagram, expected = decode(ENCODED[name]), DATAGRAMS[name]
    assert datagram.sender == expected.sender
    assert datagram.incarnation == expected.incarnation
    assert [type(message) for message in datagram.messages] == [type(m) for m in expected.messages]
    for message, expected_message in zip(datagram.messages, expected.messages, strict=True):
        assert msgspec.structs.asdict(message) == msgspec.structs.asdict(expected_message)
    assert datagram == expected


@pytest.mark.parametrize("name", DATAGRAMS)
def test_a_datagram_is_encoded_byte_for_byte_as_before(name: str) -> None:
    assert encode(DATAGRAMS[name]) == ENCODED[name]


def test_observations_in_a_datagram_keep_their_units() -> None:
    [response] = decode(ENCODED["tell-of-knowledge"]).messages
    assert isinstance(response, WarmStartResponse)
    assert (response.request_id, response.part, response.parts) == (2**30, 0, 1)
    assert decode_latencies(response.classes) == (
        ClassLatency(class_index=0, smoothed_us=20_000.0, baseline_us=15_500.0),
        ClassLatency(class_index=2, smoothed_us=100.0, baseline_us=1e9),
    )
    start_times = {observation.server: observation.started_us for observation in OBSERVATIONS}
    received_us = NOW_US + 100
    observations = decode_observations(
        reporter=10, entries=response.servers, start_times=start_times, now_us=received_us
    )
    assert sorted(observations, key=lambda observation: observation.server) == [
        Observation(
            server=7,
            started_us=0,
            by=10,
            seen_us=received_us,
            state=HALF_OPEN,
            open_until_us=received_us,
            weight=0.62,
            overloaded=False,
            slow_start_used_us=65_535_000,
        ),
        Observation(
            server=8,
            started_us=NOW_US - 5_000_000,
            by=10,
            seen_us=received_us - 59_000_000,
            state=CLOSED,
            open_until_us=received_us,
            weight=0.33,
            overloaded=True,
            slow_start_used_us=0,
        ),
        Observation(
            server=0x1A2B3C4D,
            started_us=NOW_US - 3_600_000_000,
            by=10,
            seen_us=received_us - 250_000,
            state=CLOSED,
            open_until_us=received_us,
            weight=1.0,
            overloaded=False,
            slow_start_used_us=0,
        ),
        Observation(
            server=0xFFFFFFFF,
            started_us=NOW_US - 90_000_123,
            by=10,
            seen_us=received_us - 1_000_000,
            state=OPEN,
            open_until_us=received_us + 4_000_000,
            weight=0.05,
            overloaded=True,
            slow_start_used_us=12_000,
        ),
    ]


def test_demands_in_a_datagram_keep_their_units() -> None:
    [message] = decode(ENCODED["wanted-of-demands"]).messages
    assert isinstance(message, DemandGossip)
    assert decode_demands(message, tenants=6) == (1_500_000.0, 0.0, 20_000.0, 0.0, 1000.0, 0.0)


@pytest.mark.parametrize(
    "line", (BEFORE / IDS_FILE).read_text("utf-8").splitlines(), ids=lambda line: repr(line)
)
def test_stable_ids_of_names_are_unchanged(line: str) -> None:
    """Stored observations and datagrams identify a server by this number."""
    number, size, name = line.split(" ")
    assert (name, int(size)) in IDS
    assert stable_hash(name, int(size)) == int(number)


# Files for the successor process


def check_record(record: HandoverRecord | None, expected: HandoverRecord) -> None:
    assert record is not None
    assert record.gateway == expected.gateway
    assert record.written_us == expected.written_us
    assert record.observations == expected.observations
    assert record.latencies == expected.latencies
    assert record == expected


@pytest.mark.parametrize("age_us", [0, STALE_US])
def test_a_hand_over_file_is_read_correctly(age_us: int) -> None:
    record = handover.read(folder=TMPDIR, gateway=GATEWAY, now_us=NOW_US + age_us)
    check_record(record, HANDOVER_RECORD)


def test_every_field_of_a_hand_over_file_is_read() -> None:
    """Checks every field of one record: a field with an unknown key would silently get its default."""
    record = handover.read(folder=TMPDIR, gateway="n0", now_us=NOW_US)
    assert record is not None and len(record.observations) == 4 and len(record.latencies) == 2
    observation, latency = record.observations[1], record.latencies[0]
    assert observation.server == 4_294_967_295
    assert observation.started_us == 1_764_633_509_999_877
    assert observation.by == 3
    assert observation.seen_us == 1_764_633_598_999_999
    assert observation.state == 1
    assert observation.open_until_us == 1_764_633_604_000_000
    assert observation.weight == 0.05
    assert observation.overloaded is True
    assert observation.slow_start_used_us == 12_345
    assert latency.class_index == 0
    assert latency.smoothed_us == 20_000.0
    assert latency.baseline_us == 15_500.25


@pytest.mark.parametrize(
    ("gateway", "now_us"), [("n1", NOW_US), (GATEWAY, NOW_US - 1), (GATEWAY, NOW_US + STALE_US + 1)]
)
def test_a_hand_over_file_of_another_gateway_or_time_is_ignored(gateway: str, now_us: int) -> None:
    assert handover.read(folder=TMPDIR, gateway=gateway, now_us=now_us) is None


def test_a_saved_endpoint_list_is_read_correctly() -> None:
    file = EndpointListFile(TMPDIR)
    assert file.select_newest(discovery=DISCOVERY, configured={"index": 41}) == KNOWN_LIST
    assert file.select_newest(discovery=DISCOVERY, configured={"index": 42}) == {"index": 42}
    assert file.select_newest(discovery=("10.0.0.9", 1), configured={"index": 41}) == {"index": 41}


def test_hot_restart_markers_have_the_same_names(tmp_path: Path) -> None:
    """Processes of different versions detect each other by these files."""
    hot_restart = HotRestart(str(tmp_path))
    hot_restart.join()
    try:
        assert files_in(tmp_path) == [f"sagetrack-{os.getpid()}.starting"]
        hot_restart.mark_serving()
        assert files_in(tmp_path) == [f"sagetrack-{os.getpid()}.serving"]
        with (
            open(tmp_path / "sagetrack-1.serving", "w") as one,
            open(tmp_path / "sagetrack-2.starting", "w") as two,
        ):
            fcntl.flock(one, fcntl.LOCK_EX)
            fcntl.flock(two, fcntl.LOCK_EX)
            hot_restart.refresh()
            assert (hot_restart.sibling_count, hot_restart.serving_sibling_count) == (2, 1)
    finally:
        hot_restart.release()


# The store


def test_the_records_of_a_store_are_read_correctly(old_store: Store) -> None:
    records = sorted_records(old_store)
    for record, expected in zip(records, live_records(), strict=True):
        assert (record.space, record.key) == (expected.space, expected.key)
        assert record.value == expected.value
        assert record.at_ms == expected.at_ms
        assert old_store.get(record.space, record.key) == expected.value
    assert [record.space for record in records] == ["known", "known", "other", "seconds", "seconds"]
    assert old_store.get("known", b"gone") is None


def test_records_of_a_store_expire_at_the_right_age(old_store: Store) -> None:
    """The first record of the flight recorder expires after one hour, the second one a second later."""
    assert sorted_records(old_store, now_ms=NOW_MS + SECONDS_AGE_MS - 1) == live_records()
    assert (
        sorted_records(old_store, now_ms=NOW_MS + SECONDS_AGE_MS) == live_records()[:3] + live_records()[4:]
    )
    assert sorted_records(old_store, now_ms=NOW_MS + SECONDS_AGE_MS + 1000) == live_records()[:3]


def test_headers_and_manifest_of_a_store_are_read_correctly() -> None:
    def numbers(pattern: str, magic: bytes) -> list[tuple[int, int]]:
        return [decode_file_header(path.read_bytes(), magic) for path in sorted(STORE.glob(pattern))]

    assert numbers("log-*", LOG_MAGIC) == [(2, 4), (2, 5), (2, 6)]
    assert numbers("base-*", CHECKPOINT_MAGIC) == [(2, 3), (2, 4)]
    assert decode_manifest((STORE / "MANIFEST").read_bytes()) == ([4, 3], 2)


def test_a_store_without_its_newest_checkpoint_is_recovered_from_the_older_one(store_copy: Path) -> None:
    (store_copy / "base-0000000000000004").unlink()
    with closing(Store(DiskDirectory(store_copy), OPTIONS)) as store:
        report = store.open()
        assert (report.sequence, report.batches, report.records) == (6, 3, 3)
        assert report.quarantined == ["base-0000000000000004: gone"]
        assert sorted_records(store) == live_records()


def test_a_store_accepts_new_writes_and_a_compaction(store_copy: Path) -> None:
    added = Record(space=OBSERVATIONS_SPACE, key=b"zz", value=b"added", at_ms=NOW_MS + 2000)
    with closing(Store(DiskDirectory(store_copy), OPTIONS)) as store:
        store.open()
        assert store.write([[added]]) == 7
        for _ in store.compact(NOW_MS):
            pass
    with closing(Store(DiskDirectory(store_copy), OPTIONS)) as store:
        report = store.open()
        assert (report.sequence, report.batches, report.records, report.quarantined) == (7, 0, 6, [])
        assert sorted_records(store) == [*live_records()[:2], added, *live_records()[2:]]


def test_observations_in_a_store_are_read_correctly(old_store: Store) -> None:
    for gateway, expected in (("n0", HANDOVER_RECORD), ("n1", OTHER_HANDOVER_RECORD)):
        value = old_store.get(OBSERVATIONS_SPACE, gateway.encode())
        assert value is not None
        check_record(decode_record(value), expected)


def test_recorded_seconds_in_a_store_are_read_correctly(old_store: Store) -> None:
    values = [old_store.get(RECORDER_SPACE, seconds_key(at_ms)) for at_ms in (NOW_MS, NOW_MS + 1000)]
    assert values[0] is not None and values[1] is not None
    first, second = decode_second(values[0]), decode_second(values[1])
    assert first.version == 1
    assert first.at_s == 1_764_633_600
    assert first.answered == [3, 0, 1]
    assert first.rejected == [0, 1, 0]
    assert first.failed == [0, 2, 0]
    assert first.attempts == [4, 5, 6]
    assert first.outcomes == {"ok": 3, "timeout": 1}
    assert first.latencies == [{16: 2}, {}, {0: 1}]
    assert first.events == ["s-0: opened", "größer"]
    assert first.dropped_events == 0
    assert second.version == 1
    assert second.at_s == 1_764_633_601
    assert second.answered == [2, 7, 8]
    assert second.rejected == [0, 0, 1]
    assert second.failed == [0, 0, 0]
    assert second.attempts == [5, 7, 3]
    assert second.outcomes == {"ok": 1}
    assert second.latencies == [{}, {63: 1}, {}]
    assert second.events == [str(number) for number in range(50)]
    assert second.dropped_events == 2


@on_event_loop
async def test_a_gateway_restores_the_observations_in_a_store(tmp_path: Path) -> None:
    folder = Path(shutil.copytree(STORE, tmp_path / "n0"))
    settings = StoreSettings(folder=str(folder.parent / "{gateway}"), recorder=False)
    instance = GatewayAssembly(parse(configuration()), Operator(store=settings))
    instance.start_persistence()
    persistence = instance.persistence
    assert persistence is not None
    try:
        await asyncio.wait_for(persistence.read_finished.wait(), 30)
        check_record(persistence.stored, HANDOVER_RECORD)
        assert persistence.stored is not None and persistence.stored.latencies == LATENCIES
    finally:
        persistence.close()
