"""The operator's configuration: a TOML file named by `$LB_OPERATOR` or `--operator`.

Field names are the keys of the file and must not be renamed. Field defaults apply to keys that the file does
not set.
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
    """Format, level and rate limit of the log."""

    format: Literal["plain", "json", "console"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"
    burst: Annotated[float, Meta(ge=1, le=10_000)] = 20.0  # lines of one event that may be logged at once
    rate: Annotated[float, Meta(gt=0, le=10_000)] = 5.0  # sustained lines per second of one event


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Messages between the gateways of a fleet."""

    use: Literal["off", "platform", "on"] = "platform"  # platform: on if the platform allows them
    listen: HostPort | None = None
    addresses: list[HostPort] = msgspec.field(default_factory=list)
    me: Annotated[int, Meta(ge=0, le=65_535)] | None = None  # index of this gateway in `addresses`
    period_ms: Annotated[int, Meta(ge=100, le=60_000)] = 1000  # interval between pings
    timeout_ms: Annotated[int, Meta(ge=10, le=30_000)] = 300  # without a pong before indirect pings
    warm_start: bool = True  # request the observations of the peers at startup


class ZoneSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """DNS zones that this gateway is authoritative for; disabled without an origin or zone files."""

    origin: str = ""
    ttl_s: Annotated[int, Meta(ge=0, le=86_400)] = 5
    gateways: dict[str, HostPort] = msgspec.field(default_factory=dict)
    files: dict[str, str] = msgspec.field(default_factory=dict)  # paths of zone files, by origin


class DnsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """DNS over UDP and TCP; disabled if `listen` is empty."""

    listen: list[HostPort] = msgspec.field(default_factory=list)
    upstreams: list[HostPort] = msgspec.field(default_factory=list)
    type: str = ""  # endpoints of this type are DNS upstreams too
    aim_ms: Annotated[int, Meta(ge=1, le=60_000)] = 500  # latency objective of a query
    deadline_ms: Annotated[int, Meta(ge=1, le=60_000)] = 2000  # then SERVFAIL or a stale answer
    cache_mb: Annotated[float, Meta(ge=0, le=65_536)] = 32.0
    # How long an expired answer may be served while all upstreams fail
    stale_s: Annotated[float, Meta(ge=0, le=604_800)] = 86_400.0
    allow: list[str] = msgspec.field(default_factory=lambda: ["127.0.0.0/8", "::1/128"])
    deny: list[str] = msgspec.field(default_factory=list)
    answers_per_s: Annotated[float, Meta(ge=0, le=1_000_000)] = 0.0  # UDP, per client prefix; 0: no limit
    queries_each: Annotated[int, Meta(ge=1, le=100_000)] = 256  # in progress, per client
    queries: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000  # in progress, all clients
    connections_each: Annotated[int, Meta(ge=1, le=10_000)] = 16  # over TCP, per client
    connections: Annotated[int, Meta(ge=1, le=100_000)] = 256  # over TCP, all clients
    crowd: Annotated[int, Meta(ge=1, le=100_000)] = 1000  # attempts at one upstream, from all gateways
    zone: ZoneSettings = msgspec.field(default_factory=ZoneSettings)


class QueueSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fair queueing at admission control."""

    use: bool = False
    shares: dict[str, Annotated[float, Meta(gt=0, le=1_000_000)]] = msgspec.field(default_factory=dict)
    flows: Annotated[int, Meta(ge=1, le=65_536)] = 256  # queues that a tenant's clients are hashed to
    # Longest wait, as a fraction of the slack under the latency objective
    patience: Annotated[float, Meta(ge=0, le=0.5)] = 0.5
    memory_mb: Annotated[float, Meta(ge=1, le=65_536)] = 16.0
    whole_seconds: bool = False  # round Retry-After up, for clients that do not parse fractions
    # If empty, the address alone identifies a client
    client_header: Annotated[str, Meta(pattern=r"^[A-Za-z0-9-]*$")] = "X-Client"


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of admission control, which require `queues.use`. A rate of 0 means no limit."""

    adaptive: bool = True  # adapt the concurrency limit to the measured latency
    repeats: Annotated[float, Meta(ge=0, le=10)] = 0.2  # marked client retries allowed per first try
    member_per_s: Annotated[float, Meta(ge=0, le=10_000_000)] = 0.0
    member_burst: Annotated[float, Meta(ge=1, le=10_000_000)] = 10.0
    client_per_s: Annotated[float, Meta(ge=0, le=10_000_000)] = 0.0
    client_burst: Annotated[float, Meta(ge=1, le=10_000_000)] = 5.0
    class_per_s: dict[str, Annotated[float, Meta(gt=0, le=10_000_000)]] = msgspec.field(default_factory=dict)
    class_burst: Annotated[float, Meta(ge=1, le=10_000_000)] = 10.0


class GrpcSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The table `newer`: gRPC to servers and clients (docs/protocol-2.md); off without types and listen."""

    types: list[Annotated[str, Meta(min_length=1)]] = msgspec.field(default_factory=list)
    share: Fraction | None = None  # share of the traffic; if unset, the listed weights decide
    tls: bool = False
    ca: str = ""  # path of a PEM file, as are `certificate` and `key`
    certificate: str = ""
    key: str = ""
    listen: list[HostPort] = msgspec.field(default_factory=list)  # listen addresses for gRPC clients
    share_by_class: dict[str, Fraction] = msgspec.field(default_factory=dict)
    # Takes precedence over share_by_class
    share_by_member: dict[str, Fraction] = msgspec.field(default_factory=dict)
    compare_per_s: Annotated[float, Meta(ge=0, le=1000)] = 0.0  # idempotent requests to mirror; 0: none
    compare_ignore: list[str] = msgspec.field(default_factory=list)  # headers left out of the comparison


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A store on disk (docs/operators/store.md); disabled without a folder."""

    folder: str = ""  # {gateway} is replaced by the gateway's name, as gateways cannot share one
    sync: Literal["batch", "every", "never"] = "every"
    every_s: Annotated[float, Meta(ge=0.001, le=60)] = 0.1
    most_mb: Annotated[float, Meta(ge=1, le=100_000)] = 64.0
    knowledge: bool = True  # store observations of server health for a warm start
    recorder: bool = True  # store one record per second for reports
    keep_hours: Annotated[float, Meta(gt=0, le=87_600)] = 168.0


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The top level of the operator's file, with a field for each table."""

    log: LogSettings = msgspec.field(default_factory=LogSettings)
    peers: PeerSettings = msgspec.field(default_factory=PeerSettings)
    dns: DnsSettings = msgspec.field(default_factory=DnsSettings)
    queues: QueueSettings = msgspec.field(default_factory=QueueSettings)
    limits: LimitSettings = msgspec.field(default_factory=LimitSettings)
    newer: GrpcSettings = msgspec.field(default_factory=GrpcSettings)
    store: StoreSettings = msgspec.field(default_factory=StoreSettings)


def load(path: str) -> Operator:
    """Read and validate the operator's file.

    Raises:
        UnreadableError: the file cannot be read.
        FileError: the content is invalid; `faults` lists every fault.
    """
    return read(path, Operator, _cross_field_faults)


def _cross_field_faults(operator: Operator) -> Iterator[Fault]:
    """Check the constraints between fields, which types cannot express."""
    if operator.limits != LimitSettings() and not operator.queues.use:
        yield Fault(("limits",), "limits needs queues.use = true")
    if operator.store != StoreSettings() and not operator.store.folder:
        yield Fault(("store",), 'store needs folder, for example "/var/lib/sagetrack/{gateway}"')
    yield from _grpc_faults(operator.newer)
    if operator.dns.type and operator.dns.type in operator.newer.types:
        yield Fault(
            ("dns", "type"),
            f"dns.type = {operator.dns.type!r} is also in newer.types; a type can have one protocol only",
        )
    yield from _dns_faults(operator.dns)


def _grpc_faults(grpc: GrpcSettings) -> Iterator[Fault]:
    if grpc != GrpcSettings() and not grpc.types and not grpc.listen:
        yield Fault(("newer",), 'newer needs listen, or types of listed servers, for example ["v2"]')
    if grpc.listen and grpc.tls and not grpc.certificate:
        yield Fault(("newer", "certificate"), "newer.certificate is missing; newer.listen with TLS needs it")
    if grpc.tls and not grpc.ca:
        yield Fault(
            ("newer", "ca"), "newer.ca is missing; newer.tls needs the CA file for server certificates"
        )
    if bool(grpc.certificate) != bool(grpc.key):
        yield Fault(("newer", "certificate"), "newer.certificate and newer.key must be set together")


def _dns_faults(dns: DnsSettings) -> Iterator[Fault]:
    if dns.listen and not (dns.upstreams or dns.type or dns.zone.origin or dns.zone.files):
        message = "dns.upstreams is missing; dns.listen needs at least one upstream host:port, "
        message += "a dns.type or a dns.zone"
        yield Fault(("dns", "upstreams"), message)
    if dns.aim_ms > dns.deadline_ms:
        yield Fault(
            ("dns", "aim_ms"),
            f"dns.aim_ms = {dns.aim_ms} must not exceed dns.deadline_ms = {dns.deadline_ms}",
        )
    yield from _prefix_faults("allow", dns.allow)
    yield from _prefix_faults("deny", dns.deny)


def _prefix_faults(key: str, prefixes: list[str]) -> Iterator[Fault]:
    for number, prefix in enumerate(prefixes, 1):
        try:
            ipaddress.ip_network(prefix, strict=False)
        except ValueError:
            message = f"dns.{key}[{number}] = {prefix!r} is not an IP prefix such as 10.0.0.0/8"
            yield Fault(("dns", key), message)
