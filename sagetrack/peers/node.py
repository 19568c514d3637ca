"""The UDP socket and the timer that drive membership, warm start and demand gossip.

Each of these is a state machine without I/O, in a module of its own.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from typing import cast

from sagetrack.config.platform import Address
from sagetrack.core.clock import now_us
from sagetrack.core.log import log
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
from sagetrack.peers.errors import CodecError
from sagetrack.peers.member_table import MemberState
from sagetrack.peers.membership import Membership, MembershipCounts
from sagetrack.peers.observation_codec import decode_latencies
from sagetrack.peers.settings import MembershipSettings
from sagetrack.peers.status_report import describe_datagrams, describe_warm_start
from sagetrack.peers.warm_start import WarmStartClient, WarmStartServer
from sagetrack.policy.events import Event, FleetSizeChanged, ObservationsReceived, PeerDemands
from sagetrack.policy.peer_observations import ClassLatency, Observation

BIND_RETRY_S = 0.5  # at a hot restart, the previous process still holds the address
MIN_TIMER_DELAY_S = 0.005
# Combined with the seed by XOR, so that each state machine has its own random sequence.
WARM_START_SEED = 0x5A5A
DEMAND_SEED = 0xA5

ObservationSource = Callable[[], tuple[list[Observation], list[ClassLatency]]]


class PeerNode(asyncio.DatagramProtocol):
    """Communication of this gateway with its peers, over one UDP socket.

    It must be created on a running event loop. `start` binds the socket, and retries while another process
    holds the address.

    Attributes:
        membership: The states of all gateways.
        warm_start_client: Requests observations from peers at the start; None if warm start is off.

    Args:
        own_number: Number of this gateway.
        listen: Address to bind.
        peers: Addresses of all gateways, by number.
        settings: Parameters of membership.
        seed: Seed of the random number generators.
        post: Passes an event to the load balancer.
        observations: Returns the observations and latencies of this gateway.
        start_times: Returns the start time in microseconds of each listed server, by server id.
        use_warm_start: True to request observations from peers at the start.
        demands: Returns the demand by tenant; None if fair queuing is off.
    """

    def __init__(
        self,
        own_number: int,
        listen: Address,
        peers: Sequence[Address],
        settings: MembershipSettings,
        seed: int,
        post: Callable[[Event], None],
        observations: ObservationSource,
        start_times: Callable[[], dict[int, int]],
        use_warm_start: bool = True,
        demands: Callable[[], list[float]] | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._own_number = own_number
        self._listen = listen
        self._peers = list(peers)
        self._post = post
        self._observations = observations
        self._start_times = start_times
        self._demands = demands
        now = now_us()
        member_count = len(self._peers)
        self.membership = Membership(
            own_number, member_count, settings, seed, now, self._send, incarnation=now // 1_000_000
        )
        self.membership.on_change = self._on_change
        others = [number for number in range(member_count) if number != own_number]
        self.warm_start_client: WarmStartClient | None = None
        if use_warm_start and others:
            self.warm_start_client = WarmStartClient(others, seed ^ WARM_START_SEED, now, self._send_message)
        self._warm_start_server = WarmStartServer(now)
        self._demand_schedule: DemandGossipSchedule | None = None
        if demands is not None:
            self._demand_schedule = DemandGossipSchedule(own_number, member_count, seed ^ DEMAND_SEED, now)
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._bind_task: asyncio.Task[None] | None = None
        self._closed = False

    @property
    def counts(self) -> MembershipCounts:
        """Counters of datagrams and membership."""
        return self.membership.counts

    # Socket

    def start(self) -> None:
        """Start a task that binds the address."""
        self._bind_task = self._loop.create_task(self._bind())

    async def _bind(self) -> None:
        was_logged = False
        while not self._closed:
            host, port = self._listen
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            try:
                await self._loop.create_datagram_endpoint(lambda: self, self._listen, family=family)
                self._wake()
                return
            except OSError as error:
                if not was_logged:
                    was_logged = True
                    log(f"peers: binding {host}:{port} failed, retrying: {error.strerror}")
                await asyncio.sleep(BIND_RETRY_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of the bound socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore an error such as a closed port of a peer: the state machines handle lost datagrams."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop sending: the socket is closed."""
        self._transport = None

    def close(self) -> None:
        """Close the socket and release the address."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._bind_task is not None:
            self._bind_task.cancel()
        if self._transport is not None:
            self._transport.close()

    # Timer

    def _wake(self) -> None:
        """Run the state machines, and set the timer to their next due time."""
        if self._closed or self._transport is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        now = now_us()
        self.membership.tick(now)
        due_us = self.membership.next_us()
        client = self.warm_start_client
        if client is not None and not client.is_finished:
            client.tick(now)
            due_us = min(due_us, client.due_us)
        if self._demand_schedule is not None:
            self._gossip_demand(self._demand_schedule.targets(now))
            due_us = min(due_us, self._demand_schedule.due_us)
        self._timer = self._loop.call_later(max(MIN_TIMER_DELAY_S, (due_us - now) / 1e6), self._wake)

    def _gossip_demand(self, targets: list[int]) -> None:
        if not targets or self._demands is None:
            return
        message = demand_message(self._demands())
        if message is not None:
            for target in targets:
                self._send_message(target, message)

    # Messages

    def _send(self, target: int, datagram: Datagram) -> None:
        if self._transport is None:
            return
        data = encode(datagram)
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self._transport.sendto(data, self._peers[target])

    def _send_message(self, target: int, message: Message) -> None:
        self._send(target, Datagram(self._own_number, self.membership.incarnation, [message]))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Process a datagram; reject it if it is malformed or not sent from its sender's address."""
        self.counts.received += 1
        self.counts.received_bytes += len(data)
        try:
            datagram = decode(data)
        except CodecError:
            self.counts.rejected += 1
            return
        sender = datagram.sender
        if not self._is_from(sender, addr):
            self.counts.rejected += 1
            return
        now = now_us()
        self.membership.handle(now, datagram)
        for message in datagram.messages:
            self._handle_message(now, sender, message)
        self._wake()

    def _is_from(self, sender: int, address: tuple[str, int]) -> bool:
        """Check that the sender is another member and that the datagram came from its configured address.

        A member thus cannot impersonate another one by using its number.
        """
        if sender >= len(self._peers) or sender == self._own_number:
            return False
        return self._peers[sender] == (address[0], address[1])

    def _handle_message(self, now: int, sender: int, message: Message) -> None:
        if isinstance(message, WarmStartRequest):
            self._respond(now, sender, message)
        elif isinstance(message, WarmStartResponse):
            if self.warm_start_client is not None:
                self._on_warm_start_response(now, sender, message, self.warm_start_client)
        elif isinstance(message, DemandGossip) and self._demands is not None:
            demands = decode_demands(message, len(self._demands()))
            self._post(PeerDemands(sender, demands))

    def _respond(self, now: int, requester: int, request: WarmStartRequest) -> None:
        observations, latencies = self._observations()
        for part in self._warm_start_server.respond(now, request, observations, latencies):
            self._send_message(requester, part)

    def _on_warm_start_response(
        self, now: int, sender: int, response: WarmStartResponse, client: WarmStartClient
    ) -> None:
        if response.request_id not in client.requests:
            self.counts.rejected += 1
            return
        observations = client.handle(now, sender, response, self._start_times())
        self._post(ObservationsReceived(tuple(observations), decode_latencies(response.classes)))

    def _on_change(self, member: int, state: MemberState) -> None:
        log(f"peer {member}: {state.name.lower()}", rate_limit_key="peer")
        self._post(FleetSizeChanged(self.membership.alive))

    # Status and metrics

    def describe(self) -> list[str]:
        """Return a status line for each member, then one for datagrams and one for the warm start."""
        now = now_us()
        host, port = self._peers[self._own_number]
        lines = [f"member {self._own_number} {host}:{port} self"]
        for number, peer in sorted(self.membership.peers.items()):
            host, port = self._peers[number]
            since_s = (now - peer.since_us) / 1e6
            lines.append(f"member {number} {host}:{port} {peer.state.name.lower()} since {since_s:.1f} s")
        warm_start = self.warm_start_client.result if self.warm_start_client is not None else None
        lines.append(describe_datagrams(self.counts, self._warm_start_server.rate_limited))
        lines.append(describe_warm_start(warm_start))
        return lines

    def metric_values(self) -> dict[str, int]:
        """Return the current values of the exported metrics by name."""
        counts = self.counts
        membership = self.membership
        client = self.warm_start_client
        return {
            "peers_alive": membership.alive,
            "peers_suspect": len(membership.members(MemberState.SUSPECT)),
            "peers_dead": len(membership.members(MemberState.DEAD)),
            "peer_datagrams_sent_total": counts.sent,
            "peer_bytes_sent_total": counts.sent_bytes,
            "peer_datagrams_rejected_total": counts.rejected,
            "peer_pings_unanswered_total": counts.unanswered,
            "peer_sights_taken": client.result.observations if client is not None else 0,
        }
