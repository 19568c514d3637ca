"""Probes of the gateway's own work: routing and rejecting requests, endpoint lists, configuration."""

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

FEW_TENANTS, FEW_SERVERS = 10, 25  # sizes that are fixed while another size is swept
REQUESTS_PER_S = 122  # load of one gateway


def memory_values(retained: float, size: int) -> Values:
    """Return the retained memory in total and for each unit of the swept size."""
    return {"held_bytes": retained, "each_bytes": retained / size}


def decision_by_tenants(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Measure one request at a gateway with `size` tenants, and the memory of its policy and settings."""
    gateway = SimulatedGateway(fleet.settings(size), fleet.listed_servers(FEW_SERVERS))
    gateway.recover()
    retained = retained_bytes(
        lambda: SimulatedGateway(fleet.settings(size), fleet.listed_servers(FEW_SERVERS))
    )
    return meter.measure_event(gateway.send_request) | memory_values(retained, size)


def decision_by_servers(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Measure one request at a gateway with `size` servers, and the memory of its policy without settings."""
    settings = fleet.settings(FEW_TENANTS)
    servers = fleet.listed_servers(size)
    gateway = SimulatedGateway(settings, servers)
    gateway.recover()
    retained = retained_bytes(lambda: SimulatedGateway(settings, servers))
    return meter.measure_event(gateway.send_request) | memory_values(retained, size)


def decision_by_gateways(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Measure one request at one of `size` gateways."""
    settings = fleet.settings(FEW_TENANTS, size, size // 2)
    gateway = SimulatedGateway(settings, fleet.listed_servers(FEW_SERVERS))
    gateway.recover()
    return meter.measure_event(gateway.send_request)


def decision_by_services(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Measure requests to one policy per service in turn, as in a gateway that distinguished services."""

    def make() -> list[SimulatedGateway]:
        settings = fleet.settings(FEW_TENANTS)
        ends = [0, *accumulate(fleet.service_sizes[:size])]
        return [
            SimulatedGateway(settings, fleet.listed_servers(end - first, first))
            for first, end in pairwise(ends)
        ]

    gateways = make()
    requests = count(1)

    def send_to_next() -> None:
        gateways[next(requests) % len(gateways)].send_request()

    retained = retained_bytes(make)
    return meter.measure_event(send_to_next) | memory_values(retained, size)


def retry_by_servers(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Measure a request with an idempotency key whose first attempt fails."""
    gateway = SimulatedGateway(fleet.settings(FEW_TENANTS), fleet.listed_servers(size))
    attempts: list[int] = []
    values = meter.measure_event(
        lambda: attempts.append(len(gateway.send_request(KEYED, failures=1))), gateway.recover
    )
    return values | {"attempts": sum(attempts) / len(attempts)}


def rejection_by_servers(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Measure a rejected request."""
    gateway = SimulatedGateway(fleet.settings(FEW_TENANTS), fleet.listed_servers(size))
    gateway.recover()
    return meter.measure_event(gateway.reject_request)


def list_by_servers(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Measure how a new policy handles its first full endpoint list."""
    settings = fleet.settings(FEW_TENANTS)
    event = EndpointList(ListKind.FULL, fleet.listed_servers(size))
    balancer = LoadBalancer(settings, 1)

    def make_balancer() -> None:
        nonlocal balancer
        balancer = LoadBalancer(settings, 1)

    return meter.measure_event(lambda: balancer.handle(START_US, event), make_balancer, step_samples=1)


def change_by_servers(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Measure the handling of a list in which one server was restarted."""
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
    """Measure the handling of a list that deletes all servers of a zone."""
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
    """Measure the collection of observations for the peers after the requests of one second."""
    gateway = SimulatedGateway(fleet.settings(FEW_TENANTS), fleet.listed_servers(size))
    for _ in range(REQUESTS_PER_S):
        gateway.send_request()
    observations = gateway.balancer.own_observations()[0]
    values = meter.measure_event(gateway.balancer.own_observations)
    return values | {"entries": float(len(observations))}


def configuration_by_tenants(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Measure the reloading of the whole configuration file, as after SIGHUP."""
    settings = fleet.platform_settings(size)
    text = json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings})
    retained = retained_bytes(lambda: parse(json.loads(text)))
    values = meter.measure_event(lambda: parse(json.loads(text)), step_samples=1)
    return values | {"bytes": float(len(text))} | memory_values(retained, size)


# The names and texts of the probes are part of the stored results and of docs/CAPACITY.md.
POLICY = "sagetrack/policy"
FIXED_TENANTS = f"{FEW_TENANTS} tenants, 1 gateway"
PROBES = (
    Probe(
        name="decision-by-tenants",
        role="gateway",
        event="one call, decided and answered",
        axis="tenants",
        fixed=f"{FEW_SERVERS} servers, 1 gateway",
        mechanism=f"{POLICY}/tenant_quota.py: excess",
        run=decision_by_tenants,
    ),
    Probe(
        name="decision-by-servers",
        role="gateway",
        event="one call, decided and answered",
        axis="servers",
        fixed=FIXED_TENANTS,
        mechanism=f"{POLICY}/selection.py: subset, select",
        run=decision_by_servers,
        smallest=25,
    ),
    Probe(
        name="decision-by-gateways",
        role="gateway",
        event="one call, decided and answered",
        axis="gateways",
        fixed=f"{FEW_TENANTS} tenants, {FEW_SERVERS} servers",
        mechanism=f"{POLICY}/selection.py: select",
        run=decision_by_gateways,
        smallest=3,
    ),
    Probe(
        name="decision-by-services",
        role="gateway",
        event="one call at one module for each service",
        axis="services",
        fixed=f"{FEW_TENANTS} tenants, services of the target's sizes",
        mechanism="none: the program knows one service",
        run=decision_by_services,
        smallest=4,
    ),
    Probe(
        name="repeat-by-servers",
        role="gateway",
        event="a keyed call with one repeat",
        axis="servers",
        fixed=FIXED_TENANTS,
        mechanism=f"{POLICY}/selection.py: _retry_candidates",
        run=retry_by_servers,
        smallest=25,
    ),
    Probe(
        name="refusal-by-servers",
        role="gateway",
        event="a refusal with word of when to come back",
        axis="servers",
        fixed=FIXED_TENANTS,
        mechanism=f"{POLICY}/retry_after.py: wait_us",
        run=rejection_by_servers,
        smallest=25,
    ),
    Probe(
        name="list-by-servers",
        role="gateway",
        event="the module takes a whole list",
        axis="servers",
        fixed=FIXED_TENANTS,
        mechanism=f"{POLICY}/endpoints.py: update",
        run=list_by_servers,
        smallest=25,
    ),
    Probe(
        name="change-by-servers",
        role="gateway",
        event="the module takes one changed entry",
        axis="servers",
        fixed=FIXED_TENANTS,
        mechanism=f"{POLICY}/endpoints.py: update",
        run=change_by_servers,
        smallest=25,
    ),
    Probe(
        name="zone-by-servers",
        role="gateway",
        event="the module hears that a zone's servers are gone",
        axis="servers",
        fixed=FIXED_TENANTS,
        mechanism=f"{POLICY}/endpoints.py: update",
        run=zone_by_servers,
        smallest=25,
    ),
    Probe(
        name="sights-by-servers",
        role="gateway",
        event="what it has seen is gathered, each second",
        axis="servers",
        fixed=FIXED_TENANTS,
        mechanism=f"{POLICY}/gossip.py: own_observations",
        run=observations_by_servers,
        smallest=25,
    ),
    Probe(
        name="configuration-by-tenants",
        role="gateway",
        event="the file is read again (SIGHUP)",
        axis="tenants",
        fixed="no servers",
        mechanism="sagetrack/config/platform.py: parse",
        run=configuration_by_tenants,
    ),
)
