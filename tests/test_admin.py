"""The admin address: commands, metrics, and clients that send invalid data or nothing."""

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
from sagetrack.http1.codec import READ_SIZE
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
from tests.test_gateway_process import READY, connect, fetch_status, free_port, gateway_process, start


@asynccontextmanager
async def running_admin_server(run: RunningGateway) -> AsyncIterator[int]:
    admin = AdminServer(run.listener)
    await admin.start(("127.0.0.1", 0))
    assert admin.server is not None
    try:
        yield admin.server.sockets[0].getsockname()[1]
    finally:
        admin.close()


async def send_command(port: int, data: bytes, eof: bool = False) -> bytes:
    """Return the complete response, up to the end of the connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    if eof:
        writer.write_eof()
    response = await reader.read()
    writer.close()
    return response


def parse_metrics(response: bytes) -> dict[str, int]:
    first, *lines, last = response.decode().splitlines()
    assert first.startswith("SUCCESS") and last == "EOT"
    return {name: int(value) for name, value in (line.rsplit(" ", 1) for line in lines)}


@pytest.mark.parametrize("ending", [b"\n", b"\r\n"])
@on_event_loop
async def test_each_command_gets_a_response_on_its_own_connection(ending: bytes) -> None:
    async with (
        scripted_server() as upstream,
        running_gateway(configuration(upstream)) as run,
        running_admin_server(run) as port,
    ):
        for line, expected_result, ready in (
            (b"status", b"SUCCESS", 200),
            (b"standby", b"SUCCESS", 503),
            (b"standby", b"SUCCESS", 503),
            (b"status", b"FAILURE", 503),
            (b"active", b"SUCCESS", 200),
            (b"active", b"SUCCESS", 200),
            (b"status", b"SUCCESS", 200),
        ):
            response = await send_command(port, line + ending)
            assert response.startswith(expected_result) and response.count(b"\n") == 1
            assert (await run.request(READY)).status == ready
        run.listener.drain.begin_shutdown(0.0)
        for line in (b"status", b"standby", b"active"):
            assert (await send_command(port, line + ending)).startswith(b"FAILURE")


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
async def test_an_invalid_command_gets_failure(data: bytes) -> None:
    async with running_gateway(configuration("127.0.0.1:1")) as run, running_admin_server(run) as port:
        response = await send_command(port, data)
        assert response.startswith(b"FAILURE") and response.count(b"\n") == 1


@on_event_loop
async def test_a_line_may_arrive_in_pieces_or_end_with_the_stream() -> None:
    async with (
        scripted_server() as upstream,
        running_gateway(configuration(upstream)) as run,
        running_admin_server(run) as port,
    ):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for byte in b"status":
            writer.write(bytes([byte]))
            await asyncio.sleep(0)
        writer.write(b"\nstandby\n")  # the second line is ignored: a connection carries one line
        assert (await reader.read()).startswith(b"SUCCESS")
        writer.close()
        assert (await send_command(port, b"status", eof=True)).startswith(b"SUCCESS")
        assert await send_command(port, b"", eof=True) == b""


@on_event_loop
async def test_silent_admin_connections_do_not_block_others_and_are_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with (
        scripted_server() as upstream,
        running_gateway(configuration(upstream)) as run,
        running_admin_server(run) as port,
    ):
        silent_clients = [
            await asyncio.open_connection("127.0.0.1", port) for _ in range(3 * MAX_CONNECTIONS)
        ]
        assert (await send_command(port, b"status\n")).startswith(b"SUCCESS")
        ended = 0
        for reader, _ in silent_clients[: 2 * MAX_CONNECTIONS]:
            try:
                ended += await reader.read() == b""
            except ConnectionError:
                ended += 1
        assert ended == 2 * MAX_CONNECTIONS  # the oldest connections were closed
        monkeypatch.setattr(admin_module, "CALL_TIMEOUT_S", 0.05)
        assert (await send_command(port, b"stat")).startswith(b"FAILURE")
        for _, writer in silent_clients:
            writer.close()


METRICS_BY_REASON = {"svc_attempts_total", "svc_withheld_total", "svc_refused_total", "svc_violations_total"}


@on_event_loop
async def test_the_metrics_match_the_requests() -> None:
    async with (
        scripted_server() as upstream,
        running_gateway(configuration(upstream)) as run,
        running_admin_server(run) as port,
    ):
        for _ in range(3):
            assert (await run.request(request())).status == 200
        upstream.script = no_response
        seen, client = len(upstream.exchanges), await run.connect()
        client.send(request("transfer"))
        await wait_until(lambda: len(upstream.exchanges) > seen)
        pending = upstream.exchanges[-1]
        upstream.script = respond_with(http_response(500))
        assert (await run.request(request("transfer"))).status == 502
        # The rejection comes last, as later requests may be shed.
        upstream.script = respond_with(http_response(503, b"", "X-Rejected: 1"))
        assert (await run.request(request("hold"))).status == 503
        metrics = parse_metrics(await send_command(port, b"stats\n"))
        calls = {name for name in metrics if name.startswith("svc_discovery_calls_total")}
        assert calls <= {'svc_discovery_calls_total{outcome="failed"}'}  # no discovery service is running
        metrics = {name: count for name, count in metrics.items() if name not in calls}
        by_reason = {
            name: metrics.pop(name) for name in list(metrics) if name.partition("{")[0] in METRICS_BY_REASON
        }
        assert {name: count for name, count in by_reason.items() if count} == {
            'svc_attempts_total{outcome="ok"}': 3,
            'svc_attempts_total{outcome="error"}': 1,
            'svc_attempts_total{outcome="full"}': 1,
            'svc_refused_total{reason="unserved"}': 1,
        }
        # Series whose value is 0 are included.
        assert {name.partition("{")[0] for name in by_reason} == METRICS_BY_REASON
        assert 0 < metrics.pop("svc_request_memory_bytes") < READ_SIZE  # the pending request
        memory = {name: metrics.pop(name) for name in list(metrics) if name.startswith("svc_memory_")}
        assert memory.pop("svc_memory_budget_bytes") > READ_SIZE
        assert not any(
            count
            for name, count in memory.items()
            if name.startswith(("svc_memory_action", "svc_memory_rest"))
        )
        assert metrics == {
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
            "svc_request_memory_rejected_total": 0,
            "svc_recent_requests": 2,  # the pending and the failed request may have run
            "svc_repeated_ids_total": 0,
        }
        pending.respond(http_response())
        assert (await client.read_response()).status == 200
        assert parse_metrics(await send_command(port, b"stats\n"))["svc_current"] == 0
        client.close()


@on_event_loop
async def test_an_attempt_not_written_completely_does_not_count_as_sent() -> None:
    async with running_gateway(configuration("127.0.0.1:1")) as run:
        assert (await run.request(request())).status == 503
        assert run.gateway.metrics.sends.by_class == [0, 0, 0]
        assert run.gateway.metrics.deferred.by_class == [1, 0, 0]
        assert run.gateway.balancer.unhealthy_count() == 1


def test_servers_with_an_open_breaker_are_unhealthy_and_counting_them_has_no_side_effect() -> None:
    driver = Driver()
    balancer = driver.balancer
    assert balancer.unhealthy_count() == 0
    breaker = balancer.servers[1].breaker
    trip(breaker, driver.now_us)
    until_us, state = breaker.open_until_us, breaker.state
    driver.now_us = until_us + 1
    assert balancer.unhealthy_count() == 1  # until a trial request has closed the breaker
    assert breaker.state is state and breaker.half_open_period == 0
    for _ in range(100):
        name, actions = driver.arrive()
        for send in send_actions(actions):
            driver.end(name, send.server, Outcome.OK)
    assert balancer.unhealthy_count() == 0


def test_special_characters_in_a_label_are_escaped() -> None:
    text = Metrics(['a"b\n\\'], {}).render()
    assert text.splitlines()[0] == 'svc_answered_total{group="a\\"b\\n\\\\"} 0'


@on_event_loop
async def test_a_gateway_process_can_be_drained_and_reactivated_at_the_admin_address(tmp_path: Path) -> None:
    admin = free_port()
    async with scripted_server() as upstream:
        config = configuration(upstream) | {"admin": f"127.0.0.1:{admin}"}
        async with gateway_process(tmp_path, config) as (process, port):
            persistent = await connect(port)
            assert (await persistent.request(READY)).status == 200
            assert (await send_command(admin, b"standby\n")).startswith(b"SUCCESS")
            # Requests on existing and on new connections are served, and the response announces the close.
            late = await connect(port)
            for client in (persistent, late):
                response = await client.request(request())
                assert response.status == 200 and response.headers["connection"] == "close"
                client.close()
            idle = await connect(port)
            assert await idle.reader.read() == b""
            idle.close()
            assert (await send_command(admin, b"active\n")).startswith(b"SUCCESS")
            assert await fetch_status(port, READY) == 200
            assert (
                parse_metrics(await send_command(admin, b"stats\n"))['svc_answered_total{group="search"}']
                == 2
            )
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0


@on_event_loop
async def test_an_admin_address_in_use_is_reported_in_one_line(tmp_path: Path) -> None:
    async with scripted_server() as upstream:
        file = tmp_path / "config.json"
        file.write_text(json.dumps(configuration(upstream) | {"listen": f"127.0.0.1:{free_port()}"}))
        process = await start({"LB_CONFIG": str(file), "LB_ADMIN": upstream.address})
        _, errors = await process.communicate()
        assert process.returncode == 1 and errors.count(b"\n") == 1
        assert errors.startswith(f"sagetrack: cannot listen on {upstream.address}".encode())


@on_event_loop
async def test_the_trace_shows_the_outcome_of_a_request() -> None:
    failing = respond_with(http_response(500))
    async with (
        scripted_server(failing) as upstream,
        running_gateway(configuration(upstream)) as run,
        running_admin_server(run) as port,
    ):
        assert (await run.request(request("transfer", x_call_id="one-that-fails"))).status == 502
        run.listener.standby()
        lines = (await send_command(port, b"trace\n")).decode().splitlines()
    assert lines[0] == "SUCCESS" and lines[-1] == "EOT"
    assert any("attempt_failed one-that-fails 0 at server" in line and "error" in line for line in lines)
    assert any(line.endswith("failed one-that-fails") for line in lines)
    assert any(line.endswith("state process standby") for line in lines)
    assert abs(float(lines[1].split()[0]) - time.time()) < 60
