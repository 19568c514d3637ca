"""The records of a zone, which are built from the servers of the installation or read from a zone file."""

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
SRV_WEIGHT_SCALE = 100  # factor for server weights, as the weights in SRV records are integers
DEFAULT_TTL_S = 3600  # initial TTL of a zone file, until its SOA record is read
IN = dns.rdataclass.IN
Records = dict[dns.name.Name, dict[int, list[dns.rdata.Rdata]]]


class ZoneError(DnsError):
    """Raised for an invalid zone; the message names the zone or file and the fault in one line."""


@dataclass(slots=True, frozen=True)
class ZoneMember:
    """A server or a gateway in the installation's zone."""

    name: str
    host: str
    port: int
    weight: float = 1.0  # the weight in the endpoint list


@dataclass(slots=True)
class Zone:
    """The records of a zone."""

    origin: dns.name.Name
    records: Records
    soa: dns.rrset.RRset
    # All names that have names below them; these exist even if they have no records (RFC 8499).
    empty_non_terminals: set[dns.name.Name] = field(default_factory=set)

    def __post_init__(self) -> None:
        for name in self.records:
            parent = name
            while parent != self.origin and parent.is_subdomain(self.origin):
                parent = parent.parent()
                self.empty_non_terminals.add(parent)


def label(name: str) -> str:
    """Convert a server's name to a label of letters, digits and hyphens (RFC 1123, 2.1)."""
    characters = (c if c.isascii() and (c.isalnum() or c == "-") else "-" for c in name.lower())
    return "".join(characters).strip("-")[:MAX_LABEL_BYTES] or "server"


def weighted_order(
    members: list[ZoneMember], weights: Mapping[str, float], rng: random.Random
) -> list[ZoneMember]:
    """Return the members in a weighted random order, in which heavier ones tend to come first.

    Members are sorted by descending u ** (1 / weight), with u random (Efraimidis and Spirakis 2006).
    """

    def key(member: ZoneMember) -> float:
        weight = max(MIN_WEIGHT, member.weight * weights.get(member.name, 1.0))
        return float(rng.random() ** (1.0 / weight))

    return sorted(members, key=key, reverse=True)


class InstallationZone:
    """Builds the zone of the installation, and the reverse names of its servers.

    Args:
        origin: Origin of the zone.
        ttl_s: TTL of its SOA record, which applies to all its records.
        negative_ttl_s: Time for which clients may cache a negative response.
    """

    def __init__(self, origin: dns.name.Name, ttl_s: int, negative_ttl_s: int) -> None:
        self.origin = origin
        self.ttl_s = ttl_s
        self.negative_ttl_s = negative_ttl_s
        self.records: Records = {}
        self.reverse_names: dict[dns.name.Name, dns.name.Name] = {}  # server names by reverse name

    def build(self, gateways: list[ZoneMember], servers: list[ZoneMember], serial: int) -> Zone:
        """Build the zone with these gateways and servers."""
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
        """Add the address records of a gateway, which is also a name server of the zone."""
        self.add_address(f"{label(member.name)}.gateways", member.host)
        self.add_address("gateways", member.host)
        self.add_address("ns", member.host)

    def add_server(self, member: ZoneMember) -> None:
        """Add the address records, the SRV record (RFC 2782) and the reverse name of a server."""
        name = self.add_address(f"{label(member.name)}.servers", member.host)
        self.add_address("servers", member.host)
        weight = max(1, min(MAX_SRV_WEIGHT, round(SRV_WEIGHT_SCALE * member.weight)))
        service = name_below("_http._tcp.servers", self.origin)
        self.add(service, "SRV", f"0 {weight} {member.port} {name}")
        self.reverse_names.setdefault(dns.reversename.from_address(member.host), name)

    def add_address(self, text: str, host: str) -> dns.name.Name:
        """Add an A or AAAA record for a name relative to the origin, and return the full name."""
        name = name_below(text, self.origin)
        self.add(name, "AAAA" if ":" in host else "A", host)
        return name

    def add(self, name: dns.name.Name, record_type: str, text: str) -> None:
        """Parse the data of a record, and add the record."""
        rdtype = dns.rdatatype.from_text(record_type)
        rdata = dns.rdata.from_text(IN, rdtype, text, self.origin, relativize=False)
        self.records.setdefault(name, {}).setdefault(rdtype, []).append(rdata)


def name_below(text: str, origin: dns.name.Name) -> dns.name.Name:
    """Return the full name of a name that is relative to an origin."""
    return dns.name.from_text(text, origin)


def read_zone_file(name: str, path: str) -> Zone:
    """Read a zone file (RFC 1035, section 5).

    Raises:
        ZoneError: The file cannot be read or is invalid; the message has the path and, if known, the line.
    """
    try:
        read = dns.zone.from_text(Path(path).read_text(encoding="utf-8"), origin=name, relativize=False)
    except OSError as error:
        raise ZoneError(f"cannot read zone file {path}: {error.strerror}") from None
    except (dns.exception.DNSException, ValueError) as error:
        raise ZoneError(f"invalid zone file {path}: {str(error) or type(error).__name__}") from None
    records: Records = {}
    ttl = DEFAULT_TTL_S
    for owner, rdataset in read.iterate_rdatasets():
        records.setdefault(owner, {})[rdataset.rdtype] = list(rdataset)
        if rdataset.rdtype == dns.rdatatype.SOA:
            ttl = rdataset.ttl
    origin = dns.name.from_text(name)
    soa = dns.rrset.from_rdata_list(origin, ttl, records[origin][dns.rdatatype.SOA])
    return Zone(origin, records, soa)
