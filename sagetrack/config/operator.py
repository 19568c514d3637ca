"""The operator's file: TOML that `$LB_OPERATOR` or `--operator` names.

The fields of the structures are its keys, which keep their names. What the file does not set has its default
here.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterator
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from sagetrack.config.validation import Fault, read

HostPort = Annotated[str, Meta(pattern=r"^\S+:\d{1,5}$")]
Fraction = Annotated[float, Meta(ge=0, le=1)]


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the program logs."""

    format: Literal["plain", "json", "console"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"
    burst: Annotated[float, Meta(ge=1, le=10_000)] = 20.0  # lines of one event at once
    rate: Annotated[float, Meta(gt=0, le=10_000)] = 5.0  # lines of one event a second, in the long run


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Messages between gateways."""

    use: Literal["off", "platform", "on"] = "platform"  # platform: where the platform allows them
    listen: HostPort | None = None
    addresses: list[HostPort] = msgspec.field(default_factory=list)
    me: Annotated[int, Meta(ge=0, le=65_535)] | None = None  # this gateway's place in `addresses`, from 0
    period_ms: Annotated[int, Meta(ge=100, le=60_000)] = 1000  # between pings
    timeout_ms: Annotated[int, Meta(ge=10, le=30_000)] = 300  # for an answer to a ping, before indirect pings
    warm_start: bool = True  # ask the others for their observations at the start


class ZoneSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """DNS zones that this gateway is authoritative for; off without an origin or files."""

    origin: str = ""
    ttl_s: Annotated[int, Meta(ge=0, le=86_400)] = 5
    gateways: dict[str, HostPort] = msgspec.field(default_factory=dict)
    files: dict[str, str] = msgspec.field(default_factory=dict)  # zone files by origin


class DnsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """DNS over UDP and TCP; off without an address to listen at."""

    listen: list[HostPort] = msgspec.field(default_factory=list)
    upstreams: list[HostPort] = msgspec.field(default_factory=list)
    type: str = ""  # endpoints of this type in the endpoint list are upstream servers too
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
    """Fair queueing at admission control."""

    use: bool = False
    shares: dict[str, Annotated[float, Meta(gt=0, le=1_000_000)]] = msgspec.field(default_factory=dict)
    flows: Annotated[int, Meta(ge=1, le=65_536)] = 256  # that a tenant's clients are hashed to
    patience: Annotated[float, Meta(ge=0, le=0.5)] = 0.5  # longest wait, in slack under the objective
    memory_mb: Annotated[float, Meta(ge=1, le=65_536)] = 16.0
    whole_seconds: bool = False  # of Retry-After, for clients that do not read fractions
    client_header: Annotated[str, Meta(pattern=r"^[A-Za-z0-9-]*$")] = "X-Client"  # empty: by address alone


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of admission control; they need `queues.use`. A rate of 0 is no limit."""

    adaptive: bool = True  # a concurrency limit that follows the latency
    repeats: Annotated[float, Meta(ge=0, le=10)] = 0.2  # marked retries for each first attempt
    member_per_s: Annotated[float, Meta(ge=0, le=10_000_000)] = 0.0
    member_burst: Annotated[float, Meta(ge=1, le=10_000_000)] = 10.0
    client_per_s: Annotated[float, Meta(ge=0, le=10_000_000)] = 0.0
    client_burst: Annotated[float, Meta(ge=1, le=10_000_000)] = 5.0
    class_per_s: dict[str, Annotated[float, Meta(gt=0, le=10_000_000)]] = msgspec.field(default_factory=dict)
    class_burst: Annotated[float, Meta(ge=1, le=10_000_000)] = 10.0


class GrpcSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The table `newer`: gRPC servers and clients (docs/protocol-2.md); off without types and listen."""

    types: list[Annotated[str, Meta(min_length=1)]] = msgspec.field(default_factory=list)
    share: Fraction | None = None  # of the traffic; without it by the listed weights
    tls: bool = False
    ca: str = ""  # files in PEM
    certificate: str = ""
    key: str = ""
    listen: list[HostPort] = msgspec.field(default_factory=list)  # for gRPC clients
    share_by_class: dict[str, Fraction] = msgspec.field(default_factory=dict)
    share_by_member: dict[str, Fraction] = msgspec.field(default_factory=dict)  # goes before a class's
    compare_per_s: Annotated[float, Meta(ge=0, le=1000)] = 0.0  # mirrored idempotent requests; 0: none
    compare_ignore: list[str] = msgspec.field(default_factory=list)  # headers that may differ


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A store on disk (docs/operators/store.md); off without a folder."""

    folder: str = ""  # {gateway} stands for the gateway's name, as each needs a folder of its own
    sync: Literal["batch", "every", "never"] = "every"
    every_s: Annotated[float, Meta(ge=0.001, le=60)] = 0.1
    most_mb: Annotated[float, Meta(ge=1, le=100_000)] = 64.0
    knowledge: bool = True  # observations of server health, for a warm start
    recorder: bool = True  # a record of each second, for reports
    keep_hours: Annotated[float, Meta(gt=0, le=87_600)] = 168.0


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The content of the file, a field for each table."""

    log: LogSettings = msgspec.field(default_factory=LogSettings)
    peers: PeerSettings = msgspec.field(default_factory=PeerSettings)
    dns: DnsSettings = msgspec.field(default_factory=DnsSettings)
    queues: QueueSettings = msgspec.field(default_factory=QueueSettings)
    limits: LimitSettings = msgspec.field(default_factory=LimitSettings)
    newer: GrpcSettings = msgspec.field(default_factory=GrpcSettings)
    store: StoreSettings = msgspec.field(default_factory=StoreSettings)


def load(path: str) -> Operator:
    """Read the file.

    Raises:
        UnreadableError: the file cannot be read.
        FileError: its content cannot be used; `faults` names all that is wrong.
    """
    return read(path, Operator, _cross_field_faults)


def _cross_field_faults(operator: Operator) -> Iterator[Fault]:
    """Faults that types cannot express."""
    if operator.limits != LimitSettings() and not operator.queues.use:
        yield Fault(("limits",), "limits needs queues.use = true")
    if operator.store != StoreSettings() and not operator.store.folder:
        yield Fault(("store",), 'store needs folder, as in "/var/lib/sagetrack/{gateway}"')
    yield from _grpc_faults(operator.newer)
    if operator.dns.type and operator.dns.type in operator.newer.types:
        yield Fault(("dns", "type"), f"dns.type = {operator.dns.type!r} is among newer.types")
    yield from _dns_faults(operator.dns)


def _grpc_faults(grpc: GrpcSettings) -> Iterator[Fault]:
    if grpc != GrpcSettings() and not grpc.types and not grpc.listen:
        yield Fault(("newer",), 'newer needs types, of servers in the list, as in ["v2"], or listen')
    if grpc.listen and grpc.tls and not grpc.certificate:
        yield Fault(("newer", "certificate"), "newer.certificate is missing; newer.listen shows it")
    if grpc.tls and not grpc.ca:
        yield Fault(("newer", "ca"), "newer.ca is missing; it is the file of the authority that servers have")
    if bool(grpc.certificate) != bool(grpc.key):
        yield Fault(("newer", "certificate"), "newer.certificate and newer.key go together")


def _dns_faults(dns: DnsSettings) -> Iterator[Fault]:
    if dns.listen and not (dns.upstreams or dns.type or dns.zone.origin or dns.zone.files):
        message = "dns.upstreams is missing; it is a list of at least one host:port, "
        message += "or there is a dns.type or dns.zone"
        yield Fault(("dns", "upstreams"), message)
    if dns.aim_ms > dns.deadline_ms:
        yield Fault(("dns", "aim_ms"), f"dns.aim_ms = {dns.aim_ms} is above deadline_ms = {dns.deadline_ms}")
    yield from _prefix_faults("allow", dns.allow)
    yield from _prefix_faults("deny", dns.deny)


def _prefix_faults(key: str, prefixes: list[str]) -> Iterator[Fault]:
    for number, prefix in enumerate(prefixes, 1):
        try:
            ipaddress.ip_network(prefix, strict=False)
        except ValueError:
            message = f"dns.{key}[{number}] = {prefix!r} is no prefix, as in 10.0.0.0/8"
            yield Fault(("dns", key), message)
