"""Hot restart: two processes share a listening socket and $TMPDIR, and no request is lost."""

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
from tests.test_gateway_process import READY, ROOT, connect, fetch_status


async def start(
    folder: Path, listener: socket.socket, config: dict[str, object]
) -> asyncio.subprocess.Process:
    """Start a gateway process that inherits the listening socket through LB_ACCEPT_FD."""
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


def decode_list(known: dict[str, object]) -> dict[str, object]:
    """Return the list as the successor process reads it."""
    read: dict[str, object] = json.loads(encode_endpoint_list(known))
    return read


def marker_pids(folder: Path, state: str) -> set[int]:
    names = [marker.name for marker in folder.glob(f"sagetrack-[0-9]*.{state}")]
    return {int(name.split("-")[1].split(".")[0]) for name in names}


@on_event_loop
async def test_a_second_process_takes_over_and_the_first_finishes_its_requests(tmp_path: Path) -> None:
    async with scripted_server(no_response) as upstream:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            old = await start(tmp_path, listener, configuration(upstream))
            pending = await connect(port)  # waits in the accept queue until the process has started
            pending.send(request("transfer", b"held"))
            persistent = await connect(port)
            assert (await persistent.request(READY)).status == 200
            await wait_until(lambda: upstream.exchanges)
            new = await start(tmp_path, listener, configuration(upstream))
            await wait_until(lambda: new.pid in marker_pids(tmp_path, "serving"))
            old.send_signal(signal.SIGTERM)
            # The persistent connection is served until a response announces its close.
            while (response := await persistent.request(READY)).status == 200:
                pass
            assert response.headers["connection"] == "close"
            # New connections go to the new process: the old one closes the socket without a shutdown.
            for _ in range(8):
                assert await fetch_status(port, READY) == 200
            upstream.exchanges[0].respond(http_response(200, b"done"))
            assert (await pending.read_response()).body == b"done"
            assert await old.wait() == 0
            assert await fetch_status(port, READY) == 200
            assert marker_pids(tmp_path, "*") == {new.pid}
            new.send_signal(signal.SIGTERM)
            assert await new.wait() == 0
            for client in (pending, persistent):
                client.close()


@pytest.mark.parametrize("value", ["x", "-1", "99", "file", "unbound"])
@on_event_loop
async def test_an_unusable_descriptor_causes_one_error_line_and_exit_status_2(
    tmp_path: Path, value: str
) -> None:
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


def test_stale_markers_and_other_files_do_not_count_as_siblings(tmp_path: Path) -> None:
    """Markers without a lock are removed, and other files are ignored."""
    (tmp_path / "sagetrack-1.serving").write_text("")
    (tmp_path / "sagetrack-x.serving").write_text("")
    hot_restart = HotRestart(str(tmp_path))
    hot_restart.join()
    assert (hot_restart.sibling_count, hot_restart.serving_sibling_count) == (0, 0)
    assert sorted(os.listdir(tmp_path)) == [f"sagetrack-{os.getpid()}.starting", "sagetrack-x.serving"]
    hot_restart.mark_serving()
    assert marker_pids(tmp_path, "serving") == {os.getpid()}
    hot_restart.release()
    assert os.listdir(tmp_path) == ["sagetrack-x.serving"]


@on_event_loop
async def test_sibling_processes_share_the_descriptor_limit() -> None:
    async with running_gateway(configuration("127.0.0.1:1")) as run:
        assert run.listener.descriptors.limit == 1024
        run.listener.siblings.sibling_count = 1
        assert run.listener.descriptors.limit == 512
        await asyncio.sleep(0)  # lets the watch task begin before it is cancelled


DISCOVERY = ("127.0.0.1", 8500)
NEWER_LIST = {"discovery": list(DISCOVERY), "known": {"index": 9, "snapshot": True, "endpoints": []}}


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b"\xff",
        b'{"known":{"index":9}}',
        b'{"discovery":["127.0.0.1",8500],"known":[]}',
        json.dumps(NEWER_LIST).encode()[:-5],
        json.dumps(NEWER_LIST | {"discovery": ["127.0.0.1", 8501]}).encode(),
        json.dumps(NEWER_LIST | {"known": {"index": 7}}).encode(),
        json.dumps(NEWER_LIST | {"known": {"index": "new"}}).encode(),
    ],
)
def test_a_list_that_is_stale_incomplete_or_from_another_service_is_ignored(
    tmp_path: Path, content: bytes
) -> None:
    (tmp_path / FILE_NAME).write_bytes(content)
    known = {"index": 7}
    assert EndpointListFile(tmp_path).select_newest(DISCOVERY, known) is known


def test_the_complete_list_is_passed_to_the_successor(tmp_path: Path) -> None:
    file = EndpointListFile(tmp_path)
    assert file.select_newest(DISCOVERY, {}) == {}
    file.write(DISCOVERY, {"index": 9, "snapshot": True, "endpoints": [{"name": "s"}]})
    assert os.listdir(tmp_path) == [FILE_NAME]
    assert file.select_newest(DISCOVERY, {"index": 8})["endpoints"] == [{"name": "s"}]
    known = {"index": 8}
    assert file.select_newest(DISCOVERY, known, lambda endpoints: False) is known  # no entry can be parsed
    assert EndpointListFile(None).select_newest(DISCOVERY, {"index": 8}) == {"index": 8}


@on_event_loop
async def test_entries_are_stored_as_discovery_sent_them() -> None:
    responses = [
        list_response(8, endpoint("s-1", "127.0.0.1:1", status="DRAINING"), snapshot=False),
        list_response(9, endpoint("s-0", "127.0.0.1:1", status="DELETED"), snapshot=False),
    ]
    async with scripted_server(
        lambda exchange: exchange.respond(responses.pop(0)) if responses else None
    ) as registry:
        config = configuration("127.0.0.1:1", discovery=registry.address)
        config["settings"]["membershipMode"] = "on_request"
        async with running_gateway(config) as run:
            saved: list[dict[str, object]] = []
            run.assembly.discovery.on_list_changed = lambda address, get_fields: saved.append(
                decode_list(get_fields())
            )
            run.assembly.discovery.watch(True)
            await wait_until(lambda: len(saved) == 2)
            assert saved[0] == endpoint_list(
                8, endpoint("s-0", "127.0.0.1:1"), endpoint("s-1", "127.0.0.1:1", status="DRAINING")
            )
            assert saved[1] == endpoint_list(9, endpoint("s-1", "127.0.0.1:1", status="DRAINING"))


@on_event_loop
async def test_the_next_process_starts_with_the_list_of_the_previous_one(tmp_path: Path) -> None:
    """The configured list has a withdrawn server; the list of the previous process has its replacement."""
    async with scripted_server() as withdrawn, scripted_server() as successor:
        config = configuration(withdrawn)
        EndpointListFile(tmp_path).write(
            ("127.0.0.1", 9), endpoint_list(8, endpoint("s-5", successor.address))
        )
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            process = await start(tmp_path, listener, config)
            assert await fetch_status(port, request("transfer")) == 200
            assert len(successor.exchanges) == 1 and not withdrawn.exchanges
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0


def test_two_processes_share_the_slow_start_budget_of_one() -> None:
    from sagetrack.policy.events import ProcessCountChanged
    from tests.helpers import Driver

    driver = Driver()
    full_budget_us = driver.balancer.slow_start.window_budget_us()
    driver.handle(ProcessCountChanged(2))
    assert driver.balancer.slow_start.window_budget_us() == full_budget_us / 2
    driver.handle(ProcessCountChanged(1))
    assert driver.balancer.slow_start.window_budget_us() == full_budget_us


def test_an_unusable_folder_is_logged_and_has_no_other_effect(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    hot_restart = HotRestart(str(tmp_path / "missing"))
    hot_restart.join()
    hot_restart.mark_serving()
    hot_restart.refresh()
    hot_restart.endpoint_list.write(DISCOVERY, {"index": 1})
    hot_restart.release()
    assert (hot_restart.sibling_count, hot_restart.serving_sibling_count) == (0, 0)
    assert capsys.readouterr().err.count("\n") == 1
