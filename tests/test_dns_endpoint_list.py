"""Upstream DNS servers in the endpoint list."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

from sagetrack.config.operator import load as load_operator
from sagetrack.config.platform import stable_hash
from sagetrack.core.endpoints import Endpoint
from sagetrack.discovery.endpoints_by_protocol import EndpointsByProtocol
from sagetrack.lab.stand_ins.dns_server import nameserver
from sagetrack.policy.events import ListedServer, ListKind, ServerStatus
from tests.dns_helpers import (
    UdpClient,
    query,
    read_tcp_responses,
    running_service,
)
from tests.sockets import configuration, on_event_loop, running_gateway


def endpoint(name: str, address: str, kind: int = 0, status: ServerStatus = ServerStatus.READY) -> Endpoint:
    host, port = address.rsplit(":", 1)
    return Endpoint(name, (host, int(port)), ListedServer(stable_hash(name, 4), status, kind=kind))


def test_endpoint_list_is_split_by_protocol_and_a_server_can_change_protocol() -> None:
    by_protocol = EndpointsByProtocol({9: "dns"})
    changes = by_protocol.update(ListKind.FULL, [endpoint("a", "h:1"), endpoint("b", "h:2", 9)])
    assert [e.name for e in changes["http"]] == ["a"] and [e.name for e in changes["dns"]] == ["b"]
    changes = by_protocol.update(ListKind.DELTA, [endpoint("a", "h:1", 9)])
    assert [e.listed.status for e in changes["http"]] == [ServerStatus.GONE]
    assert [e.listed.status for e in changes["dns"]] == [ServerStatus.READY]
    assert {e.name for e in by_protocol.endpoints["dns"].values()} == {
        "a",
        "b",
    } and not by_protocol.endpoints["http"]
    assert not any(by_protocol.update(ListKind.ERROR, []).values()) and len(by_protocol.endpoints["dns"]) == 2
    assert [e.name for e in by_protocol.update(ListKind.FULL, [endpoint("c", "h:3")])["http"]] == ["c"]
    assert not by_protocol.endpoints["dns"]


@on_event_loop
async def test_endpoint_list_adds_and_drains_upstream_servers() -> None:
    async with (
        nameserver() as first_upstream,
        nameserver() as second_upstream,
        running_service(uses_endpoint_list=True) as (service, address),
    ):
        client = await UdpClient.connect(address)
        first, second = (
            endpoint(n, f"{s.host}:{s.port}", 9)
            for n, s in (("one", first_upstream), ("two", second_upstream))
        )
        service.on_list(ListKind.FULL, [first])
        await client.exchange(query("a.example."))
        draining = ListedServer(first.listed.server, ServerStatus.DRAINING)
        service.on_list(ListKind.DELTA, [Endpoint("one", first_upstream.address, draining), second])
        for number in range(20):
            await client.exchange(query(f"n{number}.example."))
        assert (first_upstream.udp_queries, second_upstream.udp_queries) == (1, 20)
        client.transport.close()


@on_event_loop
async def test_gateway_does_not_use_dns_servers_for_http(tmp_path: Path) -> None:
    async with nameserver() as upstream:
        config = configuration("127.0.0.1:9")
        config["known"]["endpoints"].append(
            {"name": "d-1", "address": f"127.0.0.1:{upstream.port}", "status": "SERVING", "type": "dns"}
        )
        with socket.socket() as port_socket:
            port_socket.bind(("127.0.0.1", 0))
            port = port_socket.getsockname()[1]
        operator_file = tmp_path / "operator.toml"
        operator_file.write_text(f'[dns]\nlisten = ["127.0.0.1:{port}"]\ntype = "dns"\n')
        async with running_gateway(config, load_operator(str(operator_file))) as gateway:
            assert [host.name for host in gateway.assembly.pools.servers.values()] == ["s-0"]
            client = await UdpClient.connect(("127.0.0.1", port))
            assert (await client.exchange(query())).answer[0][0].to_text() == "192.0.2.1"
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            gateway.listener.standby()
            writer.write(len(query()).to_bytes(2) + query())
            assert (await read_tcp_responses(reader, 1))[0].answer and await reader.read() == b""
            gateway.listener.active()
            writer.close()
            client.transport.close()


@on_event_loop
async def test_removed_server_receives_no_queries() -> None:
    async with (
        nameserver() as first_upstream,
        nameserver() as second_upstream,
        running_service(first_upstream, second_upstream) as (service, address),
    ):
        client = await UdpClient.connect(address)
        service.set_configured_upstreams([second_upstream.address])
        queries_before = first_upstream.udp_queries
        for number in range(20):
            await client.exchange(query(f"n{number}.example."))
        assert first_upstream.udp_queries == queries_before and second_upstream.udp_queries == 20
        client.transport.close()
