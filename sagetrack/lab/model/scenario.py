"""Scenarios: what is played, typed and checked. A scenario is a TOML file; docs/operators/lab.md shows one.

Times are in the unit that a key's name ends with. Random figures of the fleet are drawn from the run's seed.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from sagetrack.config.validation import Fault, read

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
ANSWER_SLACK_US = 20_000  # by which a final answer may be late
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9_.-]*$")]
Range = tuple[float, float]


class Choke(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A server that was crowded for a while stays slow until it has been left alone."""

    at: Positive = 6.0  # requests waiting, times its cores
    over_s: Positive = 2.0
    slower: Annotated[float, Meta(ge=1)] = 3.0
    rest_s: Positive = 3.5  # mostly idle for so long, and it recovers
    below: Share = 0.3  # busy for less than this share: mostly idle
    most_s: Positive = 20.0


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address servers and gateways."""

    servers: Count = 9
    gateways: Count = 3
    zones: Annotated[list[Name], Meta(min_length=1)] = msgspec.field(default_factory=lambda: ["a", "b", "c"])
    rack_size: Count = 3  # servers that share what keys they have seen
    cores: Count = 1
    slots_per_core: Count = 1  # requests in work
    waiting_per_core: Count = 20  # further ones that wait; the next is turned away with X-Rejected
    speed: Range = (0.9, 1.1)  # times a standard core, drawn for each server
    error_share: Share = 0.0  # answered with an error after having run
    thrash: Share = 0.0  # of the speed, lost for each held request beyond `thrash_at`
    thrash_at: Positive = 10.0
    cancel: Literal["none", "queued", "all"] = "queued"  # what of given-up work stops
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.2  # of its capacity that a server starts with
    cold_s: NotNegative = 12.0  # until it has all, evenly
    fall_multiple: Annotated[float, Meta(ge=1)] = 4.0  # sent more than this times its present capacity
    fall_s: Positive = 3.0  # for this long, a cold server falls over and stays down
    connections: Count = 800  # that one server holds
    handshake_ms: NotNegative = 1.0  # of its work for a new connection
    idle_s: Positive = 10.0  # an unused connection is closed
    choke: Choke | None = None
    new_share: Share = 0.0  # of the servers, that speak the newer format; in real time
    roll_new: bool = False  # a deploy brings servers of the newer format


class Network(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One-way delays. In real time they are added to loopback's."""

    same_ms: NotNegative = 0.25
    cross_ms: NotNegative = 2.0
    client_ms: NotNegative = 0.5
    jitter: Share = 0.2
    connect_timeout_ms: Positive = 250.0
    peer_ms: Range = (1.0, 10.0)  # of a datagram between gateways
    peer_loss: Share = 0.0


class Discovery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the roster follows what happens to servers."""

    delay_s: Range = (0.5, 2.0)  # until a change is told to gateways; a drain is announced at once
    silent_s: Range = (3.0, 6.0)  # until a server that says nothing is listed as gone
    spread_ms: NotNegative = 50.0  # between the first gateway that hears and the last
    drain_s: Positive = 3.0  # how long a server that leaves goes on serving


class RequestKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests."""

    name: Name
    share: Positive = 1.0
    work_ms: Positive = 20.0  # mean, on a standard core
    spread: NotNegative = 0.8  # standard deviation of the work over its mean; lognormal
    aim_ms: Positive = 1000.0
    deadline_ms: Positive = 3000.0
    worth: NotNegative = 1.0
    late_worth: Share = 0.0
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    scope: Literal["all", "zone", "rack"] = "all"
    window_ms: NotNegative = 5000.0  # for keyed: how long servers of the scope drop a repeat
    body_bytes: Annotated[int, Meta(ge=0, le=1_000_000)] = 120


class Member(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who shares the service."""

    name: Name
    share: Positive = 1.0  # of the service
    asks: NotNegative = 0.0  # of the load; 0: by its share
    clients: Annotated[int, Meta(ge=0, le=10_000_000)] = 0  # that it has; 0: nobody tells them apart
    skew: NotNegative = 0.0  # of its clients' loads, as the exponent of Zipf's law
    once: bool = False  # each client asks for one thing only
    honour: Share | None = None  # of its clients that follow Retry-After; as `clients` has it by default
    kind: str = ""  # the only class that it asks for


class Clients(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How clients behave."""

    retries: Annotated[int, Meta(ge=0, le=10)] = 1
    wait: Literal["none", "fixed", "doubling"] = "fixed"
    wait_ms: NotNegative = 200.0
    honour: Share = 0.7  # share of clients that follow Retry-After
    try_share: Annotated[float, Meta(gt=0, le=1)] = 1.0  # of the deadline that a first try is given
    marks_retry: bool = False
    keep: Share = 0.8  # share of requests on kept connections
    slow_readers: Share = 0.0  # share that takes a second to read its answer; in real time only
    notice_s: Positive = 2.0  # until the front sends no more to a dead gateway


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is asked for. Arrivals are drawn ahead and never wait for answers (an open loop)."""

    rate: NotNegative = 0.0  # requests a second; 0: by `use`
    use: Annotated[float, Meta(gt=0, le=5)] = 0.5  # of what the warm fleet can do
    curve: list[tuple[float, float]] = msgspec.field(default_factory=list)  # [second, times the rate]


class Trouble(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Something that happens on the way."""

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
    part: Share = 0.2  # of servers or gateways it befalls
    size: Positive = 3.0  # times slower, times the rate, seconds of skew, clients of a crowd: by the kind
    member: str = ""  # a burst of this member alone
    batch: Share = 0.15  # of the servers that a deploy replaces at a time


class Peers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Messages between gateways."""

    use: bool = False
    period_ms: Positive = 1000.0
    warm_start: bool = True


class StoreUse(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A store on disk in each gateway, which a death leaves as it was."""

    use: bool = False
    sync: Literal["batch", "every", "never"] = "every"


class Door(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fair queues and limits in the gateways."""

    use: bool = False
    patience: Annotated[float, Meta(ge=0, le=0.5)] = 0.5
    memory_mb: Positive = 16.0
    adaptive: bool = True
    client_per_s: NotNegative = 0.0
    member_per_s: NotNegative = 0.0


class DnsLoad(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """DNS beside HTTP, in real time: stand-in upstream servers and queries to all gateways."""

    rate: NotNegative = 0.0  # queries a second, an open loop; 0: no DNS
    upstreams: Count = 3
    names: Count = 500  # that are asked for, the popular ones more often
    ttl_s: Annotated[int, Meta(ge=0, le=86_400)] = 5
    delay_ms: NotNegative = 5.0  # of an upstream's answer
    aim_ms: Positive = 500.0
    deadline_ms: Positive = 2000.0


class Expect(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds that must hold. No rule may be broken, whatever stands here."""

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
    """What gateways are told, beyond what follows from the rest."""

    max_attempts: Count = 6
    second_copies: bool = True
    may_cancel: bool = True
    max_retry_after_ms: NotNegative = 2000.0
    drain_grace_ms: Positive = 2000.0
    memory_mb: Count = 192
    sockets: Annotated[int, Meta(ge=64)] = 1024


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole scenario."""

    name: Name
    about: str = ""
    seconds: Annotated[float, Meta(gt=0, le=100_000)] = 30.0  # of arrivals
    settle_s: NotNegative = 1.0  # at the start: played and not counted in `service`
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    network: Network = msgspec.field(default_factory=Network)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    classes: list[RequestKind] = msgspec.field(
        name="class", default_factory=lambda: [RequestKind(name="lookup")]
    )
    members: list[Member] = msgspec.field(name="member", default_factory=lambda: [Member(name="acme")])
    clients: Clients = msgspec.field(default_factory=Clients)
    load: Load = msgspec.field(default_factory=Load)
    gateways: Gateways = msgspec.field(name="gateway", default_factory=Gateways)
    troubles: list[Trouble] = msgspec.field(name="trouble", default_factory=list)
    peers: Peers = msgspec.field(default_factory=Peers)
    door: Door = msgspec.field(default_factory=Door)
    store: StoreUse = msgspec.field(default_factory=StoreUse)
    dns: DnsLoad = msgspec.field(default_factory=DnsLoad)
    expect: Expect = msgspec.field(default_factory=Expect)

    @property
    def mean_work_ms(self) -> float:
        """Work of a request on a standard core, over all classes."""
        total = sum(request_class.share for request_class in self.classes)
        return sum(request_class.share * request_class.work_ms for request_class in self.classes) / total

    @property
    def rate(self) -> float:
        """Requests a second before curve and troubles."""
        if self.load.rate > 0:
            return self.load.rate
        cores = self.fleet.servers * self.fleet.cores * sum(self.fleet.speed) / 2
        return self.load.use * cores * 1000.0 / self.mean_work_ms


def _across(scenario: Scenario) -> Iterator[Fault]:
    """What types cannot tell."""
    for number, request_class in enumerate(scenario.classes):
        if request_class.aim_ms > request_class.deadline_ms:
            place = ("class", number, "aim_ms")
            yield Fault(
                place, f"class[{number + 1}].aim_ms = {request_class.aim_ms:g} is above its deadline_ms"
            )
    for key, names in (
        ("class", [k.name for k in scenario.classes]),
        ("member", [m.name for m in scenario.members]),
    ):
        for number, name in enumerate(names):
            if name in names[:number]:
                yield Fault((key, number, "name"), f"{key}[{number + 1}].name = {name!r} stands there twice")
    for table in ("classes", "members"):
        if not getattr(scenario, table):
            yield Fault((), f"there are no {table}; at least one is needed")
    for key, pair in (("speed", scenario.fleet.speed),):
        if not 0 < pair[0] <= pair[1]:
            yield Fault(("fleet", key), f"fleet.{key} = {list(pair)} is no range of numbers above 0")
    for number, trouble in enumerate(scenario.troubles):
        if trouble.at_s >= scenario.seconds:
            why = f"trouble[{number + 1}].at_s = {trouble.at_s:g} is after the last arrival"
            yield Fault(("trouble", number, "at_s"), f"{why}; it is below seconds = {scenario.seconds:g}")
        if trouble.kind in ("slow", "burst") and trouble.size < 1:
            why = f"trouble[{number + 1}].size = {trouble.size:g} is below 1, the least for {trouble.kind}"
            yield Fault(("trouble", number, "size"), why)
        if trouble.member and trouble.member not in [m.name for m in scenario.members]:
            place = ("trouble", number, "member")
            yield Fault(place, f"trouble[{number + 1}].member = {trouble.member!r} is no member")
    for number, member in enumerate(scenario.members):
        if member.kind and member.kind not in [k.name for k in scenario.classes]:
            why = f"member[{number + 1}].kind = {member.kind!r} is no class"
            yield Fault(("member", number, "kind"), why)
    times = [second for second, _ in scenario.load.curve]
    if times != sorted(times) or any(times_rate < 0 for _, times_rate in scenario.load.curve):
        yield Fault(("load", "curve"), "load.curve needs rising seconds and rates of at least 0")


def load(path: Path | str) -> Scenario:
    """Read a scenario; `FileError` names everything that is wrong with it."""
    return read(path, Scenario, _across)


def altered(scenario: Scenario, settings: dict[str, Any]) -> Scenario:
    """The same with other values, named as in `fleet.servers`; `FileError` for bad ones."""
    from sagetrack.config.errors import FileError
    from sagetrack.config.validation import decode

    raw = msgspec.to_builtins(scenario)
    for name, value in settings.items():
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
    if raw["expect"].get("p99_ms_max") is None:  # infinity has no plain form
        raw["expect"].pop("p99_ms_max", None)
    made, faults = decode(raw, Scenario)
    if made is None:
        raise FileError([fault.message for fault in faults])
    across = list(_across(made))
    if across:
        raise FileError([fault.message for fault in across])
    return made


def platform_settings(scenario: Scenario, gateway: int) -> dict[str, Any]:
    """The settings object that gateway number so and so gets, in the platform's form and units."""
    fleet, rules, clients = scenario.fleet, scenario.gateways, scenario.clients
    effects = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
    scopes = {"all": "all", "zone": "zone", "rack": "cell"}
    whole = sum(member.share for member in scenario.members)
    return {
        "balancers": fleet.gateways,
        "index": gateway,
        "zone": gateway % len(fleet.zones),
        "zones": list(fleet.zones),
        "shapes": ["plain"],
        "membershipMode": "pushed",
        "lanes": [
            {
                "name": request_class.name,
                "effect": effects[request_class.effect],
                "group": scopes[request_class.scope],
                "aimUs": int(request_class.aim_ms * 1000),
                "giveUpUs": int(request_class.deadline_ms * 1000),
                "windowUs": int(request_class.window_ms * 1000),
                "value": request_class.worth,
                "lateValue": request_class.late_worth,
                "streamed": False,
            }
            for request_class in scenario.classes
        ],
        "tenants": [{"name": member.name, "fraction": member.share / whole} for member in scenario.members],
        "clients": {"marksRetry": clients.marks_retry},
        "objectiveMix": {"whole": 0.7, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.1},
        "overShareWorth": 1.0,
        "prices": {"crossZone": 0.02},
        "report": {"how": "silent", "fields": []},
        "caps": {
            "maxAttempts": rules.max_attempts,
            "mayCancel": rules.may_cancel,
            "peers": scenario.peers.use,
            "probes": False,
            "secondCopies": rules.second_copies,
            "retryAfter": rules.max_retry_after_ms > 0,
            "multiplex": 1,
            "maxRetryAfterUs": int(rules.max_retry_after_ms * 1000),
            "connectTimeoutUs": int(scenario.network.connect_timeout_ms * 1000),
            "keepaliveUs": int(fleet.idle_s * 1e6),
            "cpuUsPerS": 0,
        },
        "contract": {
            "answerSlackUs": ANSWER_SLACK_US,
            "stopSendingWithinUs": int(rules.drain_grace_ms * 1000),
            "mustAskInUs": 10_000_000,
            "startCapacity": fleet.cold_share,
            "warmAfterUs": int(fleet.cold_s * 1e6),
            "tipMultiple": fleet.fall_multiple,
            "fallUs": int(fleet.fall_s * 1e6),
        },
    }
