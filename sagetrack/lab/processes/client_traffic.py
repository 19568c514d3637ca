"""Sends the clients' requests to gateways over real TCP connections, some of which are reused."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Mapping

from sagetrack.lab.model.client_requests import ClientAttempt
from sagetrack.lab.model.world import World
from sagetrack.lab.processes.background_tasks import BackgroundTasks
from sagetrack.lab.stand_ins.client_connection import CONNECTION_FAILED, ClientConnection, GatewayResponse

# The model's verdict by status code. Any other status is "failed".
VERDICTS = {CONNECTION_FAILED: "broken", 200: "served", 429: "refused", 503: "refused"}


def encode_request(world: World, attempt: ClientAttempt) -> bytes:
    """Encode an attempt as an HTTP/1.1 request.

    The budget in its header is reduced by the time that has passed since the client sent the attempt.
    """
    request = attempt.request
    request_class = request.request_class
    spent_us = world.clock.now_us() - attempt.sent_us
    method = "GET" if request_class.effect == "safe" else "POST"
    body = b"" if method == "GET" else b"b" * request_class.body_bytes
    lines = [
        f"{method} /{request_class.name}/{request.id} HTTP/1.1",
        "Host: gateway",
        f"X-Call-Id: {attempt.call_id}",
        f"X-Call-Class: {request_class.name}",
        f"X-Caller: {world.scenario.tenants[request.tenant].name}",
        f"X-Budget-Ms: {max(1, (attempt.budget_us - spent_us) // 1000)}",
    ]
    if request.client:
        lines.append(f"X-Client: {request.client}")
    if request_class.effect == "keyed":
        lines.append(f"Idempotency-Key: {request.key:x}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    if attempt.number > 1 and world.scenario.clients.marks_retry:
        lines.append("X-Again: 1")
    if not request.uses_keep_alive:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode() + body


class ClientTraffic:
    """Sends clients' attempts and reports their outcomes to the world.

    `attempts` holds every attempt by call ID, so that the stand-in servers can look up what they receive.
    `ports` is the supervisor's live mapping from each gateway to its port.
    """

    def __init__(
        self, world: World, ports: Mapping[int, int], rng: random.Random, background: BackgroundTasks
    ) -> None:
        self.world = world
        self.ports = ports
        self.rng = rng
        self.background = background
        self.attempts: dict[str, ClientAttempt] = {}
        self.idle: dict[int, list[ClientConnection]] = {gateway: [] for gateway in world.gateway_fleet.alive}
        self.is_stopped = False

    def stop(self) -> None:
        """Stop sending, so that attempts that fail as the run ends are not retried."""
        self.is_stopped = True

    def send(self, attempt: ClientAttempt) -> None:
        """Send an attempt after the network delay.

        `Clients.on_response` is called with the outcome, unless the attempt ends or the run stops first.
        """
        self.attempts[attempt.call_id] = attempt
        self.world.clock.call_at(self.world.clock.now_us() + self._delay_us(), lambda: self.send_now(attempt))

    def _delay_us(self) -> int:
        return int(self.world.scenario.network.client_ms * 1000)

    def send_now(self, attempt: ClientAttempt) -> None:
        """Send an attempt on an idle connection if one is open, otherwise on a new connection."""
        if attempt.ended or self.is_stopped:
            return
        idle = self.idle[attempt.gateway]
        while idle and attempt.request.uses_keep_alive:
            connection = idle.pop()
            if connection.is_open:
                self._write(attempt, connection)
                return
        self.background.spawn(self._connect_and_send(attempt))

    async def _connect_and_send(self, attempt: ClientAttempt) -> None:
        gateway = attempt.gateway
        try:
            async with asyncio.timeout(attempt.budget_us / 1e6):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: ClientConnection(self.idle[gateway].append),
                    f"127.10.{gateway + 1}.1",
                    self.ports[gateway],
                )
        except (OSError, TimeoutError):
            if not attempt.ended:
                self.world.clients.on_response(attempt, "unreachable")
            return
        connection.reads_slowly = self.rng.random() < self.world.scenario.clients.slow_readers
        if attempt.ended or not connection.is_open:
            connection.close()
            return
        self._write(attempt, connection)

    def _write(self, attempt: ClientAttempt, connection: ClientConnection) -> None:
        was_reused = connection.is_reused
        attempt.connection = connection
        connection.send(
            encode_request(self.world, attempt),
            lambda response: self._on_response(attempt, response, was_reused),
        )

    def _on_response(self, attempt: ClientAttempt, response: GatewayResponse, was_reused: bool) -> None:
        is_broken = response.status == CONNECTION_FAILED
        if is_broken and was_reused and not attempt.ended and self.world.gateway_fleet.alive[attempt.gateway]:
            # The gateway closed the reused connection while the request was in flight, so it is sent again.
            self.background.spawn(self._connect_and_send(attempt))
            return
        verdict = VERDICTS.get(response.status, "failed")
        retry_after_us = int(response.retry_after_s * 1e6)
        due_us = self.world.clock.now_us() + self._delay_us()
        self.world.clock.call_at(
            due_us, lambda: self.world.clients.on_response(attempt, verdict, retry_after_us)
        )

    def abandon(self, attempt: ClientAttempt) -> None:
        """Stop waiting for an attempt, and close its connection if the request is still in flight."""
        if isinstance(attempt.connection, ClientConnection):
            attempt.connection.abandon()
