"""Mirrored requests, and the comparison of their responses."""

from __future__ import annotations

from pathlib import Path

import pytest

from sagetrack.config.operator import load as load_operator
from sagetrack.config.platform import ConfigError, parse
from sagetrack.core.responses import Response
from sagetrack.grpc.mirroring import MirrorCounts, find_difference
from sagetrack.lab.stand_ins.grpc_server import GrpcRequest, GrpcServerConnection
from sagetrack.lab.stand_ins.scripted import scripted_server
from tests.grpc_helpers import (
    grpc_upstream_fixture,
)
from tests.sockets import configuration, on_event_loop, request, running_gateway, wait_until


def test_responses_differ_by_status_header_or_body_but_not_by_transport_headers() -> None:
    response = Response(200, [(b"X-A", b"1"), (b"Date", b"now")], b"b", True)
    assert find_difference(response, Response(200, [(b"x-a", b"1"), (b"date", b"then")], b"b", False)) is None
    assert find_difference(response, Response(200, [(b"X-A", b"2")], b"b", True)) == "header x-a"
    assert find_difference(response, Response(404, [(b"X-A", b"1")], b"b", True)) == "status 200 404"
    assert find_difference(response, Response(200, [(b"X-A", b"1")], b"c", True)) == "body"
    counts = MirrorCounts(max_differences=1)
    assert (
        counts.record_difference(0, "body", 0)
        and not counts.record_difference(0, "body", 1)
        and counts.record_difference(0, "status 1 2", 2)
    )
    assert counts.differences == {(0, "body"): 2, (0, "other"): 1}


@on_event_loop
async def test_responses_of_both_protocols_are_compared_and_shares_change_on_reload(tmp_path: Path) -> None:
    operator_file = tmp_path / "operator.toml"
    operator_file.write_text('[newer]\ntypes = ["v2"]\nshare = 0.0\ncompare_per_s = 1000.0\n')
    received: list[str] = []

    def handle_request(connection: GrpcServerConnection, grpc_request: GrpcRequest) -> None:
        received.append(grpc_request.headers["x-call-class"])
        connection.respond(grpc_request, body=b"other")

    async with grpc_upstream_fixture(on_request=handle_request) as fixture, scripted_server() as upstream:
        config = configuration(upstream, f"127.0.0.1:{fixture.entry.address[1]}")
        config["known"]["endpoints"][1]["type"] = "v2"
        async with running_gateway(config, load_operator(str(operator_file))) as gateway:
            upstreams = gateway.assembly.grpc_upstreams
            assert upstreams is not None and upstreams.mirror is not None
            assert (await gateway.request(request("hold", b"keyed"))).status == 200
            assert (await gateway.request(request("search"))).status == 200
            counts = upstreams.mirror.counts
            await wait_until(lambda: counts.differences)
            assert received == ["search"] and counts.mirrored == 1  # unsafe classes are not mirrored
            assert "svc_new_differs_search_total 1\n" in gateway.listener.stats()
            assert 'answered_total{group="search"} 1\n' in gateway.listener.stats()
            operator_file.write_text(
                '[newer]\ntypes = ["v2"]\nshare = 1.0\nshare_by_class = { search = 0.0 }\n'
            )
            gateway.assembly.apply_operator(parse(config), load_operator(str(operator_file)))
            replies = [await gateway.request(request("hold", b"k")), await gateway.request(request("search"))]
            assert [r.body for r in replies] == [b"other", replies[1].body] and replies[1].body != b"other"
            operator_file.write_text('[newer]\ntypes = ["v2"]\nshare_by_member = { nobody = 0.5 }\n')
            with pytest.raises(ConfigError, match="no member 'nobody'; there are acme, zeta"):
                gateway.assembly.apply_operator(parse(config), load_operator(str(operator_file)))
