"""Runs a scenario in virtual time, with the decision modules in this process and without sockets."""

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

MAX_TAIL_US = 30_000_000  # a run ends at most this long after its last arrival
PROGRESS_REPORTS = 200  # number of progress reports per run
COMPLETION_CHECK_INTERVAL = 256  # number of events between two checks whether the run is complete

FleetFactory = Callable[[World, SimClock, GatewayFactory], VirtualGateways]


def simulate(
    scenario: Scenario,
    seed: int,
    progress: Callable[[float], None] | None = None,
    sample_s: float = 0.0,
    fault: str = "",
    fleet: FleetFactory = VirtualGateways,
) -> Records:
    """Run a scenario and return its records, which are byte-identical for the same scenario and seed.

    Args:
        scenario: The scenario to run.
        seed: The seed from which all random values are derived.
        progress: Called regularly with the share of the run that has passed.
        sample_s: The interval at which the load of each server is recorded; 0: never.
        fault: The name of a deliberate fault of all gateways, as in `faulty_gateways`; empty: none.
        fleet: Creates the driver of the gateways.

    Raises:
        ValueError: The scenario has DNS load, which is only possible in real time.
        KeyError: The fault is unknown.
    """
    if scenario.dns.rate:
        raise ValueError(f"scenario {scenario.name}: DNS load (dns.rate) runs in real time only")
    clock, records = SimClock(), Records()
    world = World(scenario, seed, clock, records)
    records.header["driver"] = "virtual"
    gateway_factory: GatewayFactory = VirtualGateway
    if fault:
        gateway_factory = faulty_gateway_factory(fault)
        records.header["fault"] = fault
    gateways = fleet(world, clock, gateway_factory)
    world.gateway_fleet.driver = gateways
    world.prepare()
    gateways.start()
    world.start()
    _run(world, clock, progress, sample_s)
    return records


def _run(world: World, clock: SimClock, progress: Callable[[float], None] | None, sample_s: float) -> None:
    """Advance the clock until all requests have ended."""
    duration_us = int(world.scenario.seconds * 1e6)
    if progress is not None:
        clock.call_at(0, partial(_report_progress, clock, duration_us, progress))
    if sample_s:
        clock.call_at(0, partial(_sample_load, world, duration_us, int(sample_s * 1e6)))
    completion = _Completion(world)
    clock.run(completion.is_reached, lambda: duration_us + MAX_TAIL_US)


def _report_progress(clock: SimClock, duration_us: int, progress: Callable[[float], None]) -> None:
    """Report progress now, and regularly until the last arrival."""
    now = clock.now_us()
    progress(min(1.0, now / duration_us))
    if now < duration_us:
        next_us = now + max(1, duration_us // PROGRESS_REPORTS)
        clock.call_at(next_us, partial(_report_progress, clock, duration_us, progress))


def _sample_load(world: World, duration_us: int, interval_us: int) -> None:
    """Record the load of each server now, and regularly until the last arrival."""
    for server in world.server_fleet.servers.values():
        is_degraded = server.is_degraded
        world.context.record("load", server.number, server.request_count, len(server.running), is_degraded)
    if world.clock.now_us() < duration_us:
        world.context.call_after(interval_us, partial(_sample_load, world, duration_us, interval_us))


class _Completion:
    """Detects that all requests have ended, without counting them after every event."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._event_count = 0

    def is_reached(self) -> bool:
        """Return whether all requests have ended; checked in one of `COMPLETION_CHECK_INTERVAL` calls."""
        if not self._world.arrivals.finished:
            return False
        self._event_count += 1
        if self._event_count % COMPLETION_CHECK_INTERVAL or self._world.clients.pending:
            return False
        ended = sum(1 for _ in self._world.records.rows_of("request"))
        return ended >= self._world.arrivals.count
