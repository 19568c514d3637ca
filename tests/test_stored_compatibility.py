"""What earlier versions stored and sent is read as it was meant, and written again byte for byte.

The files in `tests/fixtures/before_2026_12_02` were written by the version of that day with
`tests/fixtures/generate_before.py`. They stay as they are: where a format changes on purpose, the new one has
a version of its own, and these files are still to be read.
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
from sagetrack.config.platform import parse, stable_id
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
    IDS,
    IDS_FILE,
    KNOWN_LIST,
    LATENCIES,
    NOTE,
    NOW_MS,
    NOW_US,
    OPTIONS,
    OTHER_NOTE,
    SECONDS_AGE_MS,
    SIGHTS,
    STORE_FOLDER,
    TMPDIR_FOLDER,
    generate,
    live,
    seconds_key,
)
from tests.sockets import configuration, on_event_loop

STORE = BEFORE / STORE_FOLDER
TMPDIR = BEFORE / TMPDIR_FOLDER
SENT: dict[str, bytes] = {
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
def written_now(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The same files, as this version writes them."""
    folder = tmp_path_factory.mktemp("stored") / "now"
    generate(folder)
    return folder


@pytest.fixture
def store_copy(tmp_path: Path) -> Path:
    return Path(shutil.copytree(STORE, tmp_path / "store"))


@pytest.fixture
def looked_at() -> Iterator[Store]:
    """The store of the earlier version, opened without changing it."""
    with closing(Store(DryRunDirectory(STORE), OPTIONS)) as store:
        found = store.open()
        assert (found.sequence, found.batches, found.records) == (6, 2, 3)
        assert (found.quarantined, found.lost_bytes) == ([], 0)
        yield store


def content(store: Store, now_ms: int = 0) -> list[Record]:
    return sorted(store.snapshot().items(now_ms=now_ms), key=lambda op: (op.space, op.key))


# All files


def test_the_same_files_are_written(written_now: Path) -> None:
    assert files_in(BEFORE) == FILES
    assert files_in(written_now) == FILES


@pytest.mark.parametrize("name", FILES)
def test_a_file_is_written_byte_for_byte_as_before(name: str, written_now: Path) -> None:
    assert (written_now / name).read_bytes() == (BEFORE / name).read_bytes()


# Datagrams


def test_each_kind_of_message_has_a_datagram() -> None:
    assert list(SENT) == list(DATAGRAMS)
    kinds = {type(message) for datagram in DATAGRAMS.values() for message in datagram.messages}
    assert kinds == set(Message.__args__)


@pytest.mark.parametrize("name", DATAGRAMS)
def test_a_datagram_is_read_as_it_was_meant(name: str) -> None:
    datagram, expected = decode(SENT[name]), DATAGRAMS[name]
    assert datagram.sender == expected.sender
    assert datagram.incarnation == expected.incarnation
    assert [type(message) for message in datagram.messages] == [type(m) for m in expected.messages]
    for message, wanted in zip(datagram.messages, expected.messages, strict=True):
        assert msgspec.structs.asdict(message) == msgspec.structs.asdict(wanted)
    assert datagram == expected


@pytest.mark.parametrize("name", DATAGRAMS)
def test_a_datagram_is_encoded_byte_for_byte_as_before(name: str) -> None:
    assert encode(DATAGRAMS[name]) == SENT[name]


def test_knowledge_in_a_datagram_keeps_its_units() -> None:
    [tell] = decode(SENT["tell-of-knowledge"]).messages
    assert isinstance(tell, WarmStartResponse)
    assert (tell.request_id, tell.part, tell.parts) == (2**30, 0, 1)
    assert decode_latencies(tell.classes) == (
        ClassLatency(class_index=0, smoothed_us=20_000.0, baseline_us=15_500.0),
        ClassLatency(class_index=2, smoothed_us=100.0, baseline_us=1e9),
    )
    lives = {sight.server: sight.started_us for sight in SIGHTS}
    heard_us = NOW_US + 100
    told = decode_observations(reporter=10, entries=tell.servers, start_times=lives, now_us=heard_us)
    assert sorted(told, key=lambda sight: sight.server) == [
        Observation(
            server=7,
            started_us=0,
            by=10,
            seen_us=heard_us,
            state=HALF_OPEN,
            open_until_us=heard_us,
            weight=0.62,
            overloaded=False,
            slow_start_used_us=65_535_000,
        ),
        Observation(
            server=8,
            started_us=NOW_US - 5_000_000,
            by=10,
            seen_us=heard_us - 59_000_000,
            state=CLOSED,
            open_until_us=heard_us,
            weight=0.33,
            overloaded=True,
            slow_start_used_us=0,
        ),
        Observation(
            server=0x1A2B3C4D,
            started_us=NOW_US - 3_600_000_000,
            by=10,
            seen_us=heard_us - 250_000,
            state=CLOSED,
            open_until_us=heard_us,
            weight=1.0,
            overloaded=False,
            slow_start_used_us=0,
        ),
        Observation(
            server=0xFFFFFFFF,
            started_us=NOW_US - 90_000_123,
            by=10,
            seen_us=heard_us - 1_000_000,
            state=OPEN,
            open_until_us=heard_us + 4_000_000,
            weight=0.05,
            overloaded=True,
            slow_start_used_us=12_000,
        ),
    ]


def test_demands_in_a_datagram_keep_their_units() -> None:
    [message] = decode(SENT["wanted-of-demands"]).messages
    assert isinstance(message, DemandGossip)
    assert decode_demands(message, tenants=6) == (1_500_000.0, 0.0, 20_000.0, 0.0, 1000.0, 0.0)


@pytest.mark.parametrize(
    "line", (BEFORE / IDS_FILE).read_text("utf-8").splitlines(), ids=lambda line: repr(line)
)
def test_a_name_has_the_same_number_as_before(line: str) -> None:
    """Sights and datagrams name a server by this number."""
    number, size, name = line.split(" ")
    assert (name, int(size)) in IDS
    assert stable_id(name, int(size)) == int(number)


# What a process leaves for the next one


def check_note(note: HandoverRecord | None, expected: HandoverRecord) -> None:
    assert note is not None
    assert note.gateway == expected.gateway
    assert note.written_us == expected.written_us
    assert note.observations == expected.observations
    assert note.latencies == expected.latencies
    assert note == expected


@pytest.mark.parametrize("age_us", [0, STALE_US])
def test_a_hand_over_file_is_read_as_it_was_meant(age_us: int) -> None:
    note = handover.read(folder=TMPDIR, gateway=GATEWAY, now_us=NOW_US + age_us)
    check_note(note, NOTE)


def test_fields_of_knowledge_that_was_handed_over() -> None:
    """In full for one sight and one latency: a field that is not found would be given its default."""
    note = handover.read(folder=TMPDIR, gateway="n0", now_us=NOW_US)
    assert note is not None and len(note.observations) == 4 and len(note.latencies) == 2
    sight, latency = note.observations[1], note.latencies[0]
    assert sight.server == 4_294_967_295
    assert sight.started_us == 1_764_633_509_999_877
    assert sight.by == 3
    assert sight.seen_us == 1_764_633_598_999_999
    assert sight.state == 1
    assert sight.open_until_us == 1_764_633_604_000_000
    assert sight.weight == 0.05
    assert sight.overloaded is True
    assert sight.slow_start_used_us == 12_345
    assert latency.class_index == 0
    assert latency.smoothed_us == 20_000.0
    assert latency.baseline_us == 15_500.25


@pytest.mark.parametrize(
    ("gateway", "now_us"), [("n1", NOW_US), (GATEWAY, NOW_US - 1), (GATEWAY, NOW_US + STALE_US + 1)]
)
def test_a_hand_over_file_of_another_gateway_or_time_is_passed_over(gateway: str, now_us: int) -> None:
    assert handover.read(folder=TMPDIR, gateway=gateway, now_us=now_us) is None


def test_a_list_that_was_handed_on_is_read_as_it_was_meant() -> None:
    file = EndpointListFile(TMPDIR)
    assert file.select_newest(discovery=DISCOVERY, configured={"index": 41}) == KNOWN_LIST
    assert file.select_newest(discovery=DISCOVERY, configured={"index": 42}) == {"index": 42}
    assert file.select_newest(discovery=("10.0.0.9", 1), configured={"index": 41}) == {"index": 41}


def test_marks_of_processes_have_the_same_names(tmp_path: Path) -> None:
    """Processes of two versions count each other by these."""
    overlap = HotRestart(str(tmp_path))
    overlap.join()
    try:
        assert files_in(tmp_path) == [f"sagetrack-{os.getpid()}.starting"]
        overlap.mark_serving()
        assert files_in(tmp_path) == [f"sagetrack-{os.getpid()}.serving"]
        with (
            open(tmp_path / "sagetrack-1.serving", "w") as one,
            open(tmp_path / "sagetrack-2.starting", "w") as two,
        ):
            fcntl.flock(one, fcntl.LOCK_EX)
            fcntl.flock(two, fcntl.LOCK_EX)
            overlap.refresh()
            assert (overlap.sibling_count, overlap.serving_sibling_count) == (2, 1)
    finally:
        overlap.release()


# The store


def test_a_store_is_read_as_it_was_meant(looked_at: Store) -> None:
    found = content(looked_at)
    for op, expected in zip(found, live(), strict=True):
        assert (op.space, op.key) == (expected.space, expected.key)
        assert op.value == expected.value
        assert op.at_ms == expected.at_ms
        assert looked_at.get(op.space, op.key) == expected.value
    assert [op.space for op in found] == ["known", "known", "other", "seconds", "seconds"]
    assert looked_at.get("known", b"gone") is None


def test_ages_of_a_store_are_read_as_they_were_meant(looked_at: Store) -> None:
    """The first record of the recorder is gone an hour after it was made, the second one a second later."""
    assert content(looked_at, now_ms=NOW_MS + SECONDS_AGE_MS - 1) == live()
    assert content(looked_at, now_ms=NOW_MS + SECONDS_AGE_MS) == live()[:3] + live()[4:]
    assert content(looked_at, now_ms=NOW_MS + SECONDS_AGE_MS + 1000) == live()[:3]


def test_heads_of_a_stores_files_are_read_as_they_were_meant() -> None:
    def numbers(pattern: str, magic: bytes) -> list[tuple[int, int]]:
        return [decode_file_header(path.read_bytes(), magic) for path in sorted(STORE.glob(pattern))]

    assert numbers("log-*", LOG_MAGIC) == [(2, 4), (2, 5), (2, 6)]
    assert numbers("base-*", CHECKPOINT_MAGIC) == [(2, 3), (2, 4)]
    assert decode_manifest((STORE / "MANIFEST").read_bytes()) == ([4, 3], 2)


def test_a_store_without_its_newest_base_is_read_from_the_older_one(store_copy: Path) -> None:
    (store_copy / "base-0000000000000004").unlink()
    with closing(Store(DiskDirectory(store_copy), OPTIONS)) as store:
        found = store.open()
        assert (found.sequence, found.batches, found.records) == (6, 3, 3)
        assert found.quarantined == ["base-0000000000000004: gone"]
        assert content(store) == live()


def test_a_store_is_written_on(store_copy: Path) -> None:
    added = Record(space=OBSERVATIONS_SPACE, key=b"zz", value=b"added", at_ms=NOW_MS + 2000)
    with closing(Store(DiskDirectory(store_copy), OPTIONS)) as store:
        store.open()
        assert store.write([[added]]) == 7
        for _ in store.compact(NOW_MS):
            pass
    with closing(Store(DiskDirectory(store_copy), OPTIONS)) as store:
        found = store.open()
        assert (found.sequence, found.batches, found.records, found.quarantined) == (7, 0, 6, [])
        assert content(store) == [*live()[:2], added, *live()[2:]]


def test_knowledge_in_a_store_is_read_as_it_was_meant(looked_at: Store) -> None:
    for gateway, expected in (("n0", NOTE), ("n1", OTHER_NOTE)):
        value = looked_at.get(OBSERVATIONS_SPACE, gateway.encode())
        assert value is not None
        check_note(decode_record(value), expected)


def test_seconds_in_a_store_are_read_as_they_were_meant(looked_at: Store) -> None:
    values = [looked_at.get(RECORDER_SPACE, seconds_key(at_ms)) for at_ms in (NOW_MS, NOW_MS + 1000)]
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
async def test_a_gateway_takes_up_the_knowledge_in_a_store(tmp_path: Path) -> None:
    folder = Path(shutil.copytree(STORE, tmp_path / "n0"))
    settings = StoreSettings(folder=str(folder.parent / "{gateway}"), recorder=False)
    instance = GatewayAssembly(parse(configuration()), Operator(store=settings))
    instance.start_persistence()
    persistence = instance.persistence
    assert persistence is not None
    try:
        await asyncio.wait_for(persistence.was_read.wait(), 30)
        check_note(persistence.stored, NOTE)
        assert persistence.stored is not None and persistence.stored.latencies == LATENCIES
    finally:
        persistence.close()
