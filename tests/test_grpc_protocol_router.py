"""A gateway with both HTTP/1.1 and gRPC servers."""

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
    grpc_upstream_fixture,
)
from tests.sockets import configuration, on_event_loop, request, running_gateway


@on_event_loop
async def test_http1_requests_reach_a_grpc_server_and_untranslatable_ones_are_rejected(
    tmp_path: Path,
) -> None:
    operator_file = tmp_path / "operator.toml"
    operator_file.write_text('[newer]\ntypes = ["v2"]\n')
    received: list[GrpcRequest] = []

    def handle_request(connection: GrpcServerConnection, grpc_request: GrpcRequest) -> None:
        received.append(grpc_request)
        connection.respond(grpc_request, body=b"new " + grpc_request.body)

    async with grpc_upstream_fixture(on_request=handle_request) as fixture:
        config = configuration(f"127.0.0.1:{fixture.entry.address[1]}")
        config["known"]["endpoints"][0]["type"] = "v2"
        async with running_gateway(config, load_operator(str(operator_file))) as gateway:
            response = await gateway.request(request("hold", b"old body"))
            assert (response.status, response.body) == (200, b"new old body")
            assert (
                received[0].headers["x-call-class"] == "hold" and "idempotency-key-bin" in received[0].headers
            )
            rejected = await gateway.request(request(x_call_cost="5", x_again="\x80"))
            assert rejected.status == 400 and b"x-again" in rejected.body.lower()
            assert "svc_new_streams_total 1\n" in gateway.listener.stats()


def test_a_server_that_changes_its_protocol_is_removed_from_the_other_pool() -> None:
    async def exercise_router() -> None:
        http1_pools, grpc_pools = ConnectionPools(SETTINGS), GrpcConnectionPools(SETTINGS)
        router = ProtocolRouter(http1_pools, grpc_pools, [7], Migration(None), lambda: None)
        for kind, pools in ((0, http1_pools), (7, grpc_pools), (0, http1_pools)):
            router.put(Endpoint("n", ("127.0.0.1", 9), ListedServer(1, kind=kind)))
            assert (1 in pools.listed) and (1 in http1_pools.listed) + (1 in grpc_pools.listed) == 1 == len(
                router.listed
            )
        router.remove(1)
        assert not router.listed and not http1_pools.listed and not grpc_pools.listed
        router.close()

    asyncio.run(exercise_router())
