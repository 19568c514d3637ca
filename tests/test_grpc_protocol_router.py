"""HTTP/1.1 and gRPC servers in one fleet."""

from __future__ import annotations

import asyncio
from pathlib import Path

from sagetrack.config.operator import load as load_operator
from sagetrack.core.endpoints import Endpoint
from sagetrack.grpc.connection_pool import GrpcConnectionPools
from sagetrack.grpc.protocol_router import ProtocolRouter
from sagetrack.http1.connection_pool import ConnectionPools
from sagetrack.lab.stand_ins.grpc_server import GrpcRequest, GrpcServerConnection
from sagetrack.policy.events import ListedServer
from sagetrack.policy.migration import Migration
from tests.grpc_helpers import (
    SETTINGS,
    grpc_upstream_rig,
)
from tests.sockets import configuration, on_event_loop, request, running_gateway


@on_event_loop
async def test_an_http1_client_is_served_by_a_grpc_server_and_rejected_for_what_grpc_cannot_carry(
    tmp_path: Path,
) -> None:
    file = tmp_path / "operator.toml"
    file.write_text('[newer]\ntypes = ["v2"]\n')
    seen: list[GrpcRequest] = []

    def take(connection: GrpcServerConnection, asked: GrpcRequest) -> None:
        seen.append(asked)
        connection.respond(asked, body=b"new " + asked.body)

    async with grpc_upstream_rig(on_call=take) as rig:
        config = configuration(f"127.0.0.1:{rig.entry.address[1]}")
        config["known"]["endpoints"][0]["type"] = "v2"
        async with running_gateway(config, load_operator(str(file))) as gateway:
            answer = await gateway.request(request("hold", b"old body"))
            assert (answer.status, answer.body) == (200, b"new old body")
            assert seen[0].headers["x-call-class"] == "hold" and "idempotency-key-bin" in seen[0].headers
            odd = await gateway.request(request(x_call_cost="5", x_again="\x80"))
            assert odd.status == 400 and b"x-again" in odd.body.lower()
            assert "svc_new_streams_total 1\n" in gateway.listener.stats()


def test_a_server_that_changes_its_protocol_leaves_the_other_pool() -> None:
    async def play() -> None:
        old, new = ConnectionPools(SETTINGS), GrpcConnectionPools(SETTINGS)
        mixed = ProtocolRouter(old, new, [7], Migration(None), lambda: None)
        for kind, at in ((0, old), (7, new), (0, old)):
            mixed.put(Endpoint("n", ("127.0.0.1", 9), ListedServer(1, kind=kind)))
            assert (1 in at.listed) and (1 in old.listed) + (1 in new.listed) == 1 == len(mixed.listed)
        mixed.remove(1)
        assert not mixed.listed and not old.listed and not new.listed
        mixed.close()

    asyncio.run(play())
