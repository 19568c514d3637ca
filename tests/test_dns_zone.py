"""Zones that the gateway answers itself."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import dns.edns
import dns.flags
import dns.message
import dns.rcode
import dns.rdatatype
import pytest

from sagetrack.dns.answer import encode_response
from sagetrack.dns.message import parse_query
from sagetrack.dns.service import ZoneConfig
from sagetrack.dns.zone import LocalZones
from sagetrack.dns.zone_records import ZoneError, ZoneMember
from sagetrack.lab.stand_ins.dns_server import nameserver
from tests.dns_helpers import (
    UdpClient,
    extended_errors,
    query,
    running_service,
)
from tests.sockets import on_event_loop


def zone_query(name: str, rdtype: str = "A") -> Any:
    return parse_query(query(name, rdtype))


def respond(zones: LocalZones, name: str, rdtype: str = "A") -> dns.message.Message:
    parsed_query = zone_query(name, rdtype)
    parsed_response = zones.resolve(parsed_query)
    assert parsed_response is not None
    return dns.message.from_wire(encode_response(parsed_query, parsed_response, 65_535))


SERVERS = [
    ZoneMember("s-1", "192.0.2.1", 8081),
    ZoneMember("S_2", "192.0.2.2", 8082, 2.0),
    ZoneMember("s-6", "2001:db8::6", 80),
]


def installation_zones(**options: Any) -> LocalZones:
    zones = LocalZones("sur.example.", 1, gateways=[ZoneMember("g1", "198.51.100.1", 80)], **options)
    zones.update(SERVERS)
    return zones


def test_zone_has_servers_gateways_services_and_reverse_names() -> None:
    zones = installation_zones()
    assert {r.to_text() for r in respond(zones, "servers.sur.example.").answer[0]} == {
        "192.0.2.1",
        "192.0.2.2",
    }
    assert respond(zones, "SERVERS.sur.example.", "AAAA").answer[0][0].to_text() == "2001:db8::6"
    assert respond(zones, "s-2.servers.sur.example.").answer[0][0].to_text() == "192.0.2.2"
    assert respond(zones, "gateways.sur.example.").answer[0][0].to_text() == "198.51.100.1"
    services = {r.to_text() for r in respond(zones, "_http._tcp.servers.sur.example.", "SRV").answer[0]}
    assert "0 200 8082 s-2.servers.sur.example." in services and len(services) == 3
    pointer = respond(zones, "1.2.0.192.in-addr.arpa.", "PTR")
    assert pointer.answer[0][0].to_text() == "s-1.servers.sur.example."
    assert zones.resolve(zone_query("www.other.example.")) is None


def test_missing_names_and_types_are_answered_with_the_soa() -> None:
    zones = installation_zones()
    missing = respond(zones, "s-9.servers.sur.example.")
    empty_non_terminal = respond(zones, "_tcp.servers.sur.example.")
    other_type = respond(zones, "s-1.servers.sur.example.", "MX")
    assert (
        missing.rcode() == dns.rcode.NXDOMAIN
        and empty_non_terminal.rcode() == other_type.rcode() == dns.rcode.NOERROR
    )
    for message in (missing, empty_non_terminal, other_type):
        assert not message.answer and message.authority[0].rdtype == dns.rdatatype.SOA
        assert message.flags & dns.flags.AA


def test_serial_rises_only_when_the_servers_change() -> None:
    zones = installation_zones(serial=2**32 - 1)
    first = zones.serial
    assert not zones.update(list(reversed(SERVERS))) and zones.serial == first
    assert zones.update(SERVERS[1:]) and zones.serial == first + 1
    assert respond(zones, "s-1.servers.sur.example.").rcode() == dns.rcode.NXDOMAIN
    assert respond(zones, "sur.example.", "SOA").answer[0][0].serial == zones.serial


def test_order_of_servers_follows_their_weights() -> None:
    weights = {"a": 1.0, "b": 0.05}
    zones = LocalZones("z.example.", 3, weights=lambda: weights)
    zones.update([ZoneMember("a", "192.0.2.1", 1), ZoneMember("b", "192.0.2.2", 1)])
    first = 0
    for _ in range(40):
        zones.reshuffle()
        heads = [respond(zones, "servers.z.example.").answer[0][0].to_text() for _ in range(8)]
        first += heads.count("192.0.2.1")
    assert 0.85 < first / 320 < 1.0


def test_zone_file_is_served_and_an_invalid_one_is_named_in_the_error(tmp_path: Path) -> None:
    valid_file, invalid_file = tmp_path / "good.zone", tmp_path / "bad.zone"
    soa = "@ 300 IN SOA ns root 1 60 60 60 60\n@ 300 IN NS ns\nns 300 IN A 192.0.2.53\n"
    valid_file.write_text(soa + "www 300 IN CNAME host\nhost 300 IN A 192.0.2.80\n")
    zones = LocalZones("", 1, files=[("static.example.", str(valid_file))])
    message = respond(zones, "www.static.example.")
    assert [rrset.rdtype for rrset in message.answer] == [dns.rdatatype.CNAME, dns.rdatatype.A]
    invalid_file.write_text("@ 300 IN A not-an-address\n")
    for path in (invalid_file, tmp_path / "none"):
        with pytest.raises(ZoneError, match=str(path)):
            LocalZones("", 1, files=[("static.example.", str(path))])


@on_event_loop
async def test_local_zone_and_forwarded_names_are_served_by_one_listener() -> None:
    options = {"zone": ZoneConfig("sur.example.")}
    async with nameserver() as upstream, running_service(upstream, **options) as (service, address):
        service.set_zone_servers([("s-1", ("192.0.2.7", 80), 1.0)])
        client = await UdpClient.to(address)
        local = await client.exchange(query("servers.sur.example."))
        forwarded = await client.exchange(query("else.example."))
        assert local.answer[0][0].to_text() == "192.0.2.7" and forwarded.answer[0][0].to_text() == "192.0.2.1"
        assert upstream.udp_queries == 1
        client.transport.close()
    async with running_service(**options) as (service, address):
        client = await UdpClient.to(address)
        refused = await client.exchange(query("else.example.", use_edns=0))
        assert refused.rcode() == dns.rcode.REFUSED and extended_errors(refused) == [20]
        client.transport.close()
