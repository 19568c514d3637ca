"""SIGHUP with the real program: discovery moves, and nothing else is disturbed."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path
from typing import Any

import pytest

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
    scripted_server,
    wait_until,
)
from tests.test_gateway_process import ask, connect, program


def replace(folder: Path, **changes: Any) -> None:
    """As the platform does it: the new file takes the old one's place at once."""
    file, new = folder / "config.json", folder / "new.json"
    new.write_text(json.dumps(json.loads(file.read_text()) | changes))
    os.replace(new, file)


def lists_once(*endpoints: dict[str, object]) -> Any:
    """Answer the call for the whole list; a watch hears nothing."""

    def script(exchange: Exchange) -> None:
        if "from=" not in exchange.message.start_line:
            exchange.respond(list_response(3, *endpoints))

    return script


def asked(registry: ScriptedServer) -> list[str]:
    return [exchange.message.start_line.split(" ")[1] for exchange in registry.exchanges]


@on_event_loop
async def test_discovery_moves_at_once_while_requests_go_on(tmp_path: Path) -> None:
    async with (
        scripted_server(no_response) as old_host,
        scripted_server() as new_host,
        scripted_server(no_response) as old,
        scripted_server(lists_once(endpoint("s-9", new_host.address))) as new,
        program(tmp_path, configuration(old_host, discovery=old.address)) as (process, port),
    ):
        await wait_until(lambda: old.exchanges)
        client = await connect(port)
        client.send(request("transfer", b"held"))
        await wait_until(lambda: old_host.exchanges)
        replace(tmp_path, discovery=new.address)
        process.send_signal(signal.SIGHUP)
        await wait_until(lambda: len(new.exchanges) == 2)
        # The whole list, then a watch from its version, on one connection; the old one is let go.
        assert asked(new) == ["/registry/instances", "/registry/instances?from=3&hold_ms=250"]
        await wait_until(lambda: old.closed_connections == old.opened_connections)
        old_host.exchanges[0].respond(http_response(200, b"held"))
        assert (await client.read_response()).body == b"held"
        assert (await client.request(request("transfer"))).status == 200
        assert len(new_host.exchanges) == 1 and len(old_host.exchanges) == 1
        # And back, with a second signal while the first is looked at.
        replace(tmp_path, discovery=old.address)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        await wait_until(lambda: len(old.exchanges) == 2)
        assert asked(old)[-1] == "/registry/instances"
        client.close()


@on_event_loop
async def test_a_call_under_way_is_called_off_and_no_host_is_dropped(tmp_path: Path) -> None:
    """SIGHUP comes while a call is under way; it is called off, and calls at the new address fail."""
    async with (
        scripted_server() as upstream,
        scripted_server(no_response) as old,
        scripted_server(lambda exchange: exchange.reset()) as new,
        program(tmp_path, configuration(upstream, discovery=old.address)) as (process, port),
    ):
        await wait_until(lambda: old.exchanges)
        replace(tmp_path, discovery=new.address)
        process.send_signal(signal.SIGHUP)
        await wait_until(lambda: len(new.exchanges) >= 2)  # a failed call is made again
        await wait_until(lambda: old.closed_connections)
        assert await ask(port, request("transfer")) == 200  # the list that was known stands
        new.script = no_response


@pytest.mark.parametrize("text", ["", "{}", '{"discovery":"127.0.0.1:1"}', None])
@on_event_loop
async def test_a_file_that_cannot_be_used_changes_nothing(tmp_path: Path, text: str | None) -> None:
    """No watch is overdue here: with so long a grace one may be silent for longer than the test takes."""
    async with scripted_server() as upstream, scripted_server(no_response) as registry:
        registry.script = lists_once(endpoint("s-0", upstream.address))
        config = configuration(upstream, discovery=registry.address)
        config["settings"]["contract"]["stopSendingWithinUs"] = 200_000_000
        async with program(tmp_path, config) as (process, port):
            await wait_until(lambda: len(registry.exchanges) == 2)
            if text is None:
                os.remove(tmp_path / "config.json")
            else:
                (tmp_path / "config.json").write_text(text)
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            line = await process.stderr.readline()
            assert b"configuration reload failed, keeping the previous one: " in line
            assert await ask(port, request("transfer")) == 200
            assert registry.closed_connections == 0
            process.send_signal(signal.SIGTERM)
            _, errors = await process.communicate()
            assert process.returncode == 0 and errors.count(b"\n") == 1  # the line of the end


@on_event_loop
async def test_it_is_taken_on_the_way_out_and_before_the_loop_runs(tmp_path: Path) -> None:
    async with (
        scripted_server(no_response) as upstream,
        scripted_server(no_response) as old,
        scripted_server(no_response) as new,
        program(tmp_path, configuration(upstream, discovery=old.address)) as (process, port),
    ):
        client = await connect(port)
        client.send(request("transfer"))
        await wait_until(lambda: upstream.exchanges)
        process.send_signal(signal.SIGTERM)
        replace(tmp_path, discovery=new.address)
        process.send_signal(signal.SIGHUP)
        await wait_until(lambda: new.exchanges)
        upstream.exchanges[0].respond(http_response(200, b"x"))
        assert (await client.read_response()).body == b"x"
        assert await process.wait() == 0
        client.close()


@on_event_loop
async def test_a_signal_while_the_file_is_first_read_is_kept(tmp_path: Path) -> None:
    from tests.test_gateway_process import start

    pipe = tmp_path / "config.json"
    os.mkfifo(pipe)  # the program waits here for its configuration
    async with (
        scripted_server() as upstream,
        scripted_server(no_response) as old,
        scripted_server(no_response) as new,
    ):
        process = await start({"LB_CONFIG": str(pipe)})
        loop = asyncio.get_running_loop()
        end = await loop.run_in_executor(None, os.open, pipe, os.O_WRONLY)
        process.send_signal(signal.SIGHUP)
        config = configuration(upstream, discovery=old.address)
        replaced = tmp_path / "new.json"
        replaced.write_text(json.dumps(config | {"discovery": new.address}))
        os.replace(replaced, pipe)
        os.write(end, json.dumps(config).encode())
        os.close(end)
        await wait_until(lambda: new.exchanges)
        process.kill()
        await process.wait()


@on_event_loop
async def test_a_configuration_that_cannot_be_read_for_a_moment_is_read_again(tmp_path: Path) -> None:
    """Half written as the signal comes, or no descriptor to open it with: there is no second signal."""
    async with (
        scripted_server() as upstream,
        scripted_server(no_response) as old,
        scripted_server(lists_once(endpoint("s-9", upstream.address))) as new,
        program(tmp_path, configuration(upstream, discovery=old.address)) as (process, _),
    ):
        await wait_until(lambda: old.exchanges)
        file = tmp_path / "config.json"
        whole = json.dumps(json.loads(file.read_text()) | {"discovery": new.address})
        file.write_text(whole[: len(whole) // 2])
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        file.write_text(whole)
        async with asyncio.timeout(4.0):  # what it has to tell counts then
            await wait_until(lambda: new.exchanges)
