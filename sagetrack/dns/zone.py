"""Zones that are answered here: one of the installation's own gateways and servers, and files for what is
static.

The zone follows the roster: only servers that are ready are in it, its serial rises with each change (RFC
1982), and what is not there is denied with its SOA (RFC 2308). Records are rendered by `dnspython` once for
each name, type and order, and go out as any other answer does. No I/O but for reading zone files at the
start.
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

from sagetrack.dns.message import Answer, Query, parse_answer

ORDERS = 8  # of the servers' records, drawn by weight; each answer has the next
RENDERED = 4096  # answers kept ready
SERIAL = 2**32
IN = dns.rdataclass.IN
Records = dict[dns.name.Name, dict[int, list[dns.rdata.Rdata]]]


class ZoneError(ValueError):
    """A zone that cannot be used; the message says which and why, in one line."""


@dataclass(slots=True, frozen=True)
class Member:
    """A server or a gateway as the zone has it."""

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
    inner: set[dns.name.Name] = field(default_factory=set)  # names that only have names below them

    def __post_init__(self) -> None:
        for name in self.records:
            parent = name
            while parent != self.origin and parent.is_subdomain(self.origin):
                parent = parent.parent()
                self.inner.add(parent)


def label(name: str) -> str:
    """A name of the roster as a label: letters, digits and hyphens (RFC 1123), 63 at the most."""
    made = "".join(c if c.isascii() and (c.isalnum() or c == "-") else "-" for c in name.lower()).strip("-")
    return made[:63] or "server"


def weighted_order(members: list[Member], weights: Mapping[str, float], draw: random.Random) -> list[Member]:
    """The members in a random order in which the heavier ones tend to come first.

    Each gets the key u ** (1 / weight), the largest first (Efraimidis and Spirakis 2006).
    """

    def key(member: Member) -> float:
        weight = max(1e-6, member.weight * weights.get(member.name, 1.0))
        return float(draw.random() ** (1.0 / weight))

    return sorted(members, key=key, reverse=True)


class Zones:
    """All zones that are answered here."""

    def __init__(
        self,
        origin: str,
        seed: int,
        ttl_s: int = 5,
        negative_ttl_s: int = 5,
        gateways: Iterable[Member] = (),
        files: Iterable[tuple[str, str]] = (),
        serial: int = 1,
        weights: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
        self.draw = random.Random(seed)
        self.ttl_s, self.negative_ttl_s, self.weights = ttl_s, negative_ttl_s, weights
        self.gateways = list(gateways)
        self.serial = serial % SERIAL
        self.members: list[Member] = []
        self.rendered: dict[tuple[bytes, int, int], Answer | None] = {}
        self.turn = 0
        self.zones: dict[dns.name.Name, Zone] = {}
        self.origin: dns.name.Name | None = None
        if origin:
            try:
                self.origin = dns.name.from_text(origin)
            except dns.exception.DNSException as error:
                raise ZoneError(f"zone {origin}: {error}") from None
        for name, path in files:
            zone = from_file(name, path)
            self.zones[zone.origin] = zone
        self.rebuild()

    # The roster

    def update(self, members: Iterable[Member]) -> bool:
        """The servers that are ready now; False if nothing has changed."""
        fresh = sorted(members, key=lambda member: member.name)
        if fresh == self.members:
            return False
        self.members = fresh
        self.serial = (self.serial + 1) % SERIAL or 1
        self.rebuild()
        return True

    def turn_orders(self) -> None:
        """Draw new orders, as the weights have moved."""
        if self.rendered:
            self.rebuild()

    def rebuild(self) -> None:
        self.rendered = {}
        if self.origin is None:
            return
        weights = self.weights()
        self.orders = [weighted_order(self.members, weights, self.draw) for _ in range(ORDERS)]
        records: Records = {}

        def add(name: dns.name.Name, kind: str, text: str) -> None:
            type_ = dns.rdatatype.from_text(kind)
            rdata = dns.rdata.from_text(IN, type_, text, self.origin, relativize=False)
            records.setdefault(name, {}).setdefault(type_, []).append(rdata)

        def address(name: dns.name.Name, host: str) -> None:
            add(name, "AAAA" if ":" in host else "A", host)

        origin = self.origin
        servers, gateways = origin_name("servers", origin), origin_name("gateways", origin)
        service = origin_name("_http._tcp.servers", origin)
        add(origin, "NS", f"ns.{origin}")
        for member in self.gateways:
            name = origin_name(f"{label(member.name)}.gateways", origin)
            address(name, member.host)
            address(gateways, member.host)
            address(origin_name("ns", origin), member.host)
        reverse: dict[dns.name.Name, dns.name.Name] = {}
        for member in self.members:
            name = origin_name(f"{label(member.name)}.servers", origin)
            address(name, member.host)
            address(servers, member.host)
            add(service, "SRV", f"0 {max(1, min(65_535, round(100 * member.weight)))} {member.port} {name}")
            reverse.setdefault(dns.reversename.from_address(member.host), name)
        text = f"ns.{origin} hostmaster.{origin} {self.serial} 60 30 600 {self.negative_ttl_s}"
        soa = dns.rrset.from_text(origin, self.ttl_s, "IN", "SOA", text)
        records.setdefault(origin, {})[dns.rdatatype.SOA] = list(soa)
        self.zones[origin] = Zone(origin, records, soa)
        self.reverse = reverse

    # Answers

    def answer(self, query: Query) -> Answer | None:
        """Our answer to a question; None if it is about no zone of ours."""
        self.turn = (self.turn + 1) % ORDERS
        key = (query.name, query.type, self.turn)
        if key not in self.rendered or query.klass != IN:
            if len(self.rendered) >= RENDERED:
                self.rendered.clear()
            made = self.render(query) if query.klass == IN else None
            if query.klass != IN:
                return None
            self.rendered[key] = made
        return self.rendered[key]

    def render(self, query: Query) -> Answer | None:
        name, _ = dns.name.from_wire(query.name, 0)
        reply = dns.message.QueryMessage(id=0)
        reply.flags = dns.flags.QR | dns.flags.AA
        reply.question.append(dns.rrset.RRset(name, IN, dns.rdatatype.RdataType.make(query.type)))
        target = getattr(self, "reverse", {}).get(name)
        if target is not None and query.type == dns.rdatatype.PTR:
            rdata = dns.rdata.from_text(IN, dns.rdatatype.PTR, target.to_text())
            reply.answer.append(dns.rrset.from_rdata_list(name, self.ttl_s, [rdata]))
        else:
            zone = self.zone_of(name)
            if zone is None:
                return None
            self.fill(reply, zone, name, query.type)
        wire = reply.to_wire(max_size=65_535, want_shuffle=False)  # type: ignore[arg-type]
        return parse_answer(wire, query, 0)

    def zone_of(self, name: dns.name.Name) -> Zone | None:
        """The zone that a name is in: the one with the longest origin."""
        while True:
            zone = self.zones.get(name)
            if zone is not None or name == dns.name.root:
                return zone
            name = name.parent()

    def fill(self, reply: dns.message.Message, zone: Zone, name: dns.name.Name, type_: int) -> None:
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
            if found is None and name not in zone.inner:
                reply.set_rcode(dns.rcode.NXDOMAIN)
            reply.authority.append(zone.soa)

    def ordered(
        self, zone: Zone, name: dns.name.Name, rdatas: list[dns.rdata.Rdata]
    ) -> list[dns.rdata.Rdata]:
        """All servers' addresses in the order of this turn."""
        if zone.origin != self.origin or name != origin_name("servers", zone.origin) or len(rdatas) < 2:
            return rdatas
        place = {member.host: number for number, member in enumerate(self.orders[self.turn])}
        return sorted(rdatas, key=lambda rdata: place.get(rdata.to_text(), len(place)))


def origin_name(text: str, origin: dns.name.Name) -> dns.name.Name:
    return dns.name.from_text(text, origin)


def from_file(name: str, path: str) -> Zone:
    """Read a zone file (RFC 1035, section 5); ZoneError with file and line if it cannot be used."""
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
