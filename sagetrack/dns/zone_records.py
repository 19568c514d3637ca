"""The records of a zone: built from the servers of the installation, or read from a zone file."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

import dns.exception
import dns.name
import dns.rdata
import dns.rdataclass
import dns.rdatatype
import dns.reversename
import dns.rrset
import dns.zone

from sagetrack.dns.errors import DnsError
from sagetrack.dns.message import MAX_LABEL_BYTES

MIN_WEIGHT = 1e-6
MAX_SRV_WEIGHT = 65_535
SRV_WEIGHT_SCALE = 100  # of a server's weight, as SRV records have whole numbers
DEFAULT_TTL_S = 3600  # of a zone file, until its SOA is read
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
    characters = (c if c.isascii() and (c.isalnum() or c == "-") else "-" for c in name.lower())
    return "".join(characters).strip("-")[:MAX_LABEL_BYTES] or "server"


def weighted_order(
    members: list[ZoneMember], weights: Mapping[str, float], rng: random.Random
) -> list[ZoneMember]:
    """The members in a random order in which the heavier ones tend to come first.

    Each gets the key u ** (1 / weight), the largest first (Efraimidis and Spirakis 2006).
    """

    def key(member: ZoneMember) -> float:
        weight = max(MIN_WEIGHT, member.weight * weights.get(member.name, 1.0))
        return float(rng.random() ** (1.0 / weight))

    return sorted(members, key=key, reverse=True)


class InstallationZone:
    """Builds the zone of the installation, and the reverse names of its servers.

    Args:
        origin: Of the zone.
        ttl_s: Of its records.
        negative_ttl_s: For how long a missing name may be cached.
    """

    def __init__(self, origin: dns.name.Name, ttl_s: int, negative_ttl_s: int) -> None:
        self.origin = origin
        self.ttl_s = ttl_s
        self.negative_ttl_s = negative_ttl_s
        self.records: Records = {}
        self.reverse_names: dict[dns.name.Name, dns.name.Name] = {}  # by reverse name: the server's name

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
        weight = max(1, min(MAX_SRV_WEIGHT, round(SRV_WEIGHT_SCALE * member.weight)))
        service = name_below("_http._tcp.servers", self.origin)
        self.add(service, "SRV", f"0 {weight} {member.port} {name}")
        self.reverse_names.setdefault(dns.reversename.from_address(member.host), name)

    def add_address(self, text: str, host: str) -> dns.name.Name:
        """Add an address record for a name below the origin; the name."""
        name = name_below(text, self.origin)
        self.add(name, "AAAA" if ":" in host else "A", host)
        return name

    def add(self, name: dns.name.Name, record_type: str, text: str) -> None:
        """Add a record."""
        rdtype = dns.rdatatype.from_text(record_type)
        rdata = dns.rdata.from_text(IN, rdtype, text, self.origin, relativize=False)
        self.records.setdefault(name, {}).setdefault(rdtype, []).append(rdata)


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
    ttl = DEFAULT_TTL_S
    for owner, rdataset in read.iterate_rdatasets():
        records.setdefault(owner, {})[rdataset.rdtype] = list(rdataset)
        if rdataset.rdtype == dns.rdatatype.SOA:
            ttl = rdataset.ttl
    origin = dns.name.from_text(name)
    soa = dns.rrset.from_rdata_list(origin, ttl, records[origin][dns.rdatatype.SOA])
    return Zone(origin, records, soa)
