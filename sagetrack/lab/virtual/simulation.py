"""Plays a scenario in virtual time, with the decision modules in this process and without sockets."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from sagetrack.lab.analysis.records import Records
from sagetrack.lab.model.scenario import Scenario
from sagetrack.lab.model.world import World
from sagetrack.lab.virtual.clock import SimClock
from sagetrack.lab.virtual.faulty_gateways import faulty_gateway_factory
from sagetrack.lab.virtual.gateway import VirtualGateway
from sagetrack.lab.virtual.gateways import GatewayFactory, VirtualGateways

MAX_TAIL_US = 30_000_000  # a run ends at the latest this long after its last arrival
PROGRESS_REPORTS = 200  # in a run
COMPLETION_CHECK_INTERVAL = 256  # events from one check to the next

FleetFactory = Callable[[World, SimClock, GatewayFactory], VirtualGateways]


def play(
    scenario: Scenario,
    seed: int,
    progress: Callable[[float], None] | None = None,
    sample_s: float = 0.0,
    fault: str = "",
    fleet: FleetFactory = VirtualGateways,
) -> Records:
    """Play a scenario; the records are the same, byte for byte, for the same scenario and seed.

    Args:
        scenario: What is played.
        seed: What all random figures follow from.
        progress: Called with the share of the run that is over.
        sample_s: How often each server's load is recorded; 0: never.
        fault: A deliberate fault of all gateways, by its name in `faulty_gateways`.
        fleet: Makes the gateways.

    Raises:
        ValueError: The scenario has DNS, which is played in real time only.
        KeyError: The fault is unknown.
    """
    if scenario.dns.rate:
        raise ValueError(f"{scenario.name}: DNS is played in real time only")
    clock, records = SimClock(), Records()
    world = World(scenario, seed, clock, records)
    records.header["driver"] = "virtual"
    make: GatewayFactory = VirtualGateway
    if fault:
        make = faulty_gateway_factory(fault)
        records.header["fault"] = fault
    gateways = fleet(world, clock, make)
    world.gateway_fleet.driver = gateways
    world.prepare()
    gateways.start()
    world.begin()
    _run(world, clock, progress, sample_s)
    return records


def _run(world: World, clock: SimClock, progress: Callable[[float], None] | None, sample_s: float) -> None:
    """Let time pass until all requests have ended."""
    duration_us = int(world.scenario.seconds * 1e6)
    if progress is not None:
        clock.at(0, partial(_report_progress, clock, duration_us, progress))
    if sample_s:
        clock.at(0, partial(_sample_load, world, duration_us, int(sample_s * 1e6)))
    completion = _Completion(world)
    clock.run(completion.is_reached, lambda: duration_us + MAX_TAIL_US)


def _report_progress(clock: SimClock, duration_us: int, progress: Callable[[float], None]) -> None:
    """Report progress, now and regularly until the last arrival."""
    now = clock.now_us()
    progress(min(1.0, now / duration_us))
    if now < duration_us:
        next_us = now + max(1, duration_us // PROGRESS_REPORTS)
        clock.at(next_us, partial(_report_progress, clock, duration_us, progress))


def _sample_load(world: World, duration_us: int, interval_us: int) -> None:
    """Record each server's load, now and regularly until the last arrival."""
    for server in world.server_fleet.servers.values():
        is_degraded = server.is_degraded
        world.context.record("load", server.number, server.request_count, len(server.running), is_degraded)
    if world.clock.now_us() < duration_us:
        world.context.after(interval_us, partial(_sample_load, world, duration_us, interval_us))


class _Completion:
    """Whether all requests have ended, without counting them at each event."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._event_count = 0

    def is_reached(self) -> bool:
        """Called after each event; only some of the calls check."""
        if not self._world.arrivals.finished:
            return False
        self._event_count += 1
        if self._event_count % COMPLETION_CHECK_INTERVAL or self._world.clients.waiting:
            return False
        ended = sum(1 for _ in self._world.records.rows_of("request"))
        return ended >= self._world.arrivals.count
