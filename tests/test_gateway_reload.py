"""Reload on SIGHUP in a gateway process: the discovery address changes without affecting requests."""

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
from tests.test_gateway_process import connect, fetch_status, gateway_process


def replace_configuration(folder: Path, **changes: Any) -> None:
    """Replace the configuration file atomically, as the platform does."""
    file, new = folder / "config.json", folder / "new.json"
    new.write_text(json.dumps(json.loads(file.read_text()) | changes))
    os.replace(new, file)


def complete_list_only(*endpoints: dict[str, object]) -> Any:
    """Respond to calls for the complete list, but not to a watch."""

    def script(exchange: Exchange) -> None:
        if "from=" not in exchange.message.start_line:
            exchange.respond(list_response(3, *endpoints))

    return script


def request_targets(registry: ScriptedServer) -> list[str]:
    return [exchange.message.start_line.split(" ")[1] for exchange in registry.exchanges]


@on_event_loop
async def test_a_new_discovery_address_is_used_immediately_while_requests_continue(tmp_path: Path) -> None:
    async with (
        scripted_server(no_response) as old_host,
        scripted_server() as new_host,
        scripted_server(no_response) as old,
        scripted_server(complete_list_only(endpoint("s-9", new_host.address))) as new,
        gateway_process(tmp_path, configuration(old_host, discovery=old.address)) as (process, port),
    ):
        await wait_until(lambda: old.exchanges)
        client = await connect(port)
        client.send(request("transfer", b"held"))
        await wait_until(lambda: old_host.exchanges)
        replace_configuration(tmp_path, discovery=new.address)
        process.send_signal(signal.SIGHUP)
        await wait_until(lambda: len(new.exchanges) == 2)
        # The complete list, then a watch from its version, on one connection; the old connection is closed.
        assert request_targets(new) == ["/registry/instances", "/registry/instances?from=3&hold_ms=250"]
        await wait_until(lambda: old.closed_connections == old.opened_connections)
        old_host.exchanges[0].respond(http_response(200, b"held"))
        assert (await client.read_response()).body == b"held"
        assert (await client.request(request("transfer"))).status == 200
        assert len(new_host.exchanges) == 1 and len(old_host.exchanges) == 1
        # The address changes back, with a second signal while the first is being handled.
        replace_configuration(tmp_path, discovery=old.address)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        await wait_until(lambda: len(old.exchanges) == 2)
        assert request_targets(old)[-1] == "/registry/instances"
        client.close()


@on_event_loop
async def test_a_running_call_is_cancelled_and_no_server_is_removed(tmp_path: Path) -> None:
    """SIGHUP arrives during a call, which is cancelled; calls to the new address fail."""
    async with (
        scripted_server() as upstream,
        scripted_server(no_response) as old,
        scripted_server(lambda exchange: exchange.reset()) as new,
        gateway_process(tmp_path, configuration(upstream, discovery=old.address)) as (process, port),
    ):
        await wait_until(lambda: old.exchanges)
        replace_configuration(tmp_path, discovery=new.address)
        process.send_signal(signal.SIGHUP)
        await wait_until(lambda: len(new.exchanges) >= 2)  # a failed call is repeated
        await wait_until(lambda: old.closed_connections)
        assert await fetch_status(port, request("transfer")) == 200  # the previous list stays in use
        new.script = no_response


@pytest.mark.parametrize("text", ["", "{}", '{"discovery":"127.0.0.1:1"}', None])
@on_event_loop
async def test_an_unusable_file_changes_nothing(tmp_path: Path, text: str | None) -> None:
    """The grace period is so long that no watch times out during the test."""
    async with scripted_server() as upstream, scripted_server(no_response) as registry:
        registry.script = complete_list_only(endpoint("s-0", upstream.address))
        config = configuration(upstream, discovery=registry.address)
        config["settings"]["contract"]["stopSendingWithinUs"] = 200_000_000
        async with gateway_process(tmp_path, config) as (process, port):
            await wait_until(lambda: len(registry.exchanges) == 2)
            if text is None:
                os.remove(tmp_path / "config.json")
            else:
                (tmp_path / "config.json").write_text(text)
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            line = await process.stderr.readline()
            assert b"configuration reload failed, keeping the previous one: " in line
            assert await fetch_status(port, request("transfer")) == 200
            assert registry.closed_connections == 0
            process.send_signal(signal.SIGTERM)
            _, errors = await process.communicate()
            assert process.returncode == 0 and errors.count(b"\n") == 1  # the shutdown line


@on_event_loop
async def test_a_reload_is_applied_during_shutdown(tmp_path: Path) -> None:
    async with (
        scripted_server(no_response) as upstream,
        scripted_server(no_response) as old,
        scripted_server(no_response) as new,
        gateway_process(tmp_path, configuration(upstream, discovery=old.address)) as (process, port),
    ):
        client = await connect(port)
        client.send(request("transfer"))
        await wait_until(lambda: upstream.exchanges)
        process.send_signal(signal.SIGTERM)
        replace_configuration(tmp_path, discovery=new.address)
        process.send_signal(signal.SIGHUP)
        await wait_until(lambda: new.exchanges)
        upstream.exchanges[0].respond(http_response(200, b"x"))
        assert (await client.read_response()).body == b"x"
        assert await process.wait() == 0
        client.close()


@on_event_loop
async def test_a_signal_during_the_first_read_of_the_file_causes_a_reload(tmp_path: Path) -> None:
    from tests.test_gateway_process import start

    pipe = tmp_path / "config.json"
    os.mkfifo(pipe)  # the process blocks here until the configuration is written
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
async def test_a_temporarily_unreadable_configuration_is_read_again(tmp_path: Path) -> None:
    """The file is incomplete when the signal arrives, and there is no second signal.

    A lack of descriptors to open the file would have the same effect.
    """
    async with (
        scripted_server() as upstream,
        scripted_server(no_response) as old,
        scripted_server(complete_list_only(endpoint("s-9", upstream.address))) as new,
        gateway_process(tmp_path, configuration(upstream, discovery=old.address)) as (process, _),
    ):
        await wait_until(lambda: old.exchanges)
        file = tmp_path / "config.json"
        whole = json.dumps(json.loads(file.read_text()) | {"discovery": new.address})
        file.write_text(whole[: len(whole) // 2])
        process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        file.write_text(whole)
        async with asyncio.timeout(4.0):  # after this time a gateway is considered informed of changes
            await wait_until(lambda: new.exchanges)
