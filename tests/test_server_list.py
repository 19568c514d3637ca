"""Endpoint lists are applied to the upstream pool according to their kind, and reported to the balancer."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from sagetrack.core.endpoints import Endpoint
from sagetrack.core.event_trace import EventTrace
from sagetrack.core.server_list import ServerList, summary
from sagetrack.policy.events import EndpointList, ListedServer, ListKind, ServerStatus


class StubUpstream:
    def __init__(self) -> None:
        self.listed: dict[int, Endpoint] = {}

    def put(self, entry: Endpoint) -> None:
        self.listed[entry.listed.server] = entry

    def remove(self, server: int) -> None:
        self.listed.pop(server, None)


def entry(server: int, status: ServerStatus = ServerStatus.READY, zone: int = 0, group: int = 0) -> Endpoint:
    return Endpoint(f"s{server}", ("h", server), ListedServer(server, status, zone=zone, group=group))


def recording_server_list() -> tuple[ServerList, StubUpstream, EventTrace, list[str]]:
    upstream, trace, recorded = StubUpstream(), EventTrace(), list[str]()
    context: Any = SimpleNamespace(
        upstream=upstream,
        trace=trace,
        recorder=SimpleNamespace(record_event=recorded.append),
        endpoint_source=SimpleNamespace(time_without_contact_us=7),
    )
    return ServerList(context), upstream, trace, recorded


def test_a_complete_list_removes_servers_that_it_does_not_name_and_a_delta_does_not() -> None:
    servers, upstream, _, _ = recording_server_list()
    servers.apply(ListKind.FULL, [entry(1), entry(2)])
    servers.apply(ListKind.DELTA, [entry(3)])
    assert set(upstream.listed) == {1, 2, 3}
    servers.apply(ListKind.FULL, [entry(3)])
    assert set(upstream.listed) == {3}
    servers.apply(ListKind.ERROR, [])
    assert set(upstream.listed) == {3}


def test_a_server_that_is_gone_is_removed_and_its_attempts_have_no_zone() -> None:
    servers, upstream, _, _ = recording_server_list()
    servers.apply(ListKind.FULL, [entry(1, zone=4, group=5)])
    record = servers.new_attempt_record(1)
    assert (record.zone, record.group) == (4, 5)
    servers.apply(ListKind.DELTA, [entry(1, ServerStatus.GONE)])
    record = servers.new_attempt_record(1)
    assert not upstream.listed and (record.zone, record.group) == (-1, -1)


def test_the_load_balancer_has_every_entry_and_the_time_without_contact() -> None:
    servers, _, _, _ = recording_server_list()
    entries = [entry(1), entry(2, ServerStatus.GONE)]
    event = servers.apply(ListKind.DELTA, entries)
    assert isinstance(event, EndpointList) and event.kind is ListKind.DELTA
    assert event.servers == tuple(item.listed for item in entries) and event.staleness_us == 7


def test_only_lists_with_a_server_that_is_not_ready_are_traced_and_all_are_recorded() -> None:
    servers, _, trace, recorded = recording_server_list()
    servers.apply(ListKind.FULL, [entry(1)])
    assert not trace.entries
    servers.apply(ListKind.DELTA, [entry(1, ServerStatus.DRAINING)])
    assert [item.detail for item in trace.entries] == [summary([entry(1, ServerStatus.DRAINING)])]
    assert len(recorded) == 2


def test_a_summary_counts_by_status_and_names_the_first_that_are_not_ready() -> None:
    assert summary([]) == "nothing"
    draining = ServerStatus.DRAINING
    assert summary([entry(1), entry(2), entry(3, draining)]) == f"2 ready, 1 {draining.value} (s3)"
    assert summary([entry(n, draining) for n in range(30)]).endswith("s18 s19)")
