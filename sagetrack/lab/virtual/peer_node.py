"""The peer protocol of a virtual gateway: the production state machines on the simulated clock."""

from __future__ import annotations

from collections.abc import Callable

from sagetrack.lab.virtual.balancer import Balancer
from sagetrack.lab.virtual.clock import GATEWAY_EPOCH_US
from sagetrack.lab.virtual.network import VirtualNetwork
from sagetrack.peers.codec import (
    Datagram,
    DemandGossip,
    Message,
    WarmStartRequest,
    WarmStartResponse,
    decode,
    encode,
)
from sagetrack.peers.demand_gossip import DemandGossipSchedule, decode_demands, demand_message
from sagetrack.peers.membership import Membership
from sagetrack.peers.observation_codec import decode_latencies
from sagetrack.peers.settings import MembershipSettings
from sagetrack.peers.warm_start import WarmStartClient, WarmStartServer
from sagetrack.policy.events import Event, FleetSizeChanged, ObservationsReceived, PeerDemands

MIN_WAKE_INTERVAL_US = 1000  # minimum time between two wake-ups


class PeerNode:
    """Membership, warm start and demand gossip of one gateway."""

    def __init__(
        self,
        network: VirtualNetwork,
        number: int,
        seed: int,
        balancer: Balancer,
        handle: Callable[[Event], None],
    ) -> None:
        """Join the other gateways; `handle` passes what is learned to the decision module."""
        self._network = network
        self._clock = network.clock
        self._number = number
        self._balancer = balancer
        self._handle = handle
        self._stopped = False
        self._next_wake_us = -1
        scenario = network.world.scenario
        count, now = scenario.fleet.gateways, self._clock.now_us()
        settings = MembershipSettings(period_us=int(scenario.peers.period_ms * 1000))
        incarnation = 1 + now // 1_000_000
        self._membership = Membership(number, count, settings, seed, now, self._send, incarnation)
        self._membership.on_change = lambda member, state: handle(FleetSizeChanged(self._membership.alive))
        self._warm_start_client: WarmStartClient | None = None
        # At the start of a run no gateway has observations to share.
        if scenario.peers.warm_start and now > 0:
            others = [other for other in range(count) if other != number]
            self._warm_start_client = WarmStartClient(others, seed ^ 1, now, self._request_warm_start)
        self._warm_start_server = WarmStartServer(now)
        self._demand_schedule: DemandGossipSchedule | None = None
        if balancer.admission is not None:
            self._demand_schedule = DemandGossipSchedule(number, count, seed ^ 2, now)
        self._clock.call_at(now, self._wake)

    def stop(self) -> None:
        """Stop sending, because the gateway has died."""
        self._stopped = True

    def receive(self, data: bytes) -> None:
        """Handle a datagram from another gateway."""
        datagram = decode(data)
        self._membership.handle(self._clock.now_us(), datagram)
        for message in datagram.messages:
            match message:
                case WarmStartRequest():
                    self._serve_warm_start(datagram.sender, message)
                case WarmStartResponse():
                    self._handle_warm_start(datagram.sender, message)
                case DemandGossip():
                    self._handle_demands(datagram.sender, message)
                case _:
                    pass
        self._wake()

    def _serve_warm_start(self, sender: int, request: WarmStartRequest) -> None:
        now = self._clock.now_us() + GATEWAY_EPOCH_US
        observations, latencies = self._balancer.own_observations()
        for part in self._warm_start_server.respond(now, request, observations, latencies):
            self._send_message(sender, part)

    def _handle_warm_start(self, sender: int, response: WarmStartResponse) -> None:
        if self._warm_start_client is None:
            return
        now = self._clock.now_us() + GATEWAY_EPOCH_US
        started_us = {number: server.entry.started_us for number, server in self._balancer.servers.items()}
        observations = self._warm_start_client.handle(now, sender, response, started_us)
        self._handle(ObservationsReceived(tuple(observations), decode_latencies(response.classes)))

    def _handle_demands(self, sender: int, message: DemandGossip) -> None:
        admission = self._balancer.admission
        if admission is not None:
            self._handle(PeerDemands(sender, decode_demands(message, len(admission.shares))))

    def _send(self, target: int, datagram: Datagram) -> None:
        if self._stopped:
            return
        data = encode(datagram)
        self._membership.counts.sent += 1
        self._membership.counts.sent_bytes += len(data)
        self._network.send_datagram(self._number, target, data)

    def _send_message(self, target: int, message: Message) -> None:
        self._send(target, Datagram(self._number, self._membership.incarnation, [message]))

    def _request_warm_start(self, target: int, request: WarmStartRequest) -> None:
        self._send_message(target, request)

    def _wake(self) -> None:
        """Do the work that is due, and schedule the next wake-up."""
        if self._stopped:
            return
        now = self._clock.now_us()
        self._membership.tick(now)
        due_us = self._membership.next_us()
        if self._warm_start_client is not None and not self._warm_start_client.is_finished:
            self._warm_start_client.tick(now)
            due_us = min(due_us, self._warm_start_client.due_us)
        if self._demand_schedule is not None:
            self._send_demands(self._demand_schedule, now)
            due_us = min(due_us, self._demand_schedule.due_us)
        if due_us != self._next_wake_us:
            self._next_wake_us = due_us
            self._clock.call_at(max(due_us, now + MIN_WAKE_INTERVAL_US), lambda: self._on_wake_due(due_us))

    def _send_demands(self, schedule: DemandGossipSchedule, now_us: int) -> None:
        admission = self._balancer.admission
        if admission is None:
            return
        for target in schedule.targets(now_us):
            message = demand_message(admission.local_demands(now_us + GATEWAY_EPOCH_US))
            if message is not None:
                self._send_message(target, message)

    def _on_wake_due(self, due_us: int) -> None:
        if self._next_wake_us == due_us:  # otherwise another wake-up has replaced this one
            self._next_wake_us = -1
            self._wake()
