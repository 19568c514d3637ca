"""The faults of a scenario: when each begins and ends, whom it affects, and how it is injected."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from sagetrack.lab.model.endpoint_entry import READY, EndpointEntry
from sagetrack.lab.model.endpoint_registry import EndpointRegistry
from sagetrack.lab.model.gateway_fleet import GatewayFleet
from sagetrack.lab.model.network import NetworkConditions, Partition
from sagetrack.lab.model.run_context import RunContext
from sagetrack.lab.model.scenario import ScheduledFault
from sagetrack.lab.model.server import Result
from sagetrack.lab.model.server_fleet import ServerFleet

Undo = Callable[[], None] | None  # ends a fault; None if the fault ends by itself


class FaultSchedule:
    """Begins and ends faults, and records both. The driver injects faults that are not handled here."""

    def __init__(
        self,
        context: RunContext,
        servers: ServerFleet,
        registry: EndpointRegistry,
        gateways: GatewayFleet,
        network: NetworkConditions,
    ) -> None:
        self._context = context
        self._servers = servers
        self._registry = registry
        self._gateways = gateways
        self._network = network
        # By the kind in the scenario. Each function records the begin of the fault and whom it affects.
        self._inject: dict[str, Callable[[ScheduledFault], Undo]] = {
            "slow": self._slow_servers,
            "burst": self._burst,
            "deploy": self._deploy,
            "vanish": self._make_servers_unresponsive,
            "spoilt": partial(self._fail_responses, Result.MALFORMED),
            "reset": partial(self._fail_responses, Result.RESET),
            "gateway-death": self._kill_gateways,
            "gateway-upgrade": self._upgrade_gateways,
            "discovery-down": self._stop_discovery,
            "overbook": self._list_nonexistent_servers,
            "partition": self._partition,
            "skew": self._skew_clocks,
        }

    def schedule_all(self) -> None:
        """Schedule all faults of the scenario."""
        for fault in self._context.scenario.faults:
            self._context.clock.call_at(int(fault.at_s * 1e6), partial(self._begin, fault))

    def _begin(self, fault: ScheduledFault) -> None:
        end_us = self._context.clock.now_us() + int(fault.seconds * 1e6)
        inject = self._inject.get(fault.kind)
        if inject is None:
            self._record(fault, "begins")
            self._gateways.driver.set_fault(fault, True)
            self._context.clock.call_at(end_us, partial(self._end_driver_fault, fault))
            return
        undo = inject(fault)
        self._context.clock.call_at(end_us, partial(self._end, fault, undo))

    def _end_driver_fault(self, fault: ScheduledFault) -> None:
        self._record(fault, "ends")
        self._gateways.driver.set_fault(fault, False)

    def _end(self, fault: ScheduledFault, undo: Undo) -> None:
        if undo is not None:
            undo()
        self._record(fault, "ends")

    def _record(self, fault: ScheduledFault, state: str, detail: object = None) -> None:
        self._context.record("trouble", fault.kind, state, detail)

    def _choose(self, candidates: list[int], share: float) -> list[int]:
        """Choose a random share of the candidates, sorted; at least one unless the share is 0."""
        if share <= 0 or not candidates:
            count = 0
        else:
            count = min(len(candidates), max(1, round(share * len(candidates))))
        return sorted(self._context.random.faults.sample(sorted(candidates), count))

    def _choose_and_record(self, fault: ScheduledFault, candidates: list[int]) -> list[int]:
        chosen = self._choose(candidates, fault.share)
        self._record(fault, "begins", chosen)
        return chosen

    # Servers

    def _slow_servers(self, fault: ScheduledFault) -> Undo:
        chosen = self._choose_and_record(fault, self._servers.in_service())
        self._servers.set_slowdown(chosen, fault.size)
        return lambda: self._servers.set_slowdown(chosen, 1.0)

    def _burst(self, fault: ScheduledFault) -> Undo:
        self._record(fault, "begins")  # `ArrivalProcess` generates the additional load
        return None

    def _deploy(self, fault: ScheduledFault) -> Undo:
        chosen = self._choose(self._servers.in_service(), fault.share)
        size = max(1, round(fault.batch * max(1, len(self._servers.servers))))
        batches = [chosen[start : start + size] for start in range(0, len(chosen), size)]
        self._record(fault, "begins", chosen)
        interval_s = fault.seconds / max(1, len(batches))
        for index, batch in enumerate(batches):
            self._context.call_after(int(index * interval_s * 1e6), partial(self._replace, batch))
        return None

    def _replace(self, numbers: list[int]) -> None:
        for number in numbers:
            self._servers.replace(number)

    def _make_servers_unresponsive(self, fault: ScheduledFault) -> Undo:
        for number in self._choose_and_record(fault, self._servers.in_service()):
            server = self._servers.make_unresponsive(number)
            self._context.call_after(int(fault.seconds * 1e6), partial(self._servers.start_successor, server))
        return None

    def _fail_responses(self, result: Result, fault: ScheduledFault) -> Undo:
        self._record(fault, "begins")
        responses = self._servers.response_faults
        responses.set_share(result, fault.share)
        return partial(responses.set_share, result, 0.0)

    # Gateways

    def _kill_gateways(self, fault: ScheduledFault) -> Undo:
        chosen = self._choose_and_record(fault, self._gateways.running())
        notice_us = int(self._context.scenario.clients.notice_s * 1e6)
        for gateway in chosen:
            self._context.record("gateway", gateway, "down")
            self._gateways.kill(gateway)
            self._context.call_after(notice_us, partial(self._gateways.update_rotation, gateway))

        def undo() -> None:
            for gateway in chosen:
                self._gateways.driver.restart(gateway)

        return undo

    def _upgrade_gateways(self, fault: ScheduledFault) -> Undo:
        for gateway in self._choose_and_record(fault, self._gateways.running()):
            self._context.record("gateway", gateway, "upgrade")
            self._gateways.driver.upgrade(gateway)
        return None

    # Discovery and network

    def _stop_discovery(self, fault: ScheduledFault) -> Undo:
        self._record(fault, "begins")
        self._registry.down = True
        self._gateways.driver.set_fault(fault, True)

        def undo() -> None:
            self._registry.down = False
            self._gateways.driver.set_fault(fault, False)
            self._registry.send_missed_changes()

        return undo

    def _list_nonexistent_servers(self, fault: ScheduledFault) -> Undo:
        """Let discovery list servers that do not exist."""
        count = max(1, round(fault.share * self._context.scenario.fleet.servers))
        numbers = self._servers.reserve_numbers(count)
        self._record(fault, "begins", list(numbers))
        for number in numbers:
            zone = number % self._context.zone_count
            rack = number % self._context.rack_count
            now = self._context.clock.now_us()
            self._registry.add(EndpointEntry(number, zone, rack, READY, now))

        def undo() -> None:
            for number in numbers:
                self._registry.remove(number)

        return undo

    def _partition(self, fault: ScheduledFault) -> Undo:
        """Separate the gateways and servers of some zones from those of the other zones."""
        zone_count = self._context.zone_count
        inside = set(self._choose(list(range(zone_count)), fault.share))
        gateways, servers = self._gateways.alive, self._servers.servers
        gateways_inside = frozenset(gateway for gateway in gateways if gateway % zone_count in inside)
        servers_inside = frozenset(number for number, server in servers.items() if server.zone in inside)
        partitions = [
            Partition(gateways_inside, frozenset(servers) - servers_inside),
            Partition(frozenset(gateways) - gateways_inside, servers_inside),
        ]
        self._record(fault, "begins", sorted(inside))
        self._network.add_partitions(partitions)
        return lambda: self._network.remove_partitions(partitions)

    def _skew_clocks(self, fault: ScheduledFault) -> Undo:
        """Skew the clocks of some gateways by `size` seconds, alternately behind and ahead."""
        skew_us = int(fault.size * 1e6)
        for index, gateway in enumerate(self._choose_and_record(fault, list(self._gateways.alive))):
            self._network.skew_clock(gateway, skew_us if index % 2 == 0 else -skew_us)
        return self._network.reset_clocks
