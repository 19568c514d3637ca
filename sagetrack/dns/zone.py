"""Zones that the gateway answers itself: its installation's gateways and servers, and static zone files.

The installation's zone follows discovery: it has the servers that are ready, its serial rises with each
change (RFC 1982), and a name or type that does not exist is answered with the SOA (RFC 2308). Responses are
rendered by `dnspython` once for each name, type and order, and are then sent like any other answer.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

import dns.exception
import dns.flags
import dns.ipv4
import dns.ipv6
import dns.message
import dns.name
import dns.rcode
import dns.rdata
import dns.rdataclass
import dns.rdatatype
import dns.reversename
import dns.rrset
import dns.zone

from sagetrack.dns.answer import Answer, parse_answer
from sagetrack.dns.errors import DnsError
from sagetrack.dns.message import MAX_LABEL_BYTES, MAX_MESSAGE_BYTES, Query

ORDERS = 8  # of the servers' records, drawn by weight; each response has the next
MAX_RENDERED = 4096  # responses that are kept rendered
SERIAL_MODULUS = 2**32  # RFC 1982
MIN_WEIGHT = 1e-6
IN = dns.rdataclass.IN
Records = dict[dns.name.Name, dict[int, list[dns.rdata.Rdata]]]


class ZoneError(DnsError):
    """A zone that cannot be used; the message says in one line which and why."""


@dataclass(slots=True, frozen=True)
class ZoneMember:
    """A server or a gateway of the installation's zone."""

    name: str
    host: str
    port: int
    weight: float = 1.0  # as it is listed


@dataclass(slots=True)
class Zone:
    """Records of one origin."""

    origin: dns.name.Name
    records: Records
    soa: dns.rrset.RRset
    empty_non_terminals: set[dns.name.Name] = field(default_factory=set)  # names with names below (RFC 8499)

    def __post_init__(self) -> None:
        for name in self.records:
            parent = name
            while parent != self.origin and parent.is_subdomain(self.origin):
                parent = parent.parent()
                self.empty_non_terminals.add(parent)


def label(name: str) -> str:
    """A label of letters, digits and hyphens (RFC 1123, 2.1) for a server's name."""
    made = "".join(c if c.isascii() and (c.isalnum() or c == "-") else "-" for c in name.lower()).strip("-")
    return made[:MAX_LABEL_BYTES] or "server"


def weighted_order(
    members: list[ZoneMember], weights: Mapping[str, float], draw: random.Random
) -> list[ZoneMember]:
    """The members in a random order in which the heavier ones tend to come first.

    Each gets the key u ** (1 / weight), the largest first (Efraimidis and Spirakis 2006).
    """

    def key(member: ZoneMember) -> float:
        weight = max(MIN_WEIGHT, member.weight * weights.get(member.name, 1.0))
        return float(draw.random() ** (1.0 / weight))

    return sorted(members, key=key, reverse=True)


class InstallationZone:
    """Builds the zone of the installation, and the reverse names of its servers.

    Args:
        origin: Of the zone.
        ttl_s: Of its records.
        negative_ttl_s: For how long a missing name may be cached.
    """

    def __init__(self, origin: dns.name.Name, ttl_s: int, negative_ttl_s: int) -> None:
        self.origin, self.ttl_s, self.negative_ttl_s = origin, ttl_s, negative_ttl_s
        self.records: Records = {}
        self.reverse: dict[dns.name.Name, dns.name.Name] = {}  # by reverse name: the server's name

    def build(self, gateways: list[ZoneMember], servers: list[ZoneMember], serial: int) -> Zone:
        """Build the zone with these members."""
        self.add(self.origin, "NS", f"ns.{self.origin}")
        for member in gateways:
            self.add_gateway(member)
        for member in servers:
            self.add_server(member)
        text = f"ns.{self.origin} hostmaster.{self.origin} {serial} 60 30 600 {self.negative_ttl_s}"
        soa = dns.rrset.from_text(self.origin, self.ttl_s, "IN", "SOA", text)
        self.records.setdefault(self.origin, {})[dns.rdatatype.SOA] = list(soa)
        return Zone(self.origin, self.records, soa)

    def add_gateway(self, member: ZoneMember) -> None:
        """Add a gateway, which is a name server too."""
        self.add_address(f"{label(member.name)}.gateways", member.host)
        self.add_address("gateways", member.host)
        self.add_address("ns", member.host)

    def add_server(self, member: ZoneMember) -> None:
        """Add a server: addresses, a service record (RFC 2782) and its reverse name."""
        name = self.add_address(f"{label(member.name)}.servers", member.host)
        self.add_address("servers", member.host)
        weight = max(1, min(65_535, round(100 * member.weight)))
        service = name_below("_http._tcp.servers", self.origin)
        self.add(service, "SRV", f"0 {weight} {member.port} {name}")
        self.reverse.setdefault(dns.reversename.from_address(member.host), name)

    def add_address(self, text: str, host: str) -> dns.name.Name:
        """Add an address record for a name below the origin; the name."""
        name = name_below(text, self.origin)
        self.add(name, "AAAA" if ":" in host else "A", host)
        return name

    def add(self, name: dns.name.Name, kind: str, text: str) -> None:
        """Add a record."""
        type_ = dns.rdatatype.from_text(kind)
        rdata = dns.rdata.from_text(IN, type_, text, self.origin, relativize=False)
        self.records.setdefault(name, {}).setdefault(type_, []).append(rdata)


class LocalZones:
    """All zones that the gateway answers itself.

    Args:
        origin: Of the installation's zone; empty if it has none.
        seed: Of the orders that are drawn.
        ttl_s: Of the installation's records.
        negative_ttl_s: For how long a missing name may be cached.
        gateways: Of the installation.
        files: Origin and path of each zone file.
        serial: First serial of the installation's zone.
        weights: Current weights of the servers, by name.

    Raises:
        ZoneError: An origin or a file cannot be used.
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
        self.draw = random.Random(seed)
        self.ttl_s, self.negative_ttl_s, self.weights = ttl_s, negative_ttl_s, weights
        self.gateways = list(gateways)
        self.serial = serial % SERIAL_MODULUS
        self.members: list[ZoneMember] = []
        self.rendered: dict[tuple[bytes, int, int], Answer | None] = {}
        self.order_index = 0
        self.orders: list[list[ZoneMember]] = []
        self.reverse: dict[dns.name.Name, dns.name.Name] = {}
        self.zones: dict[dns.name.Name, Zone] = {}
        self.origin: dns.name.Name | None = None
        if origin:
            try:
                self.origin = dns.name.from_text(origin)
            except dns.exception.DNSException as error:
                raise ZoneError(f"zone {origin}: {error}") from None
        for name, path in files:
            zone = read_zone_file(name, path)
            self.zones[zone.origin] = zone
        self.rebuild()

    # The installation's zone

    def update(self, members: Iterable[ZoneMember]) -> bool:
        """Take over the servers that are ready now; False if nothing has changed."""
        fresh = sorted(members, key=lambda member: member.name)
        if fresh == self.members:
            return False
        self.members = fresh
        self.serial = (self.serial + 1) % SERIAL_MODULUS or 1
        self.rebuild()
        return True

    def turn_orders(self) -> None:
        """Draw new orders by the current weights."""
        if self.rendered:
            self.rebuild()

    def rebuild(self) -> None:
        """Build the installation's zone anew; rendered responses are dropped."""
        self.rendered = {}
        if self.origin is None:
            return
        weights = self.weights()
        self.orders = [weighted_order(self.members, weights, self.draw) for _ in range(ORDERS)]
        zone = InstallationZone(self.origin, self.ttl_s, self.negative_ttl_s)
        self.zones[self.origin] = zone.build(self.gateways, self.members, self.serial)
        self.reverse = zone.reverse

    # Answers

    def answer(self, query: Query) -> Answer | None:
        """The answer to a question; None if it is about none of these zones."""
        self.order_index = (self.order_index + 1) % ORDERS
        key = (query.name, query.type, self.order_index)
        if key not in self.rendered or query.query_class != IN:
            if len(self.rendered) >= MAX_RENDERED:
                self.rendered.clear()
            made = self.render(query) if query.query_class == IN else None
            if query.query_class != IN:
                return None
            self.rendered[key] = made
        return self.rendered[key]

    def render(self, query: Query) -> Answer | None:
        """Render the response to a question in class IN; None if it is about none of these zones."""
        name, _ = dns.name.from_wire(query.name, 0)
        reply = dns.message.QueryMessage(id=0)
        reply.flags = dns.flags.QR | dns.flags.AA
        reply.question.append(dns.rrset.RRset(name, IN, dns.rdatatype.RdataType.make(query.type)))
        target = self.reverse.get(name)
        if target is not None and query.type == dns.rdatatype.PTR:
            rdata = dns.rdata.from_text(IN, dns.rdatatype.PTR, target.to_text())
            reply.answer.append(dns.rrset.from_rdata_list(name, self.ttl_s, [rdata]))
        else:
            zone = self.zone_of(name)
            if zone is None:
                return None
            self.fill(reply, zone, name, query.type)
        wire = reply.to_wire(max_size=MAX_MESSAGE_BYTES, want_shuffle=False)  # type: ignore[arg-type]
        return parse_answer(wire, query, 0)

    def zone_of(self, name: dns.name.Name) -> Zone | None:
        """The zone of a name: the one with the longest origin."""
        while True:
            zone = self.zones.get(name)
            if zone is not None or name == dns.name.root:
                return zone
            name = name.parent()

    def fill(self, reply: dns.message.Message, zone: Zone, name: dns.name.Name, type_: int) -> None:
        """Add the records, or the denial, that answer a question (RFC 1034, 4.3.2)."""
        found = zone.records.get(name)
        ttl = zone.soa.ttl
        alias = found.get(dns.rdatatype.CNAME) if found is not None else None
        if found is not None and type_ in found:
            reply.answer.append(dns.rrset.from_rdata_list(name, ttl, self.ordered(zone, name, found[type_])))
        elif alias is not None:
            reply.answer.append(dns.rrset.from_rdata_list(name, ttl, alias))
            target = alias[0].target  # type: ignore[attr-defined]
            inside = zone.records.get(target, {})
            if type_ in inside:
                reply.answer.append(dns.rrset.from_rdata_list(target, ttl, inside[type_]))
        else:
            if found is None and name not in zone.empty_non_terminals:
                reply.set_rcode(dns.rcode.NXDOMAIN)
            reply.authority.append(zone.soa)

    def ordered(
        self, zone: Zone, name: dns.name.Name, rdatas: list[dns.rdata.Rdata]
    ) -> list[dns.rdata.Rdata]:
        """Records in the current order, where they are the addresses of all servers."""
        if zone.origin != self.origin or name != name_below("servers", zone.origin) or len(rdatas) < 2:
            return rdatas
        place = {member.host: number for number, member in enumerate(self.orders[self.order_index])}
        return sorted(rdatas, key=lambda rdata: place.get(rdata.to_text(), len(place)))


def name_below(text: str, origin: dns.name.Name) -> dns.name.Name:
    """A relative name, below an origin."""
    return dns.name.from_text(text, origin)


def read_zone_file(name: str, path: str) -> Zone:
    """Read a zone file (RFC 1035, section 5).

    Raises:
        ZoneError: It cannot be used; the message has file and line.
    """
    try:
        read = dns.zone.from_text(Path(path).read_text(encoding="utf-8"), origin=name, relativize=False)
    except OSError as error:
        raise ZoneError(f"{path}: {error.strerror}") from None
    except (dns.exception.DNSException, ValueError) as error:
        raise ZoneError(f"{path}: {str(error) or type(error).__name__}") from None
    records: Records = {}
    ttl = 3600
    for owner, rdataset in read.iterate_rdatasets():
        records.setdefault(owner, {})[rdataset.rdtype] = list(rdataset)
        if rdataset.rdtype == dns.rdatatype.SOA:
            ttl = rdataset.ttl
    origin = dns.name.from_text(name)
    soa = dns.rrset.from_rdata_list(origin, ttl, records[origin][dns.rdatatype.SOA])
    return Zone(origin, records, soa)
