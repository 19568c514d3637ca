"""The environment of the gateways: servers, discovery, clients, faults and network, on any clock.

Two drivers run it. `lab.virtual` runs it on a simulated clock, with the gateways' decision modules in this
process; `lab.processes` runs it in real time, with gateway processes and sockets. The differences between
them are behind `Clock` and `GatewayDriver`.
"""

from __future__ import annotations

from sagetrack.lab.analysis.records import Records
from sagetrack.lab.model.arrivals import ArrivalProcess
from sagetrack.lab.model.clients import Clients
from sagetrack.lab.model.endpoint_registry import EndpointRegistry
from sagetrack.lab.model.fault_schedule import FaultSchedule
from sagetrack.lab.model.gateway_fleet import GatewayFleet
from sagetrack.lab.model.network import NetworkConditions
from sagetrack.lab.model.run_context import Clock, RandomStreams, RunContext
from sagetrack.lab.model.scenario import Scenario
from sagetrack.lab.model.server_fleet import ServerFleet


class World:
    """The world of one run. All random values are derived from the seed.

    The components own the state, and drivers access them directly. A driver sets itself as
    `gateway_fleet.driver` before it calls `prepare`.
    """

    def __init__(self, scenario: Scenario, seed: int, clock: Clock, records: Records) -> None:
        records.header = {"scenario": scenario.name, "seed": seed}
        self.context = RunContext(scenario, seed, clock, records, RandomStreams(seed))
        self.gateway_fleet = GatewayFleet(scenario.fleet.gateways)
        self.network = NetworkConditions()
        self.registry = EndpointRegistry(self.context, self.gateway_fleet)
        self.server_fleet = ServerFleet(self.context, self.registry)
        self.clients = Clients(self.context, self.gateway_fleet)
        self.arrivals = ArrivalProcess(self.context, self.clients.send)
        self.faults = FaultSchedule(
            self.context, self.server_fleet, self.registry, self.gateway_fleet, self.network
        )

    def prepare(self) -> None:
        """Start and register the initial fleet of servers, and record that the gateways are up."""
        self.server_fleet.start_all()
        for gateway in self.gateway_fleet.alive:
            self.records.add("gateway", 0, gateway, "up")

    def start(self) -> None:
        """Start the load and schedule the faults."""
        self.arrivals.plan_next()
        self.faults.schedule_all()

    @property
    def scenario(self) -> Scenario:
        """The scenario of the run."""
        return self.context.scenario

    @property
    def seed(self) -> int:
        """The seed from which all random values are derived."""
        return self.context.seed

    @property
    def clock(self) -> Clock:
        """The clock of the run."""
        return self.context.clock

    @property
    def records(self) -> Records:
        """The records of the run so far."""
        return self.context.records

    def on_gateway_ready(self, gateway: int) -> None:
        """Handle a restarted gateway that is ready and has the current endpoint list."""
        self.gateway_fleet.mark_ready(gateway)
        self.context.record("gateway", gateway, "up")
        self.registry.record_received(gateway, self.registry.all_entries())
