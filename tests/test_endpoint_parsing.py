"""Parsing of endpoint lists, their encoding for a successor process, and rejection of outdated check."""

from __future__ import annotations

import json
from typing import Any

import pytest

from sagetrack.config.platform import NameIndices, stable_hash
from sagetrack.discovery.endpoint_list_json import EndpointListSnapshot, encode_endpoint_list
from sagetrack.discovery.endpoint_parsing import (
    NO_ADDRESS,
    index_of_name,
    parse_endpoint_list,
    parse_endpoint_or_withdrawal,
)
from sagetrack.discovery.errors import DiscoveryError, EndpointListError
from sagetrack.discovery.version_check import VersionCheck
from sagetrack.policy.events import ListedServer, ServerStatus

NAMES = NameIndices(classes={}, tenants={}, zones={"a": 0, "b": 1}, kinds={"m": 0})
ENTRY = {
    "name": "s-1",
    "address": "127.0.0.1:80",
    "status": "SERVING",
    "zone": "b",
    "type": "m",
    "group": "g",
    "weight": 2,
    "since_ms": 5,
}


def test_all_fields_of_an_entry_are_parsed() -> None:
    endpoint = parse_endpoint_or_withdrawal(ENTRY, NAMES)
    assert endpoint is not None and (endpoint.name, endpoint.address) == ("s-1", ("127.0.0.1", 80))
    assert endpoint.listed == ListedServer(
        server=stable_hash("s-1", 4),
        status=ServerStatus.READY,
        weight=2.0,
        zone=1,
        group=stable_hash("g", 4),
        kind=0,
        started_us=5000,
    )


@pytest.mark.parametrize("weight", [0, -1, 1e9, "heavy", None, float("nan")])
@pytest.mark.parametrize("status", ["DRAINING", "DELETED", "PAUSED", None])
def test_an_unusable_entry_withdraws_its_server_unless_it_serves(weight: object, status: object) -> None:
    endpoint = parse_endpoint_or_withdrawal(ENTRY | {"weight": weight, "status": status}, NAMES)
    assert endpoint is not None and endpoint.address == NO_ADDRESS
    assert endpoint.listed == ListedServer(stable_hash("s-1", 4), ServerStatus.GONE)
    assert parse_endpoint_or_withdrawal(ENTRY | {"weight": weight}, NAMES) is None


@pytest.mark.parametrize("raw", [None, 7, "s-1", [], {}, ENTRY | {"name": ""}, {"status": "DELETED"}])
def test_an_entry_without_a_name_is_skipped(raw: Any) -> None:
    assert parse_endpoint_or_withdrawal(raw, NAMES) is None


def test_an_unknown_name_has_an_index_beyond_the_settings() -> None:
    assert index_of_name("b", NAMES.zones) == 1
    assert index_of_name("z", NAMES.zones) == 2 + stable_hash("z", 4) >= 2


@pytest.mark.parametrize("endpoints", [None, []])
def test_a_list_may_be_empty(endpoints: object) -> None:
    update = parse_endpoint_list({"index": 3, "snapshot": True, "endpoints": endpoints}, NAMES)
    assert update == (3, True, [])


@pytest.mark.parametrize("raw", [None, [], "list", {"index": 1, "endpoints": {}}])
def test_a_value_that_is_not_a_list_raises_a_typed_error(raw: object) -> None:
    with pytest.raises(EndpointListError) as raised:
        parse_endpoint_list(raw, NAMES)
    assert isinstance(raised.value, DiscoveryError) and "endpoint list" in str(raised.value)


def test_a_second_entry_with_the_same_server_id_is_skipped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("sagetrack.discovery.endpoint_parsing.stable_hash", lambda name, size: 7)
    entries = [ENTRY, ENTRY | {"name": "s-2"}, ENTRY | {"weight": 3}]
    update = parse_endpoint_list({"index": 1, "endpoints": entries}, NAMES)
    assert [(endpoint.name, endpoint.listed.weight) for endpoint in update.endpoints] == [("s-1", 3.0)]
    assert not update.is_complete


def test_a_snapshot_applies_changes_to_the_list() -> None:
    snapshot = EndpointListSnapshot()
    one, two, three = ({"name": name, "status": "SERVING"} for name in ("one", "two", "three"))
    snapshot.apply({"endpoints": [one, two, None, {"status": "SERVING"}]}, 1, True)
    snapshot.apply({"endpoints": [three, one | {"status": "DELETED"}]}, 2, False)
    expected = {"index": 2, "snapshot": True, "endpoints": [two, three]}
    assert json.loads(encode_endpoint_list(snapshot.fields())) == expected
    snapshot.apply({"endpoints": None}, 3, True)
    assert snapshot.fields() == {"index": 3, "snapshot": True, "endpoints": []}


def test_encoding_a_list_gives_the_same_json_as_a_plain_encoder() -> None:
    fields = {"index": 2, "snapshot": True, "endpoints": [ENTRY, {"name": "größer"}]}
    mixed = fields | {"endpoints": [json.dumps(ENTRY).encode(), {"name": "größer"}]}
    assert json.loads(encode_endpoint_list(mixed)) == json.loads(encode_endpoint_list(fields)) == fields
    assert encode_endpoint_list({"index": 2}) == b'{"index":2}'


# Version check


def test_an_older_version_is_accepted_when_a_complete_list_repeats_it() -> None:
    check = VersionCheck()
    assert check.accepts(5, False)
    check.record(5)
    assert check.accepts(5, False) and check.accepts(6, True)
    assert not check.accepts(4, True) and check.accepts(4, True)


def test_changes_since_an_older_version_are_never_accepted() -> None:
    check = VersionCheck()
    check.record(5)
    assert not check.accepts(4, False) and not check.accepts(4, False) and check.accepts(4, True)


def test_a_response_that_is_not_older_ends_the_repetition() -> None:
    check = VersionCheck()
    check.record(5)
    assert not check.accepts(4, True) and check.accepts(5, False) and not check.accepts(4, True)
    check.reset()
    assert check.newest is None and check.accepts(1, False)
