"""The second address: its calls, its figures, and callers that mean no good."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from sagetrack.core.metrics import Metrics
from sagetrack.policy.events import Outcome
from sagetrack.server import admin as admin_module
from sagetrack.server.admin import MAX_CONNECTIONS, MAX_LINE_BYTES, AdminServer
from tests.helpers import Driver, send_actions, trip
from tests.sockets import (
    RunningGateway,
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
from tests.test_gateway_process import READY, ask, connect, free_port, program, start


@asynccontextmanager
async def second_address(run: RunningGateway) -> AsyncIterator[int]:
    admin = AdminServer(run.listener)
    await admin.start(("127.0.0.1", 0))
    assert admin.server is not None
    try:
        yield admin.server.sockets[0].getsockname()[1]
    finally:
        admin.close()


async def call(port: int, data: bytes, eof: bool = False) -> bytes:
    """Everything that is answered, to the end of the connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if eof:
        writer.write_eof()
    answer = await reader.read()
    writer.close()
    return answer


def figures(answer: bytes) -> dict[str, int]:
    first, *lines, last = answer.decode().splitlines()
    assert first.startswith("SUCCESS") and last == "EOT"
    return {name: int(value) for name, value in (line.rsplit(" ", 1) for line in lines)}


@pytest.mark.parametrize("ending", [b"\n", b"\r\n"])
@on_event_loop
async def test_each_call_is_answered_on_a_connection_of_its_own(ending: bytes) -> None:
    async with (
        scripted_server() as upstream,
        running_gateway(configuration(upstream)) as run,
        second_address(run) as port,
    ):
        for line, word, ready in (
            (b"status", b"SUCCESS", 200),
            (b"standby", b"SUCCESS", 503),
            (b"standby", b"SUCCESS", 503),
            (b"status", b"FAILURE", 503),
            (b"active", b"SUCCESS", 200),
            (b"active", b"SUCCESS", 200),
            (b"status", b"SUCCESS", 200),
        ):
            answer = await call(port, line + ending)
            assert answer.startswith(word) and answer.count(b"\n") == 1
            assert (await run.request(READY)).status == ready
        run.listener.drain.begin_shutdown(0.0)
        for line in (b"status", b"standby", b"active"):
            assert (await call(port, line + ending)).startswith(b"FAILURE")


@pytest.mark.parametrize(
    "data",
    [
        b"\n",
        b"statu\n",
        b"status now\n",
        b"STATUS\n",
        b"\xff\xfe\n",
        b"\0\n",
        b"x" * (MAX_LINE_BYTES + 1),
        b"stats" + b" " * 100_000 + b"\n",
    ],
)
@on_event_loop
async def test_what_is_no_call_gets_failure(data: bytes) -> None:
    async with running_gateway(configuration("127.0.0.1:1")) as run, second_address(run) as port:
        answer = await call(port, data)
        assert answer.startswith(b"FAILURE") and answer.count(b"\n") == 1


@on_event_loop
async def test_a_line_may_come_in_pieces_or_end_with_what_the_caller_says() -> None:
    async with (
        scripted_server() as upstream,
        running_gateway(configuration(upstream)) as run,
        second_address(run) as port,
    ):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for byte in b"status":
            writer.write(bytes([byte]))
            await asyncio.sleep(0)
        writer.write(b"\nstandby\n")  # a connection carries one line: this is none
        assert (await reader.read()).startswith(b"SUCCESS")
        writer.close()
        assert (await call(port, b"status", eof=True)).startswith(b"SUCCESS")
        assert await call(port, b"", eof=True) == b""


@on_event_loop
async def test_silent_admin_connections_block_no_one_and_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async with (
        scripted_server() as upstream,
        running_gateway(configuration(upstream)) as run,
        second_address(run) as port,
    ):
        silent_ones = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3 * MAX_CONNECTIONS)]
        assert (await call(port, b"status\n")).startswith(b"SUCCESS")
        ended = 0
        for reader, _ in silent_ones[: 2 * MAX_CONNECTIONS]:
            try:
                ended += await reader.read() == b""
            except ConnectionError:
                ended += 1
        assert ended == 2 * MAX_CONNECTIONS  # the oldest have yielded
        monkeypatch.setattr(admin_module, "CALL_TIMEOUT_S", 0.05)
        assert (await call(port, b"stat")).startswith(b"FAILURE")
        for _, writer in silent_ones:
            writer.close()


BY_REASON = {"svc_attempts_total", "svc_withheld_total", "svc_refused_total", "svc_violations_total"}


@on_event_loop
async def test_the_figures_are_true() -> None:
    async with (
        scripted_server() as upstream,
        running_gateway(configuration(upstream)) as run,
        second_address(run) as port,
    ):
        for _ in range(3):
            assert (await run.request(request())).status == 200
        upstream.script = no_response
        seen, client = len(upstream.exchanges), await run.connect()
        client.send(request("transfer"))
        await wait_until(lambda: len(upstream.exchanges) > seen)
        waits = upstream.exchanges[-1]
        upstream.script = respond_with(http_response(500))
        assert (await run.request(request("transfer"))).status == 502
        upstream.script = respond_with(
            http_response(503, b"", "X-Rejected: 1")
        )  # last: what follows may be shed
        assert (await run.request(request("hold"))).status == 503
        told = figures(await call(port, b"stats\n"))
        calls = {name for name in told if name.startswith("svc_discovery_calls_total")}
        assert calls <= {'svc_discovery_calls_total{outcome="failed"}'}  # nobody answers there
        told = {name: count for name, count in told.items() if name not in calls}
        reasons = {name: told.pop(name) for name in list(told) if name.partition("{")[0] in BY_REASON}
        assert {name: count for name, count in reasons.items() if count} == {
            'svc_attempts_total{outcome="ok"}': 3,
            'svc_attempts_total{outcome="error"}': 1,
            'svc_attempts_total{outcome="full"}': 1,
            'svc_refused_total{reason="unserved"}': 1,
        }
        assert {name.partition("{")[0] for name in reasons} == BY_REASON  # also those of 0
        assert told == {
            'svc_answered_total{group="search"}': 3,
            'svc_answered_total{group="hold"}': 0,
            'svc_answered_total{group="transfer"}': 0,
            'svc_deferred_total{group="search"}': 0,
            'svc_deferred_total{group="hold"}': 1,
            'svc_deferred_total{group="transfer"}': 0,
            'svc_errored_total{group="search"}': 0,
            'svc_errored_total{group="hold"}': 0,
            'svc_errored_total{group="transfer"}': 1,
            'svc_sends_total{group="search"}': 3,
            'svc_sends_total{group="hold"}': 1,
            'svc_sends_total{group="transfer"}': 2,
            "svc_current": 1,
            "svc_cluster_size": 1,
            "svc_cluster_unhealthy": 0,
        }
        waits.respond(http_response())
        assert (await client.read_response()).status == 200
        assert figures(await call(port, b"stats\n"))["svc_current"] == 0
        client.close()


@on_event_loop
async def test_an_attempt_not_written_completely_does_not_count_as_sent() -> None:
    async with running_gateway(configuration("127.0.0.1:1")) as run:
        assert (await run.request(request())).status == 503
        assert run.gateway.metrics.sends.by_class == [0, 0, 0]
        assert run.gateway.metrics.deferred.by_class == [1, 0, 0]
        assert run.gateway.balancer.unhealthy_count() == 1


def test_unhealthy_servers_are_those_with_an_open_breaker_and_reading_changes_nothing() -> None:
    driver = Driver()
    balancer = driver.balancer
    assert balancer.unhealthy_count() == 0
    breaker = balancer.servers[1].breaker
    trip(breaker, driver.now_us)
    until_us, state = breaker.open_until_us, breaker.state
    driver.now_us = until_us + 1
    assert balancer.unhealthy_count() == 1  # until a trial has closed it
    assert breaker.state is state and breaker.episode == 0
    for _ in range(100):
        name, actions = driver.arrive()
        for send in send_actions(actions):
            driver.end(name, send.server, Outcome.OK)
    assert balancer.unhealthy_count() == 0


def test_a_label_cannot_break_its_line() -> None:
    text = Metrics(['a"b\n\\'], {}).render()
    assert text.splitlines()[0] == 'svc_answered_total{group="a\\"b\\n\\\\"} 0'


@on_event_loop
async def test_the_program_listens_there_and_a_drain_ends(tmp_path: Path) -> None:
    admin = free_port()
    async with scripted_server() as upstream:
        config = configuration(upstream) | {"admin": f"127.0.0.1:{admin}"}
        async with program(tmp_path, config) as (process, port):
            kept = await connect(port)
            assert (await kept.request(READY)).status == 200
            assert (await call(admin, b"standby\n")).startswith(b"SUCCESS")
            # A request on a kept connection, and one on a late one, are served and told of the end.
            late = await connect(port)
            for client in (kept, late):
                answer = await client.request(request())
                assert answer.status == 200 and answer.headers["connection"] == "close"
                client.close()
            idle = await connect(port)
            assert await idle.reader.read() == b""
            idle.close()
            assert (await call(admin, b"active\n")).startswith(b"SUCCESS")
            assert await ask(port, READY) == 200
            assert figures(await call(admin, b"stats\n"))['svc_answered_total{group="search"}'] == 2
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0


@on_event_loop
async def test_a_second_address_in_use_is_one_line(tmp_path: Path) -> None:
    async with scripted_server() as upstream:
        file = tmp_path / "config.json"
        file.write_text(json.dumps(configuration(upstream) | {"listen": f"127.0.0.1:{free_port()}"}))
        process = await start({"LB_CONFIG": str(file), "LB_ADMIN": upstream.address})
        _, errors = await process.communicate()
        assert process.returncode == 1 and errors.count(b"\n") == 1
        assert errors.startswith(f"sagetrack: cannot listen on {upstream.address}".encode())


@on_event_loop
async def test_the_trace_tells_what_became_of_a_call() -> None:
    failing = respond_with(http_response(500))
    async with (
        scripted_server(failing) as upstream,
        running_gateway(configuration(upstream)) as run,
        second_address(run) as port,
    ):
        assert (await run.request(request("transfer", x_call_id="one-that-fails"))).status == 502
        run.listener.standby()
        lines = (await call(port, b"trace\n")).decode().splitlines()
    assert lines[0] == "SUCCESS" and lines[-1] == "EOT"
    assert any("attempt_failed one-that-fails 0 at server" in line and "error" in line for line in lines)
    assert any(line.endswith("failed one-that-fails") for line in lines)
    assert any(line.endswith("state process standby") for line in lines)
    assert abs(float(lines[1].split()[0]) - time.time()) < 60
