"""What a failing machine does to one process: its log, its folder, its descriptors, its configuration."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from sagetrack.lab.soak.shim import ACCEPT_ERRORS
from sagetrack.server.hot_restart import HotRestart
from tests.sockets import (
    Exchange,
    ScriptedServer,
    configuration,
    endpoint,
    http_response,
    list_response,
    no_response,
    on_event_loop,
    request,
    running_gateway,
    scripted_server,
    server_id,
    wait_until,
)
from tests.test_gateway_process import READY, ROOT, ask, connect, free_port
from tests.test_hot_restart import marks, start


@asynccontextmanager
async def returning_discovery(upstream: ScriptedServer, resets: int) -> AsyncIterator[ScriptedServer]:
    """It resets its first calls, and then says that the server drains."""
    calls = 0

    async def script(exchange: Exchange) -> None:
        nonlocal calls
        calls += 1
        if calls <= resets:
            exchange.reset()
        elif "from=" in exchange.message.start_line:
            await asyncio.sleep(0.2)
            exchange.respond(list_response(9, snapshot=False))
        else:
            exchange.respond(list_response(9, endpoint("s-0", upstream.address, status="DRAINING")))

    async with scripted_server(script) as discovery:
        yield discovery


@on_event_loop
async def test_a_log_that_cannot_be_written_costs_nothing_else() -> None:
    """A full disk under standard error: discovery fails, which is told in the log, and is asked again."""
    full = os.open("/dev/full", os.O_WRONLY)
    kept = os.dup(sys.__stderr__.fileno())  # type: ignore[union-attr]
    async with scripted_server() as upstream, returning_discovery(upstream, resets=2) as discovery:
        os.dup2(full, 2)
        stream, sys.stderr = sys.stderr, open(2, "w", closefd=False)  # noqa: SIM115
        try:
            async with running_gateway(configuration(upstream, discovery=discovery.address)) as run:
                hosts = run.assembly.pools.servers
                await wait_until(lambda: hosts[server_id(0)].drained_us is not None)
        finally:
            sys.stderr = stream
            os.dup2(kept, 2)
            os.close(full)
            os.close(kept)


@on_event_loop
async def test_a_process_told_to_end_while_the_one_before_still_leaves_takes_what_comes(
    tmp_path: Path,
) -> None:
    """An upgrade and a restart cross: neither may count on the other for new clients."""
    async with scripted_server(no_response) as upstream:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            old = await start(tmp_path, listener, configuration(upstream))
            held = await connect(port)
            held.send(request("transfer", b"held"))
            await wait_until(lambda: upstream.exchanges)
            new = await start(tmp_path, listener, configuration(upstream))
            await wait_until(lambda: new.pid in marks(tmp_path, "serving"))
            old.send_signal(signal.SIGTERM)
            await wait_until(lambda: old.pid not in marks(tmp_path, "serving"))
            new.send_signal(signal.SIGTERM)
            await wait_until(lambda: new.pid not in marks(tmp_path, "serving"))  # the signal has come
            async with asyncio.timeout(3.0):
                for _ in range(4):
                    assert await ask(port, READY) == 503
            upstream.exchanges[0].respond(http_response(200, b"done"))
            assert (await held.read_response()).body == b"done"
            assert await old.wait() == 0 and await new.wait() == 0
            held.close()


@on_event_loop
async def test_a_mark_that_is_lost_in_the_folder_does_not_keep_a_process_from_serving(tmp_path: Path) -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        overlap = HotRestart(str(tmp_path))
        overlap.join()
        for mark in tmp_path.iterdir():
            mark.unlink()
        overlap.mark_serving()  # as the process does once it takes clients
        overlap.refresh()
        overlap.release()
        run.listener.siblings = overlap
        assert (await run.request(request())).status == 200


class FailingListener:
    """A listening socket on which every second call fails, each time with another error."""

    def __init__(self, listener: socket.socket) -> None:
        self.listener, self.calls = listener, 0

    def accept(self) -> tuple[socket.socket, object]:
        self.calls += 1
        if self.calls % 2:
            number = ACCEPT_ERRORS[self.calls // 2 % len(ACCEPT_ERRORS)]
            raise OSError(number, os.strerror(number))
        return self.listener.accept()

    def __getattr__(self, name: str) -> object:
        return getattr(self.listener, name)


@on_event_loop
async def test_an_accept_that_fails_costs_no_client_its_answer() -> None:
    """Neither who waits to be accepted nor who was accepted a moment ago and has not spoken yet."""
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        assert run.listener.acceptor.listener is not None
        run.listener.acceptor.listener = FailingListener(run.listener.acceptor.listener)  # type: ignore[assignment]
        kept = await run.connect()
        assert (await kept.request(request())).status == 200

        async def one(number: int) -> int:
            await asyncio.sleep(number * 0.005)
            client = await run.connect()
            await asyncio.sleep(0.05)  # others are accepted meanwhile, or fail to be
            status = (await client.request(request())).status
            client.close()
            return status

        statuses = await asyncio.gather(*(one(number) for number in range(40)))
        assert statuses == [200] * 40
        assert (await kept.request(request())).status == 200
        kept.close()


@on_event_loop
async def test_a_process_that_may_hold_fewer_descriptors_than_it_is_told_serves(tmp_path: Path) -> None:
    """The shell's limit is lower than the configuration's, and idle clients would use it up."""
    port = free_port()
    async with scripted_server() as upstream:
        file = tmp_path / "config.json"
        file.write_text(json.dumps(configuration(upstream) | {"listen": f"127.0.0.1:{port}"}))
        process = await asyncio.create_subprocess_shell(
            f"ulimit -n 64; exec {sys.executable} -m sagetrack",
            cwd=ROOT,
            env=os.environ | {"LB_CONFIG": str(file)},
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            while await ask(port, READY) != 200:
                assert process.returncode is None
                await asyncio.sleep(0.02)
            idle = [await connect(port) for _ in range(100)]
            assert [await ask(port, request()) for _ in range(10)] == [200] * 10
            for client in idle:
                client.close()
        finally:
            process.kill()
            await process.wait()
