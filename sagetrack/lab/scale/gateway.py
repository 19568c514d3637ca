"""Probes of the gateway's own work: deciding, rejecting, taking endpoint lists, reading its configuration."""

from __future__ import annotations

import json
from itertools import accumulate, count, pairwise

from sagetrack.config.platform import parse
from sagetrack.lab.scale.meter import Meter, Values, retained_bytes
from sagetrack.lab.scale.probe import Probe
from sagetrack.lab.scale.simulated_gateway import START_US, SimulatedGateway
from sagetrack.lab.scale.target_fleet import KEYED, TargetFleet
from sagetrack.policy.events import EndpointList, ListedServer, ListKind, ServerStatus
from sagetrack.policy.load_balancer import LoadBalancer

FEW_TENANTS, FEW_SERVERS = 10, 25  # the fixed sizes while another one grows
REQUESTS_PER_S = 122  # of one gateway


def memory_values(retained: float, size: int) -> Values:
    """Return the measures of memory: of all, and of one of what is swept."""
    return {"held_bytes": retained, "each_bytes": retained / size}


def decision_by_tenants(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """One request of a gateway with so many tenants, and the memory of its policy and settings."""
    gateway = SimulatedGateway(fleet.settings(size), fleet.listed_servers(FEW_SERVERS))
    gateway.recover()
    retained = retained_bytes(
        lambda: SimulatedGateway(fleet.settings(size), fleet.listed_servers(FEW_SERVERS))
    )
    return meter.measure_event(gateway.send_request) | memory_values(retained, size)


def decision_by_servers(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """One request of a gateway with so many servers, and the memory of its policy without its settings."""
    settings = fleet.settings(FEW_TENANTS)
    servers = fleet.listed_servers(size)
    gateway = SimulatedGateway(settings, servers)
    gateway.recover()
    retained = retained_bytes(lambda: SimulatedGateway(settings, servers))
    return meter.measure_event(gateway.send_request) | memory_values(retained, size)


def decision_by_gateways(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """One request of one of so many gateways."""
    settings = fleet.settings(FEW_TENANTS, size, size // 2)
    gateway = SimulatedGateway(settings, fleet.listed_servers(FEW_SERVERS))
    gateway.recover()
    return meter.measure_event(gateway.send_request)


def decision_by_services(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Requests in turn to a policy for each service, as a gateway that knew services would have."""

    def make() -> list[SimulatedGateway]:
        settings = fleet.settings(FEW_TENANTS)
        ends = [0, *accumulate(fleet.service_sizes[:size])]
        return [
            SimulatedGateway(settings, fleet.listed_servers(end - first, first))
            for first, end in pairwise(ends)
        ]

    gateways = make()
    turns = count(1)

    def send_to_next() -> None:
        gateways[next(turns) % len(gateways)].send_request()

    retained = retained_bytes(make)
    return meter.measure_event(send_to_next) | memory_values(retained, size)


def retry_by_servers(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """One request with an idempotency key whose first attempt fails."""
    gateway = SimulatedGateway(fleet.settings(FEW_TENANTS), fleet.listed_servers(size))
    attempts: list[int] = []
    values = meter.measure_event(
        lambda: attempts.append(len(gateway.send_request(KEYED, failures=1))), gateway.recover
    )
    return values | {"attempts": sum(attempts) / len(attempts)}


def rejection_by_servers(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """One rejected request."""
    gateway = SimulatedGateway(fleet.settings(FEW_TENANTS), fleet.listed_servers(size))
    gateway.recover()
    return meter.measure_event(gateway.reject_request)


def list_by_servers(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """A new policy takes its first full list."""
    settings = fleet.settings(FEW_TENANTS)
    event = EndpointList(ListKind.FULL, fleet.listed_servers(size))
    balancer = LoadBalancer(settings, 1)

    def make_balancer() -> None:
        nonlocal balancer
        balancer = LoadBalancer(settings, 1)

    return meter.measure_event(lambda: balancer.handle(START_US, event), make_balancer, step_samples=1)


def change_by_servers(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """A server is replaced by a restarted one."""
    listed = fleet.listed_servers(size)
    gateway = SimulatedGateway(fleet.settings(FEW_TENANTS), listed)
    restarts = count(1)

    def replace_server() -> None:
        restart = next(restarts)
        old = listed[restart % size]
        new = ListedServer(old.server, zone=old.zone, group=old.group, started_us=START_US + restart)
        gateway.balancer.handle(gateway.now_us, EndpointList(ListKind.DELTA, (new,)))

    return meter.measure_event(replace_server)


def zone_by_servers(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """All servers of a zone are deleted by one list."""
    listed = fleet.listed_servers(size)
    gateway = SimulatedGateway(fleet.settings(FEW_TENANTS), listed)
    lost = [listed[number] for number in fleet.servers_in_zone(0, size)]
    deleted = tuple(ListedServer(entry.server, ServerStatus.GONE) for entry in lost)
    restored = EndpointList(ListKind.DELTA, tuple(lost))

    def lose_zone() -> None:
        gateway.balancer.handle(gateway.now_us, EndpointList(ListKind.DELTA, deleted))

    def restore_zone() -> None:
        gateway.balancer.handle(gateway.now_us, restored)

    values = meter.measure_event(lose_zone, restore_zone, step_samples=1)
    return values | {"entries": float(len(deleted))}


def observations_by_servers(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """The gateway's observations are collected after a second's requests, as for its peers."""
    gateway = SimulatedGateway(fleet.settings(FEW_TENANTS), fleet.listed_servers(size))
    for _ in range(REQUESTS_PER_S):
        gateway.send_request()
    observations = gateway.balancer.own_observations()[0]
    values = meter.measure_event(gateway.balancer.own_observations)
    return values | {"entries": float(len(observations))}


def configuration_by_tenants(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """The whole configuration file is read again, as after SIGHUP."""
    settings = fleet.platform_settings(size)
    text = json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings})
    retained = retained_bytes(lambda: parse(json.loads(text)))
    values = meter.measure_event(lambda: parse(json.loads(text)), step_samples=1)
    return values | {"bytes": float(len(text))} | memory_values(retained, size)


# Names of probes and their texts are those of the stored results and of docs/CAPACITY.md
POLICY = "sagetrack/policy"
FIXED_TENANTS = f"{FEW_TENANTS} tenants, 1 gateway"
PROBES = (
    Probe(
        "decision-by-tenants",
        "gateway",
        "one call, decided and answered",
        "tenants",
        f"{FEW_SERVERS} servers, 1 gateway",
        f"{POLICY}/tenant_quota.py: excess",
        decision_by_tenants,
    ),
    Probe(
        "decision-by-servers",
        "gateway",
        "one call, decided and answered",
        "servers",
        FIXED_TENANTS,
        f"{POLICY}/selection.py: subset, select",
        decision_by_servers,
        smallest=25,
    ),
    Probe(
        "decision-by-gateways",
        "gateway",
        "one call, decided and answered",
        "gateways",
        f"{FEW_TENANTS} tenants, {FEW_SERVERS} servers",
        f"{POLICY}/selection.py: select",
        decision_by_gateways,
        smallest=3,
    ),
    Probe(
        "decision-by-services",
        "gateway",
        "one call at one module for each service",
        "services",
        f"{FEW_TENANTS} tenants, services of the target's sizes",
        "none: the program knows one service",
        decision_by_services,
        smallest=4,
    ),
    Probe(
        "repeat-by-servers",
        "gateway",
        "a keyed call with one repeat",
        "servers",
        FIXED_TENANTS,
        f"{POLICY}/selection.py: _retry_candidates",
        retry_by_servers,
        smallest=25,
    ),
    Probe(
        "refusal-by-servers",
        "gateway",
        "a refusal with word of when to come back",
        "servers",
        FIXED_TENANTS,
        f"{POLICY}/retry_after.py: wait_us",
        rejection_by_servers,
        smallest=25,
    ),
    Probe(
        "list-by-servers",
        "gateway",
        "the module takes a whole list",
        "servers",
        FIXED_TENANTS,
        f"{POLICY}/endpoints.py: update",
        list_by_servers,
        smallest=25,
    ),
    Probe(
        "change-by-servers",
        "gateway",
        "the module takes one changed entry",
        "servers",
        FIXED_TENANTS,
        f"{POLICY}/endpoints.py: update",
        change_by_servers,
        smallest=25,
    ),
    Probe(
        "zone-by-servers",
        "gateway",
        "the module hears that a zone's servers are gone",
        "servers",
        FIXED_TENANTS,
        f"{POLICY}/endpoints.py: update",
        zone_by_servers,
        smallest=25,
    ),
    Probe(
        "sights-by-servers",
        "gateway",
        "what it has seen is gathered, each second",
        "servers",
        FIXED_TENANTS,
        f"{POLICY}/gossip.py: own_observations",
        observations_by_servers,
        smallest=25,
    ),
    Probe(
        "configuration-by-tenants",
        "gateway",
        "the file is read again (SIGHUP)",
        "tenants",
        "no servers",
        "sagetrack/config/platform.py: parse",
        configuration_by_tenants,
    ),
)
