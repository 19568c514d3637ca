"""The fleet of address servers: their lifecycle, and the delivery of work to them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from sagetrack.lab.model.endpoint_registry import EndpointRegistry
from sagetrack.lab.model.idempotency_keys import IdempotencyKeys
from sagetrack.lab.model.response_faults import ResponseFaults
from sagetrack.lab.model.run_context import RunContext, ScheduledCallback
from sagetrack.lab.model.server import Job, Result, Server


@dataclass(slots=True)
class ServerObserver:
    """Callbacks of a driver for the start and end of servers; the defaults do nothing."""

    on_started: Callable[[Server], None] = lambda server: None
    on_ended: Callable[[int], None] = lambda number: None


class _ScheduledEvent(NamedTuple):
    due_us: int
    timer: ScheduledCallback


class ServerFleet:
    """Owns the running servers, and a timer per server for its next event."""

    def __init__(self, context: RunContext, registry: EndpointRegistry) -> None:
        self.servers: dict[int, Server] = {}
        self.grpc_servers: set[int] = set()  # numbers of the servers that speak gRPC
        self.unresponsive: set[int] = set()  # numbers of servers that neither respond nor refuse connections
        self.observer = ServerObserver()
        self.response_faults = ResponseFaults(context.scenario.fleet.error_share, context.random.clients)
        self._context = context
        self._registry = registry
        self._next_number = 1
        self._keys: dict[str, IdempotencyKeys] = {"all": IdempotencyKeys()}
        self._scheduled_events: dict[int, _ScheduledEvent] = {}

    def start_all(self) -> None:
        """Start the initial fleet, which is warm, and register it with discovery."""
        fleet = self._context.scenario.fleet
        for index in range(fleet.servers):
            speaks_grpc = int((index + 1) * fleet.new_share) > int(index * fleet.new_share)
            zone = index % self._context.zone_count
            rack = index % self._context.rack_count
            self._start(zone=zone, rack=rack, cold=False, speaks_grpc=speaks_grpc)
        for server in self.servers.values():
            self._registry.register_initial(server)

    def reserve_numbers(self, count: int) -> range:
        """Reserve numbers that no server will get."""
        first = self._next_number
        self._next_number += count
        return range(first, first + count)

    def in_service(self) -> list[int]:
        """Return the numbers of the running servers that are not draining."""
        return [number for number, server in self.servers.items() if not server.draining]

    # Work

    def receive(self, server: Server, job: Job, gateway: int, sent_us: int) -> Result | None:
        """Deliver an attempt; returns REJECTED, or None if the server accepts it or has ended."""
        now = self._context.clock.now_us()
        result = server.receive(now, job)
        if server.unresponsive:
            verdict = "lost"
        elif result is Result.REJECTED or server.down:
            verdict = "rejected"
        else:
            verdict = "taken"
        self._context.records.add(
            "recv", now, job.call_id, server.number, gateway, verdict, round(job.work_us), sent_us
        )
        if server.down and not server.unresponsive and server.number in self.servers:
            self._remove_ended(server, "fell")
        if verdict == "taken":
            job.result = self.response_faults.draw_result()
        self._schedule_next_event(server)
        return result

    def cancel(self, server: Server, job: Job) -> None:
        """Notify a server that the gateway has cancelled an attempt."""
        server.cancel(self._context.clock.now_us(), job)
        self._schedule_next_event(server)

    def set_slowdown(self, numbers: list[int], factor: float) -> None:
        """Slow servers down by a factor; servers that have stopped are skipped."""
        for number in numbers:
            server = self.servers.get(number)
            if server is not None:
                server.advance(self._context.clock.now_us())
                server.slowdown = factor
                self._schedule_next_event(server)

    def _schedule_next_event(self, server: Server) -> None:
        """Schedule the next event of a server, replacing an earlier timer."""
        due_us = server.next_event_us()
        scheduled = self._scheduled_events.get(server.number)
        if scheduled is not None:
            if due_us is not None and scheduled.due_us == due_us:
                return
            scheduled.timer.cancel()
            del self._scheduled_events[server.number]
        if due_us is not None:
            timer = self._context.clock.call_at(due_us, lambda: self._on_event_due(server))
            self._scheduled_events[server.number] = _ScheduledEvent(due_us, timer)

    def _on_event_due(self, server: Server) -> None:
        self._scheduled_events.pop(server.number, None)
        server.advance(self._context.clock.now_us())
        self._schedule_next_event(server)

    # Lifecycle

    def replace(self, number: int) -> None:
        """Drain a server, stop it and start its cold successor; ignored if it is already draining."""
        server = self.servers.get(number)
        if server is None or server.draining:
            return
        scenario = self._context.scenario
        now = self._context.clock.now_us()
        self._registry.drain_later(number)
        drain_us = int((scenario.discovery.drain_s + scenario.discovery.delay_s[1]) * 1e6)
        grace_us = int(scenario.gateways.drain_grace_ms * 1000)

        def start_refusing() -> None:
            server.draining = True

        def stop_and_replace() -> None:
            if number in self.servers:
                self._stop(server)
                self._registry.remove_later(number)
                self.start_successor(server)

        self._context.clock.call_at(now + drain_us + grace_us // 2, start_refusing)
        self._context.clock.call_at(now + drain_us + grace_us, stop_and_replace)

    def make_unresponsive(self, number: int) -> Server:
        """Let a server stop responding without closing connections; discovery detects it with a delay."""
        server = self.servers[number]
        server.advance(self._context.clock.now_us())
        server.unresponsive = True
        self.unresponsive.add(number)
        self._remove_ended(server, "vanished")
        return server

    def start_successor(self, server: Server) -> None:
        """Start a cold server in the zone and rack of one that has stopped."""
        speaks_grpc = server.number in self.grpc_servers or self._context.scenario.fleet.roll_new
        successor = self._start(server.zone, server.rack, cold=True, speaks_grpc=speaks_grpc)
        self._registry.add_later(successor, self._context.clock.now_us())

    def _start(self, zone: int, rack: int, cold: bool, speaks_grpc: bool) -> Server:
        fleet = self._context.scenario.fleet
        now = self._context.clock.now_us()
        number = self._next_number
        self._next_number += 1
        keys = {
            "all": self._keys["all"],
            "zone": self._keys.setdefault(f"zone {zone}", IdempotencyKeys()),
            "rack": self._keys.setdefault(f"rack {rack}", IdempotencyKeys()),
        }
        speed = self._context.random.fleet.uniform(*fleet.speed)

        def record_run(job: Job, has_effect: bool) -> None:
            self._context.record("run", job.call_id, number, job.key, int(has_effect))

        server = Server(number, fleet, zone, rack, speed, now, cold, keys, record_run)
        self.servers[number] = server
        if speaks_grpc:
            self.grpc_servers.add(number)
        capacity = round(speed * fleet.cores, 6)
        self._context.records.add("start", now, number, zone, rack, int(cold), capacity)
        self.observer.on_started(server)
        return server

    def _stop(self, server: Server) -> None:
        del self.servers[server.number]
        self._context.record("stop", server.number, "replaced")
        server.stop()
        self.observer.on_ended(server.number)

    def _remove_ended(self, server: Server, reason: str) -> None:
        """Remove a server that ended without notice; discovery detects it with a delay."""
        if self.servers.pop(server.number, None) is None:
            return
        self._context.record("stop", server.number, reason)
        self.observer.on_ended(server.number)
        self._registry.remove_later(server.number, unresponsive=reason == "vanished")
