"""A virtual gateway: a `LoadBalancer`, and a model of the rest of a gateway process around it.

It manages connection pools and timeouts, sends attempts to servers, and sends each client one final response.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from sagetrack.lab.model.client_requests import ClientAttempt
from sagetrack.lab.model.server import Job, Result
from sagetrack.lab.virtual.balancer import Balancer
from sagetrack.lab.virtual.clock import GATEWAY_EPOCH_US, Timer
from sagetrack.lab.virtual.connection_pool import ConnectionPool
from sagetrack.lab.virtual.network import VirtualNetwork
from sagetrack.lab.virtual.peer_node import PeerNode
from sagetrack.policy.actions import Action, Cancel, Fail, Reject, SendAttempt, SendToPeers, SetTimer
from sagetrack.policy.events import (
    AttemptEnded,
    Event,
    Outcome,
    RequestArrived,
    RequestCancelled,
    TimerFired,
)
from sagetrack.policy.load_balancer import LoadBalancer
from sagetrack.policy.settings import Settings

OUTCOMES = {
    Result.SERVED: Outcome.OK,
    Result.ERROR: Outcome.ERROR,
    Result.REJECTED: Outcome.REJECTED,
    Result.MALFORMED: Outcome.ERROR,
    Result.RESET: Outcome.RESET,
}
REUSABLE_AFTER = (Outcome.OK, Outcome.REJECTED, Outcome.ERROR)  # outcomes that leave the connection usable


@dataclass(slots=True, eq=False)
class UpstreamAttempt:
    """One attempt of a request on an upstream server."""

    number: int  # within its request, from 0
    server: int
    sent_us: int
    timer: Timer | None = None  # fires at the attempt's timeout
    written: bool = False  # whether it was sent on an established connection
    ended: bool = False
    job: Job | None = None  # set when the server receives the attempt


@dataclass(slots=True, eq=False)
class ProxiedRequest:
    """A request without a final response, or with attempts that have not ended."""

    client_attempt: ClientAttempt
    attempts: list[UpstreamAttempt | None] = field(default_factory=list)  # None: an attempt that was not sent
    in_flight: int = 0
    closed: bool = False  # a final response was sent, or the client has disconnected

    @property
    def id(self) -> str:
        """The identifier that the decision module and the servers use."""
        return self.client_attempt.call_id


class VirtualGateway:
    """One gateway process."""

    def __init__(
        self,
        network: VirtualNetwork,
        settings: Settings,
        number: int,
        seed: int,
        wrap: Callable[[LoadBalancer, VirtualGateway], Balancer] | None = None,
    ) -> None:
        """Create a gateway; `wrap` may replace its decision module by a proxy."""
        self.network = network
        self.world = network.world
        self.clock = network.clock
        self.number = number
        self.requests: dict[str, ProxiedRequest] = {}
        self.dead = False
        self.load_balancer = LoadBalancer(settings, seed)  # the decision module without a proxy
        self.balancer: Balancer = self.load_balancer if wrap is None else wrap(self.load_balancer, self)
        self._pool = ConnectionPool(self.world.scenario.fleet.idle_s)
        self._peer_node: PeerNode | None = None
        if self.world.scenario.peers.use:
            self._peer_node = PeerNode(network, number, seed, self.balancer, self.handle)

    def handle(self, event: Event) -> None:
        """Pass an event to the decision module and execute its actions; ignored by a dead gateway."""
        if self.dead:
            return
        for action in self.balancer.handle(self.clock.now_us() + GATEWAY_EPOCH_US, event):
            self._execute(action)

    def receive_datagram(self, data: bytes) -> None:
        """Handle a datagram from another gateway."""
        if self._peer_node is not None:
            self._peer_node.receive(data)

    def kill(self) -> None:
        """Terminate at once: the connections of all waiting clients are closed without a response."""
        self.dead = True
        if self._peer_node is not None:
            self._peer_node.stop()
        for request in self.requests.values():
            if not request.closed:
                self.network.respond(request.client_attempt, "broken", 0)

    def _execute(self, action: Action) -> None:
        match action:
            case SendAttempt():
                self._send_attempt(action)
            case SetTimer():
                due_us = action.due_us - GATEWAY_EPOCH_US
                self.clock.call_at(due_us, partial(self.handle, TimerFired(action.token)))
            case Reject():
                self.respond(action.request, "refused", action.retry_after_us)
            case Fail():
                self.respond(action.request, "failed", 0)
            case Cancel():
                self._cancel_attempt(action.request, action.attempt)
            case SendToPeers():
                self.network.send_peer_message(self.number, action)
            case _:
                pass

    # Requests

    def receive(self, attempt: ClientAttempt) -> None:
        """Handle an attempt that a client has sent."""
        request = attempt.request
        self.requests[attempt.call_id] = ProxiedRequest(attempt)
        marks_retry = self.world.scenario.clients.marks_retry and attempt.number > 1
        event = RequestArrived(
            attempt.call_id,
            request.class_index,
            attempt.deadline_us - self.clock.now_us(),
            request.key or int(request.id, 16),
            None,
            marks_retry,
            request.tenant,
            client=request.client,
        )
        self.handle(event)

    def on_disconnect(self, attempt: ClientAttempt) -> None:
        """Cancel the request of a client that has closed its connection."""
        request = self.requests.get(attempt.call_id)
        if request is not None and not request.closed:
            self.close(request)
            self.handle(RequestCancelled(attempt.call_id))

    def respond(self, request_id: str, verdict: str, retry_after_us: int) -> None:
        """Send the final response of a request, unless one has been sent."""
        request = self.requests.get(request_id)
        if request is None or request.closed:
            return
        self.close(request)
        self.network.respond(request.client_attempt, verdict, retry_after_us)

    def close(self, request: ProxiedRequest) -> None:
        """Mark a request as closed, and drop it if none of its attempts is in flight."""
        request.closed = True
        if request.in_flight == 0:
            self.requests.pop(request.id, None)

    # Attempts

    def _send_attempt(self, action: SendAttempt) -> None:
        request = self.requests.get(action.request)
        if request is None:
            return
        number = len(request.attempts)
        if request.closed or number >= self.world.scenario.gateways.max_attempts:
            self._report_not_sent(request, action.server)
            return
        now = self.clock.now_us()
        attempt = UpstreamAttempt(number, action.server, now)
        request.attempts.append(attempt)
        request.in_flight += 1
        timeout_us = request.client_attempt.deadline_us - now
        if action.timeout_us:
            timeout_us = min(action.timeout_us, timeout_us)
        attempt.timer = self.clock.call_at(now + max(0, timeout_us), lambda: self._time_out(request, attempt))
        delay_us = self.network.server_delay_us(self.number, action.server)
        if self._pool.take(action.server, now):
            self.clock.call_at(now + delay_us, lambda: self._deliver(request, attempt, False))
            attempt.written = True
        else:
            self._connect(request, attempt, delay_us)

    def _report_not_sent(self, request: ProxiedRequest, server: int) -> None:
        number = len(request.attempts)
        request.attempts.append(None)
        event = AttemptEnded(request.id, number, server, Outcome.NOT_SENT, 0, request.closed)
        self.clock.call_at(self.clock.now_us(), partial(self.handle, event))

    def _connect(self, request: ProxiedRequest, attempt: UpstreamAttempt, delay_us: int) -> None:
        """Open a connection: it is established after one round trip, or fails."""
        now, world = self.clock.now_us(), self.world
        is_reachable = world.network.can_reach(self.number, attempt.server)
        if not is_reachable or attempt.server in world.server_fleet.unresponsive:
            timeout_us = int(world.scenario.network.connect_timeout_ms * 1000)
            self.clock.call_at(
                now + timeout_us, lambda: self._end_attempt(request, attempt, Outcome.CONNECT_FAILED)
            )
            return
        self.clock.call_at(now + 2 * delay_us, lambda: self._on_connected(request, attempt, delay_us))

    def _on_connected(self, request: ProxiedRequest, attempt: UpstreamAttempt, delay_us: int) -> None:
        if attempt.ended:
            return
        if attempt.server not in self.world.server_fleet.servers:
            self._end_attempt(request, attempt, Outcome.CONNECT_FAILED)
            return
        attempt.written = True
        self.clock.call_at(self.clock.now_us() + delay_us, lambda: self._deliver(request, attempt, True))

    def _deliver(self, request: ProxiedRequest, attempt: UpstreamAttempt, is_new_connection: bool) -> None:
        """Deliver an attempt whose last byte has reached its server."""
        if self.dead or (attempt.ended and not attempt.written):
            return
        fleet = self.world.server_fleet
        server = fleet.servers.get(attempt.server)
        if server is None:
            if attempt.server not in fleet.unresponsive:
                self._return_outcome(request, attempt, Outcome.RESET)
            return
        if not self.world.network.can_reach(self.number, attempt.server):
            return  # the attempt is lost; the gateway learns of it only by its timeout
        job = self._make_job(request, attempt, is_new_connection)
        attempt.job = job
        if fleet.receive(server, job, self.number, attempt.sent_us) is Result.REJECTED:
            self._return_outcome(request, attempt, Outcome.REJECTED)
        elif attempt.ended:
            fleet.cancel(server, job)

    def _make_job(self, request: ProxiedRequest, attempt: UpstreamAttempt, is_new_connection: bool) -> Job:
        client_request = request.client_attempt.request
        handshake_us = self.world.scenario.fleet.handshake_ms * 1000 if is_new_connection else 0.0
        return Job(
            request.id,
            client_request.work_us + handshake_us,
            client_request.key,
            int(client_request.request_class.window_ms * 1000),
            client_request.request_class.scope,
            request.client_attempt.deadline_us,
            lambda job, result: self._on_result(request, attempt, result),
        )

    def _on_result(self, request: ProxiedRequest, attempt: UpstreamAttempt, result: Result) -> None:
        if self.world.network.can_reach(self.number, attempt.server):
            self._return_outcome(request, attempt, OUTCOMES[result])

    def _return_outcome(self, request: ProxiedRequest, attempt: UpstreamAttempt, outcome: Outcome) -> None:
        """Return a server's outcome to the gateway, after the network delay."""
        delay_us = self.network.server_delay_us(self.number, attempt.server)
        due_us = self.clock.now_us() + delay_us
        self.clock.call_at(due_us, lambda: self._end_attempt(request, attempt, outcome))

    def _time_out(self, request: ProxiedRequest, attempt: UpstreamAttempt) -> None:
        if not attempt.ended:
            self._disconnect(attempt)
            outcome = Outcome.TIMEOUT if attempt.written else Outcome.CONNECT_FAILED
            self._end_attempt(request, attempt, outcome)

    def _cancel_attempt(self, request_id: str, number: int) -> None:
        request = self.requests.get(request_id)
        if request is None or number >= len(request.attempts):
            return
        attempt = request.attempts[number]
        if attempt is None or attempt.ended:
            return
        self._disconnect(attempt)
        self.clock.call_at(
            self.clock.now_us(), lambda: self._end_attempt(request, attempt, Outcome.CANCELLED)
        )

    def _disconnect(self, attempt: UpstreamAttempt) -> None:
        """Close the connection of a cancelled attempt; its server is notified after the network delay."""
        job = attempt.job
        if job is None:
            return
        delay_us = self.network.server_delay_us(self.number, attempt.server)
        self.clock.call_at(self.clock.now_us() + delay_us, partial(self._notify_server, attempt.server, job))

    def _notify_server(self, number: int, job: Job) -> None:
        fleet = self.world.server_fleet
        if number in fleet.servers:
            fleet.cancel(fleet.servers[number], job)

    def _end_attempt(self, request: ProxiedRequest, attempt: UpstreamAttempt, outcome: Outcome) -> None:
        if attempt.ended or self.dead:
            return
        now = self.clock.now_us()
        attempt.ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        request.in_flight -= 1
        if outcome in REUSABLE_AFTER:
            self._pool.put(attempt.server, now)
        if not request.closed and outcome is Outcome.OK:
            self.close(request)
            self.network.respond(request.client_attempt, "served", 0)
        elif request.closed and request.in_flight == 0:
            self.requests.pop(request.id, None)
        latency_us = now - attempt.sent_us
        self.handle(
            AttemptEnded(request.id, attempt.number, attempt.server, outcome, latency_us, request.closed)
        )
