"""Stand-ins and helpers for tests of gRPC upstream and downstream."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from sagetrack.config.operator import load as load_operator
from sagetrack.config.platform import parse
from sagetrack.core.bodies import StreamedBody
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.requests import Request
from sagetrack.core.responses import Response
from sagetrack.core.send_rules import ServerState
from sagetrack.grpc.connection_pool import GrpcConnectionPools
from sagetrack.grpc.upstream_connection import GrpcUpstreamConnection
from sagetrack.http1.requests import ForwardedRequest
from sagetrack.lab.stand_ins.grpc_server import GrpcRequest, GrpcServerConnection
from sagetrack.policy.events import ListedServer, Outcome
from tests.sockets import configuration, running_gateway, wait_until

SETTINGS = parse(configuration("127.0.0.1:9")).settings

HEAD = b"POST /hold/7 HTTP/1.1\r\nHost: old\r\nX-Call-Id: a1\r\nX-Call-Class: hold\r\nX-CaLLer: acme\r\n"


class RecordingObserver:
    """A observer that keeps what it hears."""

    def __init__(self, pauses: bool = False) -> None:
        self.pauses = pauses
        self.written = 0
        self.ends: list[tuple[Outcome, Response | None]] = []
        self.head: Response | None = None
        self.pieces: list[bytes] = []
        self.source: Any = None

    def may_begin(self, server: ServerState) -> bool:
        return server is ServerState.SERVING

    def on_first_byte(self) -> None:
        """Of no concern here."""

    def on_request_sent(self) -> None:
        self.written += 1

    def on_response_started(self, attempt: Any, head: Any, source: Any) -> None:
        self.head, self.source = head, source
        if self.pauses:
            source.pause()

    def on_response_data(self, attempt: Any, data: bytes) -> None:
        self.pieces.append(data)

    def on_attempt_ended(self, attempt: Any, outcome: Outcome, answer: Any, load: Any) -> None:
        self.ends.append((outcome, answer))


class GrpcUpstreamRig:
    """Pools of the newer format and one stand-in server."""

    def __init__(self, pools: GrpcConnectionPools, entry: Endpoint) -> None:
        self.pools, self.entry = pools, entry
        self.connections: list[GrpcServerConnection] = []
        self.asked: list[tuple[GrpcServerConnection, GrpcRequest]] = []

    def ask(
        self,
        body: bytes = b"",
        streamed_body: StreamedBody | None = None,
        wait_us: int = 10_000_000,
        pauses: bool = False,
    ) -> RecordingObserver:
        heard = RecordingObserver(pauses)
        request = Request(
            "a",
            0,
            wait_us,
            None,
            None,
            False,
            0,
            ForwardedRequest(HEAD, body),
            None,  # type: ignore[arg-type]
            streamed_body,
        )
        self.pools.begin(request, 1, wait_us, heard)
        return heard

    @property
    def connection(self) -> GrpcUpstreamConnection:
        return self.pools.pools[1].connections[0]

    async def until_asked(self, count: int) -> None:
        await wait_until(lambda: len(self.asked) >= count)


@asynccontextmanager
async def grpc_upstream_rig(
    most: int = 100,
    on_call: Callable[[GrpcServerConnection, GrpcRequest], None] | None = None,
    keys: tuple[ssl.SSLContext, Callable[[], ssl.SSLContext | None]] | None = None,
) -> AsyncIterator[GrpcUpstreamRig]:
    rig: GrpcUpstreamRig

    def make() -> GrpcServerConnection:
        take = on_call or (lambda connection, asked: rig.asked.append((connection, asked)))
        connection = GrpcServerConnection(take, most)
        rig.connections.append(connection)
        return connection

    loop = asyncio.get_running_loop()
    server = await loop.create_server(make, "127.0.0.1", 0, ssl=keys[0] if keys else None)
    place = server.sockets[0].getsockname()
    pools = GrpcConnectionPools(SETTINGS, keys[1] if keys else lambda: None)
    rig = GrpcUpstreamRig(pools, Endpoint("n", ("127.0.0.1", place[1]), ListedServer(1)))
    pools.put(rig.entry)
    try:
        yield rig
    finally:
        pools.close()
        server.close()


async def warm_up(rig: GrpcUpstreamRig) -> None:
    heard = rig.ask()
    await rig.until_asked(1)
    rig.asked[0][0].respond(rig.asked[0][1])
    await wait_until(lambda: heard.ends)


@asynccontextmanager
async def gateway_with_grpc_listener(
    tmp_path: Path, *types: str, on_call: Any = None, hosts: int = 1
) -> AsyncIterator[Any]:
    """A gateway with a front of the newer format, servers behind it, and pools as its client."""
    async with grpc_upstream_rig(on_call=on_call) as behind:
        config = configuration(*[f"127.0.0.1:{behind.entry.address[1]}"] * hosts)
        for endpoint in config["known"]["endpoints"]:
            endpoint["type"] = "v2"
        file = tmp_path / "operator.toml"
        file.write_text('[newer]\ntypes = ["v2"]\nlisten = ["127.0.0.1:0"]\n')
        async with running_gateway(config, load_operator(str(file))) as gateway:
            listener = gateway.assembly.protocol_listeners.grpc
            assert listener is not None
            place = listener.servers[0].sockets[0].getsockname()
            async with grpc_upstream_rig() as client:
                client.pools.put(Endpoint("g", ("127.0.0.1", place[1]), ListedServer(1, started_us=1)))
                yield client, gateway, listener


def send_request(client: GrpcUpstreamRig, head: bytes, body: bytes = b"") -> RecordingObserver:
    heard = RecordingObserver()
    request = Request("a", 0, 5_000_000, None, None, False, 0, ForwardedRequest(head, body), None)  # type: ignore[arg-type]
    client.pools.begin(request, 1, 5_000_000, heard)
    return heard


def request_head(number: int, request_class: str = "hold", path: str = "hold") -> bytes:
    key = b"Idempotency-Key: k%d\r\n" % number if request_class == "hold" else b""
    method = b"POST" if request_class == "hold" else b"GET"
    return b"%s /%s/7 HTTP/1.1\r\nHost: g\r\nX-Call-Id: id%d\r\nX-Call-Class: %s\r\n%s" % (
        method,
        path.encode(),
        number,
        request_class.encode(),
        key,
    )
