"""This gateway among the others: the socket and the timer of the state machines.

Those are membership, warm start and demand gossip; each has a module of its own that does no I/O.
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
from sagetrack.peers.membership import Membership, MembershipCounters
from sagetrack.peers.observation_codec import decode_latencies
from sagetrack.peers.settings import MembershipSettings
from sagetrack.peers.status_report import describe_datagrams, describe_warm_start
from sagetrack.peers.warm_start import WarmStartClient, WarmStartServer
from sagetrack.policy.events import Event, FleetSizeChanged, ObservationsReceived, PeerDemands
from sagetrack.policy.peer_observations import ClassLatency, Observation

BIND_RETRY_S = 0.5  # while an older process of this gateway has the address
LEAST_WAIT_S = 0.005  # between two calls of the timer
WARM_START_SEED = 0x5A5A  # sets the seeds of the state machines apart, as does the next
DEMAND_SEED = 0xA5

ObservationSource = Callable[[], tuple[list[Observation], list[ClassLatency]]]


class PeerNode(asyncio.DatagramProtocol):
    """This gateway's socket among the others.

    Made on a running loop; `start` binds, and retries while another process has the address.

    Attributes:
        membership: Which gateways are alive.
        warm_start_client: Asks for observations at the start; None if that is off.

    Args:
        own_number: This gateway's number.
        listen: The address to bind.
        peers: All gateways' addresses, by number.
        settings: Parameters of membership.
        seed: Of the randomness.
        post: Hands an event to the load balancer.
        observations: Returns this gateway's own observations and latencies.
        start_times: Returns when each listed server started, in microseconds, by its id.
        use_warm_start: Whether to ask the others for observations at the start.
        demands: Returns the demand by tenant; None where fair queues are off.
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
        count = len(self._peers)
        self.membership = Membership(
            own_number, count, settings, seed, now, self._send, incarnation=now // 1_000_000
        )
        self.membership.on_change = self._on_change
        others = [number for number in range(count) if number != own_number]
        self.warm_start_client: WarmStartClient | None = None
        if use_warm_start and others:
            self.warm_start_client = WarmStartClient(others, seed ^ WARM_START_SEED, now, self._send_message)
        self._warm_start_server = WarmStartServer(now)
        self._demand_schedule: DemandGossipSchedule | None = None
        if demands is not None:
            self._demand_schedule = DemandGossipSchedule(own_number, count, seed ^ DEMAND_SEED, now)
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._binding: asyncio.Task[None] | None = None
        self._closed = False

    @property
    def counts(self) -> MembershipCounters:
        """Datagrams and what became of them."""
        return self.membership.counts

    # Socket

    def start(self) -> None:
        """Begin to bind the address."""
        self._binding = self._loop.create_task(self._bind())

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
        """Take the socket that is bound."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer's port is closed: the datagram is lost, which the state machines notice."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Send no more: the socket is closed."""
        self._transport = None

    def close(self) -> None:
        """Close the socket, and free the address."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._binding is not None:
            self._binding.cancel()
        if self._transport is not None:
            self._transport.close()

    # Timer

    def _wake(self) -> None:
        """Do what is due, and set the timer for what is due next."""
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
        self._timer = self._loop.call_later(max(LEAST_WAIT_S, (due_us - now) / 1e6), self._wake)

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
        """Take in a datagram; one that is unreadable or not from its sender's own address is rejected."""
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
            self._handle(now, sender, message)
        self._wake()

    def _is_from(self, sender: int, address: tuple[str, int]) -> bool:
        """Whether a datagram is from another member, and from that member's own address.

        No member may speak for another by writing its number.
        """
        if sender >= len(self._peers) or sender == self._own_number:
            return False
        return self._peers[sender] == (address[0], address[1])

    def _handle(self, now: int, sender: int, message: Message) -> None:
        if isinstance(message, WarmStartRequest):
            self._answer(now, sender, message)
        elif isinstance(message, WarmStartResponse):
            if self.warm_start_client is not None:
                self._learn(now, sender, message, self.warm_start_client)
        elif isinstance(message, DemandGossip) and self._demands is not None:
            demands = decode_demands(message, len(self._demands()))
            self._post(PeerDemands(sender, demands))

    def _answer(self, now: int, requester: int, request: WarmStartRequest) -> None:
        observations, latencies = self._observations()
        for part in self._warm_start_server.respond(now, request, observations, latencies):
            self._send_message(requester, part)

    def _learn(self, now: int, sender: int, response: WarmStartResponse, client: WarmStartClient) -> None:
        if response.request_id not in client.requests:
            self.counts.rejected += 1
            return
        observations = client.handle(now, sender, response, self._start_times())
        self._post(ObservationsReceived(tuple(observations), decode_latencies(response.classes)))

    def _on_change(self, member: int, state: MemberState) -> None:
        log(f"peer {member}: {state.name.lower()}", kind="peer")
        self._post(FleetSizeChanged(self.membership.alive))

    # For operators

    def describe(self) -> list[str]:
        """Return a line for each member, then lines of what was sent and of the warm start."""
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
        """Return the exported metrics."""
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
