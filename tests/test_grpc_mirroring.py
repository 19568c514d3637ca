"""Mirrored requests and the comparison of responses."""

from __future__ import annotations

from pathlib import Path

import pytest

from sagetrack.config.operator import load as load_operator
from sagetrack.config.platform import ConfigError, parse
from sagetrack.core.responses import Response
from sagetrack.grpc.mirroring import MirrorReport, difference
from sagetrack.lab.stand_ins.grpc_server import GrpcRequest, GrpcServerConnection
from sagetrack.lab.stand_ins.scripted import scripted_server
from tests.grpc_helpers import (
    grpc_upstream_rig,
)
from tests.sockets import configuration, on_event_loop, request, running_gateway, wait_until


def test_answers_differ_by_status_header_or_body_and_not_by_what_is_of_the_way() -> None:
    one = Response(200, [(b"X-A", b"1"), (b"Date", b"now")], b"b", True)
    assert difference(one, Response(200, [(b"x-a", b"1"), (b"date", b"then")], b"b", False)) is None
    assert difference(one, Response(200, [(b"X-A", b"2")], b"b", True)) == "header x-a"
    assert difference(one, Response(404, [(b"X-A", b"1")], b"b", True)) == "status 200 404"
    assert difference(one, Response(200, [(b"X-A", b"1")], b"c", True)) == "body"
    report = MirrorReport(max_differences=1)
    assert (
        report.record_difference(0, "body", 0)
        and not report.record_difference(0, "body", 1)
        and report.record_difference(0, "status 1 2", 2)
    )
    assert report.different == {(0, "body"): 2, (0, "other"): 1}


@on_event_loop
async def test_answers_of_both_formats_are_compared_and_shares_change_on_sighup(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text('[newer]\ntypes = ["v2"]\nshare = 0.0\ncompare_per_s = 1000.0\n')
    seen: list[str] = []

    def take(connection: GrpcServerConnection, asked: GrpcRequest) -> None:
        seen.append(asked.headers["x-call-class"])
        connection.respond(asked, body=b"other")

    async with grpc_upstream_rig(on_call=take) as rig, scripted_server() as upstream:
        config = configuration(upstream, f"127.0.0.1:{rig.entry.address[1]}")
        config["known"]["endpoints"][1]["type"] = "v2"
        async with running_gateway(config, load_operator(str(file))) as gateway:
            newer = gateway.assembly.grpc_upstreams
            assert newer is not None and newer.mirror is not None
            assert (await gateway.request(request("hold", b"keyed"))).status == 200
            assert (await gateway.request(request("search"))).status == 200
            report = newer.mirror.report
            await wait_until(lambda: report.different)
            assert seen == ["search"] and report.mirrored == 1  # what changes something is never copied
            assert "svc_new_differs_search_total 1\n" in gateway.listener.stats()
            assert 'answered_total{group="search"} 1\n' in gateway.listener.stats()
            file.write_text('[newer]\ntypes = ["v2"]\nshare = 1.0\nshare_by_class = { search = 0.0 }\n')
            gateway.assembly.apply_operator(parse(config), load_operator(str(file)))
            answers = [await gateway.request(request("hold", b"k")), await gateway.request(request("search"))]
            assert [a.body for a in answers] == [b"other", answers[1].body] and answers[1].body != b"other"
            file.write_text('[newer]\ntypes = ["v2"]\nshare_by_member = { nobody = 0.5 }\n')
            with pytest.raises(ConfigError, match="no member 'nobody'; there are acme, zeta"):
                gateway.assembly.apply_operator(parse(config), load_operator(str(file)))
