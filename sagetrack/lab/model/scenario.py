"""Scenarios: the typed and validated form of a scenario's TOML file. docs/operators/lab.md shows an example.

Field names are the keys of the file, unless a structure maps them to other keys. The suffix of a key is the
unit of its value. Random properties of the fleet are drawn from the run's seed.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from sagetrack.config.errors import FileError
from sagetrack.config.validation import Fault, decode, read

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
RESPONSE_SLACK_US = 20_000  # how long after its deadline a final response is still accepted
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_.-]*$")]
Range = tuple[float, float]


class DegradationRules(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "queue_per_core": "at",
        "overloaded_s": "over_s",
        "slowdown": "slower",
        "calm_s": "rest_s",
        "calm_utilization": "below",
        "max_s": "most_s",
    },
):
    """When a server degrades after an overload, how slow it becomes, and when it recovers."""

    queue_per_core: Positive = 6.0  # the server is overloaded while more requests than this are queued
    overloaded_s: Positive = 2.0  # the server degrades after being overloaded for this long
    slowdown: Annotated[float, Meta(ge=1)] = 3.0  # a degraded server is slower by this factor
    calm_s: Positive = 3.5  # the server recovers after being mostly idle for this long
    calm_utilization: Share = 0.3  # the server is mostly idle below this utilization
    max_s: Positive = 20.0  # the server recovers after this time in any case


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The address servers (the upstream servers of the model) and the gateways."""

    servers: Count = 9
    gateways: Count = 3
    zones: Annotated[list[Name], Meta(min_length=1)] = msgspec.field(default_factory=lambda: ["a", "b", "c"])
    rack_size: Count = 3  # number of servers in a rack; they share idempotency keys
    cores: Count = 1
    slots_per_core: Count = 1  # requests that a core processes concurrently
    waiting_per_core: Count = 20  # queue capacity; requests beyond it are rejected with X-Rejected
    speed: Range = (0.9, 1.1)  # relative to a standard core; drawn for each server
    error_share: Share = 0.0  # share of requests that fail with an error after they have run
    thrash: Share = 0.0  # each request beyond `thrash_at` adds this much to the divisor of the speed
    thrash_at: Positive = 10.0  # running and queued requests per core
    cancel: Literal["none", "queued", "all"] = "queued"  # cancelled requests that are dropped
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.2  # initial capacity of a cold server, as a share
    cold_s: NotNegative = 12.0  # warm-up time; the share rises linearly to 1
    # A cold server crashes and stays down once it receives more than `fall_multiple` times its current
    # capacity within `fall_s`.
    fall_multiple: Annotated[float, Meta(ge=1)] = 4.0
    fall_s: Positive = 3.0
    connections: Count = 800  # connection limit of each server
    handshake_ms: NotNegative = 1.0  # work that a new connection costs the server
    idle_s: Positive = 10.0  # idle timeout of connections
    choke: DegradationRules | None = None  # None: servers do not degrade
    new_share: Share = 0.0  # share of the servers that speak gRPC; in real time only
    roll_new: bool = False  # whether the replacements in a deploy speak gRPC


class Network(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"same_zone_ms": "same_ms", "cross_zone_ms": "cross_ms"},
):
    """One-way network delays. In real-time runs they are added to the delay of the loopback interface."""

    same_zone_ms: NotNegative = 0.25
    cross_zone_ms: NotNegative = 2.0
    client_ms: NotNegative = 0.5
    jitter: Share = 0.2  # each delay is increased at random by up to this share
    connect_timeout_ms: Positive = 250.0
    peer_ms: Range = (1.0, 10.0)  # delay of a datagram between gateways
    peer_loss: Share = 0.0  # share of datagrams between gateways that are lost


class Discovery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Delays between an event at a server and the update of the endpoint list."""

    delay_s: Range = (0.5, 2.0)  # until an announced change reaches the endpoint list
    silent_s: Range = (3.0, 6.0)  # until an unresponsive server is removed from the endpoint list
    spread_ms: NotNegative = 50.0  # a change reaches the gateways spread over this time
    drain_s: Positive = 3.0  # how long a draining server continues to serve requests


class RequestClass(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"latency_objective_ms": "aim_ms", "priority_weight": "worth", "late_weight": "late_worth"},
):
    """A class of requests with common work, objectives and retry rules."""

    name: Name
    share: Positive = 1.0
    work_ms: Positive = 20.0  # mean CPU time on a standard core
    spread: NotNegative = 0.8  # coefficient of variation of the work, which is lognormal
    latency_objective_ms: Positive = 1000.0
    deadline_ms: Positive = 3000.0
    priority_weight: NotNegative = 1.0  # weight of a response within the latency objective
    late_weight: Share = 0.0  # share of `priority_weight` for a response after the objective
    effect: Literal["safe", "keyed", "unsafe"] = "safe"  # idempotent, idempotent by key, or not idempotent
    scope: Literal["all", "zone", "rack"] = "all"  # for keyed: which servers share idempotency keys
    window_ms: NotNegative = 5000.0  # for keyed: how long servers of the scope drop duplicates of a key
    body_bytes: Annotated[int, Meta(ge=0, le=1_000_000)] = 120


class Tenant(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"load_share": "asks", "single_request": "once", "honor_share": "honour"},
):
    """A tenant of the service; `member` in the file."""

    name: Name
    share: Positive = 1.0  # quota, relative to the other tenants
    load_share: NotNegative = 0.0  # part of the load, relative to the other tenants; 0: the same as `share`
    clients: Annotated[int, Meta(ge=0, le=10_000_000)] = 0  # number of clients; 0: they are not identified
    skew: NotNegative = 0.0  # exponent of the Zipf distribution of load over the clients; 0: uniform
    single_request: bool = False  # whether every request comes from a client of its own
    honor_share: Share | None = None  # share of clients that honor Retry-After; None: as in `clients`
    kind: str = ""  # name of the only class of its requests; empty: all classes


class Clients(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"honor_share": "honour", "attempt_share": "try_share", "keep_alive_share": "keep"},
):
    """How clients retry, wait and use connections."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 1  # maximum number of retries of a request
    wait: Literal["none", "fixed", "doubling"] = "fixed"  # backoff before a retry
    wait_ms: NotNegative = 200.0
    honor_share: Share = 0.7  # share of clients that honor Retry-After
    attempt_share: Annotated[float, Meta(gt=0, le=1)] = 1.0  # attempt timeout as a share of the deadline
    marks_retry: bool = False  # whether clients mark retries as such
    keep_alive_share: Share = 0.8  # share of requests that reuse a persistent connection
    slow_readers: Share = 0.0  # share of clients that take 1 s to read a response; in real time only
    notice_s: Positive = 2.0  # until clients are no longer sent to a gateway that has died


class Load(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"utilization": "use"},
):
    """The load: an open loop, in which arrivals do not depend on responses."""

    rate: NotNegative = 0.0  # requests per second; 0: derived from `utilization`
    utilization: Annotated[float, Meta(gt=0, le=5)] = 0.5  # load as a share of the warm fleet's capacity
    curve: list[tuple[float, float]] = msgspec.field(default_factory=list)  # [second, multiplier of the rate]


class ScheduledFault(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"share": "part"},
):
    """A fault that begins and ends during the run."""

    kind: Literal[
        "slow",
        "burst",
        "deploy",
        "gateway-death",
        "gateway-upgrade",
        "discovery-down",
        "partition",
        "skew",
        "crowd",
        "vanish",
        "spoilt",
        "reset",
        "rude",
        "overbook",
        "reload",
        "slow-dns",
        "goaway",
    ]
    at_s: NotNegative
    seconds: Positive = 5.0
    share: Share = 0.2  # share of the servers, gateways or responses that are affected
    size: Positive = 3.0  # depends on the kind: slowdown, rate multiplier, seconds of skew, or clients
    member: str = ""  # name of the only tenant that a burst comes from; empty: all tenants
    batch: Share = 0.15  # share of the servers that a deploy replaces at a time


class Peers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The peer protocol between gateways."""

    use: bool = False
    period_ms: Positive = 1000.0
    warm_start: bool = True


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The store on disk of each gateway, which persists across restarts."""

    use: bool = False
    sync: Literal["batch", "every", "never"] = "every"


class AdmissionControl(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"max_wait_fraction": "patience", "tenant_per_s": "member_per_s"},
):
    """Admission control in the gateways: fair queues and limits; `door` in the file."""

    use: bool = False
    max_wait_fraction: Annotated[float, Meta(ge=0, le=0.5)] = 0.5
    memory_mb: Positive = 16.0
    adaptive: bool = True
    client_per_s: NotNegative = 0.0
    tenant_per_s: NotNegative = 0.0


class DnsLoad(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"latency_objective_ms": "aim_ms"},
):
    """DNS load on all gateways, and the stand-in upstream DNS servers. In real time only."""

    rate: NotNegative = 0.0  # queries per second, in an open loop; 0: no DNS
    upstreams: Count = 3
    names: Count = 500  # number of names that are queried; some are more popular than others
    ttl_s: Annotated[int, Meta(ge=0, le=86_400)] = 5
    delay_ms: NotNegative = 5.0  # response time of an upstream server
    latency_objective_ms: Positive = 500.0
    deadline_ms: Positive = 2000.0


class Expectations(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on the results of this scenario, in addition to the rules that hold in every scenario."""

    service_min: Share = 0.0
    worst_member_min: Share = 0.0
    worst_window_min: Share = 0.0  # minimum service in any window of 5 s
    refused_max: Share = 1.0
    failed_max: Share = 1.0
    p99_ms_max: Positive = math.inf
    dns_service_min: Share = 0.0
    others_min: Share = 0.0  # minimum service of each tenant that has no burst of its own
    advice_right_min: Share = 0.0


class Gateways(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the gateways that do not follow from other parts of the scenario."""

    max_attempts: Count = 6
    second_copies: bool = True  # whether gateways may hedge requests
    may_cancel: bool = True
    max_retry_after_ms: NotNegative = 2000.0
    drain_grace_ms: Positive = 2000.0
    memory_mb: Count = 192
    sockets: Annotated[int, Meta(ge=64)] = 1024


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A complete scenario, as its file has it."""

    name: Name
    about: str = ""
    seconds: Annotated[float, Meta(gt=0, le=100_000)] = 30.0  # period in which requests arrive
    settle_s: NotNegative = 1.0  # initial period that is not counted in `service`
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    network: Network = msgspec.field(default_factory=Network)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    classes: list[RequestClass] = msgspec.field(
        name="class", default_factory=lambda: [RequestClass(name="lookup")]
    )
    tenants: list[Tenant] = msgspec.field(name="member", default_factory=lambda: [Tenant(name="acme")])
    clients: Clients = msgspec.field(default_factory=Clients)
    load: Load = msgspec.field(default_factory=Load)
    gateways: Gateways = msgspec.field(name="gateway", default_factory=Gateways)
    faults: list[ScheduledFault] = msgspec.field(name="trouble", default_factory=list)
    peers: Peers = msgspec.field(default_factory=Peers)
    admission: AdmissionControl = msgspec.field(name="door", default_factory=AdmissionControl)
    store: StoreSettings = msgspec.field(default_factory=StoreSettings)
    dns: DnsLoad = msgspec.field(default_factory=DnsLoad)
    expect: Expectations = msgspec.field(default_factory=Expectations)

    @property
    def mean_work_ms(self) -> float:
        """Mean CPU time of a request on a standard core, over all classes."""
        total = sum(request_class.share for request_class in self.classes)
        return sum(request_class.share * request_class.work_ms for request_class in self.classes) / total

    @property
    def rate(self) -> float:
        """Requests per second, before the curve and bursts apply."""
        if self.load.rate > 0:
            return self.load.rate
        cores = self.fleet.servers * self.fleet.cores * sum(self.fleet.speed) / 2
        return self.load.utilization * cores * 1000.0 / self.mean_work_ms


def _check(scenario: Scenario) -> Iterator[Fault]:
    """Find the faults that the types cannot express."""
    yield from _check_classes(scenario)
    yield from _check_names(scenario)
    yield from _check_speed(scenario)
    yield from _check_faults(scenario)
    yield from _check_member_classes(scenario)
    yield from _check_curve(scenario)


def _check_classes(scenario: Scenario) -> Iterator[Fault]:
    for index, class_ in enumerate(scenario.classes):
        if class_.latency_objective_ms > class_.deadline_ms:
            message = f"class[{index + 1}].aim_ms = {class_.latency_objective_ms:g} exceeds its deadline_ms"
            yield Fault(("class", index, "aim_ms"), message)


def _check_names(scenario: Scenario) -> Iterator[Fault]:
    """Find duplicate names, and lists without any entry."""
    names = {
        "class": [request_class.name for request_class in scenario.classes],
        "member": [tenant.name for tenant in scenario.tenants],
    }
    for key, entry_names in names.items():
        for index, name in enumerate(entry_names):
            if name in entry_names[:index]:
                yield Fault((key, index, "name"), f"{key}[{index + 1}].name = {name!r} is a duplicate")
    for attribute in ("classes", "tenants"):
        if not getattr(scenario, attribute):
            yield Fault((), f"there are no {attribute}; at least one is required")


def _check_speed(scenario: Scenario) -> Iterator[Fault]:
    low, high = scenario.fleet.speed
    if not 0 < low <= high:
        message = f"fleet.speed = {[low, high]} is not a range of numbers above 0"
        yield Fault(("fleet", "speed"), message)


def _check_faults(scenario: Scenario) -> Iterator[Fault]:
    tenants = [tenant.name for tenant in scenario.tenants]
    for index, fault in enumerate(scenario.faults):
        key = f"trouble[{index + 1}]"
        if fault.at_s >= scenario.seconds:
            message = f"{key}.at_s = {fault.at_s:g} is after the last arrival"
            message += f"; it must be below seconds = {scenario.seconds:g}"
            yield Fault(("trouble", index, "at_s"), message)
        if fault.kind in ("slow", "burst") and fault.size < 1:
            message = f"{key}.size = {fault.size:g} is below 1, the minimum for {fault.kind}"
            yield Fault(("trouble", index, "size"), message)
        if fault.member and fault.member not in tenants:
            yield Fault(("trouble", index, "member"), f"{key}.member = {fault.member!r} is not a member")


def _check_member_classes(scenario: Scenario) -> Iterator[Fault]:
    classes = [request_class.name for request_class in scenario.classes]
    for index, tenant in enumerate(scenario.tenants):
        if tenant.kind and tenant.kind not in classes:
            message = f"member[{index + 1}].kind = {tenant.kind!r} is not the name of a class"
            yield Fault(("member", index, "kind"), message)


def _check_curve(scenario: Scenario) -> Iterator[Fault]:
    seconds = [second for second, _ in scenario.load.curve]
    if seconds != sorted(seconds) or any(factor < 0 for _, factor in scenario.load.curve):
        yield Fault(("load", "curve"), "load.curve must have ascending seconds and factors of at least 0")


def load_scenario(path: Path | str) -> Scenario:
    """Read a scenario from its file.

    Raises:
        FileError: The file is unreadable or invalid; the error lists all its faults.
    """
    return read(path, Scenario, _check)


def with_overrides(scenario: Scenario, settings: dict[str, Any]) -> Scenario:
    """Return a copy of the scenario with some values replaced, by dotted keys such as `fleet.servers`.

    Raises:
        FileError: A key is unknown, or a value is not allowed.
    """
    raw = msgspec.to_builtins(scenario)
    for name, value in settings.items():
        _set_value(raw, name, value)
    if raw["expect"].get("p99_ms_max") is None:  # infinity becomes None in the plain form
        raw["expect"].pop("p99_ms_max", None)
    changed, faults = decode(raw, Scenario)
    if changed is not None:
        faults = list(_check(changed))
    if changed is None or faults:
        raise FileError([fault.message for fault in faults])
    return changed


def _set_value(raw: dict[str, Any], name: str, value: Any) -> None:
    """Set one value in a scenario's plain form; the key counts list entries from 1."""
    *path, last = name.split(".")
    node: Any = raw
    try:
        for part in path:
            node = node[int(part) - 1] if isinstance(node, list) else node[part]
        if isinstance(node, list):
            node[int(last) - 1] = value
        else:
            node[last] = value
    except (KeyError, ValueError, IndexError, TypeError):
        raise FileError([f"{name}: no such key in a scenario"]) from None
