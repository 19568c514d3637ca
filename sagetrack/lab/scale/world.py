"""The fleet ahead as it might be: services of unequal size, zones, tenants by a long-tailed law, and a day of
changes and failures. All of it follows from a seed.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from itertools import accumulate
from typing import Any

from sagetrack.lab.scale.target import (
    CHANGES_PER_DAY,
    DAY_S,
    FAILED_PER_DAY,
    RACK_MACHINES,
    REGION_CUTS_PER_YEAR,
    RESTARTED_PER_DAY,
    ZONE_LOSSES_PER_YEAR,
    Sizes,
)
from sagetrack.policy.events import ListedServer
from sagetrack.policy.settings import Effect, RequestClass, Scope, Settings, Tenant

TAIL = 1.1  # exponent of Zipf's law: the share of the tenant at rank r is as r to the minus so much
SPREAD = 1.2  # standard deviation of the logarithm of a service's size
RACK_PER_DAY = 1 / 7
SAFE, KEYED, UNSAFE = range(3)  # the classes, in the order of the settings
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
class Happening:
    """Something that befalls the fleet, so many seconds after the day began."""

    at_s: float
    kind: str  # change, machine, restart, rack, zone or region
    servers: tuple[int, ...] = ()


def long_tail(count: int) -> list[float]:
    """Shares of so many tenants, the largest first; they add up to 1."""
    raw = [rank**-TAIL for rank in range(1, count + 1)]
    whole = sum(raw)
    return [share / whole for share in raw]


def unequal(total: int, parts: int, draw: random.Random) -> list[int]:
    """Sizes of so many services that add up to `total`, none below 1. ValueError if there are too few."""
    if not 1 <= parts <= total:
        raise ValueError(f"{total} servers are too few for {parts} services")
    raw = [draw.lognormvariate(0.0, SPREAD) for _ in range(parts)]
    spare, whole = total - parts, sum(raw)
    ends = [round(spare * reached / whole) for reached in accumulate(raw)]
    return [1 + end - begin for begin, end in zip([0, *ends], ends, strict=False)]


class FleetAhead:
    """Services, servers and tenants of a fleet of these sizes."""

    def __init__(self, sizes: Sizes, seed: int) -> None:
        self.sizes, self.seed = sizes, seed
        draw = random.Random(f"{seed}/fleet ahead")
        self.services = unequal(sizes.servers, sizes.services, draw)
        self.shares = long_tail(sizes.tenants)
        self.zone_of = [number % sizes.zones for number in range(sizes.servers)]  # the same in each

    def listed(self, count: int, first: int = 0) -> tuple[ListedServer, ...]:
        """So many servers as the module gets them, all warm."""
        return tuple(
            ListedServer(number, zone=self.zone_of[number], group=number // 4)
            for number in range(first, first + count)
        )

    def settings(self, tenants: int, gateways: int = 1, gateway: int = 0) -> Settings:
        """Settings with the first so many tenants, whose shares then add up to 1."""
        whole = sum(self.shares[:tenants]) or 1.0
        return Settings(
            classes=CLASSES,
            gateway_count=gateways,
            gateway_index=gateway,
            zone=gateway % self.sizes.zones,
            tenants=tuple(Tenant(share / whole) for share in self.shares[:tenants]),
        )

    def platform(self, tenants: int) -> dict[str, Any]:
        """The platform's settings object with so many tenants, as a gateway's file has it."""
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
                for number, share in enumerate(self.shares[:tenants])
            ],
        }

    def endpoint(self, number: int, status: str = "SERVING", address: str = "") -> dict[str, Any]:
        """A server as discovery lists it."""
        return {
            "name": f"s-{number:014d}",
            "address": address or f"10.0.{number // 250}.{number % 250}:8080",
            "zone": f"z{self.zone_of[number]}",
            "type": "plain",
            "group": number // 4,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }

    def zone(self, zone: int, count: int) -> tuple[int, ...]:
        """Those of the first so many servers that are in a zone."""
        return tuple(number for number in range(count) if self.zone_of[number] == zone)

    def day(self) -> list[Happening]:
        """What a day brings, in order."""
        draw = random.Random(f"{self.seed}/day")
        servers = self.sizes.servers
        made = [Happening(draw.uniform(0, DAY_S), "change") for _ in range(CHANGES_PER_DAY)]
        for kind, count in (("machine", FAILED_PER_DAY), ("restart", RESTARTED_PER_DAY)):
            made += [
                Happening(draw.uniform(0, DAY_S), kind, (draw.randrange(servers),)) for _ in range(count)
            ]
        if draw.random() < RACK_PER_DAY:
            first = draw.randrange(max(1, servers - RACK_MACHINES))
            made.append(Happening(draw.uniform(0, DAY_S), "rack", tuple(range(first, first + RACK_MACHINES))))
        for kind, a_year in (("zone", ZONE_LOSSES_PER_YEAR), ("region", REGION_CUTS_PER_YEAR)):
            if draw.random() < a_year / 365:
                zone = draw.randrange(self.sizes.zones)
                gone = self.zone(zone, servers) if kind == "zone" else ()
                made.append(Happening(draw.uniform(0, DAY_S), kind, gone))
        return sorted(made, key=lambda happening: happening.at_s)


def tenant_name(number: int) -> str:
    return "acme" if number == 0 else f"tenant-{number:09d}"
