"""Zones that the gateway serves itself: the zone of its installation, and static zone files.

The installation's zone lists the gateways and the ready servers. It follows service discovery, and its serial
increases with each change (RFC 1982). A query for a name or type that does not exist gets a negative response
with the SOA (RFC 2308). `dnspython` renders each response once per name, type and order of the servers; the
rendered responses are then sent like those from upstream servers.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdata
import dns.rdatatype
import dns.rrset

from sagetrack.dns.answer import DnsResponse, parse_response
from sagetrack.dns.message import MAX_MESSAGE_BYTES, Query
from sagetrack.dns.zone_records import (
    IN,
    InstallationZone,
    Zone,
    ZoneError,
    ZoneMember,
    name_below,
    read_zone_file,
    weighted_order,
)

ORDER_COUNT = 8  # number of random orders of the servers, weighted; responses use them in turn
MAX_RENDERED_RESPONSES = 4096  # limit on the responses that are kept rendered
SERIAL_MODULUS = 2**32  # RFC 1982


class LocalZones:
    """All zones that the gateway serves itself.

    Args:
        origin: Origin of the installation's zone; empty if there is no such zone.
        seed: Seed of the random orders of the servers.
        ttl_s: TTL of the records in the installation's zone.
        negative_ttl_s: Time for which clients may cache a negative response.
        gateways: The gateways of the installation.
        files: Origin and path of each zone file.
        serial: First serial number of the installation's zone.
        weights: Returns the current weights of the servers, by name.

    Raises:
        ZoneError: An origin or a zone file is invalid.
    """

    def __init__(
        self,
        origin: str,
        seed: int,
        ttl_s: int = 5,
        negative_ttl_s: int = 5,
        gateways: Iterable[ZoneMember] = (),
        files: Iterable[tuple[str, str]] = (),
        serial: int = 1,
        weights: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
        self.rng = random.Random(seed)
        self.ttl_s = ttl_s
        self.negative_ttl_s = negative_ttl_s
        self.weights = weights
        self.gateways = list(gateways)
        self.serial = serial % SERIAL_MODULUS
        self.members: list[ZoneMember] = []
        self.rendered: dict[tuple[bytes, int, int], DnsResponse | None] = {}
        self.order_index = 0
        self.orders: list[list[ZoneMember]] = []
        self.reverse_names: dict[dns.name.Name, dns.name.Name] = {}
        self.zones: dict[dns.name.Name, Zone] = {}
        self.origin: dns.name.Name | None = None
        if origin:
            try:
                self.origin = dns.name.from_text(origin)
            except dns.exception.DNSException as error:
                raise ZoneError(f"invalid zone origin {origin}: {error}") from None
        for name, path in files:
            zone = read_zone_file(name, path)
            self.zones[zone.origin] = zone
        self.rebuild()

    # Installation zone

    def update(self, members: Iterable[ZoneMember]) -> bool:
        """Set the ready servers of the installation's zone; returns whether they have changed."""
        sorted_members = sorted(members, key=lambda member: member.name)
        if sorted_members == self.members:
            return False
        self.members = sorted_members
        self.serial = (self.serial + 1) % SERIAL_MODULUS or 1
        self.rebuild()
        return True

    def reshuffle(self) -> None:
        """Draw new random orders of the servers by their current weights."""
        if self.rendered:
            self.rebuild()

    def rebuild(self) -> None:
        """Rebuild the installation's zone, and discard the rendered responses."""
        self.rendered = {}
        if self.origin is None:
            return
        weights = self.weights()
        self.orders = [weighted_order(self.members, weights, self.rng) for _ in range(ORDER_COUNT)]
        zone = InstallationZone(self.origin, self.ttl_s, self.negative_ttl_s)
        self.zones[self.origin] = zone.build(self.gateways, self.members, self.serial)
        self.reverse_names = zone.reverse_names

    # Responses

    def resolve(self, query: Query) -> DnsResponse | None:
        """Return the response to a query, or None if the name is in no local zone."""
        self.order_index = (self.order_index + 1) % ORDER_COUNT
        if query.query_class != IN:
            return None
        key = (query.name, query.type, self.order_index)
        if key not in self.rendered:
            if len(self.rendered) >= MAX_RENDERED_RESPONSES:
                self.rendered.clear()
            self.rendered[key] = self.render(query)
        return self.rendered[key]

    def render(self, query: Query) -> DnsResponse | None:
        """Render the response to a query of class IN; returns None if the name is in no local zone."""
        name, _ = dns.name.from_wire(query.name, 0)
        reply = dns.message.QueryMessage(id=0)
        reply.flags = dns.flags.QR | dns.flags.AA
        reply.question.append(dns.rrset.RRset(name, IN, dns.rdatatype.RdataType.make(query.type)))
        server_name = self.reverse_names.get(name)
        if server_name is not None and query.type == dns.rdatatype.PTR:
            rdata = dns.rdata.from_text(IN, dns.rdatatype.PTR, server_name.to_text())
            reply.answer.append(dns.rrset.from_rdata_list(name, self.ttl_s, [rdata]))
        else:
            zone = self.find_zone(name)
            if zone is None:
                return None
            self.add_records(reply, zone, name, query.type)
        wire = reply.to_wire(max_size=MAX_MESSAGE_BYTES, want_shuffle=False)  # type: ignore[arg-type]
        return parse_response(wire, query, 0)

    def find_zone(self, name: dns.name.Name) -> Zone | None:
        """Return the zone that contains a name: the one with the longest matching origin."""
        while True:
            zone = self.zones.get(name)
            if zone is not None or name == dns.name.root:
                return zone
            name = name.parent()

    def add_records(self, reply: dns.message.Message, zone: Zone, name: dns.name.Name, rdtype: int) -> None:
        """Add the records that answer the question, or else NXDOMAIN or no data (RFC 1034, 4.3.2)."""
        records = zone.records.get(name)
        ttl = zone.soa.ttl
        cname = records.get(dns.rdatatype.CNAME) if records is not None else None
        if records is not None and rdtype in records:
            reply.answer.append(
                dns.rrset.from_rdata_list(name, ttl, self.in_current_order(zone, name, records[rdtype]))
            )
        elif cname is not None:
            reply.answer.append(dns.rrset.from_rdata_list(name, ttl, cname))
            target = cname[0].target  # type: ignore[attr-defined]
            target_records = zone.records.get(target, {})
            if rdtype in target_records:
                reply.answer.append(dns.rrset.from_rdata_list(target, ttl, target_records[rdtype]))
        else:
            if records is None and name not in zone.empty_non_terminals:
                reply.set_rcode(dns.rcode.NXDOMAIN)
            reply.authority.append(zone.soa)

    def in_current_order(
        self, zone: Zone, name: dns.name.Name, rdatas: list[dns.rdata.Rdata]
    ) -> list[dns.rdata.Rdata]:
        """Return the records, in the current random order if they are the addresses of all servers."""
        if zone.origin != self.origin or name != name_below("servers", zone.origin) or len(rdatas) < 2:
            return rdatas
        positions = {member.host: number for number, member in enumerate(self.orders[self.order_index])}
        return sorted(rdatas, key=lambda rdata: positions.get(rdata.to_text(), len(positions)))
