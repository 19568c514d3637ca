"""The world on a simulated clock: decision modules in this process, no sockets, the same records for the same
seed.

A gateway here is its `LoadBalancer` and what the real one does round it: pools of connections, time-outs, one
final answer for each call. Distances, handshakes and losses are the scenario's.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count

from sagetrack.lab.analysis.records import Records
from sagetrack.lab.model.scenario import Scenario, Trouble, platform_settings
from sagetrack.lab.model.server import Job, Result
from sagetrack.lab.model.world import GONE, Listed, Try, World
from sagetrack.peers.codec import Datagram, DemandGossip, WarmStartRequest, WarmStartResponse, decode, encode
from sagetrack.peers.demand_gossip import DemandGossipSchedule, demand_message, demands_from
from sagetrack.peers.membership import Membership
from sagetrack.peers.observation_codec import latencies_from
from sagetrack.peers.settings import MembershipSettings
from sagetrack.peers.warm_start import WarmStartClient, WarmStartServer
from sagetrack.policy.actions import Cancel, Fail, Reject, SendAttempt, SendToPeers, SetTimer
from sagetrack.policy.admission import AdmissionSettings
from sagetrack.policy.events import (
    AttemptEnded,
    EndpointList,
    Event,
    FleetSizeChanged,
    ListedServer,
    ListKind,
    ObservationsReceived,
    Outcome,
    PeerDemands,
    PeerMessage,
    RequestArrived,
    RequestCancelled,
    ServerStatus,
    TimerFired,
)
from sagetrack.policy.load_balancer import LoadBalancer
from sagetrack.policy.parsing import parse_settings
from sagetrack.policy.rate_limit import Rate

KEPT_US = 1_000_000  # between two writes of what a gateway knows
BASE_US = 1_000_000_000  # the gateways' clock at the run's begin: 0 would mean long ago
IDLE_SHARE = 0.8  # of a server's idle time that a connection is kept unused for
DRAIN_US = 30_000_000  # a run ends at the latest so long after its last arrival
STATUS = {"SERVING": ServerStatus.READY, "DRAINING": ServerStatus.DRAINING, "DELETED": ServerStatus.GONE}
OUTCOME = {
    Result.SERVED: Outcome.OK,
    Result.ERROR: Outcome.ERROR,
    Result.REJECTED: Outcome.REJECTED,
    Result.SPOILT: Outcome.ERROR,
    Result.RESET: Outcome.RESET,
}


def door_settings(scenario: Scenario) -> AdmissionSettings | None:
    """Fair queues and limits as a scenario has them."""
    door = scenario.door
    if not door.use:
        return None
    return AdmissionSettings(
        max_wait_fraction=door.patience,
        memory_bytes=int(door.memory_mb * 1024 * 1024),
        adaptive=door.adaptive,
        client_rate=Rate(door.client_per_s, 5.0) if door.client_per_s else None,
        tenant_rate=Rate(door.member_per_s, 10.0) if door.member_per_s else None,
    )


class Timer:
    """One planned call; cancelled ones are passed over when their time comes."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None] | None) -> None:
        self.call = call

    def cancel(self) -> None:
        self.call = None


class SimClock:
    """A heap of planned calls; those due at one time run in the order in which they were planned."""

    __slots__ = ("_heap", "_next", "_now_us")

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._next = count()
        self._now_us = 0

    def now_us(self) -> int:
        return self._now_us

    def at(self, time_us: int, call: Callable[[], None]) -> Timer:
        timer = Timer(call)
        heapq.heappush(self._heap, (max(time_us, self._now_us), next(self._next), timer))
        return timer

    def run(self, until: Callable[[], bool], end_us: Callable[[], int]) -> None:
        """Run what is planned until nothing is, a condition holds, or the end has come."""
        heap, pop = self._heap, heapq.heappop
        while heap:
            time_us, _, timer = pop(heap)
            call = timer.call
            if call is None:
                continue
            if time_us > end_us():
                return
            self._now_us = time_us
            call()
            if until():
                return


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a call."""

    number: int
    server: int
    sent_us: int
    timer: Timer | None = None
    written: bool = False
    ended: bool = False
    job: Job | None = None


@dataclass(slots=True, eq=False)
class Held:
    """A call that a gateway owes an answer, or whose attempts are not all over."""

    this: Try
    attempts: list[Attempt | None] = field(default_factory=list)
    out: int = 0
    closed: bool = False


class VirtualGateway:
    """One gateway process."""

    def __init__(self, fleet: VirtualGateways, number: int, seed: int) -> None:
        self.fleet, self.number = fleet, number
        self.world, self.clock = fleet.world, fleet.clock
        self.balancer = LoadBalancer(fleet.settings[number], seed)
        self.held: dict[str, Held] = {}
        self.idle: dict[int, list[int]] = {}  # by server: when each unused connection was last used
        self.dead = False
        self.node: VirtualNode | None = None
        if fleet.world.scenario.peers.use:
            self.node = VirtualNode(self, seed)

    def handle(self, event: Event) -> None:
        if self.dead:
            return
        for action in self.balancer.handle(self.clock.now_us() + BASE_US, event):
            match action:
                case SendAttempt():
                    self.send(action)
                case SetTimer():
                    timer = TimerFired(action.token)
                    self.clock.at(action.due_us - BASE_US, lambda e=timer: self.handle(e))  # type: ignore[misc]
                case Reject():
                    self.answer(action.request, "refused", action.retry_after_us)
                case Fail():
                    self.answer(action.request, "failed", 0)
                case Cancel():
                    self.cancel(action.request, action.attempt)
                case SendToPeers():
                    self.fleet.pass_on(self.number, action)
                case _:
                    pass

    # Calls

    def take(self, this: Try) -> None:
        self.held[this.call] = Held(this)
        kind = this.request.class_index
        left = this.sent_us + this.budget_us - self.clock.now_us()
        marks = self.world.scenario.clients.marks_retry and this.number > 1
        request = this.request
        key = request.key or int(request.id, 16)
        event = RequestArrived(this.call, kind, left, key, None, marks, request.member, client=request.client)
        self.handle(event)

    def leave(self, this: Try) -> None:
        held = self.held.get(this.call)
        if held is not None and not held.closed:
            self.close(held)
            self.handle(RequestCancelled(this.call))

    def answer(self, call: str, verdict: str, retry_after_us: int) -> None:
        held = self.held.get(call)
        if held is None or held.closed:
            return
        self.close(held)
        self.fleet.to_client(held.this, verdict, retry_after_us)

    def close(self, held: Held) -> None:
        held.closed = True
        if held.out == 0:
            self.held.pop(held.this.call, None)

    # Attempts

    def send(self, action: SendAttempt) -> None:
        held = self.held.get(action.request)
        if held is None:
            return
        number, now = len(held.attempts), self.clock.now_us()
        if held.closed or number >= self.world.scenario.gateways.max_attempts:
            held.attempts.append(None)
            event = AttemptEnded(action.request, number, action.server, Outcome.NOT_SENT, 0, held.closed)
            self.clock.at(now, lambda: self.handle(event))
            return
        attempt = Attempt(number, action.server, now)
        held.attempts.append(attempt)
        held.out += 1
        left = held.this.sent_us + held.this.budget_us - now
        wait = min(action.timeout_us, left) if action.timeout_us else left
        attempt.timer = self.clock.at(now + max(0, wait), lambda: self.time_out(held, attempt))
        way = self.fleet.distance_us(self.number, action.server)
        oldest = now - int(self.world.scenario.fleet.idle_s * 1e6 * IDLE_SHARE)
        pool = self.idle.setdefault(action.server, [])
        while pool:
            if pool.pop() >= oldest:
                self.clock.at(now + way, lambda: self.deliver(held, attempt, False))
                attempt.written = True
                return
        # A new connection: up after one round trip, or not.
        reachable = self.world.reaches(self.number, action.server)
        if not reachable or action.server in self.world.vanished:
            timeout = int(self.world.scenario.network.connect_timeout_ms * 1000)
            self.clock.at(now + timeout, lambda: self.end(held, attempt, Outcome.CONNECT_FAILED))
            return
        self.clock.at(now + 2 * way, lambda: self.connected(held, attempt, way))

    def connected(self, held: Held, attempt: Attempt, way: int) -> None:
        if attempt.ended:
            return
        if attempt.server not in self.world.servers:
            self.end(held, attempt, Outcome.CONNECT_FAILED)
            return
        attempt.written = True
        self.clock.at(self.clock.now_us() + way, lambda: self.deliver(held, attempt, True))

    def deliver(self, held: Held, attempt: Attempt, fresh: bool) -> None:
        """The attempt's last byte reaches its server."""
        if self.dead or (attempt.ended and not attempt.written):
            return
        world = self.world
        server = world.servers.get(attempt.server)
        if server is None:
            if attempt.server not in world.vanished:
                self.back(held, attempt, Outcome.RESET)
            return
        if not world.reaches(self.number, attempt.server):
            return  # it is lost, and nobody says so
        request = held.this.request
        work = request.work_us + (world.scenario.fleet.handshake_ms * 1000 if fresh else 0.0)
        job = Job(
            held.this.call,
            work,
            request.key,
            int(request.kind.window_ms * 1000),
            request.kind.scope,
            held.this.sent_us + held.this.budget_us,
            lambda job, result: self.served(held, attempt, result),
        )
        attempt.job = job
        if world.receive(server, job, self.number, attempt.sent_us) is Result.REJECTED:
            self.back(held, attempt, Outcome.REJECTED)
        elif attempt.ended:
            world.give_up(server, job)

    def served(self, held: Held, attempt: Attempt, result: Result) -> None:
        if not self.world.reaches(self.number, attempt.server):
            return
        self.back(held, attempt, OUTCOME[result])

    def back(self, held: Held, attempt: Attempt, outcome: Outcome) -> None:
        way = self.fleet.distance_us(self.number, attempt.server)
        self.clock.at(self.clock.now_us() + way, lambda: self.end(held, attempt, outcome))

    def time_out(self, held: Held, attempt: Attempt) -> None:
        if not attempt.ended:
            self.drop(attempt)
            self.end(held, attempt, Outcome.TIMEOUT if attempt.written else Outcome.CONNECT_FAILED)

    def cancel(self, call: str, number: int) -> None:
        held = self.held.get(call)
        attempt = held.attempts[number] if held is not None and number < len(held.attempts) else None
        if held is None or attempt is None or attempt.ended:
            return
        self.drop(attempt)
        self.clock.at(self.clock.now_us(), lambda: self.end(held, attempt, Outcome.CANCELLED))

    def drop(self, attempt: Attempt) -> None:
        """Close the connection of an attempt that is given up; its server learns of it a little later."""
        job = attempt.job
        if job is None:
            return
        given_up: Job = job
        way = self.fleet.distance_us(self.number, attempt.server)

        def learn() -> None:
            server = self.world.servers.get(attempt.server)
            if server is not None:
                self.world.give_up(server, given_up)

        self.clock.at(self.clock.now_us() + way, learn)

    def end(self, held: Held, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.ended or self.dead:
            return
        attempt.ended = True
        if attempt.timer is not None:
            attempt.timer.cancel()
        held.out -= 1
        now, call = self.clock.now_us(), held.this.call
        if outcome in (Outcome.OK, Outcome.REJECTED, Outcome.ERROR):
            self.idle.setdefault(attempt.server, []).append(now)
        if not held.closed and outcome is Outcome.OK:
            self.close(held)
            self.fleet.to_client(held.this, "served", 0)
        elif held.closed and held.out == 0:
            self.held.pop(call, None)
        latency = now - attempt.sent_us
        self.handle(AttemptEnded(call, attempt.number, attempt.server, outcome, latency, held.closed))


class VirtualNode:
    """What a gateway tells the others and hears from them: the real state machines on the simulated clock."""

    def __init__(self, gateway: VirtualGateway, seed: int) -> None:
        self.gateway, self.clock = gateway, gateway.clock
        peers = gateway.world.scenario.peers
        count = gateway.world.scenario.fleet.gateways
        now = self.clock.now_us()
        settings = MembershipSettings(period_us=int(peers.period_ms * 1000))
        self.membership = Membership(
            gateway.number, count, settings, seed, now, self.send, 1 + now // 1_000_000
        )
        self.membership.on_change = lambda member, state: gateway.handle(
            FleetSizeChanged(self.membership.alive)
        )
        others = [number for number in range(count) if number != gateway.number]
        warm = peers.warm_start and now > 0  # nobody knows anything at the begin of a run
        self.warm_start_client = WarmStartClient(others, seed ^ 1, now, self.ask) if warm else None
        self.warm_start_server = WarmStartServer(now)
        self.demand_schedule = (
            DemandGossipSchedule(gateway.number, count, seed ^ 2, now) if gateway.balancer.admission else None
        )
        self.planned_us = -1
        self.clock.at(now, self.wake)

    def send(self, target: int, datagram: Datagram) -> None:
        if not self.gateway.dead:
            self.membership.counts.sent += 1
            data = encode(datagram)
            self.membership.counts.sent_bytes += len(data)
            self.gateway.fleet.carry(self.gateway.number, target, data)

    def ask(self, target: int, ask: WarmStartRequest) -> None:
        self.send(target, Datagram(self.gateway.number, self.membership.incarnation, [ask]))

    def wake(self) -> None:
        if self.gateway.dead:
            return
        now = self.clock.now_us()
        self.membership.tick(now)
        due = self.membership.next_us()
        if self.warm_start_client is not None and not self.warm_start_client.is_finished:
            self.warm_start_client.tick(now)
            due = min(due, self.warm_start_client.due_us)
        door = self.gateway.balancer.admission
        if self.demand_schedule is not None and door is not None:
            for target in self.demand_schedule.targets(now):
                if (message := demand_message(door.local_demands(now + BASE_US))) is not None:
                    self.send(target, Datagram(self.gateway.number, self.membership.incarnation, [message]))
            due = min(due, self.demand_schedule.due_us)
        if due != self.planned_us:
            self.planned_us = due
            self.clock.at(max(due, now + 1000), lambda: self.wake_at(due))

    def wake_at(self, due_us: int) -> None:
        if self.planned_us == due_us:
            self.planned_us = -1
            self.wake()

    def hear(self, data: bytes) -> None:
        now, gateway = self.clock.now_us(), self.gateway
        datagram = decode(data)
        self.membership.handle(now, datagram)
        for message in datagram.messages:
            if isinstance(message, WarmStartRequest):
                sights, latencies = gateway.balancer.own_observations()
                for part in self.warm_start_server.answer(now + BASE_US, message, sights, latencies):
                    self.send(datagram.sender, Datagram(gateway.number, self.membership.incarnation, [part]))
            elif isinstance(message, WarmStartResponse) and self.warm_start_client is not None:
                lives = {n: s.entry.started_us for n, s in gateway.balancer.servers.items()}
                found = self.warm_start_client.handle(now + BASE_US, datagram.sender, message, lives)
                gateway.handle(ObservationsReceived(tuple(found), latencies_from(message.classes)))
            elif isinstance(message, DemandGossip) and gateway.balancer.admission is not None:
                members = len(gateway.balancer.admission.shares)
                gateway.handle(PeerDemands(datagram.sender, demands_from(message, members)))
        self.wake()


class VirtualGateways:
    """All gateways of a run, and the ways to and from them."""

    def __init__(
        self, world: World, clock: SimClock, make: Callable[..., VirtualGateway] = VirtualGateway
    ) -> None:
        self.world, self.clock, self.make = world, clock, make
        scenario = world.scenario
        import json

        door = door_settings(scenario)
        self.settings = [
            replace(parse_settings(json.dumps(platform_settings(scenario, number))), admission=door)
            for number in range(scenario.fleet.gateways)
        ]
        self.draw = random.Random(f"{world.seed}/net")
        self.up: dict[int, VirtualGateway] = {}
        self.lists: dict[int, list[Listed]] = {}  # as each gateway last had it
        self.lives = 0
        self.kept: dict[int, ObservationsReceived] = {}  # by gateway: what is in its store

    def _start(self, number: int) -> None:
        self.lives += 1
        seed = random.Random(f"{self.world.seed}/{number}/{self.lives}").getrandbits(64)
        gateway = self.make(self, number, seed)
        self.up[number] = gateway
        gateway.handle(EndpointList(ListKind.DISK, self._listed(number, self.lists[number])))
        if self.world.scenario.store.use:
            if number in self.kept:
                gateway.handle(self.kept[number])
            self.keep(gateway)

    def keep(self, gateway: VirtualGateway) -> None:
        """Once a second what a gateway knows goes into its store, as long as it lives."""
        if gateway.dead:
            return
        sights, latencies = gateway.balancer.own_observations()
        if sights:
            self.kept[gateway.number] = ObservationsReceived(tuple(sights), tuple(latencies))
        self.clock.at(self.clock.now_us() + KEPT_US, lambda: self.keep(gateway))

    def _listed(self, gateway: int, entries: list[Listed]) -> tuple[ListedServer, ...]:
        return tuple(
            ListedServer(
                entry.server,
                STATUS[entry.status],
                1.0,
                entry.zone,
                entry.rack,
                0,
                since + BASE_US if (since := self.world.since_us(gateway, entry)) else 0,
            )
            for entry in entries
        )

    def start(self) -> None:
        for number in range(self.world.scenario.fleet.gateways):
            self.lists[number] = self.world.known()
            self._start(number)

    def ask(self, this: Try) -> None:
        def arrive() -> None:
            gateway = self.up.get(this.gateway)
            if gateway is None:
                self.to_client(this, "unreachable", 0)
            else:
                gateway.take(this)

        self.clock.at(self.clock.now_us() + self._client_us(), arrive)

    def leave(self, this: Try) -> None:
        gateway = self.up.get(this.gateway)
        if gateway is not None:
            gateway.leave(this)

    def to_client(self, this: Try, verdict: str, retry_after_us: int) -> None:
        due = self.clock.now_us() + self._client_us()
        self.clock.at(due, lambda: self.world.on_answer(this, verdict, retry_after_us))

    def tell(self, gateway: int, entries: list[Listed], whole: bool) -> None:
        self.world.told(gateway, entries)
        known = {entry.server: entry for entry in self.lists[gateway]}
        for entry in entries:
            if entry.status == GONE:
                known.pop(entry.server, None)
            else:
                known[entry.server] = entry
        self.lists[gateway] = list(known.values())
        kind = ListKind.FULL if whole else ListKind.DELTA
        if gateway in self.up:
            self.up[gateway].handle(EndpointList(kind, self._listed(gateway, entries)))

    def kill(self, gateway: int) -> None:
        dead = self.up.pop(gateway)
        dead.dead = True
        for held in dead.held.values():
            if not held.closed:
                self.to_client(held.this, "broken", 0)

    def revive(self, gateway: int) -> None:
        self._start(gateway)
        self.world.revived(gateway)
        whole = self.world.known()
        self.tell(gateway, whole, True)

    def upgrade(self, gateway: int) -> None:
        """The old process keeps what it has taken; what comes is for the new one, which has the list."""
        self._start(gateway)

    def special(self, trouble: Trouble, on: bool) -> None:
        if trouble.kind == "reload" and on:
            for gateway in self.up:
                self.tell(gateway, self.world.known(), True)

    def pass_on(self, sender: int, action: SendToPeers) -> None:
        """A datagram from one gateway to another, or to all of them; it may be late or lost."""
        network = self.world.scenario.network
        for number in self.up if action.peer < 0 else [action.peer]:
            if number == sender or self.draw.random() < network.peer_loss:
                continue
            due = self.clock.now_us() + int(self.draw.uniform(*network.peer_ms) * 1000)
            event = PeerMessage(sender, action.payload)
            self.clock.at(due, lambda n=number, e=event: self._hear(n, e))  # type: ignore[misc]

    def carry(self, sender: int, target: int, data: bytes) -> None:
        """A datagram of the gateways' own protocol; partitions by zone cut it too."""
        world, network = self.world, self.world.scenario.network
        if self.draw.random() < network.peer_loss or not world.peers_reach(sender, target):
            return
        due = self.clock.now_us() + int(self.draw.uniform(*network.peer_ms) * 1000)

        def arrive() -> None:
            gateway = self.up.get(target)
            if gateway is not None and gateway.node is not None:
                gateway.node.hear(data)

        self.clock.at(due, arrive)

    def _hear(self, number: int, event: PeerMessage) -> None:
        if number in self.up:
            self.up[number].handle(event)

    def _client_us(self) -> int:
        network = self.world.scenario.network
        return int(network.client_ms * 1000 * (1.0 + network.jitter * self.draw.random()))

    def distance_us(self, gateway: int, server: int) -> int:
        """One way between a gateway and a server."""
        network = self.world.scenario.network
        there = self.world.roster.entries.get(server)
        zones = len(self.world.scenario.fleet.zones)
        near = there is None or there.zone == gateway % zones
        base = network.same_ms if near else network.cross_ms
        return int(base * 1000 * (1.0 + network.jitter * self.draw.random()))


def play(
    scenario: Scenario,
    seed: int,
    progress: Callable[[float], None] | None = None,
    sample_s: float = 0.0,
    fault: str = "",
    fleet: Callable[..., VirtualGateways] = VirtualGateways,
) -> Records:
    """Play a scenario in virtual time; the same records, byte for byte, for the same scenario and seed.

    `progress` is told the share of the run that is over. With `sample_s`, each server's load is recorded that
    often. `fleet` makes the gateways from the world, the clock and what makes one of them.
    """
    if scenario.dns.rate:
        raise ValueError(f"{scenario.name}: DNS is played in real time only")
    clock, records = SimClock(), Records()
    world = World(scenario, seed, clock, records)
    records.header["driver"] = "virtual"
    make: Callable[..., VirtualGateway] = VirtualGateway
    if fault:
        from sagetrack.lab.virtual.faulty_gateways import maker

        make = maker(fault)
        records.header["fault"] = fault
    gateways = fleet(world, clock, make)
    world.gateways = gateways
    world.prepare()
    gateways.start()
    world.begin()
    whole = int(scenario.seconds * 1e6)
    if progress is not None:
        tell = progress

        def report() -> None:
            tell(min(1.0, clock.now_us() / whole))
            if clock.now_us() < whole:
                clock.at(clock.now_us() + max(1, whole // 200), report)

        clock.at(0, report)
    if sample_s:

        def sample() -> None:
            for server in world.servers.values():
                jammed = server.choked_since_us is not None
                records.add("load", clock.now_us(), server.number, server.held, len(server.running), jammed)
            if clock.now_us() < whole:
                clock.at(clock.now_us() + int(sample_s * 1e6), sample)

        clock.at(0, sample)
    longest = max((int((t.at_s + t.seconds) * 1e6) for t in scenario.troubles), default=0)
    end = max(whole, min(longest, whole)) + DRAIN_US
    requests = _Open(records)
    clock.run(lambda: world.arrivals_over and requests.none_left(world), lambda: end)
    return records


class _Open:
    """Whether all requests are over, without counting at each event."""

    def __init__(self, records: Records) -> None:
        self.records = records
        self.looked = 0

    def none_left(self, world: World) -> bool:
        self.looked += 1
        if self.looked % 256 or world.tries:
            return False
        return sum(1 for row in self.records.rows if row[0] == "request") >= world.count
