"""A real gateway in the test process, with scripted clients and servers on loopback ports."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import uvloop

from sagetrack.config.operator import Operator
from sagetrack.config.platform import parse, stable_hash
from sagetrack.core.clock import now_us
from sagetrack.core.deadlines import REUSE_DELAY_S
from sagetrack.core.gateway import Gateway
from sagetrack.http1.listener import HttpListener
from sagetrack.lab.stand_ins.scripted import (
    Exchange,
    Message,
    Script,
    ScriptedServer,
    endpoint,
    endpoint_list,
    http_response,
    list_response,
    no_response,
    read_message,
    respond_with,
    scripted_server,
)
from sagetrack.server.gateway_assembly import GatewayAssembly

__all__ = [
    "Client",
    "Exchange",
    "Message",
    "RunningGateway",
    "Script",
    "ScriptedServer",
    "configuration",
    "endpoint",
    "endpoint_list",
    "http_response",
    "list_response",
    "no_response",
    "on_event_loop",
    "read_message",
    "request",
    "respond_with",
    "running_gateway",
    "scripted_server",
    "server_id",
    "wait_for_reusable_connections",
    "wait_until",
]

TEST_TIMEOUT_S = 30.0  # limit of each test; only a failing test takes this long


def on_event_loop(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run an async test on uvloop, the event loop of the gateway, with a time limit."""

    @functools.wraps(test)
    def run(*args: Any, **named: Any) -> None:
        async def bounded() -> None:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await test(*args, **named)

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(bounded())

    return run


async def wait_until(condition: Callable[[], object]) -> None:
    """Poll a condition that no event reports, until it holds."""
    while not condition():
        await asyncio.sleep(0.002)


async def wait_for_reusable_connections(run: RunningGateway) -> None:
    """Wait until every idle connection to a server may be reused."""
    oldest_us = int(REUSE_DELAY_S * 1e6)
    hosts = run.assembly.pools.servers.values()
    await wait_until(lambda: all(now_us() - c.idle_since_us > oldest_us for host in hosts for c in host.idle))


def configuration(
    *upstreams: ScriptedServer | str, discovery: str = "127.0.0.1:9", **caps: object
) -> dict[str, Any]:
    """Return a configuration for these servers.

    The gateway fetches no endpoint list unless the test changes `membershipMode`.
    """
    addresses = [host if isinstance(host, str) else host.address for host in upstreams]
    lane = {"aimUs": 20_000_000, "giveUpUs": 20_000_000, "lateValue": 0.5}
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "5eed",
        "limits": {"sockets": 1024},
        "known": endpoint_list(7, *(endpoint(f"s-{n}", a) for n, a in enumerate(addresses))),
        "settings": {
            "zones": ["a", "b"],
            "shapes": ["m"],
            "tenants": [{"name": "acme"}, {"name": "zeta"}],
            "membershipMode": "pushed",
            "report": {"how": "piggyback", "fields": ["queue"]},
            "caps": {
                "maxAttempts": 4,
                "mayCancel": True,
                "connectTimeoutUs": 5_000_000,
                "keepaliveUs": 60_000_000,
                "secondCopies": False,
            }
            | caps,
            "contract": {"stopSendingWithinUs": 1_000_000, "mustAskInUs": 400_000},
            "lanes": [
                lane | {"name": "search", "effect": "free", "value": 1.0},
                lane | {"name": "hold", "effect": "guarded", "group": "all", "windowUs": 15_000_000},
                lane | {"name": "transfer", "effect": "single_shot"},
            ],
        },
    }


def server_id(number: int) -> int:
    return stable_hash(f"s-{number}", 4)


@dataclass
class RunningGateway:
    """A gateway in the test process that listens on its own port."""

    assembly: GatewayAssembly
    gateway: Gateway
    listener: HttpListener
    port: int

    async def connect(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def request(self, data: bytes) -> Message:
        client = await self.connect()
        try:
            return await client.request(data)
        finally:
            client.close()


@dataclass
class Client:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def read_response(self) -> Message:
        return await read_message(self.reader)

    async def request(self, data: bytes) -> Message:
        self.send(data)
        return await self.read_response()

    def close(self) -> None:
        self.writer.transport.abort()


@asynccontextmanager
async def running_gateway(
    config: dict[str, Any], operator: Operator | None = None
) -> AsyncIterator[RunningGateway]:
    parsed = parse(config)
    instance = GatewayAssembly(parsed, operator)
    await instance.start()
    server = instance.http_listener
    listener = server.acceptor.listener
    assert listener is not None
    try:
        yield RunningGateway(instance, instance.gateway, server, listener.getsockname()[1])
    finally:
        instance.close()


_count = 0


def request(class_name: str = "search", body: bytes = b"", budget_ms: int = 20_000, **headers: str) -> bytes:
    """Return the bytes of a complete client request.

    Header names are written with _ for -; a header with the value None is left out.
    """
    global _count
    _count += 1
    fields: dict[str, str] = {
        "host": "backend.local",
        "x_call_id": f"{_count:016x}",
        "x_call_class": class_name,
        "x_caller": "acme",
        "x_budget_ms": str(budget_ms),
    }
    if class_name == "hold":
        fields["idempotency_key"] = f"key{_count}"
    if class_name != "search":
        fields["content_length"] = str(len(body))
    fields |= headers
    method = "GET" if class_name == "search" else "POST"
    lines = [f"{method} /{class_name}/7f3a9c21e0b4d655 HTTP/1.1"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items() if value]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
