"""The virtual gateways of a run: the implementation of `GatewayDriver` in virtual time."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from sagetrack.lab.model.client_requests import ClientAttempt
from sagetrack.lab.model.endpoint_entry import GONE, EndpointEntry
from sagetrack.lab.model.platform_settings import platform_settings
from sagetrack.lab.model.scenario import Scenario, ScheduledFault
from sagetrack.lab.model.world import World
from sagetrack.lab.virtual.clock import GATEWAY_EPOCH_US, SimClock
from sagetrack.lab.virtual.gateway import VirtualGateway
from sagetrack.lab.virtual.network import VirtualNetwork
from sagetrack.policy.admission import AdmissionSettings
from sagetrack.policy.events import (
    EndpointList,
    ListedServer,
    ListKind,
    ObservationsReceived,
    ServerStatus,
)
from sagetrack.policy.parsing import parse_settings
from sagetrack.policy.rate_limit import Rate
from sagetrack.policy.settings import Settings

STORE_INTERVAL_US = 1_000_000  # time between two writes to the store of a gateway
CLIENT_BURST = 5.0  # requests that a client may send at once under its rate limit
TENANT_BURST = 10.0  # requests that a tenant may send at once under its rate limit
STATUS = {"SERVING": ServerStatus.READY, "DRAINING": ServerStatus.DRAINING, "DELETED": ServerStatus.GONE}

GatewayFactory = Callable[[VirtualNetwork, Settings, int, int], VirtualGateway]
"""Creates a gateway from the network, its settings, its number and a seed."""


class VirtualGateways:
    """Starts, kills and upgrades gateways; owns their endpoint lists and the contents of their stores."""

    def __init__(self, world: World, clock: SimClock, factory: GatewayFactory = VirtualGateway) -> None:
        self.world = world
        self.clock = clock
        self.running: dict[int, VirtualGateway] = {}
        self.stored_observations: dict[int, ObservationsReceived] = {}  # by gateway: contents of its store
        self.network = VirtualNetwork(world, clock, self.running)
        self._factory = factory
        self._settings = [
            gateway_settings(world.scenario, number) for number in range(world.scenario.fleet.gateways)
        ]
        self._sent_entries: dict[int, dict[int, EndpointEntry]] = {}  # by gateway and server: last entry sent
        self._start_count = 0

    def start(self) -> None:
        """Start all gateways with the current endpoint list."""
        for number in range(self.world.scenario.fleet.gateways):
            self._sent_entries[number] = {entry.server: entry for entry in self.world.registry.all_entries()}
            self._start(number)

    def send(self, attempt: ClientAttempt) -> None:
        """Send a client's attempt to its gateway."""
        self.clock.call_at(
            self.clock.now_us() + self.network.client_delay_us(), partial(self._deliver_attempt, attempt)
        )

    def disconnect(self, attempt: ClientAttempt) -> None:
        """Close the connection of an attempt because its client has stopped waiting."""
        gateway = self.running.get(attempt.gateway)
        if gateway is not None:
            gateway.on_disconnect(attempt)

    def send_endpoints(self, gateway: int, entries: list[EndpointEntry], is_complete: bool) -> None:
        """Send a gateway changed entries of the endpoint list, or all entries (`is_complete`)."""
        self.world.registry.record_received(gateway, entries)
        known = self._sent_entries[gateway]
        for entry in entries:
            if entry.status == GONE:
                known.pop(entry.server, None)
            else:
                known[entry.server] = entry
        kind = ListKind.FULL if is_complete else ListKind.DELTA
        if gateway in self.running:
            self.running[gateway].handle(EndpointList(kind, self.listed_servers(gateway, entries)))

    def kill(self, gateway: int) -> None:
        """Terminate a gateway at once, without draining."""
        self.running.pop(gateway).kill()

    def restart(self, gateway: int) -> None:
        """Restart a killed gateway with its last endpoint list, then send it the current one."""
        self._start(gateway)
        self.world.on_gateway_ready(gateway)
        self.send_endpoints(gateway, self.world.registry.all_entries(), True)

    def upgrade(self, gateway: int) -> None:
        """Start a new process; the old one continues to process the requests that it has received."""
        self._start(gateway)

    def set_fault(self, fault: ScheduledFault, is_on: bool) -> None:
        """Send all gateways the complete list on a reload; other faults need sockets and are ignored."""
        if fault.kind == "reload" and is_on:
            for gateway in self.running:
                self.send_endpoints(gateway, self.world.registry.all_entries(), True)

    def _deliver_attempt(self, attempt: ClientAttempt) -> None:
        gateway = self.running.get(attempt.gateway)
        if gateway is None:
            self.network.respond(attempt, "unreachable", 0)
        else:
            gateway.receive(attempt)

    def _start(self, number: int) -> None:
        self._start_count += 1
        seed = random.Random(f"{self.world.seed}/{number}/{self._start_count}").getrandbits(64)
        gateway = self._factory(self.network, self._settings[number], number, seed)
        self.running[number] = gateway
        entries = list(self._sent_entries[number].values())
        gateway.handle(EndpointList(ListKind.DISK, self.listed_servers(number, entries)))
        if self.world.scenario.store.use:
            if number in self.stored_observations:
                gateway.handle(self.stored_observations[number])
            self._store_periodically(gateway)

    def _store_periodically(self, gateway: VirtualGateway) -> None:
        """Write the observations of a gateway to its store, now and at intervals until it dies."""
        if gateway.dead:
            return
        observations, latencies = gateway.balancer.own_observations()
        if observations:
            self.stored_observations[gateway.number] = ObservationsReceived(
                tuple(observations), tuple(latencies)
            )
        due_us = self.clock.now_us() + STORE_INTERVAL_US
        self.clock.call_at(due_us, lambda: self._store_periodically(gateway))

    def listed_servers(self, gateway: int, entries: list[EndpointEntry]) -> tuple[ListedServer, ...]:
        """Convert entries to the form that the decision module of a gateway expects."""
        return tuple(self._listed_server(gateway, entry) for entry in entries)

    def _listed_server(self, gateway: int, entry: EndpointEntry) -> ListedServer:
        """Convert an entry to the form that the decision module expects."""
        started_us = self.world.network.start_time_us(gateway, entry)
        return ListedServer(
            entry.server,
            STATUS[entry.status],
            zone=entry.zone,
            group=entry.rack,
            started_us=started_us + GATEWAY_EPOCH_US if started_us else 0,
        )


def gateway_settings(scenario: Scenario, number: int) -> Settings:
    """Return the settings of the decision module of a gateway."""
    settings = parse_settings(json.dumps(platform_settings(scenario, number)))
    return replace(settings, admission=admission_settings(scenario))


def admission_settings(scenario: Scenario) -> AdmissionSettings | None:
    """Return the admission settings of a scenario; None if it has no admission control."""
    admission = scenario.admission
    if not admission.use:
        return None
    return AdmissionSettings(
        max_wait_fraction=admission.max_wait_fraction,
        memory_bytes=int(admission.memory_mb * 1024 * 1024),
        adaptive=admission.adaptive,
        client_rate=Rate(admission.client_per_s, CLIENT_BURST) if admission.client_per_s else None,
        tenant_rate=Rate(admission.tenant_per_s, TENANT_BURST) if admission.tenant_per_s else None,
    )
