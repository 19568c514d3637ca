"""Scenarios: what is played, typed and checked. A scenario is a TOML file; docs/operators/lab.md shows one.

The fields are the keys of the file, unless a structure renames them. Times are in the unit that a key's name
ends with. Random figures of the fleet are drawn from the run's seed.
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
RESPONSE_SLACK_US = 20_000  # by which a final response may be late
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
    """A server that was overloaded for a while stays slow until it has been left mostly idle."""

    queue_per_core: Positive = 6.0  # more requests waiting than this: overloaded
    overloaded_s: Positive = 2.0  # for so long, and the server degrades
    slowdown: Annotated[float, Meta(ge=1)] = 3.0  # times slower while it is degraded
    calm_s: Positive = 3.5  # mostly idle for so long, and it recovers
    calm_utilization: Share = 0.3  # busy for less than this share: mostly idle
    max_s: Positive = 20.0  # after which it recovers in any case


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address servers and gateways."""

    servers: Count = 9
    gateways: Count = 3
    zones: Annotated[list[Name], Meta(min_length=1)] = msgspec.field(default_factory=lambda: ["a", "b", "c"])
    rack_size: Count = 3  # servers that share the idempotency keys they have seen
    cores: Count = 1
    slots_per_core: Count = 1  # requests in work
    waiting_per_core: Count = 20  # further ones that wait; the next is rejected with X-Rejected
    speed: Range = (0.9, 1.1)  # times a standard core, drawn for each server
    error_share: Share = 0.0  # answered with an error after having run
    thrash: Share = 0.0  # of the speed, lost for each request at the server beyond `thrash_at`
    thrash_at: Positive = 10.0  # requests at the server, times its cores
    cancel: Literal["none", "queued", "all"] = "queued"  # which requests stop once their client has given up
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.2  # of its capacity that a cold server starts with
    cold_s: NotNegative = 12.0  # until it has all of it; the share rises evenly
    fall_multiple: Annotated[float, Meta(ge=1)] = 4.0  # sent more than this many times its present capacity
    fall_s: Positive = 3.0  # for this long, a cold server falls over and stays down
    connections: Count = 800  # that one server holds
    handshake_ms: NotNegative = 1.0  # of its work for a new connection
    idle_s: Positive = 10.0  # an unused connection is closed
    choke: DegradationRules | None = None
    new_share: Share = 0.0  # of the servers, that speak the newer format; in real time
    roll_new: bool = False  # a deploy brings servers of the newer format


class Network(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"same_zone_ms": "same_ms", "cross_zone_ms": "cross_ms"},
):
    """One-way delays. In real time they are added to loopback's."""

    same_zone_ms: NotNegative = 0.25
    cross_zone_ms: NotNegative = 2.0
    client_ms: NotNegative = 0.5
    jitter: Share = 0.2
    connect_timeout_ms: Positive = 250.0
    peer_ms: Range = (1.0, 10.0)  # of a datagram between gateways
    peer_loss: Share = 0.0


class Discovery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the endpoint list follows what happens to servers."""

    delay_s: Range = (0.5, 2.0)  # until gateways learn of a change
    silent_s: Range = (3.0, 6.0)  # until a silent server is listed as gone
    spread_ms: NotNegative = 50.0  # between the first gateway that learns of it and the last
    drain_s: Positive = 3.0  # how long a draining server goes on serving


class RequestClass(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"latency_objective_ms": "aim_ms", "priority_weight": "worth", "late_weight": "late_worth"},
):
    """A class of requests."""

    name: Name
    share: Positive = 1.0
    work_ms: Positive = 20.0  # mean, on a standard core
    spread: NotNegative = 0.8  # standard deviation of the work over its mean; lognormal
    latency_objective_ms: Positive = 1000.0  # latency objective
    deadline_ms: Positive = 3000.0
    priority_weight: NotNegative = 1.0  # priority weight of a response within the objective
    late_weight: Share = 0.0  # of that, for a later response
    effect: Literal["safe", "keyed", "unsafe"] = "safe"  # whether a repeat does harm
    scope: Literal["all", "zone", "rack"] = "all"  # for keyed: which servers know each other's keys
    window_ms: NotNegative = 5000.0  # for keyed: how long servers of the scope drop a repeat
    body_bytes: Annotated[int, Meta(ge=0, le=1_000_000)] = 120


class Tenant(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"load_share": "asks", "single_request": "once", "honor_share": "honour"},
):
    """A tenant of the service."""

    name: Name
    share: Positive = 1.0  # its quota, relative to the others'
    load_share: NotNegative = 0.0  # its part of the load, relative to the others'; 0: by its share
    clients: Annotated[int, Meta(ge=0, le=10_000_000)] = 0  # that it has; 0: they are not identified
    skew: NotNegative = 0.0  # of its clients' loads, as the exponent of Zipf's law
    single_request: bool = False  # each client sends a single request
    honor_share: Share | None = None  # of its clients that follow Retry-After; by default as in `clients`
    kind: str = ""  # the only class of its requests; empty: all classes


class Clients(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"honor_share": "honour", "attempt_share": "try_share", "keep_alive_share": "keep"},
):
    """How clients behave."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 1
    wait: Literal["none", "fixed", "doubling"] = "fixed"  # before a retry
    wait_ms: NotNegative = 200.0
    honor_share: Share = 0.7  # share of clients that follow Retry-After
    attempt_share: Annotated[float, Meta(gt=0, le=1)] = 1.0  # of the deadline that one attempt is given
    marks_retry: bool = False
    keep_alive_share: Share = 0.8  # share of requests on kept connections
    slow_readers: Share = 0.0  # share that takes a second to read its response; in real time only
    notice_s: Positive = 2.0  # until the front sends no more to a dead gateway


class Load(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"utilization": "use"},
):
    """The load. Arrivals are drawn ahead and never wait for responses (an open loop)."""

    rate: NotNegative = 0.0  # requests a second; 0: by `use`
    utilization: Annotated[float, Meta(gt=0, le=5)] = 0.5  # of the warm fleet's capacity
    curve: list[tuple[float, float]] = msgspec.field(default_factory=list)  # [second, factor on the rate]


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
    share: Share = 0.2  # of the servers, gateways or responses that it strikes
    size: Positive = 3.0  # by the kind: times slower, times the rate, seconds of skew, clients
    member: str = ""  # a burst of this member alone
    batch: Share = 0.15  # of the servers that a deploy replaces at a time


class Peers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Messages between gateways."""

    use: bool = False
    period_ms: Positive = 1000.0
    warm_start: bool = True


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A store on disk in each gateway, which outlives the process."""

    use: bool = False
    sync: Literal["batch", "every", "never"] = "every"


class AdmissionControl(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"max_wait_fraction": "patience", "tenant_per_s": "member_per_s"},
):
    """Admission control in the gateways: fair queues and limits."""

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
    """DNS beside HTTP, in real time: stand-in upstream servers and queries to all gateways."""

    rate: NotNegative = 0.0  # queries a second, an open loop; 0: no DNS
    upstreams: Count = 3
    names: Count = 500  # that are queried, the popular ones more often
    ttl_s: Annotated[int, Meta(ge=0, le=86_400)] = 5
    delay_ms: NotNegative = 5.0  # of an upstream server's response
    latency_objective_ms: Positive = 500.0
    deadline_ms: Positive = 2000.0


class Expectations(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds that must hold, besides the rules, which must hold in every scenario."""

    service_min: Share = 0.0
    worst_member_min: Share = 0.0
    worst_window_min: Share = 0.0  # of any 5 s
    refused_max: Share = 1.0
    failed_max: Share = 1.0
    p99_ms_max: Positive = math.inf
    dns_service_min: Share = 0.0
    others_min: Share = 0.0  # service of each member without a burst of its own
    advice_right_min: Share = 0.0


class Gateways(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the gateways, beyond those that follow from the rest."""

    max_attempts: Count = 6
    second_copies: bool = True  # hedged requests
    may_cancel: bool = True
    max_retry_after_ms: NotNegative = 2000.0
    drain_grace_ms: Positive = 2000.0
    memory_mb: Count = 192
    sockets: Annotated[int, Meta(ge=64)] = 1024


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A complete scenario."""

    name: Name
    about: str = ""
    seconds: Annotated[float, Meta(gt=0, le=100_000)] = 30.0  # of arrivals
    settle_s: NotNegative = 1.0  # at the start: played, but not counted in `service`
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
        """Work of a request on a standard core, over all classes."""
        total = sum(request_class.share for request_class in self.classes)
        return sum(request_class.share * request_class.work_ms for request_class in self.classes) / total

    @property
    def rate(self) -> float:
        """Requests a second, before curve and bursts."""
        if self.load.rate > 0:
            return self.load.rate
        cores = self.fleet.servers * self.fleet.cores * sum(self.fleet.speed) / 2
        return self.load.utilization * cores * 1000.0 / self.mean_work_ms


def _check(scenario: Scenario) -> Iterator[Fault]:
    """Find what types cannot express."""
    yield from _check_classes(scenario)
    yield from _check_names(scenario)
    yield from _check_speed(scenario)
    yield from _check_faults(scenario)
    yield from _check_member_classes(scenario)
    yield from _check_curve(scenario)


def _check_classes(scenario: Scenario) -> Iterator[Fault]:
    for index, kind in enumerate(scenario.classes):
        if kind.latency_objective_ms > kind.deadline_ms:
            message = f"class[{index + 1}].aim_ms = {kind.latency_objective_ms:g} is above its deadline_ms"
            yield Fault(("class", index, "aim_ms"), message)


def _check_names(scenario: Scenario) -> Iterator[Fault]:
    """Find names that occur twice, and tables without any entry."""
    names = {
        "class": [kind.name for kind in scenario.classes],
        "member": [member.name for member in scenario.tenants],
    }
    for key, own_names in names.items():
        for index, name in enumerate(own_names):
            if name in own_names[:index]:
                yield Fault((key, index, "name"), f"{key}[{index + 1}].name = {name!r} stands there twice")
    for table in ("classes", "tenants"):
        if not getattr(scenario, table):
            yield Fault((), f"there are no {table}; at least one is needed")


def _check_speed(scenario: Scenario) -> Iterator[Fault]:
    low, high = scenario.fleet.speed
    if not 0 < low <= high:
        message = f"fleet.speed = {[low, high]} is no range of numbers above 0"
        yield Fault(("fleet", "speed"), message)


def _check_faults(scenario: Scenario) -> Iterator[Fault]:
    members = [member.name for member in scenario.tenants]
    for index, fault in enumerate(scenario.faults):
        name = f"trouble[{index + 1}]"
        if fault.at_s >= scenario.seconds:
            message = f"{name}.at_s = {fault.at_s:g} is after the last arrival"
            message += f"; it is below seconds = {scenario.seconds:g}"
            yield Fault(("trouble", index, "at_s"), message)
        if fault.kind in ("slow", "burst") and fault.size < 1:
            message = f"{name}.size = {fault.size:g} is below 1, the least for {fault.kind}"
            yield Fault(("trouble", index, "size"), message)
        if fault.member and fault.member not in members:
            yield Fault(("trouble", index, "member"), f"{name}.member = {fault.member!r} is no member")


def _check_member_classes(scenario: Scenario) -> Iterator[Fault]:
    classes = [kind.name for kind in scenario.classes]
    for index, member in enumerate(scenario.tenants):
        if member.kind and member.kind not in classes:
            message = f"member[{index + 1}].kind = {member.kind!r} is no class"
            yield Fault(("member", index, "kind"), message)


def _check_curve(scenario: Scenario) -> Iterator[Fault]:
    seconds = [second for second, _ in scenario.load.curve]
    if seconds != sorted(seconds) or any(factor < 0 for _, factor in scenario.load.curve):
        yield Fault(("load", "curve"), "load.curve needs rising seconds and rates of at least 0")


def load_scenario(path: Path | str) -> Scenario:
    """Read a scenario.

    Raises:
        FileError: It cannot be used; the error names everything that is wrong.
    """
    return read(path, Scenario, _check)


def with_overrides(scenario: Scenario, settings: dict[str, Any]) -> Scenario:
    """Return the same scenario with other values, named as in `fleet.servers`.

    Raises:
        FileError: A key is unknown, or a value is not allowed.
    """
    raw = msgspec.to_builtins(scenario)
    for name, value in settings.items():
        _set_value(raw, name, value)
    if raw["expect"].get("p99_ms_max") is None:  # infinity has no plain form
        raw["expect"].pop("p99_ms_max", None)
    changed, faults = decode(raw, Scenario)
    if changed is not None:
        faults = list(_check(changed))
    if changed is None or faults:
        raise FileError([fault.message for fault in faults])
    return changed


def _set_value(raw: dict[str, Any], name: str, value: Any) -> None:
    """Set one value in a scenario's plain form; entries of lists are numbered from 1."""
    *path, last = name.split(".")
    here: Any = raw
    try:
        for part in path:
            here = here[int(part) - 1] if isinstance(here, list) else here[part]
        if isinstance(here, list):
            here[int(last) - 1] = value
        else:
            here[last] = value
    except (KeyError, ValueError, IndexError, TypeError):
        raise FileError([f"{name}: no such key in a scenario"]) from None
