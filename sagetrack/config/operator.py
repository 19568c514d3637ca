"""The operator's own file: TOML that `$LB_OPERATOR` or `--operator` names; what it does not set is off."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterator, Mapping
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from sagetrack.config.validation import Fault, read

VARIABLE = "LB_OPERATOR"


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the program logs."""

    format: Literal["plain", "json", "console"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"
    burst: Annotated[float, Meta(ge=1, le=10_000)] = 20.0  # lines of one event at once
    rate: Annotated[float, Meta(gt=0, le=10_000)] = 5.0  # lines of one event a second, in the long run


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Messages between gateways."""

    use: Literal["off", "platform", "on"] = "platform"  # platform: where its configuration allows them
    listen: Annotated[str, Meta(pattern=r"^\S+:\d{1,5}$")] | None = None
    addresses: list[Annotated[str, Meta(pattern=r"^\S+:\d{1,5}$")]] = msgspec.field(default_factory=list)
    me: Annotated[int, Meta(ge=0, le=65_535)] | None = None  # its place among the addresses, from 0
    period_ms: Annotated[int, Meta(ge=100, le=60_000)] = 1000  # between pings
    timeout_ms: Annotated[int, Meta(ge=10, le=30_000)] = 300  # for an answer, before others are asked
    warm_start: bool = True  # ask the others what they know


Place = Annotated[str, Meta(pattern=r"^\S+:\d{1,5}$")]


class ZoneSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Zones that are answered here; off without an origin or files."""

    origin: str = ""
    ttl_s: Annotated[int, Meta(ge=0, le=86_400)] = 5
    gateways: dict[str, Place] = msgspec.field(default_factory=dict)
    files: dict[str, str] = msgspec.field(default_factory=dict)  # by origin


class DnsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """DNS over UDP and TCP; off without an address to listen at."""

    listen: list[Place] = msgspec.field(default_factory=list)
    upstreams: list[Place] = msgspec.field(default_factory=list)
    type: str = ""  # servers of this type in the list of servers are upstream servers too
    aim_ms: Annotated[int, Meta(ge=1, le=60_000)] = 500
    deadline_ms: Annotated[int, Meta(ge=1, le=60_000)] = 2000
    cache_mb: Annotated[float, Meta(ge=0, le=65_536)] = 32.0
    stale_s: Annotated[float, Meta(ge=0, le=604_800)] = 86_400.0
    allow: list[str] = msgspec.field(default_factory=lambda: ["127.0.0.0/8", "::1/128"])
    deny: list[str] = msgspec.field(default_factory=list)
    answers_per_s: Annotated[float, Meta(ge=0, le=1_000_000)] = 0.0
    queries_each: Annotated[int, Meta(ge=1, le=100_000)] = 256
    queries: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000
    connections_each: Annotated[int, Meta(ge=1, le=10_000)] = 16
    connections: Annotated[int, Meta(ge=1, le=100_000)] = 256
    crowd: Annotated[int, Meta(ge=1, le=100_000)] = 1000
    zone: ZoneSettings = msgspec.field(default_factory=ZoneSettings)


class QueueSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fair queues at the door."""

    use: bool = False
    shares: dict[str, Annotated[float, Meta(gt=0, le=1_000_000)]] = msgspec.field(default_factory=dict)
    flows: Annotated[int, Meta(ge=1, le=65_536)] = 256  # that a member's clients are hashed to
    patience: Annotated[float, Meta(ge=0, le=0.5)] = 0.5  # of the slack under the aim: to wait at the most
    memory_mb: Annotated[float, Meta(ge=1, le=65_536)] = 16.0
    whole_seconds: bool = False  # of Retry-After, for clients that read no fractions
    client_header: Annotated[str, Meta(pattern=r"^[A-Za-z0-9-]*$")] = "X-Client"  # empty: by address alone


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits at the door; they need `queues.use`. A rate of 0 is no limit."""

    adaptive: bool = True  # calls in work, by latency
    repeats: Annotated[float, Meta(ge=0, le=10)] = 0.2  # marked repeats that a first try pays for
    member_per_s: Annotated[float, Meta(ge=0, le=10_000_000)] = 0.0
    member_burst: Annotated[float, Meta(ge=1, le=10_000_000)] = 10.0
    client_per_s: Annotated[float, Meta(ge=0, le=10_000_000)] = 0.0
    client_burst: Annotated[float, Meta(ge=1, le=10_000_000)] = 5.0
    class_per_s: dict[str, Annotated[float, Meta(gt=0, le=10_000_000)]] = msgspec.field(default_factory=dict)
    class_burst: Annotated[float, Meta(ge=1, le=10_000_000)] = 10.0


Part = Annotated[float, Meta(ge=0, le=1)]


class NewerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Servers of the newer format (docs/protocol-2.md); off without types."""

    types: list[Annotated[str, Meta(min_length=1)]] = msgspec.field(default_factory=list)
    share: Part | None = None  # of the work; without it as weights are listed
    tls: bool = False
    ca: str = ""  # files in PEM
    certificate: str = ""
    key: str = ""
    listen: list[Place] = msgspec.field(default_factory=list)  # for clients of the newer format
    share_by_class: dict[str, Part] = msgspec.field(default_factory=dict)
    share_by_member: dict[str, Part] = msgspec.field(default_factory=dict)  # goes before a class's
    compare_per_s: Annotated[float, Meta(ge=0, le=1000)] = 0.0  # answers of safe classes; 0: none
    compare_ignore: list[str] = msgspec.field(default_factory=list)  # headers that may differ


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A store on disk (docs/operators/store.md); off without a folder."""

    folder: str = ""  # {gateway} stands for the gateway's name: each has a folder of its own
    sync: Literal["batch", "every", "never"] = "every"
    every_s: Annotated[float, Meta(ge=0.001, le=60)] = 0.1
    most_mb: Annotated[float, Meta(ge=1, le=100_000)] = 64.0
    knowledge: bool = True  # of servers, so that a restart is warm
    recorder: bool = True  # a record a second, for reports
    keep_hours: Annotated[float, Meta(gt=0, le=87_600)] = 168.0


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    log: LogSettings = msgspec.field(default_factory=LogSettings)
    peers: PeerSettings = msgspec.field(default_factory=PeerSettings)
    dns: DnsSettings = msgspec.field(default_factory=DnsSettings)
    queues: QueueSettings = msgspec.field(default_factory=QueueSettings)
    limits: LimitSettings = msgspec.field(default_factory=LimitSettings)
    newer: NewerSettings = msgspec.field(default_factory=NewerSettings)
    store: StoreSettings = msgspec.field(default_factory=StoreSettings)


def load(path: str) -> Operator:
    """Read the file; `checked.FileError` names everything that is wrong with it."""
    return read(path, Operator, _across)


def _across(operator: Operator) -> Iterator[Fault]:
    """What types cannot tell."""
    if operator.limits != LimitSettings() and not operator.queues.use:
        yield Fault(("limits",), "limits needs queues.use = true")
    if operator.store != StoreSettings() and not operator.store.folder:
        yield Fault(("store",), 'store needs folder, as in "/var/lib/sagetrack/{gateway}"')
    newer = operator.newer
    if newer != NewerSettings() and not newer.types and not newer.listen:
        yield Fault(("newer",), 'newer needs types, of servers in the list, as in ["v2"], or listen')
    if newer.listen and newer.tls and not newer.certificate:
        yield Fault(("newer", "certificate"), "newer.certificate is missing; newer.listen shows it")
    if newer.tls and not newer.ca:
        yield Fault(("newer", "ca"), "newer.ca is missing; it is the file of the authority that servers have")
    if bool(newer.certificate) != bool(newer.key):
        yield Fault(("newer", "certificate"), "newer.certificate and newer.key go together")
    if operator.dns.type and operator.dns.type in newer.types:
        yield Fault(("dns", "type"), f"dns.type = {operator.dns.type!r} is among newer.types")
    dns = operator.dns
    if dns.listen and not (dns.upstreams or dns.type or dns.zone.origin or dns.zone.files):
        why = "dns.upstreams is missing; it is a list of at least one host:port, or there is a dns.type or "
        why += "dns.zone"
        yield Fault(("dns", "upstreams"), why)
    if dns.aim_ms > dns.deadline_ms:
        yield Fault(("dns", "aim_ms"), f"dns.aim_ms = {dns.aim_ms} is above deadline_ms = {dns.deadline_ms}")
    for key in ("allow", "deny"):
        for number, prefix in enumerate(getattr(dns, key)):
            try:
                ipaddress.ip_network(prefix, strict=False)
            except ValueError:
                why = f"dns.{key}[{number + 1}] = {prefix!r} is no prefix, as in 10.0.0.0/8"
                yield Fault(("dns", key), why)


def path_in(environment: Mapping[str, str]) -> str | None:
    return environment.get(VARIABLE) or None
