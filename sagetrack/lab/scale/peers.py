"""What gateways tell each other: membership, demands, warm starts. Messages, bytes, and how soon a death is
known (in simulated time, which no other work on the machine changes).
"""

from __future__ import annotations

import time

from sagetrack.lab.benchmarks.membership import Fleet, death, partition
from sagetrack.lab.scale.gateway import BASE_US, FEW_TENANTS, Hollow
from sagetrack.lab.scale.probe import Meter, Probe, Values, held_bytes
from sagetrack.lab.scale.world import FleetAhead
from sagetrack.peers.codec import Datagram, encode
from sagetrack.peers.demand_gossip import FANOUT, demand_message, demands_from
from sagetrack.peers.settings import MembershipSettings
from sagetrack.peers.warm_start import PEERS_ASKED, divide_response
from sagetrack.policy.events import ObservationsReceived
from sagetrack.policy.peer_observations import Observation

WATCHED_S = 100.0  # after the death
CUT_S, HEALED_S = 60.0, 240.0  # how long a third is cut off; how long its end is watched
WARM_S = 5.0


def membership_by_gateways(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    began = time.thread_time_ns()
    seen = death(size, fleet.seed, 0.0, WATCHED_S)
    spent_us = (time.thread_time_ns() - began) / 1000
    held = held_bytes(lambda: Fleet(size, fleet.seed, 0.0, MembershipSettings()))
    values: Values = {
        "known_s": seen.median_s,
        "known_p99_s": seen.p99_s,
        "missed": float(seen.missed),
        "messages_per_s": seen.sent_per_s,
        "bytes_per_s": seen.bytes_per_s,
        "held_bytes": held / size,
        "each_bytes": held / size / size,
    }
    if meter.times:
        values["cpu_us_per_s"] = spent_us / size / (WATCHED_S + WARM_S)
    return values


def healing_by_gateways(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    """A third is cut off, for longer than it takes until a death is known."""
    healed_s = partition(size, fleet.seed, 0.0, CUT_S, HEALED_S).healed_s
    return {"healed_s": healed_s if healed_s >= 0 else HEALED_S, "unhealed": float(healed_s < 0)}


def demands_by_tenants(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    """What is asked for here becomes a datagram, and one that came becomes demands, as each second."""
    demands = [share * 1e9 for share in fleet.shares[:size]]
    told = demand_message(demands)
    assert told is not None
    data = encode(Datagram(0, 1, [told]))
    values = meter.event(lambda: (demand_message(demands), demands_from(told, size)), few=1)
    return values | {
        "bytes": float(len(data)),
        "bytes_per_s": float(FANOUT * len(data)),
        "messages_per_s": float(FANOUT),
        "entries": float(len(told.demands)),
    }


def warm_start_by_servers(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    """A gateway that knows all servers answers one that has just started."""
    sights = [Observation(number, 0, 0, BASE_US, weight=0.5) for number in range(size)]
    parts = divide_response(1, sights, [], BASE_US)
    values = meter.event(lambda: divide_response(1, sights, [], BASE_US), few=1)
    told = sum(len(part.servers) for part in parts)
    length = sum(len(encode(Datagram(0, 1, [part]))) for part in parts)
    return values | {
        "messages": float(len(parts)),
        "bytes": float(length * PEERS_ASKED),
        "entries": float(told),
    }


def learned_by_servers(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    """One such datagram is taken up."""
    hollow = Hollow(fleet.settings(FEW_TENANTS), fleet.listed(size))
    turn = [0]

    def learn() -> None:
        turn[0] += 1
        sights = tuple(Observation(n, 0, 1, BASE_US + turn[0], weight=0.5) for n in range(10))
        hollow.balancer.handle(BASE_US + turn[0], ObservationsReceived(sights))

    return meter.event(learn)


PROBES = (
    Probe(
        "membership-by-gateways",
        "peers",
        "a gateway's part of a second of membership; a death",
        "gateways",
        "no loss, 1 to 10 ms one way",
        "sagetrack/peers/membership.py",
        membership_by_gateways,
        least=16,
        quick_most=200,
        virtual=("known_s", "known_p99_s", "missed", "messages_per_s", "bytes_per_s"),
    ),
    Probe(
        "healing-by-gateways",
        "peers",
        "a third is cut off for 60 s",
        "gateways",
        "no loss, 1 to 10 ms one way",
        "sagetrack/peers/membership.py",
        healing_by_gateways,
        least=16,
        most=200,
        quick_most=100,
        virtual=("healed_s",),
    ),
    Probe(
        "demands-by-tenants",
        "peers",
        "demands are told, and one telling is read",
        "tenants",
        "6 fellows",
        "sagetrack/peers/demand_gossip.py",
        demands_by_tenants,
    ),
    Probe(
        "warm-start-by-servers",
        "peers",
        "an answer to who has just started",
        "servers",
        "all seen",
        "sagetrack/peers/warm_start.py: divide_response",
        warm_start_by_servers,
        least=25,
    ),
    Probe(
        "learned-by-servers",
        "peers",
        "one datagram of sights is taken up",
        "servers",
        "10 sights in it",
        "sagetrack/policy/gossip.py: receive",
        learned_by_servers,
        least=25,
    ),
)
