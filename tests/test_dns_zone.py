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

from sagetrack.dns.answer import encode_reply
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


def asked(name: str, kind: str = "A") -> Any:
    return parse_query(query(name, kind))


def said(zones: LocalZones, name: str, kind: str = "A") -> dns.message.Message:
    made = asked(name, kind)
    answer = zones.answer(made)
    assert answer is not None
    return dns.message.from_wire(encode_reply(made, answer, 65_535))


SERVERS = [
    ZoneMember("s-1", "192.0.2.1", 8081),
    ZoneMember("S_2", "192.0.2.2", 8082, 2.0),
    ZoneMember("s-6", "2001:db8::6", 80),
]


def installation_zones(**more: Any) -> LocalZones:
    zones = LocalZones("sur.example.", 1, gateways=[ZoneMember("g1", "198.51.100.1", 80)], **more)
    zones.update(SERVERS)
    return zones


def test_the_zone_has_servers_gateways_services_and_reverse_names() -> None:
    zones = installation_zones()
    assert {r.to_text() for r in said(zones, "servers.sur.example.").answer[0]} == {"192.0.2.1", "192.0.2.2"}
    assert said(zones, "SERVERS.sur.example.", "AAAA").answer[0][0].to_text() == "2001:db8::6"
    assert said(zones, "s-2.servers.sur.example.").answer[0][0].to_text() == "192.0.2.2"
    assert said(zones, "gateways.sur.example.").answer[0][0].to_text() == "198.51.100.1"
    services = {r.to_text() for r in said(zones, "_http._tcp.servers.sur.example.", "SRV").answer[0]}
    assert "0 200 8082 s-2.servers.sur.example." in services and len(services) == 3
    pointer = said(zones, "1.2.0.192.in-addr.arpa.", "PTR")
    assert pointer.answer[0][0].to_text() == "s-1.servers.sur.example."
    assert zones.answer(asked("www.other.example.")) is None


def test_what_is_not_there_is_denied_with_the_soa_and_empty_names_exist() -> None:
    zones = installation_zones()
    none = said(zones, "s-9.servers.sur.example.")
    empty = said(zones, "_tcp.servers.sur.example.")
    other = said(zones, "s-1.servers.sur.example.", "MX")
    assert none.rcode() == dns.rcode.NXDOMAIN and empty.rcode() == other.rcode() == dns.rcode.NOERROR
    for message in (none, empty, other):
        assert not message.answer and message.authority[0].rdtype == dns.rdatatype.SOA
        assert message.flags & dns.flags.AA


def test_the_serial_rises_only_with_the_list_and_removed_servers_are_gone() -> None:
    zones = installation_zones(serial=2**32 - 1)
    first = zones.serial
    assert not zones.update(list(reversed(SERVERS))) and zones.serial == first
    assert zones.update(SERVERS[1:]) and zones.serial == first + 1
    assert said(zones, "s-1.servers.sur.example.").rcode() == dns.rcode.NXDOMAIN
    assert said(zones, "sur.example.", "SOA").answer[0][0].serial == zones.serial


def test_the_order_of_servers_follows_their_weights() -> None:
    weights = {"a": 1.0, "b": 0.05}
    zones = LocalZones("z.example.", 3, weights=lambda: weights)
    zones.update([ZoneMember("a", "192.0.2.1", 1), ZoneMember("b", "192.0.2.2", 1)])
    first = 0
    for _ in range(40):
        zones.draw_orders()
        heads = [said(zones, "servers.z.example.").answer[0][0].to_text() for _ in range(8)]
        first += heads.count("192.0.2.1")
    assert 0.85 < first / 320 < 1.0


def test_a_zone_file_is_served_and_a_bad_one_named(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.zone", tmp_path / "bad.zone"
    soa = "@ 300 IN SOA ns root 1 60 60 60 60\n@ 300 IN NS ns\nns 300 IN A 192.0.2.53\n"
    good.write_text(soa + "www 300 IN CNAME host\nhost 300 IN A 192.0.2.80\n")
    zones = LocalZones("", 1, files=[("static.example.", str(good))])
    message = said(zones, "www.static.example.")
    assert [rrset.rdtype for rrset in message.answer] == [dns.rdatatype.CNAME, dns.rdatatype.A]
    bad.write_text("@ 300 IN A not-an-address\n")
    for path in (bad, tmp_path / "none"):
        with pytest.raises(ZoneError, match=str(path)):
            LocalZones("", 1, files=[("static.example.", str(path))])


@on_event_loop
async def test_our_zone_and_the_others_are_answered_by_one_front() -> None:
    plan = {"zone": ZoneConfig("sur.example.")}
    async with nameserver() as upstream, running_service(upstream, **plan) as (service, place):
        service.list_servers([("s-1", ("192.0.2.7", 80), 1.0)])
        client = await UdpClient.to(place)
        own = await client.ask(query("servers.sur.example."))
        other = await client.ask(query("else.example."))
        assert own.answer[0][0].to_text() == "192.0.2.7" and other.answer[0][0].to_text() == "192.0.2.1"
        assert upstream.udp_queries == 1
        client.transport.close()
    async with running_service(**plan) as (service, place):
        client = await UdpClient.to(place)
        refused = await client.ask(query("else.example.", use_edns=0))
        assert refused.rcode() == dns.rcode.REFUSED and extended_errors(refused) == [20]
        client.transport.close()
