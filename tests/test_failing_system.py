"""System failures at run time: unwritable log, lost hot restart marker, accept errors, few descriptors."""

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
from tests.test_gateway_process import READY, ROOT, connect, fetch_status, free_port
from tests.test_hot_restart import marker_pids, start


@asynccontextmanager
async def recovering_discovery(upstream: ScriptedServer, resets: int) -> AsyncIterator[ScriptedServer]:
    """A discovery service that resets its first calls and then reports the server as draining."""
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
async def test_an_unwritable_log_has_no_other_effect() -> None:
    """Standard error is on a full disk; failed discovery calls are logged and still repeated."""
    full = os.open("/dev/full", os.O_WRONLY)
    kept = os.dup(sys.__stderr__.fileno())  # type: ignore[union-attr]
    async with scripted_server() as upstream, recovering_discovery(upstream, resets=2) as discovery:
        os.dup2(full, 2)
        stream, sys.stderr = sys.stderr, open(2, "w", closefd=False)  # noqa: SIM115
        try:
            async with running_gateway(configuration(upstream, discovery=discovery.address)) as run:
                hosts = run.assembly.pools.servers
                await wait_until(lambda: hosts[server_id(0)].withdrawn_since_us is not None)
        finally:
            sys.stderr = stream
            os.dup2(kept, 2)
            os.close(full)
            os.close(kept)


@on_event_loop
async def test_a_process_stopped_while_its_predecessor_still_drains_accepts_new_clients(
    tmp_path: Path,
) -> None:
    """A restart during an upgrade: neither draining process may rely on the other to accept clients."""
    async with scripted_server(no_response) as upstream:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            old = await start(tmp_path, listener, configuration(upstream))
            pending = await connect(port)
            pending.send(request("transfer", b"held"))
            await wait_until(lambda: upstream.exchanges)
            new = await start(tmp_path, listener, configuration(upstream))
            await wait_until(lambda: new.pid in marker_pids(tmp_path, "serving"))
            old.send_signal(signal.SIGTERM)
            await wait_until(lambda: old.pid not in marker_pids(tmp_path, "serving"))
            new.send_signal(signal.SIGTERM)
            # Once the process is no longer marked as serving, the signal has been handled.
            await wait_until(lambda: new.pid not in marker_pids(tmp_path, "serving"))
            async with asyncio.timeout(3.0):
                for _ in range(4):
                    assert await fetch_status(port, READY) == 503
            upstream.exchanges[0].respond(http_response(200, b"done"))
            assert (await pending.read_response()).body == b"done"
            assert await old.wait() == 0 and await new.wait() == 0
            pending.close()


@on_event_loop
async def test_a_process_whose_marker_was_deleted_still_serves(tmp_path: Path) -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        hot_restart = HotRestart(str(tmp_path))
        hot_restart.join()
        for marker in tmp_path.iterdir():
            marker.unlink()
        hot_restart.mark_serving()  # as the process does once it accepts clients
        hot_restart.refresh()
        hot_restart.release()
        run.listener.siblings = hot_restart
        assert (await run.request(request())).status == 200


class FailingListener:
    """A listening socket on which every second accept fails, with a different error each time."""

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
async def test_accept_errors_do_not_affect_clients() -> None:
    """Clients waiting to be accepted are unaffected, as are accepted ones that have sent nothing yet."""
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        assert run.listener.acceptor.listener is not None
        run.listener.acceptor.listener = FailingListener(run.listener.acceptor.listener)  # type: ignore[assignment]
        kept = await run.connect()
        assert (await kept.request(request())).status == 200

        async def send_request(number: int) -> int:
            await asyncio.sleep(number * 0.005)
            client = await run.connect()
            await asyncio.sleep(0.05)  # meanwhile, accepting other clients succeeds or fails
            status = (await client.request(request())).status
            client.close()
            return status

        statuses = await asyncio.gather(*(send_request(number) for number in range(40)))
        assert statuses == [200] * 40
        assert (await kept.request(request())).status == 200
        kept.close()


@on_event_loop
async def test_a_process_with_fewer_descriptors_than_configured_serves(tmp_path: Path) -> None:
    """The limit of the shell is below the configured one, and idle clients would exhaust it."""
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
            while await fetch_status(port, READY) != 200:
                assert process.returncode is None
                await asyncio.sleep(0.02)
            idle = [await connect(port) for _ in range(100)]
            assert [await fetch_status(port, request()) for _ in range(10)] == [200] * 10
            for client in idle:
                client.close()
        finally:
            process.kill()
            await process.wait()
