"""Request ids that come again: rejected while an earlier request with the id may have run."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

import pytest

from sagetrack.core import recent_requests as recent_module
from sagetrack.core.recent_requests import (
    FORGOTTEN_US,
    KEY_BYTES,
    MAX_ENTRIES,
    RecentRequests,
    retention_us,
)
from sagetrack.policy.settings import Effect, RequestClass
from sagetrack.server.recent_request_files import MAX_FILE_BYTES, RECORD, RecentRequestFiles
from tests.sockets import (
    configuration,
    http_response,
    no_response,
    on_event_loop,
    request,
    respond_with,
    running_gateway,
    scripted_server,
    wait_until,
)

UNSAFE = RequestClass(1_000_000, 3_000_000, effect=Effect.UNSAFE)
KEYED = RequestClass(1_000_000, 3_000_000, effect=Effect.KEYED, window_us=5_000_000)
SAFE = RequestClass(1_000_000, 3_000_000, effect=Effect.SAFE)


# Guards against running a request twice whose id comes again after its client has left, picture (c).
@pytest.mark.parametrize("class_name", ["transfer", "hold"])
@on_event_loop
async def test_an_id_that_comes_again_after_its_client_has_left_does_not_run_twice(class_name: str) -> None:
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        client = await run.connect()
        again = request(class_name, x_call_id="again")
        client.send(again)
        await wait_until(lambda: upstream.exchanges)
        client.close()
        await wait_until(lambda: not run.gateway.in_flight)
        assert (await run.request(again)).status == 400
        assert [e.message.headers["x-call-id"] for e in upstream.exchanges].count("again") == 1


@on_event_loop
async def test_an_id_of_a_served_request_does_not_run_twice() -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        again = request("transfer", x_call_id="again")
        assert (await run.request(again)).status == 200
        assert (await run.request(again)).status == 400 and len(upstream.exchanges) == 1


@on_event_loop
async def test_an_id_of_a_request_that_never_ran_may_come_again() -> None:
    rejection = http_response(503, b"", "X-Rejected: 1")
    async with (
        scripted_server(respond_with(rejection)) as upstream,
        running_gateway(configuration(upstream)) as run,
    ):
        again = request("transfer", x_call_id="again")
        assert (await run.request(again)).status == 503
        upstream.script = respond_with(http_response())
        await asyncio.sleep(1.1)  # the load balancer sheds for a moment after the rejections
        status = (await run.request(again)).status
        assert status in (200, 503)  # not 400


@on_event_loop
async def test_an_id_does_not_run_again_at_the_other_process_of_an_upgrade(tmp_path: Path) -> None:
    async with (
        scripted_server(no_response) as upstream,
        running_gateway(configuration(upstream)) as old,
        running_gateway(configuration(upstream)) as new,
    ):
        for run, pid in ((old, 1), (new, 2)):
            recent = run.gateway.recent_requests
            recent.shared = files = RecentRequestFiles(str(tmp_path), recent.live_entries, lambda: True)
            files._own_name = f"sagetrack-recent-{pid}.bin"
        client = await old.connect()
        again = request("transfer", x_call_id="again")
        client.send(again)
        await wait_until(lambda: upstream.exchanges)
        client.close()
        assert (await new.request(again)).status == 400 and len(upstream.exchanges) == 1


def test_an_id_is_remembered_until_its_timeout_and_window_are_over(monkeypatch: pytest.MonkeyPatch) -> None:
    now = [1_000_000]
    monkeypatch.setattr(recent_module, "system_monotonic_us", lambda: now[0])
    recent = RecentRequests()
    recent.remember("a", KEYED)
    recent.remember("s", SAFE)
    assert recent.may_run("s", SAFE) and recent.may_run("b", KEYED)
    now[0] += retention_us(KEYED) - 1
    assert not recent.may_run("a", KEYED)
    now[0] += 1
    assert recent.may_run("a", KEYED)
    recent.remember("c", UNSAFE)
    assert len(recent.live_entries()) == 1  # expired entries are dropped


def test_entries_are_bounded() -> None:
    recent = RecentRequests()
    for number in range(MAX_ENTRIES + 10):
        recent.remember(str(number), UNSAFE)
    assert len(recent.live_entries()) == MAX_ENTRIES
    assert recent.may_run("0", UNSAFE) and not recent.may_run(str(MAX_ENTRIES), UNSAFE)


def exchange(folder: Path, pid: int, monkeypatch: pytest.MonkeyPatch) -> RecentRequests:
    monkeypatch.setattr(os, "getpid", lambda: pid)
    recent = RecentRequests()
    recent.shared = RecentRequestFiles(str(folder), recent.live_entries, lambda: True)
    return recent


def test_processes_learn_each_others_entries(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    old = exchange(tmp_path, 1, monkeypatch)
    old.remember("a", UNSAFE)
    new = exchange(tmp_path, 2, monkeypatch)
    assert not new.may_run("a", UNSAFE)
    old.remember("b", UNSAFE)
    new.remember("c", UNSAFE)
    assert not new.may_run("b", UNSAFE) and not old.may_run("c", UNSAFE)
    old.forget("b")
    assert new.may_run("b", UNSAFE)


# Guards against a successor that takes its predecessor's file for its own, as both have the same process ID.
def test_a_successor_with_the_process_id_of_its_predecessor_learns_its_entries(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    predecessor = exchange(tmp_path, 1, monkeypatch)
    predecessor.remember("before", UNSAFE)
    successor = exchange(tmp_path, 1, monkeypatch)
    assert not successor.may_run("before", UNSAFE)
    successor.remember("after", UNSAFE)
    sibling = exchange(tmp_path, 2, monkeypatch)
    assert not sibling.may_run("before", UNSAFE) and not sibling.may_run("after", UNSAFE)


def test_the_file_of_a_process_in_another_namespace_is_kept(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    siblings = 1
    first = RecentRequestFiles(str(tmp_path), list, lambda: siblings > 0)
    monkeypatch.setattr(first, "_own_name", "sagetrack-recent-4194305.bin")  # no process here has this ID
    first.publish(b"k" * KEY_BYTES, FORGOTTEN_US)
    second = RecentRequestFiles(str(tmp_path), list, lambda: siblings > 0)
    second.poll()
    second.remove_expired()
    assert (tmp_path / first._own_name).exists()
    siblings = 0
    second.remove_expired()
    assert not (tmp_path / first._own_name).exists()


def test_a_long_file_is_written_anew_and_still_read(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    old, new = exchange(tmp_path, 1, monkeypatch), exchange(tmp_path, 2, monkeypatch)
    count = MAX_FILE_BYTES // RECORD.size
    old.remember("first", UNSAFE)
    for _ in range(count + 5):
        old.remember("again", UNSAFE)
    assert (tmp_path / "sagetrack-recent-1.bin").stat().st_size < MAX_FILE_BYTES // 2
    old.remember("last", UNSAFE)
    assert not any(new.may_run(id_, UNSAFE) for id_ in ("first", "again", "last"))


@pytest.mark.parametrize("written", [0, 5, None])
def test_a_failing_write_leaves_the_file_readable(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, written: int | None
) -> None:
    old, new = exchange(tmp_path, 1, monkeypatch), exchange(tmp_path, 2, monkeypatch)
    old.remember("a", UNSAFE)
    real_write = os.write

    def fail(descriptor: int, data: bytes) -> int:
        if written is None:
            raise OSError(28, "No space left on device")
        return real_write(descriptor, data[:written])

    monkeypatch.setattr(os, "write", fail)
    old.remember("b", UNSAFE)
    monkeypatch.setattr(os, "write", real_write)
    old.remember("c", UNSAFE)
    assert not old.may_run("b", UNSAFE)
    assert not new.may_run("a", UNSAFE) and not new.may_run("c", UNSAFE)
