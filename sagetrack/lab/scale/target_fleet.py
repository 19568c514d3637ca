"""Generates a fleet of the target's sizes from a seed.

The fleet has services of unequal size, zones, tenants with Zipf-distributed shares, and a day of changes and
failures.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from itertools import accumulate
from typing import Any

from sagetrack.lab.scale.target import (
    CHANGES_PER_DAY,
    DAY_S,
    FAILURES_PER_DAY,
    MACHINES_PER_RACK,
    REGION_PARTITIONS_PER_YEAR,
    RESTARTS_PER_DAY,
    ZONE_LOSSES_PER_YEAR,
    Sizes,
)
from sagetrack.policy.events import ListedServer
from sagetrack.policy.settings import Effect, RequestClass, Scope, Settings, Tenant

ZIPF_EXPONENT = 1.1  # the share of the tenant at rank r is proportional to r ** -ZIPF_EXPONENT
SERVICE_SIZE_SIGMA = 1.2  # standard deviation of the logarithm of a service's size
RACK_LOSSES_PER_DAY = 1 / 7
SERVERS_PER_GROUP = 4
SAFE, KEYED, UNSAFE = range(3)  # indices of CLASSES
CLASSES = (
    RequestClass(latency_objective_us=1_000_000, request_timeout_us=3_000_000, effect=Effect.SAFE),
    RequestClass(
        latency_objective_us=1_000_000,
        request_timeout_us=3_000_000,
        effect=Effect.KEYED,
        scope=Scope.ZONE,
        window_us=10_000_000,
    ),
    RequestClass(latency_objective_us=2_000_000, request_timeout_us=6_000_000, effect=Effect.UNSAFE),
)


@dataclass(slots=True, frozen=True)
class FleetEvent:
    """A change or failure, with its time in seconds since the start of the day."""

    at_s: float
    kind: str  # change, machine, restart, rack, zone or region
    servers: tuple[int, ...] = ()


def zipf_shares(count: int) -> list[float]:
    """Return the shares of `count` tenants in descending order; their sum is 1."""
    raw = [rank**-ZIPF_EXPONENT for rank in range(1, count + 1)]
    total = sum(raw)
    return [share / total for share in raw]


def lognormal_sizes(total: int, parts: int, rng: random.Random) -> list[int]:
    """Return `parts` lognormally distributed sizes of at least 1 whose sum is `total`.

    Raises:
        ValueError: `total` is less than `parts`, or `parts` is less than 1.
    """
    if not 1 <= parts <= total:
        raise ValueError(f"{total} servers are too few for {parts} services")
    raw = [rng.lognormvariate(0.0, SERVICE_SIZE_SIGMA) for _ in range(parts)]
    spare = total - parts
    raw_total = sum(raw)
    ends = [round(spare * reached / raw_total) for reached in accumulate(raw)]
    return [1 + end - begin for begin, end in zip([0, *ends], ends, strict=False)]


class TargetFleet:
    """The services, servers and tenants of a fleet, generated from its sizes and a seed."""

    def __init__(self, sizes: Sizes, seed: int) -> None:
        self.sizes = sizes
        self.seed = seed
        rng = random.Random(f"{seed}/fleet ahead")  # stored results depend on this seed text
        self.service_sizes = lognormal_sizes(sizes.servers, sizes.services, rng)
        self.tenant_shares = zipf_shares(sizes.tenants)
        self.zone_by_server = [number % sizes.zones for number in range(sizes.servers)]  # spread evenly

    def listed_servers(self, count: int, first: int = 0) -> tuple[ListedServer, ...]:
        """Return endpoint list entries of `count` servers for the policy; no server is in slow start."""
        return tuple(
            ListedServer(number, zone=self.zone_by_server[number], group=number // SERVERS_PER_GROUP)
            for number in range(first, first + count)
        )

    def settings(self, tenants: int, gateways: int = 1, gateway: int = 0) -> Settings:
        """Return a gateway's policy settings; the shares of the first `tenants` tenants are scaled to 1."""
        total = sum(self.tenant_shares[:tenants]) or 1.0
        return Settings(
            classes=CLASSES,
            gateway_count=gateways,
            gateway_index=gateway,
            zone=gateway % self.sizes.zones,
            tenants=tuple(Tenant(share / total) for share in self.tenant_shares[:tenants]),
        )

    def platform_settings(self, tenants: int) -> dict[str, Any]:
        """Return the `settings` object of a gateway's configuration with the first `tenants` tenants."""
        return {
            "balancers": self.sizes.gateways,
            "index": 0,
            "zone": 0,
            "zones": [f"z{number}" for number in range(self.sizes.zones)],
            "shapes": ["plain"],
            "lanes": [
                {"name": "lookup", "effect": "free", "aimUs": 1_000_000, "giveUpUs": 3_000_000, "value": 1.0}
            ],
            "tenants": [
                {"name": tenant_name(number), "fraction": round(share, 9)}
                for number, share in enumerate(self.tenant_shares[:tenants])
            ],
        }

    def discovery_entry(self, number: int, status: str = "SERVING", address: str = "") -> dict[str, Any]:
        """Return a server's entry in the JSON form of discovery."""
        return {
            "name": f"s-{number:014d}",
            "address": address or f"10.0.{number // 250}.{number % 250}:8080",
            "zone": f"z{self.zone_by_server[number]}",
            "type": "plain",
            "group": number // SERVERS_PER_GROUP,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }

    def full_list(self, count: int) -> dict[str, Any]:
        """Return a full endpoint list of the first `count` servers in the JSON form of discovery."""
        endpoints = [self.discovery_entry(number) for number in range(count)]
        return {"index": 1, "snapshot": True, "endpoints": endpoints}

    def delta(self, status: str = "SERVING") -> dict[str, Any]:
        """Return an endpoint list with one changed entry in the JSON form of discovery."""
        return {"index": 2, "snapshot": False, "endpoints": [self.discovery_entry(0, status)]}

    def servers_in_zone(self, zone: int, count: int) -> tuple[int, ...]:
        """Return the servers of a zone among the first `count` servers."""
        return tuple(number for number in range(count) if self.zone_by_server[number] == zone)

    def day_events(self) -> list[FleetEvent]:
        """Return the changes and failures of one day, ordered by time."""
        rng = random.Random(f"{self.seed}/day")
        servers = self.sizes.servers
        events = [FleetEvent(rng.uniform(0, DAY_S), "change") for _ in range(CHANGES_PER_DAY)]
        for kind, count in (("machine", FAILURES_PER_DAY), ("restart", RESTARTS_PER_DAY)):
            events += [
                FleetEvent(rng.uniform(0, DAY_S), kind, (rng.randrange(servers),)) for _ in range(count)
            ]
        if rng.random() < RACK_LOSSES_PER_DAY:
            first = rng.randrange(max(1, servers - MACHINES_PER_RACK))
            lost = tuple(range(first, first + MACHINES_PER_RACK))
            events.append(FleetEvent(rng.uniform(0, DAY_S), "rack", lost))
        for kind, per_year in (("zone", ZONE_LOSSES_PER_YEAR), ("region", REGION_PARTITIONS_PER_YEAR)):
            if rng.random() < per_year / 365:
                zone = rng.randrange(self.sizes.zones)
                lost = self.servers_in_zone(zone, servers) if kind == "zone" else ()
                events.append(FleetEvent(rng.uniform(0, DAY_S), kind, lost))
        return sorted(events, key=lambda event: event.at_s)


def tenant_name(number: int) -> str:
    """Return a tenant's name; the first tenant is the one that the benchmarks' HTTP load sends."""
    return "acme" if number == 0 else f"tenant-{number:09d}"
