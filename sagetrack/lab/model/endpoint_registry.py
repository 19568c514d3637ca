"""The service registry: the endpoint list, and the delivery of its changes to the gateways."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial

from sagetrack.lab.model.endpoint_entry import DRAINING, GONE, READY, EndpointEntry
from sagetrack.lab.model.gateway_fleet import GatewayFleet
from sagetrack.lab.model.run_context import RunContext
from sagetrack.lab.model.server import Server


class EndpointRegistry:
    """Owns the endpoint list, and the changes that gateways missed while discovery was down."""

    def __init__(self, context: RunContext, gateways: GatewayFleet) -> None:
        self.entries: dict[int, EndpointEntry] = {}
        self.down = False
        self._context = context
        self._gateways = gateways
        self._missed: dict[int, list[int]] = {}  # by gateway: the servers whose changes were not sent

    def register_initial(self, server: Server) -> None:
        """Add a server of the initial fleet, which all gateways know from the start."""
        self.entries[server.number] = EndpointEntry(server.number, server.zone, server.rack)
        for gateway in self._gateways.alive:
            self._context.records.add("told", 0, gateway, server.number, READY)

    def all_entries(self) -> list[EndpointEntry]:
        """Return the current endpoint list."""
        return list(self.entries.values())

    def add(self, entry: EndpointEntry) -> None:
        """Add a server, or update the status of a listed one, and notify the gateways."""
        current = self.entries.get(entry.server)
        if current is None:
            current = self.entries[entry.server] = entry
        else:
            current.status = entry.status
        self._broadcast(current)

    def add_later(self, server: Server, started_us: int) -> None:
        """Add a server that has just started, after the delay of discovery."""
        entry = EndpointEntry(server.number, server.zone, server.rack, READY, started_us)
        self._after_delay(lambda: self.add(entry))

    def drain_later(self, number: int) -> None:
        """Set the status of a server to draining, after the delay of discovery."""
        self._after_delay(lambda: self.add(EndpointEntry(number, 0, 0, DRAINING)))

    def remove(self, number: int) -> None:
        """Remove a server from the list and notify the gateways; an unlisted server is ignored."""
        entry = self.entries.pop(number, None)
        if entry is not None:
            self._broadcast(replace(entry, status=GONE))

    def remove_later(self, number: int, unresponsive: bool = False) -> None:
        """Remove a server after the delay of discovery, which is longer for an unresponsive server."""
        discovery = self._context.scenario.discovery
        delay_us = self._context.draw_delay_us(discovery.silent_s if unresponsive else discovery.delay_s)
        self._context.call_after(delay_us, lambda: self.remove(number))

    def send_missed_changes(self) -> None:
        """After an outage of discovery, send each running gateway the current state of what it missed."""
        for gateway, numbers in self._missed.items():
            entries = [
                self.entries.get(number) or EndpointEntry(number, 0, 0, GONE)
                for number in dict.fromkeys(numbers)
            ]
            if self._gateways.alive[gateway] and entries:
                self._gateways.driver.send_endpoints(gateway, entries, False)
        self._missed.clear()

    def record_received(self, gateway: int, entries: list[EndpointEntry]) -> None:
        """Record that entries were sent to a gateway."""
        now = self._context.clock.now_us()
        for entry in entries:
            self._context.records.add("told", now, gateway, entry.server, entry.status)

    def _after_delay(self, callback: Callable[[], None]) -> None:
        discovery = self._context.scenario.discovery
        self._context.call_after(self._context.draw_delay_us(discovery.delay_s), callback)

    def _broadcast(self, entry: EndpointEntry) -> None:
        """Send a change to every gateway, each after a random delay."""
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
