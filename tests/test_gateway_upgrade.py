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

from cloverkeel.overlap import Overlap
from tests.sockets import configuration, on_loop, peer, reply, request, silent, until
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
        sys.executable, "-m", "cloverkeel", cwd=ROOT, env=os.environ | names, pass_fds=[descriptor],
        stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.DEVNULL,
    )  # fmt: skip


def marks(folder: Path, state: str) -> set[int]:
    names = [mark.name for mark in folder.glob(f"sagetrack-[0-9]*.{state}")]
    return {int(name.split("-")[1].split(".")[0]) for name in names}


@on_loop
async def test_a_second_process_takes_over_and_the_first_finishes_what_it_took(tmp_path: Path) -> None:
    async with peer(silent) as host:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            old = await start(tmp_path, listener, configuration(host))
            held = await connect(port)  # waits in the queue until the process is up
            held.send(request("transfer", b"held"))
            kept = await connect(port)
            assert (await kept.ask(READY)).status == 200
            await until(lambda: host.seen)
            new = await start(tmp_path, listener, configuration(host))
            await until(lambda: new.pid in marks(tmp_path, "serving"))
            old.send_signal(signal.SIGTERM)
            # The kept connection is still served, and told that this is its last answer.
            while (answer := await kept.ask(READY)).status == 200:
                pass
            assert answer.headers["connection"] == "close"
            # New connections are the new process's: the old one's way out does not shut the socket down.
            for _ in range(8):
                assert await ask(port, READY) == 200
            host.seen[0].answer(reply(200, b"done"))
            assert (await held.answer()).body == b"done"
            assert await old.wait() == 0
            assert await ask(port, READY) == 200
            assert marks(tmp_path, "*") == {new.pid}
            new.send_signal(signal.SIGTERM)
            assert await new.wait() == 0
            for client in (held, kept):
                client.close()


@pytest.mark.parametrize("value", ["x", "-1", "99", "file", "unbound"])
@on_loop
async def test_a_descriptor_that_cannot_be_used_is_one_line_and_2(tmp_path: Path, value: str) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(configuration("127.0.0.1:1")))
    with socket.socket() as unbound, file.open() as plain:
        known = {"file": plain.fileno(), "unbound": unbound.fileno()}
        number = str(known.get(value, value))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cloverkeel", cwd=ROOT, pass_fds=list(known.values()),
            env=os.environ | {"LB_CONFIG": str(file), "LB_ACCEPT_FD": number, "TMPDIR": str(tmp_path)},
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        _, errors = await process.communicate()
    assert process.returncode == 2
    assert errors.count(b"\n") == 1 and errors.startswith(b"cloverkeel: LB_ACCEPT_FD ")


def test_what_is_left_in_the_folder_says_nothing(tmp_path: Path) -> None:
    """Marks that nobody holds are cleared away, and other files are nobody's mark."""
    (tmp_path / "sagetrack-1.serving").write_text("")
    (tmp_path / "sagetrack-x.serving").write_text("")
    overlap = Overlap(str(tmp_path))
    overlap.join()
    assert (overlap.others, overlap.serving) == (0, 0)
    assert sorted(os.listdir(tmp_path)) == [f"sagetrack-{os.getpid()}.starting", "sagetrack-x.serving"]
    overlap.serve()
    assert marks(tmp_path, "serving") == {os.getpid()}
    overlap.leave()
    assert os.listdir(tmp_path) == ["sagetrack-x.serving"]


@on_loop
async def test_descriptors_are_shared_by_the_processes() -> None:
    from tests.sockets import running

    async with running(configuration("127.0.0.1:1")) as run:
        assert run.server.sockets == 1024
        run.server.overlap.others = 1
        assert run.server.sockets == 512
        await asyncio.sleep(0)  # the watch that the start has begun runs once
