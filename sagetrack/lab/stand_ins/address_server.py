"""A simulated upstream server on loopback sockets, independent of its protocol.

Each pair of a gateway and a server uses a separate address. The address identifies the calling gateway, and
the lab can cut the path of one pair alone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

from sagetrack.lab.model.client_requests import ClientAttempt
from sagetrack.lab.model.server import Job, Result, Server
from sagetrack.lab.model.world import World
from sagetrack.lab.stand_ins.listener import SilenceableListener

HANDSHAKE_HOPS = 2  # one-way delays added to a new connection's first request: one more round trip


class ServerConnection(Protocol):
    """A connection that an address server has accepted."""

    transport: asyncio.Transport | None


ConnectionFactory = Callable[["AddressServer", int], asyncio.Protocol]  # arguments: server, gateway number


class AddressServer:
    """A server of the simulation model with one listener for each gateway.

    Connections add themselves to `connections` when they open and remove themselves when they are lost.
    `attempts` maps call IDs to the clients' attempts, which hold the cost of each request.
    """

    def __init__(
        self,
        world: World,
        server: Server,
        attempts: Mapping[str, ClientAttempt],
        delay_us: Callable[[int, int], int],
        connection_factory: ConnectionFactory,
    ) -> None:
        self.world = world
        self.server = server
        self.attempts = attempts
        self._delay_us = delay_us
        self.connections: set[ServerConnection] = set()
        self.listeners = {
            gateway: SilenceableListener(
                f"127.20.{gateway + 1}.{server.number % 250 + 1}",
                lambda gateway=gateway: connection_factory(self, gateway),  # type: ignore[misc]
            )
            for gateway in world.gateway_fleet.alive
        }

    def is_connected_to(self, gateway: int) -> bool:
        """Return True if no partition separates this server from a gateway."""
        return self.world.network.can_reach(gateway, self.server.number)

    def receives_from(self, gateway: int) -> bool:
        """Return True if data from a gateway reaches this server and the server reads it."""
        return self.is_connected_to(gateway) and not self.server.unresponsive

    def new_job(
        self,
        attempt: ClientAttempt,
        is_new_connection: bool,
        deadline_us: int,
        on_done: Callable[[Job, Result], None],
    ) -> Job:
        """Create the model's job for a client's request. A new connection adds the cost of its handshake."""
        request = attempt.request
        handshake_us = self.world.scenario.fleet.handshake_ms * 1000 if is_new_connection else 0.0
        return Job(
            call_id=attempt.call_id,
            work_us=request.work_us + handshake_us,
            key=request.key,
            window_us=int(request.request_class.window_ms * 1000),
            scope=request.request_class.scope,
            deadline_us=deadline_us,
            on_done=on_done,
        )

    def after_network_delay(
        self, gateway: int, action: Callable[[], None], is_new_connection: bool = False
    ) -> None:
        """Run an action after the network delay of a message between this server and a gateway."""
        hops = 1 + (HANDSHAKE_HOPS if is_new_connection else 0)
        delay_us = self._delay_us(gateway, self.server.number) * hops
        self.world.clock.call_at(self.world.clock.now_us() + delay_us, action)

    def deliver(self, job: Job, gateway: int, sent_us: int) -> None:
        """Submit a job to the model unless the server has ended.

        If the model rejects the job, `job.on_done` is called with the rejection.
        """
        if self.server.number not in self.world.server_fleet.servers:
            return
        if self.world.server_fleet.receive(self.server, job, gateway, sent_us) is Result.REJECTED:
            job.on_done(job, Result.REJECTED)

    def cancel(self, job: Job) -> None:
        """Cancel a job that the gateway no longer waits for."""
        if not job.ended:
            self.world.server_fleet.cancel(self.server, job)

    def silence(self) -> None:
        """Simulate a vanished host: further handshakes time out, and open connections stay open."""
        for listener in self.listeners.values():
            listener.mute()

    def close(self) -> None:
        """Close the listeners and abort every connection."""
        for listener in self.listeners.values():
            listener.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
