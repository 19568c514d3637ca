"""The service registry: the endpoint list, and how its changes reach the gateways."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial

from sagetrack.lab.model.endpoint_entry import DRAINING, GONE, READY, EndpointEntry
from sagetrack.lab.model.gateway_fleet import GatewayFleet
from sagetrack.lab.model.run_context import RunContext
from sagetrack.lab.model.server import Server


class EndpointRegistry:
    """Owns the endpoint list and the changes that gateways missed while discovery was down."""

    def __init__(self, context: RunContext, gateways: GatewayFleet) -> None:
        self.entries: dict[int, EndpointEntry] = {}
        self.down = False
        self._context = context
        self._gateways = gateways
        self._missed: dict[int, list[int]] = {}  # by gateway: servers whose changes it was not sent

    def register_initial(self, server: Server) -> None:
        """List a server of the first fleet, as all gateways know it from the start."""
        self.entries[server.number] = EndpointEntry(server.number, server.zone, server.rack)
        for gateway in self._gateways.alive:
            self._context.records.add("told", 0, gateway, server.number, READY)

    def all_entries(self) -> list[EndpointEntry]:
        """The endpoint list as it stands."""
        return list(self.entries.values())

    def add(self, entry: EndpointEntry) -> None:
        """List a server, or show it as ready again, and inform the gateways."""
        listed = self.entries.get(entry.server)
        if listed is None:
            listed = self.entries[entry.server] = entry
        else:
            listed.status = entry.status
        self._broadcast(listed)

    def add_later(self, server: Server, started_us: int) -> None:
        """List a server that has just started, after discovery's delay."""
        entry = EndpointEntry(server.number, server.zone, server.rack, READY, started_us)
        self._after_delay(lambda: self.add(entry))

    def drain_later(self, number: int) -> None:
        """Show a server as draining, after discovery's delay."""
        self._after_delay(lambda: self.add(EndpointEntry(number, 0, 0, DRAINING)))

    def remove(self, number: int) -> None:
        """Take a server out of the list and inform the gateways; an unlisted one is ignored."""
        entry = self.entries.pop(number, None)
        if entry is not None:
            self._broadcast(replace(entry, status=GONE))

    def remove_later(self, number: int, silent: bool = False) -> None:
        """Take a server out of the list once discovery notices; a silent server is noticed later."""
        discovery = self._context.scenario.discovery
        delay_us = self._context.draw_delay_us(discovery.silent_s if silent else discovery.delay_s)
        self._context.call_after(delay_us, lambda: self.remove(number))

    def send_missed_changes(self) -> None:
        """After an outage: send each gateway that is up what it missed, in its present state."""
        for gateway, numbers in self._missed.items():
            entries = [
                self.entries.get(number) or EndpointEntry(number, 0, 0, GONE)
                for number in dict.fromkeys(numbers)
            ]
            if self._gateways.alive[gateway] and entries:
                self._gateways.driver.send_endpoints(gateway, entries, False)
        self._missed.clear()

    def record_received(self, gateway: int, entries: list[EndpointEntry]) -> None:
        """Record that entries were written to a gateway."""
        now = self._context.clock.now_us()
        for entry in entries:
            self._context.records.add("told", now, gateway, entry.server, entry.status)

    def _after_delay(self, call: Callable[[], None]) -> None:
        discovery = self._context.scenario.discovery
        self._context.call_after(self._context.draw_delay_us(discovery.delay_s), call)

    def _broadcast(self, entry: EndpointEntry) -> None:
        """Send a change to every gateway, to each a little later than to the first."""
        context = self._context
        snapshot = replace(entry)
        spread_ms = context.scenario.discovery.spread_ms
        for gateway in self._gateways.alive:
            delay_us = int(context.random.fleet.uniform(0, spread_ms) * 1000)
            context.call_after(delay_us, partial(self._send, gateway, snapshot))

    def _send(self, gateway: int, entry: EndpointEntry) -> None:
        if self.down:
            self._missed.setdefault(gateway, []).append(entry.server)
        elif self._gateways.alive[gateway]:
            self._gateways.driver.send_endpoints(gateway, [entry], False)
