"""Probes of the messages between gateways: membership, demand gossip and warm starts.

Times to detect a dead gateway are in simulated time, so that other load on the machine does not affect them.
"""

from __future__ import annotations

import time
from itertools import count

from sagetrack.lab.benchmarks.membership import Fleet, simulate_deaths, simulate_partition
from sagetrack.lab.scale.gateway import FEW_TENANTS
from sagetrack.lab.scale.meter import Meter, Values, retained_bytes
from sagetrack.lab.scale.probe import Probe
from sagetrack.lab.scale.simulated_gateway import START_US, SimulatedGateway
from sagetrack.lab.scale.target_fleet import TargetFleet
from sagetrack.peers.codec import Datagram, encode
from sagetrack.peers.demand_gossip import FANOUT, decode_demands, demand_message
from sagetrack.peers.settings import MembershipSettings
from sagetrack.peers.warm_start import INITIAL_PEERS, divide_response
from sagetrack.policy.events import ObservationsReceived
from sagetrack.policy.peer_observations import Observation

WARM_UP_S = 5.0  # simulated time before the gateway's death; must match the membership benchmark
OBSERVED_S = 100.0  # simulated time after the gateway's death
PARTITION_S = 60.0
HEALING_LIMIT_S = 240.0  # simulated time after the partition within which all views must agree
OBSERVATIONS_PER_DATAGRAM = 10


def membership_by_gateways(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Fail one of `size` gateways; measure when the others know, and the cost of membership for each."""
    began_ns = time.thread_time_ns()
    outcome = simulate_deaths(size, fleet.seed, 0.0, OBSERVED_S)
    cpu_us = (time.thread_time_ns() - began_ns) / 1000
    retained = retained_bytes(lambda: Fleet(size, fleet.seed, 0.0, MembershipSettings()))
    values: Values = {
        "known_s": outcome.median_s,
        "known_p99_s": outcome.p99_s,
        "missed": float(outcome.undetected),
        "messages_per_s": outcome.sent_per_s,
        "bytes_per_s": outcome.bytes_per_s,
        "held_bytes": retained / size,
        "each_bytes": retained / size / size,
    }
    if meter.measures_times:
        values["cpu_us_per_s"] = cpu_us / size / (OBSERVED_S + WARM_UP_S)
    return values


def healing_by_gateways(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Partition off a third of the gateways, for longer than the detection of a dead gateway takes."""
    healed_s = simulate_partition(size, fleet.seed, 0.0, PARTITION_S, HEALING_LIMIT_S).convergence_s
    return {"healed_s": healed_s if healed_s >= 0 else HEALING_LIMIT_S, "unhealed": float(healed_s < 0)}


def demands_by_tenants(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Measure the encoding of the demands of one second, and the decoding of one received message."""
    demands = [share * 1e9 for share in fleet.tenant_shares[:size]]
    message = demand_message(demands)
    assert message is not None
    data = encode(Datagram(0, 1, [message]))
    values = meter.measure_event(
        lambda: (demand_message(demands), decode_demands(message, size)), step_samples=1
    )
    return values | {
        "bytes": float(len(data)),
        "bytes_per_s": float(FANOUT * len(data)),
        "messages_per_s": float(FANOUT),
        "entries": float(len(message.demands)),
    }


def warm_start_by_servers(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Measure the response of a gateway that has observed all servers to one that has just started."""
    observations = [Observation(number, 0, 0, START_US, weight=0.5) for number in range(size)]
    parts = divide_response(1, observations, [], START_US)
    values = meter.measure_event(lambda: divide_response(1, observations, [], START_US), step_samples=1)
    entries = sum(len(part.servers) for part in parts)
    length = sum(len(encode(Datagram(0, 1, [part]))) for part in parts)
    return values | {
        "messages": float(len(parts)),
        "bytes": float(length * INITIAL_PEERS),
        "entries": float(entries),
    }


def learned_by_servers(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Measure how the policy handles the observations of one datagram."""
    gateway = SimulatedGateway(fleet.settings(FEW_TENANTS), fleet.listed_servers(size))
    receptions = count(1)

    def receive_observations() -> None:
        now_us = START_US + next(receptions)
        observations = tuple(
            Observation(number, 0, 1, now_us, weight=0.5) for number in range(OBSERVATIONS_PER_DATAGRAM)
        )
        gateway.balancer.handle(now_us, ObservationsReceived(observations))

    return meter.measure_event(receive_observations)


PROBES = (
    Probe(
        name="membership-by-gateways",
        role="peers",
        event="a gateway's part of a second of membership; a death",
        axis="gateways",
        fixed="no loss, 1 to 10 ms one way",
        mechanism="sagetrack/peers/membership.py",
        run=membership_by_gateways,
        smallest=16,
        quick_largest=200,
        simulated=("known_s", "known_p99_s", "missed", "messages_per_s", "bytes_per_s"),
    ),
    Probe(
        name="healing-by-gateways",
        role="peers",
        event="a third is cut off for 60 s",
        axis="gateways",
        fixed="no loss, 1 to 10 ms one way",
        mechanism="sagetrack/peers/membership.py",
        run=healing_by_gateways,
        smallest=16,
        largest=200,
        quick_largest=100,
        simulated=("healed_s",),
    ),
    Probe(
        name="demands-by-tenants",
        role="peers",
        event="demands are told, and one telling is read",
        axis="tenants",
        fixed="6 fellows",
        mechanism="sagetrack/peers/demand_gossip.py",
        run=demands_by_tenants,
    ),
    Probe(
        name="warm-start-by-servers",
        role="peers",
        event="an answer to who has just started",
        axis="servers",
        fixed="all seen",
        mechanism="sagetrack/peers/warm_start.py: divide_response",
        run=warm_start_by_servers,
        smallest=25,
    ),
    Probe(
        name="learned-by-servers",
        role="peers",
        event="one datagram of sights is taken up",
        axis="servers",
        fixed="10 sights in it",
        mechanism="sagetrack/policy/gossip.py: receive",
        run=learned_by_servers,
        smallest=25,
    ),
)
