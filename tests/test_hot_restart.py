"""A second process beside the first: one listening socket, one $TMPDIR, no request lost."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path

import pytest

from sagetrack.discovery.endpoint_list_json import encode_endpoint_list
from sagetrack.server.endpoint_list_file import FILE_NAME, EndpointListFile
from sagetrack.server.hot_restart import HotRestart
from tests.sockets import (
    configuration,
    endpoint,
    endpoint_list,
    http_response,
    list_response,
    no_response,
    on_event_loop,
    request,
    running_gateway,
    scripted_server,
    wait_until,
)
from tests.test_gateway_process import READY, ROOT, ask, connect


async def start(
    folder: Path, listener: socket.socket, config: dict[str, object]
) -> asyncio.subprocess.Process:
    """The program, with the listening socket under a number that the environment names."""
    file = folder / "config.json"
    port = listener.getsockname()[1]
    file.write_text(json.dumps(config | {"listen": f"127.0.0.1:{port}"}))
    descriptor = listener.fileno()
    names = {"LB_CONFIG": str(file), "LB_ACCEPT_FD": str(descriptor), "TMPDIR": str(folder)}
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sagetrack",
        cwd=ROOT,
        env=os.environ | names,
        pass_fds=[descriptor],
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )


def as_written(known: dict[str, object]) -> dict[str, object]:
    """The list as the next process reads it."""
    read: dict[str, object] = json.loads(encode_endpoint_list(known))
    return read


def marks(folder: Path, state: str) -> set[int]:
    names = [mark.name for mark in folder.glob(f"sagetrack-[0-9]*.{state}")]
    return {int(name.split("-")[1].split(".")[0]) for name in names}


@on_event_loop
async def test_a_second_process_takes_over_and_the_first_finishes_what_it_took(tmp_path: Path) -> None:
    async with scripted_server(no_response) as upstream:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            old = await start(tmp_path, listener, configuration(upstream))
            held = await connect(port)  # waits in the queue until the process is up
            held.send(request("transfer", b"held"))
            kept = await connect(port)
            assert (await kept.request(READY)).status == 200
            await wait_until(lambda: upstream.exchanges)
            new = await start(tmp_path, listener, configuration(upstream))
            await wait_until(lambda: new.pid in marks(tmp_path, "serving"))
            old.send_signal(signal.SIGTERM)
            # The kept connection is still served, and told that this is its last answer.
            while (answer := await kept.request(READY)).status == 200:
                pass
            assert answer.headers["connection"] == "close"
            # New connections are the new process's: the old one's way out does not shut the socket down.
            for _ in range(8):
                assert await ask(port, READY) == 200
            upstream.exchanges[0].respond(http_response(200, b"done"))
            assert (await held.read_response()).body == b"done"
            assert await old.wait() == 0
            assert await ask(port, READY) == 200
            assert marks(tmp_path, "*") == {new.pid}
            new.send_signal(signal.SIGTERM)
            assert await new.wait() == 0
            for client in (held, kept):
                client.close()


@pytest.mark.parametrize("value", ["x", "-1", "99", "file", "unbound"])
@on_event_loop
async def test_a_descriptor_that_cannot_be_used_is_one_line_and_2(tmp_path: Path, value: str) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(configuration("127.0.0.1:1")))
    with socket.socket() as unbound, file.open() as plain:
        known = {"file": plain.fileno(), "unbound": unbound.fileno()}
        number = str(known.get(value, value))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sagetrack",
            cwd=ROOT,
            pass_fds=list(known.values()),
            env=os.environ | {"LB_CONFIG": str(file), "LB_ACCEPT_FD": number, "TMPDIR": str(tmp_path)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
    assert process.returncode == 2
    assert errors.count(b"\n") == 1 and errors.startswith(b"sagetrack: LB_ACCEPT_FD ")


def test_what_is_left_in_the_folder_says_nothing(tmp_path: Path) -> None:
    """Marks that nobody holds are cleared away, and other files are nobody's mark."""
    (tmp_path / "sagetrack-1.serving").write_text("")
    (tmp_path / "sagetrack-x.serving").write_text("")
    overlap = HotRestart(str(tmp_path))
    overlap.join()
    assert (overlap.sibling_count, overlap.serving_sibling_count) == (0, 0)
    assert sorted(os.listdir(tmp_path)) == [f"sagetrack-{os.getpid()}.starting", "sagetrack-x.serving"]
    overlap.mark_serving()
    assert marks(tmp_path, "serving") == {os.getpid()}
    overlap.release()
    assert os.listdir(tmp_path) == ["sagetrack-x.serving"]


@on_event_loop
async def test_descriptors_are_shared_by_the_processes() -> None:
    async with running_gateway(configuration("127.0.0.1:1")) as run:
        assert run.listener.descriptors.limit == 1024
        run.listener.siblings.sibling_count = 1
        assert run.listener.descriptors.limit == 512
        await asyncio.sleep(0)  # the watch that the start has begun runs once


DISCOVERY = ("127.0.0.1", 8500)
NEWS = {"discovery": list(DISCOVERY), "known": {"index": 9, "snapshot": True, "endpoints": []}}


@pytest.mark.parametrize(
    "left",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b"\xff",
        b'{"known":{"index":9}}',
        b'{"discovery":["127.0.0.1",8500],"known":[]}',
        json.dumps(NEWS).encode()[:-5],
        json.dumps(NEWS | {"discovery": ["127.0.0.1", 8501]}).encode(),
        json.dumps(NEWS | {"known": {"index": 7}}).encode(),
        json.dumps(NEWS | {"known": {"index": "new"}}).encode(),
    ],
)
def test_a_list_that_is_stale_foreign_or_half_written_is_not_used(tmp_path: Path, left: bytes) -> None:
    (tmp_path / FILE_NAME).write_bytes(left)
    known = {"index": 7}
    assert EndpointListFile(tmp_path).select_newest(DISCOVERY, known) is known


def test_the_complete_list_is_passed_to_the_successor(tmp_path: Path) -> None:
    file = EndpointListFile(tmp_path)
    assert file.select_newest(DISCOVERY, {}) == {}
    file.write(DISCOVERY, {"index": 9, "snapshot": True, "endpoints": [{"name": "s"}]})
    assert os.listdir(tmp_path) == [FILE_NAME]
    assert file.select_newest(DISCOVERY, {"index": 8})["endpoints"] == [{"name": "s"}]
    known = {"index": 8}
    assert file.select_newest(DISCOVERY, known, lambda endpoints: False) is known  # no entry can be read
    assert EndpointListFile(None).select_newest(DISCOVERY, {"index": 8}) == {"index": 8}


@on_event_loop
async def test_entries_are_stored_as_discovery_sent_them() -> None:
    news = [
        list_response(8, endpoint("s-1", "127.0.0.1:1", status="DRAINING"), snapshot=False),
        list_response(9, endpoint("s-0", "127.0.0.1:1", status="DELETED"), snapshot=False),
    ]
    async with scripted_server(lambda exchange: exchange.respond(news.pop(0)) if news else None) as registry:
        config = configuration("127.0.0.1:1", discovery=registry.address)
        config["settings"]["membershipMode"] = "on_request"
        async with running_gateway(config) as run:
            kept: list[dict[str, object]] = []
            run.assembly.discovery.on_list_changed = lambda address, known: kept.append(as_written(known()))
            run.assembly.discovery.watch(True)
            await wait_until(lambda: len(kept) == 2)
            assert kept[0] == endpoint_list(
                8, endpoint("s-0", "127.0.0.1:1"), endpoint("s-1", "127.0.0.1:1", status="DRAINING")
            )
            assert kept[1] == endpoint_list(9, endpoint("s-1", "127.0.0.1:1", status="DRAINING"))


@on_event_loop
async def test_the_next_process_begins_with_what_the_last_one_heard(tmp_path: Path) -> None:
    """The platform's list still names a host that has gone; the processes' own one has its successor."""
    async with scripted_server() as gone, scripted_server() as successor:
        config = configuration(gone)
        EndpointListFile(tmp_path).write(
            ("127.0.0.1", 9), endpoint_list(8, endpoint("s-5", successor.address))
        )
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            process = await start(tmp_path, listener, config)
            assert await ask(port, request("transfer")) == 200
            assert len(successor.exchanges) == 1 and not gone.exchanges
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0


def test_cold_servers_get_from_two_processes_what_one_may_send() -> None:
    from sagetrack.policy.events import ProcessCountChanged
    from tests.helpers import Driver

    driver = Driver()
    whole = driver.balancer.slow_start.window_budget_us()
    driver.handle(ProcessCountChanged(2))
    assert driver.balancer.slow_start.window_budget_us() == whole / 2
    driver.handle(ProcessCountChanged(1))
    assert driver.balancer.slow_start.window_budget_us() == whole


def test_a_folder_that_cannot_be_used_is_said_and_does_no_harm(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    overlap = HotRestart(str(tmp_path / "missing"))
    overlap.join()
    overlap.mark_serving()
    overlap.refresh()
    overlap.endpoint_list.write(DISCOVERY, {"index": 1})
    overlap.release()
    assert (overlap.sibling_count, overlap.serving_sibling_count) == (0, 0)
    assert capsys.readouterr().err.count("\n") == 1
