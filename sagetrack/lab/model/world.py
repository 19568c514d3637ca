"""The world that gateways live in: servers, discovery, clients, faults and network, on any clock.

One world, two drivers. `lab.virtual` runs it on a simulated clock around decision modules in this process;
`lab.processes` runs it in real time around gateway processes, over sockets. What differs between them is
behind `Clock` and `GatewayDriver`.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from sagetrack.lab.analysis.records import Records
from sagetrack.lab.model.arrivals import ArrivalProcess
from sagetrack.lab.model.client_requests import ClientAttempt
from sagetrack.lab.model.clients import Clients
from sagetrack.lab.model.endpoint_entry import GONE, EndpointEntry
from sagetrack.lab.model.endpoint_registry import EndpointRegistry
from sagetrack.lab.model.fault_schedule import FaultSchedule
from sagetrack.lab.model.gateway_fleet import GatewayDriver, GatewayFleet
from sagetrack.lab.model.network import NetworkConditions
from sagetrack.lab.model.run_context import Clock, RandomStreams, RunContext
from sagetrack.lab.model.scenario import Scenario
from sagetrack.lab.model.server import Job, Result, Server
from sagetrack.lab.model.server_fleet import ServerFleet

__all__ = ["GONE", "Listed", "Try", "World"]

# Names that importers still use.
Listed = EndpointEntry
Try = ClientAttempt


class World:
    """One run's world. All that is drawn follows from the seed alone.

    The components own the state and may be used by drivers; the methods and properties here are the names
    that drivers share.
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
        """Start the warm fleet and list it, and record that the gateways are up."""
        self.server_fleet.start_all()
        for gateway in self.alive:
            self.records.add("gateway", 0, gateway, "up")

    def begin(self) -> None:
        """Start the load, and schedule the faults."""
        self.arrivals.plan_next()
        self.faults.schedule_all()

    # The run

    @property
    def scenario(self) -> Scenario:
        """What is played."""
        return self.context.scenario

    @property
    def seed(self) -> int:
        """What all random figures follow from."""
        return self.context.seed

    @property
    def clock(self) -> Clock:
        """The time of the run."""
        return self.context.clock

    @property
    def records(self) -> Records:
        """What has happened so far."""
        return self.context.records

    @property
    def draw_peers(self) -> random.Random:
        """The random stream for datagrams between gateways."""
        return self.context.random.peers

    @property
    def count(self) -> int:
        """Requests that have arrived."""
        return self.arrivals.count

    @property
    def arrivals_over(self) -> bool:
        """Whether no further request will arrive."""
        return self.arrivals.finished

    # Gateways

    @property
    def gateways(self) -> GatewayDriver:
        """What runs the gateways; set by the driver before `begin`."""
        return self.gateway_fleet.driver

    @gateways.setter
    def gateways(self, driver: GatewayDriver) -> None:
        self.gateway_fleet.driver = driver

    @property
    def alive(self) -> dict[int, bool]:
        """By gateway: whether it is up."""
        return self.gateway_fleet.alive

    @property
    def believed(self) -> dict[int, bool]:
        """By gateway: whether the front sends to it."""
        return self.gateway_fleet.in_rotation

    def revived(self, gateway: int) -> None:
        """Take note that a driver has a gateway ready again, with the present endpoint list."""
        self.gateway_fleet.mark_ready(gateway)
        self.context.record("gateway", gateway, "up")
        self.told(gateway, self.known())

    # Discovery

    @property
    def roster(self) -> EndpointRegistry:
        """The service registry."""
        return self.registry

    def known(self) -> list[EndpointEntry]:
        """The endpoint list as it stands."""
        return self.registry.known()

    def told(self, gateway: int, entries: list[EndpointEntry]) -> None:
        """Take note that a driver has written entries to a gateway."""
        self.registry.record_received(gateway, entries)

    # Servers

    @property
    def servers(self) -> dict[int, Server]:
        """The servers that run, by number."""
        return self.server_fleet.servers

    @property
    def newer(self) -> set[int]:
        """Numbers of the servers that speak the newer format."""
        return self.server_fleet.newer

    @property
    def vanished(self) -> set[int]:
        """Numbers of the servers that neither respond nor refuse connections."""
        return self.server_fleet.vanished

    @property
    def on_server(self) -> Callable[[Server], None]:
        """Called with each server that starts."""
        return self.server_fleet.observer.started

    @on_server.setter
    def on_server(self, callback: Callable[[Server], None]) -> None:
        self.server_fleet.observer.started = callback

    @property
    def on_server_gone(self) -> Callable[[int], None]:
        """Called with the number of each server that ends."""
        return self.server_fleet.observer.ended

    @on_server_gone.setter
    def on_server_gone(self, callback: Callable[[int], None]) -> None:
        self.server_fleet.observer.ended = callback

    def receive(self, server: Server, job: Job, gateway: int, sent_us: int) -> Result | None:
        """Deliver an attempt to a server: REJECTED at once, or None and `job.done` later."""
        return self.server_fleet.receive(server, job, gateway, sent_us)

    def give_up(self, server: Server, job: Job) -> None:
        """Inform a server that a gateway has given up an attempt."""
        self.server_fleet.give_up(server, job)

    # Clients

    @property
    def tries(self) -> dict[str, ClientAttempt]:
        """Attempts that wait for a response, by their identifiers."""
        return self.clients.waiting

    def on_answer(self, this: ClientAttempt, verdict: str, retry_after_us: int = 0) -> None:
        """Give a client a response, or the end of its connection."""
        self.clients.on_response(this, verdict, retry_after_us)

    # Network

    def reaches(self, gateway: int, server: int) -> bool:
        """Whether messages pass between a gateway and a server."""
        return self.network.reaches(gateway, server)

    def peers_reach(self, one: int, other: int) -> bool:
        """Whether datagrams pass between two gateways."""
        return self.network.peers_reach(one, other)

    def since_us(self, gateway: int, entry: EndpointEntry) -> int:
        """When a server started, by the clock of this gateway; 0 for long ago."""
        return self.network.start_time_us(gateway, entry)
