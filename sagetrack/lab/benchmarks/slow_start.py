"""A virtual fleet in front of cold servers: do all gateways together send them no more than they can bear?

Each case is scenarios/cold-fleet.toml, altered. The clock is simulated: the same figures for the same case,
size and seed on every machine. What is counted is in `slow_start_figures`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from sagetrack.lab.analysis.judges import judge
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
OVERLAP_S = 6.0  # that an old and a new process both take requests


@dataclass(slots=True, frozen=True)
class Case:
    """One way in which servers start cold."""

    name: str
    description: str
    settings: dict[str, Any] = field(default_factory=dict)  # of the scenario, as `lab run --set` has them
    faults: tuple[ScheduledFault, ...] = ()  # beside those of the scenario
    fleet_size_delay_s: float = 0.0  # until all learn how many gateways live; 0: they never do
    overlap_s: float = 0.0  # that both processes of an upgrade take requests
    saves_at_exit: bool = False  # gateways that end save what they know then; else only once a second

    def scenario(self, gateways: int, seconds: float = 0.0) -> Scenario:
        """Return what is played, at another length than the scenario's if `seconds` is not 0.

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
SHORT_LIMITS = {  # attempts are cut short, so that capacity is soon free again
    "class.1.aim_ms": 1000,
    "class.1.deadline_ms": 3000,
}
BURST = ScheduledFault(kind="burst", at_s=3.5, seconds=14.5, size=2.5)  # just as the cold servers are listed
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
            "a third of the gateways is killed four times; the number is known 5 s late",
            faults=tuple(_gateway_death(at_s, 0.3, 0.34) for at_s in (4.5, 5.5, 7.0, 10.0)),
            fleet_size_delay_s=5.0,
        ),
        Case(
            "restarts",
            "all gateways end in order and start again every 0.6 s",
            SHORT_LIMITS,
            (BURST, *ROLLING_RESTARTS),
            saves_at_exit=True,
        ),
        Case(
            "late-number",
            "four in ten gateways die and return; the others know 5 s later",
            faults=(_gateway_death(0.5, 6.0, 0.4),),
            fleet_size_delay_s=5.0,
        ),
        Case(
            "overlap",
            "all gateways are upgraded: old and new process take requests for 6 s",
            faults=(ScheduledFault(kind="gateway-upgrade", at_s=3.5, seconds=1, share=1.0),),
            overlap_s=OVERLAP_S,
        ),
    )
}


class SlowStartGateways(VirtualGateways):
    """Gateways that learn their number late, and whose old process takes requests beside the new one."""

    def __init__(
        self, case: Case, world: World, clock: SimClock, make: Callable[..., VirtualGateway]
    ) -> None:
        super().__init__(world, clock, make)
        self.case = case
        self.old_processes: dict[int, VirtualGateway] = {}  # by gateway, while an upgrade goes on
        self.sent = 0  # requests; every second one goes to the old process if there are two

    def handle_in_all_processes(self, number: int, event: Event) -> None:
        """Hand an event to each process of a gateway."""
        for process in (self.running.get(number), self.old_processes.get(number)):
            if process is not None:
                process.handle(event)

    def kill(self, gateway: int) -> None:
        """End a gateway; it saves what it knows first if the case says so."""
        if self.case.saves_at_exit:
            observations, latencies = self.running[gateway].balancer.own_observations()
            self.stored_observations[gateway] = ObservationsReceived(tuple(observations), tuple(latencies))
        super().kill(gateway)
        self._announce_fleet_size_later()

    def restart(self, gateway: int) -> None:
        """Start a gateway again."""
        super().restart(gateway)
        self._announce_fleet_size_later()

    def _announce_fleet_size_later(self) -> None:
        if self.case.fleet_size_delay_s:
            alive = len(self.running)
            due_us = self.clock.now_us() + int(self.case.fleet_size_delay_s * 1e6)
            self.clock.call_at(due_us, lambda: self.announce_fleet_size(alive))

    def announce_fleet_size(self, alive: int) -> None:
        """Let all gateways know that so many live."""
        for number in sorted(self.running):
            self.handle_in_all_processes(number, FleetSizeChanged(alive))

    def upgrade(self, gateway: int) -> None:
        """Start a gateway's new process; the old one leaves after the case's overlap."""
        old = self.running[gateway]
        super().upgrade(gateway)
        self.old_processes[gateway] = old
        self.handle_in_all_processes(gateway, ProcessCountChanged(2))

        def stop_old_process() -> None:
            del self.old_processes[gateway]
            self.handle_in_all_processes(gateway, ProcessCountChanged(1))

        self.clock.call_at(self.clock.now_us() + int(self.case.overlap_s * 1e6), stop_old_process)

    def send(self, attempt: ClientAttempt) -> None:
        """Send a request to a gateway; of two processes, to each in turn."""
        old = self.old_processes.get(attempt.gateway)
        self.sent += 1
        if old is None or self.sent % 2:
            super().send(attempt)
            return
        self.clock.call_at(self.clock.now_us() + self.network.client_delay_us(), lambda: old.receive(attempt))

    def disconnect(self, attempt: ClientAttempt) -> None:
        """Let each process know that a client has gone."""
        super().disconnect(attempt)
        if (old := self.old_processes.get(attempt.gateway)) is not None:
            old.on_disconnect(attempt)

    def send_endpoints(self, gateway: int, entries: list[EndpointEntry], is_complete: bool) -> None:
        """Send entries of the endpoint list, or all of it, to each process of a gateway."""
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
    """Play a case and judge it by all rules.

    Args:
        case: what is played.
        gateways: their number.
        seed: of all that is drawn.
        fault: a deliberate fault of the gateways, by its name; none if empty.
        progress: called with the share of the run that has been played.
        seconds: length of the run, if not 0 instead of the scenario's.

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
    return figures(records, scenario, case.name), judge(records, scenario)
