"""Slow start in a virtual fleet: whether all gateways together overload servers that start cold.

Each case is a variation of scenarios/cold-fleet.toml. The clock is simulated, so a case, number of gateways
and seed give the same figures on every machine. `slow_start_figures` computes the figures.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from sagetrack.lab.analysis.judges import find_violations
from sagetrack.lab.analysis.violations import Violation
from sagetrack.lab.benchmarks.slow_start_figures import SlowStartFigures, figures
from sagetrack.lab.model.client_requests import ClientAttempt
from sagetrack.lab.model.endpoint_entry import EndpointEntry
from sagetrack.lab.model.scenario import Scenario, ScheduledFault, load_scenario, with_overrides
from sagetrack.lab.model.world import World
from sagetrack.lab.repository import SCENARIOS
from sagetrack.lab.virtual.clock import SimClock
from sagetrack.lab.virtual.gateway import VirtualGateway
from sagetrack.lab.virtual.gateways import VirtualGateways
from sagetrack.lab.virtual.simulation import simulate
from sagetrack.policy.events import (
    EndpointList,
    Event,
    FleetSizeChanged,
    ListKind,
    ObservationsReceived,
    ProcessCountChanged,
)

SCENARIO = SCENARIOS / "cold-fleet.toml"
MAX_GATEWAYS = 1000
OVERLAP_S = 6.0  # time for which the old and the new process of an upgrade both accept requests


@dataclass(slots=True, frozen=True)
class Case:
    """One set of conditions under which servers start cold."""

    name: str
    description: str
    settings: dict[str, Any] = field(default_factory=dict)  # scenario settings, named as for `lab run --set`
    faults: tuple[ScheduledFault, ...] = ()  # in addition to those of the scenario
    # Delay until gateways learn how many gateways are alive after a change; if 0, they never learn it.
    fleet_size_delay_s: float = 0.0
    overlap_s: float = 0.0  # time for which both processes of an upgrade accept requests
    saves_at_exit: bool = False  # whether gateways save their observations on exit, not only once a second

    def scenario(self, gateways: int, seconds: float = 0.0) -> Scenario:
        """Return the scenario of the case, with a duration of `seconds` if it is not 0.

        Raises:
            FileError: a value is out of range.
        """
        settings = {"fleet.gateways": gateways, **self.settings}
        if seconds:
            settings["seconds"] = seconds
        base = with_overrides(load_scenario(SCENARIO), settings)
        faults = [fault for fault in (*base.faults, *self.faults) if fault.at_s < base.seconds]
        return msgspec.structs.replace(base, name=f"{base.name}-{self.name}", faults=faults)


def _gateway_death(at_s: float, seconds: float, share: float) -> ScheduledFault:
    return ScheduledFault(kind="gateway-death", at_s=at_s, seconds=seconds, share=share)


FEW_COLD = {"trouble.1.part": 0.12}
SHORT_LIMITS = {  # short time limits: attempts are cancelled early, which soon frees capacity
    "class.1.aim_ms": 1000,
    "class.1.deadline_ms": 3000,
}
# The burst starts when the cold servers enter the endpoint list.
BURST = ScheduledFault(kind="burst", at_s=3.5, seconds=14.5, size=2.5)
ROLLING_RESTARTS = tuple(_gateway_death(4.0 + 0.6 * number, 0.1, 1.0) for number in range(12))
CASES = {
    case.name: case
    for case in (
        Case("most", "six in ten servers cold, steady load"),
        Case("few", "three of 25 servers cold, steady load", FEW_COLD),
        Case("most-jump", "six in ten cold, short objectives, load jumps 2.5 times", SHORT_LIMITS, (BURST,)),
        Case("few-jump", "three of 25 cold, load jumps 2.5 times", FEW_COLD | {"load.rate": 120}, (BURST,)),
        Case(
            "deaths",
            "a third of the gateways is killed four times; the fleet size is known 5 s late",
            faults=tuple(_gateway_death(at_s, 0.3, 0.34) for at_s in (4.5, 5.5, 7.0, 10.0)),
            fleet_size_delay_s=5.0,
        ),
        Case(
            "restarts",
            "all gateways shut down gracefully and restart every 0.6 s",
            SHORT_LIMITS,
            (BURST, *ROLLING_RESTARTS),
            saves_at_exit=True,
        ),
        Case(
            "late-number",
            "four in ten gateways die and return; the others learn it 5 s later",
            faults=(_gateway_death(0.5, 6.0, 0.4),),
            fleet_size_delay_s=5.0,
        ),
        Case(
            "overlap",
            "all gateways are upgraded: old and new processes accept requests for 6 s",
            faults=(ScheduledFault(kind="gateway-upgrade", at_s=3.5, seconds=1, share=1.0),),
            overlap_s=OVERLAP_S,
        ),
    )
}


class SlowStartGateways(VirtualGateways):
    """Gateways that learn the fleet size late, and whose processes overlap during an upgrade."""

    def __init__(
        self, case: Case, world: World, clock: SimClock, make: Callable[..., VirtualGateway]
    ) -> None:
        super().__init__(world, clock, make)
        self.case = case
        self.old_processes: dict[int, VirtualGateway] = {}  # by gateway number, during an upgrade
        self.sent = 0  # number of requests; during an upgrade, every second one goes to the old process

    def handle_in_all_processes(self, number: int, event: Event) -> None:
        """Pass an event to each process of a gateway."""
        for process in (self.running.get(number), self.old_processes.get(number)):
            if process is not None:
                process.handle(event)

    def kill(self, gateway: int) -> None:
        """Stop a gateway; it saves its observations first if the case has `saves_at_exit`."""
        if self.case.saves_at_exit:
            observations, latencies = self.running[gateway].balancer.own_observations()
            self.stored_observations[gateway] = ObservationsReceived(tuple(observations), tuple(latencies))
        super().kill(gateway)
        self._announce_fleet_size_later()

    def restart(self, gateway: int) -> None:
        """Restart a gateway."""
        super().restart(gateway)
        self._announce_fleet_size_later()

    def _announce_fleet_size_later(self) -> None:
        if self.case.fleet_size_delay_s:
            alive = len(self.running)
            due_us = self.clock.now_us() + int(self.case.fleet_size_delay_s * 1e6)
            self.clock.call_at(due_us, lambda: self.announce_fleet_size(alive))

    def announce_fleet_size(self, alive: int) -> None:
        """Tell all gateways how many gateways are alive."""
        for number in sorted(self.running):
            self.handle_in_all_processes(number, FleetSizeChanged(alive))

    def upgrade(self, gateway: int) -> None:
        """Start the new process of a gateway; the old one stops after the overlap time of the case."""
        old = self.running[gateway]
        super().upgrade(gateway)
        self.old_processes[gateway] = old
        self.handle_in_all_processes(gateway, ProcessCountChanged(2))

        def stop_old_process() -> None:
            del self.old_processes[gateway]
            self.handle_in_all_processes(gateway, ProcessCountChanged(1))

        self.clock.call_at(self.clock.now_us() + int(self.case.overlap_s * 1e6), stop_old_process)

    def send(self, attempt: ClientAttempt) -> None:
        """Send a request to a gateway; during an upgrade, to its two processes in alternation."""
        old = self.old_processes.get(attempt.gateway)
        self.sent += 1
        if old is None or self.sent % 2:
            super().send(attempt)
            return
        self.clock.call_at(self.clock.now_us() + self.network.client_delay_us(), lambda: old.receive(attempt))

    def disconnect(self, attempt: ClientAttempt) -> None:
        """Tell each process that the client has disconnected."""
        super().disconnect(attempt)
        if (old := self.old_processes.get(attempt.gateway)) is not None:
            old.on_disconnect(attempt)

    def send_endpoints(self, gateway: int, entries: list[EndpointEntry], is_complete: bool) -> None:
        """Send an update of the endpoint list, or the complete list, to each process of a gateway."""
        super().send_endpoints(gateway, entries, is_complete)
        if (old := self.old_processes.get(gateway)) is not None:
            kind = ListKind.FULL if is_complete else ListKind.DELTA
            old.handle(EndpointList(kind, self.listed_servers(gateway, entries)))


def measure(
    case: Case,
    gateways: int,
    seed: int,
    fault: str = "",
    progress: Callable[[float], None] | None = None,
    seconds: float = 0.0,
) -> tuple[SlowStartFigures, list[Violation]]:
    """Run a case and check all rules.

    Args:
        case: the case to run.
        gateways: number of gateways.
        seed: seed of the random numbers.
        fault: name of the fault to inject into the gateways; empty for none.
        progress: called with the share of the run that is finished.
        seconds: duration of the run; if 0, the duration of the scenario.

    Raises:
        FileError: a value is out of range.
    """
    scenario = case.scenario(gateways, seconds)
    records = simulate(
        scenario,
        seed,
        progress,
        fault=fault,
        fleet=lambda world, clock, make: SlowStartGateways(case, world, clock, make),
    )
    return figures(records, scenario, case.name), find_violations(records, scenario)
