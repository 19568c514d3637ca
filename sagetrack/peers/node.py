"""This gateway among the others: the socket round the state machines of membership and warm start."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from typing import cast

from sagetrack.config.platform import Address
from sagetrack.core.clock import now_us
from sagetrack.core.log import log
from sagetrack.peers.codec import Ask, CodecError, Datagram, Tell, Wanted, decode, encode
from sagetrack.peers.demand_gossip import Herald, demands_in, wanted
from sagetrack.peers.membership import Counts, Membership, Settings, State
from sagetrack.peers.warm_start import Asker, Teller, latencies_from
from sagetrack.policy.events import Event, FleetSizeChanged, ObservationsReceived, PeerDemands
from sagetrack.policy.peer_observations import ClassLatency, Observation

BIND_AGAIN_S = 0.5  # while an older process of this gateway holds the address
LEAST_WAIT_S = 0.005
READ_LIMIT = 2048

Sights = Callable[[], tuple[list[Observation], list[ClassLatency]]]


class Node(asyncio.DatagramProtocol):
    """Made on a running loop; `start` binds, and goes on trying while the address is held by another."""

    def __init__(
        self,
        me: int,
        listen: Address,
        peers: Sequence[Address],
        settings: Settings,
        seed: int,
        post: Callable[[Event], None],
        sights: Sights,
        lives: Callable[[], dict[int, int]],
        warm: bool = True,
        demands: Callable[[], list[float]] | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.me, self.listen, self.peers = me, listen, list(peers)
        self.post, self.sights, self.lives = post, sights, lives
        now = now_us()
        self.machine = Membership(
            me, len(self.peers), settings, seed, now, self.send, incarnation=now // 1_000_000
        )
        self.machine.on_change = self.on_change
        others = [number for number in range(len(self.peers)) if number != me]
        self.asker = Asker(me, others, seed ^ 0x5A5A, now, self.ask) if warm and others else None
        self.teller = Teller(now)
        self.demands = demands  # of members, where fair queues are on
        self.herald = Herald(me, len(self.peers), seed ^ 0xA5, now) if demands is not None else None
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.binding: asyncio.Task[None] | None = None
        self.closed = False

    @property
    def counts(self) -> Counts:
        return self.machine.counts

    # Socket

    def start(self) -> None:
        self.binding = self.loop.create_task(self.bind())

    async def bind(self) -> None:
        told = False
        while not self.closed:
            family = socket.AF_INET6 if ":" in self.listen[0] else socket.AF_INET
            try:
                await self.loop.create_datagram_endpoint(lambda: self, self.listen, family=family)
                self.wake()
                return
            except OSError as error:
                if not told:
                    told = True
                    log(f"peers: {self.listen[0]}:{self.listen[1]} cannot be had yet: {error.strerror}")
                await asyncio.sleep(BIND_AGAIN_S)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """A port that nobody listens at: what is lost is lost, and the machines find out."""

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.binding is not None:
            self.binding.cancel()
        if self.transport is not None:
            self.transport.close()

    # Time

    def wake(self) -> None:
        """Do what is due, and be called again when more is."""
        if self.closed or self.transport is None:
            return
        if self.timer is not None:
            self.timer.cancel()
        now = now_us()
        self.machine.tick(now)
        due = self.machine.next_us()
        if self.asker is not None and not self.asker.is_over:
            self.asker.tick(now)
            due = min(due, self.asker.due_us)
        if self.herald is not None and self.demands is not None:
            whom = self.herald.whom(now)
            message = wanted(self.demands()) if whom else None
            for target in whom if message is not None else ():
                assert message is not None
                self.send(target, Datagram(self.me, self.machine.incarnation, [message]))
            due = min(due, self.herald.due_us)
        self.timer = self.loop.call_later(max(LEAST_WAIT_S, (due - now) / 1e6), self.wake)

    # Messages

    def send(self, target: int, datagram: Datagram) -> None:
        if self.transport is None:
            return
        data = encode(datagram)
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        self.transport.sendto(data, self.peers[target])

    def ask(self, target: int, ask: Ask) -> None:
        self.send(target, Datagram(self.me, self.machine.incarnation, [ask]))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.counts.received += 1
        self.counts.received_bytes += len(data)
        try:
            datagram = decode(data)
        except CodecError:
            self.counts.rejected += 1
            return
        sender = datagram.sender
        # From its own address only: nobody speaks for another by writing its number.
        if sender >= len(self.peers) or sender == self.me or self.peers[sender] != (addr[0], addr[1]):
            self.counts.rejected += 1
            return
        now = now_us()
        self.machine.handle(now, datagram)
        for message in datagram.messages:
            if isinstance(message, Ask):
                self.tell(now, sender, message)
            elif isinstance(message, Tell) and self.asker is not None:
                self.learn(now, sender, message)
            elif isinstance(message, Wanted) and self.demands is not None:
                found = demands_in(message, len(self.demands()))
                self.post(PeerDemands(sender, found))
        self.wake()

    def tell(self, now: int, asker: int, ask: Ask) -> None:
        sights, latencies = self.sights()
        for part in self.teller.answer(now, ask, sights, latencies):
            self.send(asker, Datagram(self.me, self.machine.incarnation, [part]))

    def learn(self, now: int, sender: int, tell: Tell) -> None:
        assert self.asker is not None
        if tell.number not in self.asker.numbers:
            self.counts.rejected += 1
            return
        sights = self.asker.handle(now, sender, tell, self.lives())
        self.post(ObservationsReceived(tuple(sights), latencies_from(tell.classes)))

    def on_change(self, member: int, state: State) -> None:
        log(f"peer {member}: {state.name.lower()}", kind="peer")
        self.post(FleetSizeChanged(self.machine.alive))

    # For operators

    def describe(self) -> list[str]:
        """A line for each member, then what was sent and learnt."""
        now = now_us()
        lines = [f"member {self.me} {self.peers[self.me][0]}:{self.peers[self.me][1]} self"]
        for number, peer in sorted(self.machine.peers.items()):
            host, port = self.peers[number]
            since_s = (now - peer.since_us) / 1e6
            lines.append(f"member {number} {host}:{port} {peer.state.name.lower()} since {since_s:.1f} s")
        c = self.counts
        lines.append(
            f"datagrams sent {c.sent} ({c.sent_bytes} bytes), "
            f"received {c.received} ({c.received_bytes} bytes), "
            f"rejected {c.rejected}, held back {c.held_back + self.teller.held_back}, "
            f"pings unanswered {c.unanswered}, refuted {c.refuted}"
        )
        taken = self.asker.taken if self.asker is not None else None
        if taken is None or not taken.sights:
            lines.append("taken over at the start: nothing")
        else:
            lines.append(
                f"taken over at the start: {taken.sights} sights from {taken.peers} whole answers within "
                f"{taken.done_us / 1e6:.2f} s, "
                f"{taken.youngest_us / 1e6:.1f} to {taken.oldest_us / 1e6:.1f} s old"
            )
        return lines

    def figures(self) -> dict[str, int]:
        """For the stats."""
        c, machine = self.counts, self.machine
        return {
            "peers_alive": machine.alive,
            "peers_suspect": len(machine.members(State.SUSPECT)),
            "peers_dead": len(machine.members(State.DEAD)),
            "peer_datagrams_sent_total": c.sent,
            "peer_bytes_sent_total": c.sent_bytes,
            "peer_datagrams_rejected_total": c.rejected,
            "peer_pings_unanswered_total": c.unanswered,
            "peer_sights_taken": self.asker.taken.sights if self.asker is not None else 0,
        }
