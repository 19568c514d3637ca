"""Division of an endpoint list by protocol: complete lists, changes, servers that change their protocol."""

from __future__ import annotations

from sagetrack.config.platform import stable_hash
from sagetrack.core.endpoints import Endpoint
from sagetrack.discovery.endpoints_by_protocol import EndpointsByProtocol
from sagetrack.policy.events import ListedServer, ListKind, ServerStatus


def listed(name: str, address: str, kind: int = 0, status: ServerStatus = ServerStatus.READY) -> Endpoint:
    host, port = address.rsplit(":", 1)
    return Endpoint(name, (host, int(port)), ListedServer(stable_hash(name, 4), status, kind=kind))


def test_a_list_is_divided_by_type_and_a_server_that_changes_type_leaves_its_previous_protocol() -> None:
    by_protocol = EndpointsByProtocol({9: "dns"})
    changes = by_protocol.update(ListKind.FULL, [listed("a", "h:1"), listed("b", "h:2", 9)])
    assert [e.name for e in changes["http"]] == ["a"] and [e.name for e in changes["dns"]] == ["b"]
    changes = by_protocol.update(ListKind.DELTA, [listed("a", "h:1", 9)])
    assert [e.listed.status for e in changes["http"]] == [ServerStatus.GONE]
    assert [e.listed.status for e in changes["dns"]] == [ServerStatus.READY]
    assert {e.name for e in by_protocol.endpoints["dns"].values()} == {"a", "b"}
    assert not by_protocol.endpoints["http"]
    assert not any(by_protocol.update(ListKind.ERROR, []).values()) and len(by_protocol.endpoints["dns"]) == 2
    assert [e.name for e in by_protocol.update(ListKind.FULL, [listed("c", "h:3")])["http"]] == ["c"]
    assert not by_protocol.endpoints["dns"]


def test_a_server_that_is_gone_is_in_the_changes_and_removed_from_the_endpoints() -> None:
    by_protocol = EndpointsByProtocol({9: "dns"})
    by_protocol.update(ListKind.FULL, [listed("a", "h:1"), listed("b", "h:2", 9)])
    changes = by_protocol.update(ListKind.DELTA, [listed("b", "h:2", 9, ServerStatus.GONE)])
    assert [e.name for e in changes["dns"]] == ["b"] and not changes["http"]
    assert not by_protocol.endpoints["dns"] and len(by_protocol.endpoints["http"]) == 1
