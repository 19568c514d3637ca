"""The fleet and its surroundings, on whatever clock: servers, roster, members' clients, troubles, records.

One world, two drivers. `virtual` plays it on a simulated clock round decision modules in this process; `real`
plays it in real time round gateway processes, over sockets. What differs is behind `Clock` and `Gateways`.
"""

from __future__ import annotations

import math
import random
from bisect import bisect
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate, pairwise
from typing import Protocol

from sagetrack.lab.analysis.records import Records
from sagetrack.lab.model.scenario import ANSWER_SLACK_US, RequestKind, Scenario, Trouble
from sagetrack.lab.model.server import Job, Keys, Result, Server

READY, DRAINING, GONE = "SERVING", "DRAINING", "DELETED"
LATE_US = 50_000  # a client that starts later than this past its time counts as late


class Handle(Protocol):
    def cancel(self) -> None: ...


class Clock(Protocol):
    """Microseconds since the run began."""

    def now_us(self) -> int: ...

    def at(self, time_us: int, call: Callable[[], None]) -> Handle: ...


@dataclass(slots=True)
class Listed:
    """One server as the roster lists it."""

    server: int
    zone: int
    rack: int
    status: str = READY
    since_us: int = 0  # 0: long ago


@dataclass(slots=True, eq=False)
class Try:
    """One request on the wire: a client's try."""

    call: str
    request: Request
    number: int
    gateway: int
    budget_us: int
    sent_us: int
    over: bool = False
    connection: object = None  # the driver's


@dataclass(slots=True, eq=False)
class Request:
    """What a client wants, over all its tries."""

    id: str
    kind: RequestKind
    class_index: int
    member: int
    zone: int
    key: int | None
    work_us: float
    asked_us: int
    honours: bool
    keeps: bool
    client: int = 0  # within its member, from 1; 0: nobody knows
    tries: int = 0
    done: bool = False


class ClientDraw:
    """Draws clients of a member, by Zipf's law where their loads differ."""

    def __init__(self, count: int, skew: float) -> None:
        self.count = count
        self.sums = list(accumulate((rank + 1) ** -skew for rank in range(count))) if skew else []

    def draw(self, draw: random.Random) -> int:
        """From 1; 0 where nobody tells clients apart. Costs the logarithm of their number."""
        if not self.count:
            return 0
        if not self.sums:
            return draw.randrange(self.count) + 1
        return bisect(self.sums, draw.random() * self.sums[-1]) + 1


class Gateways(Protocol):
    """The gateways, as the driver has them."""

    def start(self) -> None:
        """Bring all up."""
        ...

    def ask(self, this: Try) -> None:
        """Send a client's try; `World.on_answer` is called once, or never."""
        ...

    def leave(self, this: Try) -> None:
        """The client waits no longer."""
        ...

    def tell(self, gateway: int, entries: list[Listed], whole: bool) -> None:
        """The roster tells a gateway."""
        ...

    def kill(self, gateway: int) -> None: ...

    def revive(self, gateway: int) -> None:
        """Start it again, with the list that it last had."""
        ...

    def upgrade(self, gateway: int) -> None:
        """Replace it by a new process while it runs."""
        ...

    def special(self, trouble: Trouble, on: bool) -> None:
        """Troubles of sockets; nothing, where there are none."""
        ...


@dataclass(slots=True)
class EndpointSource:
    """What discovery knows, and what each gateway was told."""

    entries: dict[int, Listed] = field(default_factory=dict)
    down: bool = False
    unsent: dict[int, list[int]] = field(default_factory=dict)  # by gateway: servers to tell of


class World:
    """One run's world. Made with a seed: all that is drawn follows from it alone."""

    def __init__(self, scenario: Scenario, seed: int, clock: Clock, records: Records) -> None:
        self.scenario, self.seed, self.clock, self.records = scenario, seed, clock, records
        self.gateways: Gateways  # set by the driver
        self.draw_fleet = random.Random(f"{seed}/fleet")
        self.draw_load = random.Random(f"{seed}/load")
        self.draw_trouble = random.Random(f"{seed}/trouble")
        self.draw_client = random.Random(f"{seed}/client")
        self.draw_peers = random.Random(f"{seed}/peers")
        self.servers: dict[int, Server] = {}
        self.newer: set[int] = set()  # servers that speak the newer format
        self.roster = EndpointSource()
        self.next_server = 1
        self.keys: dict[str, Keys] = {"all": Keys()}
        self.wakes: dict[int, tuple[int, Handle]] = {}
        self.alive = dict.fromkeys(range(scenario.fleet.gateways), True)  # as they are
        self.believed = dict(self.alive)  # as the front believes
        self.tries: dict[str, Try] = {}
        self.count = 0
        self.burst = 1.0
        self.rate_per_us = scenario.rate / 1e6
        self.next_arrival_us = 0.0
        self.arrivals_over = False
        self.on_server: Callable[[Server], None] = lambda server: None  # a server has come
        self.on_server_gone: Callable[[int], None] = lambda number: None
        self.cut: list[tuple[frozenset[int], frozenset[int]]] = []  # gateways that do not reach servers
        self.vanished: set[int] = set()  # servers that say nothing, and refuse nothing
        self.skew_us: dict[int, int] = {}  # by gateway: how far its clock is behind
        self.spoilt = 0.0  # share of answers
        self.resets = 0.0
        self.on_progress: Callable[[int], None] = lambda now_us: None
        total = sum(k.share for k in scenario.classes)
        self.class_shares = [k.share / total for k in scenario.classes]
        asks = [m.asks or m.share for m in scenario.members]
        self.member_shares = [part / sum(asks) for part in asks]
        self.draw_who = random.Random(f"{seed}/who")
        self.clients = [ClientDraw(m.clients, m.skew) for m in scenario.members]
        self.jumps = [t for t in scenario.troubles if t.kind == "burst" and t.member]
        racks = max(1, math.ceil(scenario.fleet.servers / scenario.fleet.rack_size))
        self.racks = racks
        records.header = {"scenario": scenario.name, "seed": seed}

    # Set-up

    def prepare(self) -> None:
        """Stand up the warm fleet, and list it."""
        for number in range(self.scenario.fleet.servers):
            rack = number % self.racks
            share = self.scenario.fleet.new_share
            newer = int((number + 1) * share) > int(number * share)
            zone = number % len(self.scenario.fleet.zones)
            self._add_server(zone=zone, rack=rack, cold=False, newer=newer)
        for server in self.servers.values():
            self.roster.entries[server.number] = Listed(server.number, server.zone, server.rack)
            for gateway in self.alive:
                self.records.add("told", 0, gateway, server.number, READY)
        for gateway in self.alive:
            self.records.add("gateway", 0, gateway, "up")

    def begin(self) -> None:
        """Let the load and the troubles come."""
        self._plan_arrival()
        for trouble in self.scenario.troubles:
            self.clock.at(int(trouble.at_s * 1e6), lambda t=trouble: self._begin_trouble(t))  # type: ignore[misc]

    def known(self) -> list[Listed]:
        """The roster's list as it stands."""
        return list(self.roster.entries.values())

    # Servers

    def _add_server(self, zone: int, rack: int, cold: bool, newer: bool = False) -> Server:
        fleet, now = self.scenario.fleet, self.clock.now_us()
        number, self.next_server = self.next_server, self.next_server + 1
        keys = {
            "all": self.keys["all"],
            "zone": self.keys.setdefault(f"zone {zone}", Keys()),
            "rack": self.keys.setdefault(f"rack {rack}", Keys()),
        }
        speed = self.draw_fleet.uniform(*fleet.speed)
        server = Server(
            number,
            fleet,
            zone,
            rack,
            speed,
            now,
            cold,
            keys,
            lambda job, effect: self.records.add(
                "run", self.clock.now_us(), job.call, number, job.key, int(effect)
            ),
        )
        self.servers[number] = server
        if newer:
            self.newer.add(number)
        self.records.add("start", now, number, zone, rack, int(cold), round(speed * fleet.cores, 6))
        self.on_server(server)
        return server

    def receive(
        self, server: Server, job: Job, gateway: int, sent_us: int, from_call: Try | None = None
    ) -> Result | None:
        """A server has got the last byte of an attempt."""
        now = self.clock.now_us()
        answer = server.receive(now, job)
        if server.silent:
            verdict = "lost"
        elif answer is Result.REJECTED or server.down:
            verdict = "rejected"
        else:
            verdict = "taken"
        self.records.add("recv", now, job.call, server.number, gateway, verdict, round(job.work_us), sent_us)
        if server.down and not server.silent and server.number in self.servers:
            self.lose_server(server, "fell")
        if verdict == "taken":
            job.result = self._fate()
        self.wake(server)
        return answer

    def _fate(self) -> Result:
        fleet = self.scenario.fleet
        if not (fleet.error_share or self.spoilt or self.resets):
            return Result.SERVED
        point = self.draw_client.random()
        for share, result in (
            (fleet.error_share, Result.ERROR),
            (self.spoilt, Result.SPOILT),
            (self.resets, Result.RESET),
        ):
            if point < share:
                return result
            point -= share
        return Result.SERVED

    def give_up(self, server: Server, job: Job) -> None:
        """A gateway has given up an attempt."""
        server.give_up(self.clock.now_us(), job)
        self.wake(server)

    def wake(self, server: Server) -> None:
        """See that the server is asked again when something falls due there."""
        due = server.next_us()
        planned = self.wakes.get(server.number)
        if planned is not None:
            if due is not None and planned[0] == due:
                return
            planned[1].cancel()
            del self.wakes[server.number]
        if due is not None:
            self.wakes[server.number] = (due, self.clock.at(due, lambda: self._woken(server)))

    def _woken(self, server: Server) -> None:
        self.wakes.pop(server.number, None)
        server.advance(self.clock.now_us())
        self.wake(server)

    def lose_server(self, server: Server, how: str) -> None:
        """A server has ended without a word: the roster finds out."""
        now = self.clock.now_us()
        if self.servers.pop(server.number, None) is None:
            return
        self.records.add("stop", now, server.number, how)
        self.on_server_gone(server.number)
        wait = self._delay(
            self.scenario.discovery.silent_s if how == "vanished" else self.scenario.discovery.delay_s
        )
        self.clock.at(now + wait, lambda: self.publish(server.number, GONE))

    # The roster

    def _delay(self, span: tuple[float, float]) -> int:
        return int(self.draw_fleet.uniform(*span) * 1e6)

    def publish(self, number: int, status: str, since_us: int = 0, zone: int = 0, rack: int = 0) -> None:
        """The roster's list changes; every gateway hears of it a little later."""
        entry = self.roster.entries.get(number)
        if status == GONE:
            if entry is None:
                return
            del self.roster.entries[number]
            entry = Listed(number, entry.zone, entry.rack, GONE, entry.since_us)
        elif entry is None:
            entry = self.roster.entries[number] = Listed(number, zone, rack, status, since_us)
        else:
            entry.status = status
        told = Listed(entry.server, entry.zone, entry.rack, status, entry.since_us)
        for gateway in self.alive:
            spread = int(self.draw_fleet.uniform(0, self.scenario.discovery.spread_ms) * 1000)
            self.clock.at(self.clock.now_us() + spread, lambda g=gateway: self._tell(g, told))  # type: ignore[misc]

    def _tell(self, gateway: int, entry: Listed) -> None:
        if self.roster.down:
            self.roster.unsent.setdefault(gateway, []).append(entry.server)
            return
        if self.alive[gateway]:
            self.gateways.tell(gateway, [entry], False)

    def since_us(self, gateway: int, entry: Listed) -> int:
        """When a server started, by the clock of this gateway; 0 for long ago."""
        return max(1, entry.since_us + self.skew_us.get(gateway, 0)) if entry.since_us else 0

    def told(self, gateway: int, entries: list[Listed]) -> None:
        """A driver has written entries to a gateway."""
        now = self.clock.now_us()
        for entry in entries:
            self.records.add("told", now, gateway, entry.server, entry.status)

    # The load

    def _factor(self, time_s: float) -> float:
        """Times the rate, by the curve: straight lines between its points."""
        curve = self.scenario.load.curve
        if not curve:
            return 1.0
        if time_s <= curve[0][0]:
            return curve[0][1]
        for (t0, f0), (t1, f1) in pairwise(curve):
            if t0 <= time_s <= t1:
                return f0 + (f1 - f0) * (time_s - t0) / (t1 - t0) if t1 > t0 else f1
        return curve[-1][1]

    def _plan_arrival(self) -> None:
        """Draw the next arrival: a Poisson process at the highest rate, thinned (Lewis and Shedler, 1979)."""
        scenario = self.scenario
        most = max((factor for _, factor in scenario.load.curve), default=1.0)
        bursts = [t for t in scenario.troubles if t.kind == "burst" and not t.member]
        most *= max((t.size for t in bursts), default=1.0)
        jump = max((sum(self._asking(int(t.at_s * 1e6))) for t in self.jumps), default=1.0)
        most *= max(1.0, jump)
        end = scenario.seconds * 1e6
        if most <= 0:
            self.arrivals_over = True
            return
        time_us = self.next_arrival_us
        while True:
            time_us += self.draw_load.expovariate(self.rate_per_us * most)
            if time_us >= end:
                self.arrivals_over = True
                return
            second = time_us / 1e6
            now = self._factor(second)
            now *= max((t.size for t in bursts if t.at_s <= second < t.at_s + t.seconds), default=1.0)
            now *= sum(self._asking(int(time_us))) if self.jumps else 1.0
            if self.draw_load.random() * most < now:
                break
        self.next_arrival_us = time_us
        due = int(time_us)
        self.clock.at(due, lambda: self._arrive(due))

    def _asking(self, time_us: int) -> list[float]:
        """What each member asks for, as a share of the usual load of all."""
        second = time_us / 1e6
        return [
            share
            * max(
                (t.size for t in self.jumps if t.member == m.name and t.at_s <= second < t.at_s + t.seconds),
                default=1.0,
            )
            for share, m in zip(self.member_shares, self.scenario.members, strict=True)
        ]

    def _arrive(self, due_us: int) -> None:
        draw, scenario = self.draw_load, self.scenario
        now = self.clock.now_us()
        if now - due_us > LATE_US:
            self.records.add("late", now, now - due_us)
        self.count += 1
        class_index = draw.choices(range(len(self.class_shares)), self.class_shares)[0]
        kind = scenario.classes[class_index]
        shares = self._asking(due_us) if self.jumps else self.member_shares
        member = draw.choices(range(len(shares)), shares)[0]
        who = scenario.members[member]
        if who.kind:
            class_index = next(n for n, k in enumerate(scenario.classes) if k.name == who.kind)
            kind = scenario.classes[class_index]
        deviation = math.sqrt(math.log(1.0 + kind.spread**2))
        work = kind.work_ms * 1000 * math.exp(draw.gauss(-(deviation**2) / 2, deviation))
        key = draw.getrandbits(53) if kind.effect == "keyed" else None
        zone = draw.randrange(len(scenario.fleet.zones))
        request = Request(
            f"{self.count:x}",
            kind,
            class_index,
            member,
            zone,
            key,
            work,
            due_us,
            draw.random() < (scenario.clients.honour if who.honour is None else who.honour),
            draw.random() < scenario.clients.keep,
            self.count if who.once else self.clients[member].draw(self.draw_who),
        )
        self._send_try(request)
        self._plan_arrival()

    def _send_try(self, request: Request) -> None:
        now = self.clock.now_us()
        left = request.asked_us + int(request.kind.deadline_ms * 1000) - now
        budget = min(left, int(request.kind.deadline_ms * 1000 * self.scenario.clients.try_share))
        if budget < 1000:
            self._finish(request, "unanswered", now)
            return
        request.tries += 1
        gateway = self._choose_gateway(request)
        this = Try(f"{request.id}-{request.tries:x}", request, request.tries, gateway, budget, now)
        self.tries[this.call] = this
        self.records.add(
            "ask",
            now,
            this.call,
            gateway,
            request.class_index,
            request.member,
            budget,
            request.key,
            request.id,
            this.number,
        )
        if request.client:
            self.records.add("client", now, request.id, request.client)
        # The platform lets a final answer be this late: until then a client listens.
        self.clock.at(now + budget + ANSWER_SLACK_US, lambda: self._time_out(this))
        self.gateways.ask(this)

    def _choose_gateway(self, request: Request) -> int:
        """The front deals out a zone's clients over its gateways that it believes to be up."""
        zones = len(self.scenario.fleet.zones)
        up = [gateway for gateway, believed in self.believed.items() if believed]
        near = [gateway for gateway in up if gateway % zones == request.zone]
        return self.draw_client.choice(near or up or list(self.believed))

    def _time_out(self, this: Try) -> None:
        if this.over:
            return
        this.over = True
        del self.tries[this.call]
        self.records.add("gone", self.clock.now_us(), this.call, this.gateway)
        self.gateways.leave(this)
        self._again(this, "unanswered", 0)

    def on_answer(self, this: Try, verdict: str, retry_after_us: int = 0) -> None:
        """A client has an answer, or sees that its connection broke; every one is recorded."""
        now = self.clock.now_us()
        self.records.add("answer", now, this.call, this.gateway, verdict, retry_after_us)
        if retry_after_us and this.request.honours:
            self.records.add("advised", now, this.call, this.request.id, this.number, retry_after_us)
        if this.over:
            return
        this.over = True
        del self.tries[this.call]
        request = this.request
        if verdict != "served":
            self._again(this, verdict, retry_after_us)
            return
        late = now - request.asked_us > request.kind.aim_ms * 1000
        self._finish(request, "late" if late else "served", now)

    def _again(self, this: Try, verdict: str, retry_after_us: int) -> None:
        """A client's repeat, as its class and manners allow."""
        request, clients = this.request, self.scenario.clients
        now = self.clock.now_us()
        kind = request.kind
        harmless = verdict in ("refused", "unreachable") or kind.effect == "safe"
        keyed = kind.effect == "keyed" and kind.scope == "all"
        keyed = keyed and now - request.asked_us < kind.window_ms * 1000
        if request.tries > clients.retries or not (harmless or keyed):
            outcome = {"refused": "refused", "unanswered": "unanswered"}.get(verdict, "failed")
            self._finish(request, outcome, now)
            return
        wait_ms = 0.0
        if clients.wait != "none":
            wait_ms = clients.wait_ms * (2 ** (request.tries - 1) if clients.wait == "doubling" else 1)
        if request.honours and retry_after_us:
            wait_ms = max(wait_ms, retry_after_us / 1000)
        wait_us = int(wait_ms * 1000 * self.draw_client.uniform(0.8, 1.2))
        if now + wait_us >= request.asked_us + kind.deadline_ms * 1000:
            self._finish(request, "refused" if verdict == "refused" else "failed", now)
            return
        self.clock.at(now + wait_us, lambda: self._send_try(request))

    def _finish(self, request: Request, outcome: str, now_us: int) -> None:
        request.done = True
        self.records.add(
            "request",
            now_us,
            request.id,
            request.class_index,
            request.member,
            outcome,
            request.asked_us,
            request.tries,
        )

    # Troubles

    def _some(self, of: list[int], part: float) -> list[int]:
        count = min(len(of), max(1, round(part * len(of)))) if part > 0 and of else 0
        return sorted(self.draw_trouble.sample(sorted(of), count))

    def _note(self, trouble: Trouble, state: str, detail: object = None) -> None:
        self.records.add("trouble", self.clock.now_us(), trouble.kind, state, detail)

    def _begin_trouble(self, trouble: Trouble) -> None:
        handler = getattr(self, "_do_" + trouble.kind.replace("-", "_"), None)
        end = self.clock.now_us() + int(trouble.seconds * 1e6)
        if handler is None:
            self._note(trouble, "begins")
            self.gateways.special(trouble, True)

            def off() -> None:
                self._note(trouble, "ends")
                self.gateways.special(trouble, False)

            self.clock.at(end, off)
            return
        undo = handler(trouble)

        def over() -> None:
            if undo is not None:
                undo()
            self._note(trouble, "ends")

        self.clock.at(end, over)

    def _do_slow(self, trouble: Trouble) -> Callable[[], None]:
        chosen = self._some([n for n, s in self.servers.items() if not s.draining], trouble.part)
        self._note(trouble, "begins", chosen)
        return self._slowed(chosen, trouble.size)

    def _slowed(self, chosen: list[int], times: float) -> Callable[[], None]:
        def turn(to: float) -> None:
            for number in chosen:
                server = self.servers.get(number)
                if server is not None:
                    server.advance(self.clock.now_us())
                    server.slow = to
                    self.wake(server)

        turn(times)
        return lambda: turn(1.0)

    def _do_burst(self, trouble: Trouble) -> None:
        self._note(trouble, "begins")  # the arrivals are drawn with it

    def _do_deploy(self, trouble: Trouble) -> None:
        chosen = self._some([n for n, s in self.servers.items() if not s.draining], trouble.part)
        size = max(1, round(trouble.batch * max(1, len(self.servers))))
        batches = [chosen[i : i + size] for i in range(0, len(chosen), size)]
        self._note(trouble, "begins", chosen)
        gap = trouble.seconds / max(1, len(batches))
        for number, batch in enumerate(batches):
            due = self.clock.now_us() + int(number * gap * 1e6)
            self.clock.at(due, lambda b=batch: self._replace_all(b))  # type: ignore[misc]

    def _replace_all(self, numbers: list[int]) -> None:
        for number in numbers:
            self._replace(number)

    def _replace(self, number: int) -> None:
        """Drain one server, end it, and start its cold successor."""
        server = self.servers.get(number)
        if server is None or server.draining:
            return
        now = self.clock.now_us()
        self.clock.at(
            now + self._delay(self.scenario.discovery.delay_s), lambda: self.publish(number, DRAINING)
        )
        drain_us = int((self.scenario.discovery.drain_s + self.scenario.discovery.delay_s[1]) * 1e6)

        def refuse() -> None:
            server.draining = True

        def end() -> None:
            if number in self.servers:
                self._stop(server, "replaced")
                self.clock.at(
                    self.clock.now_us() + self._delay(self.scenario.discovery.delay_s),
                    lambda: self.publish(number, GONE),
                )
                self._successor(server)

        grace_us = int(self.scenario.gateways.drain_grace_ms * 1000)
        self.clock.at(now + drain_us + grace_us // 2, refuse)
        self.clock.at(now + drain_us + grace_us, end)

    def _stop(self, server: Server, how: str) -> None:
        del self.servers[server.number]
        self.records.add("stop", self.clock.now_us(), server.number, how)
        server.stop()
        self.on_server_gone(server.number)

    def _successor(self, server: Server) -> None:
        newer = server.number in self.newer or self.scenario.fleet.roll_new
        fresh = self._add_server(server.zone, server.rack, cold=True, newer=newer)
        since = self.clock.now_us()
        self.clock.at(
            since + self._delay(self.scenario.discovery.delay_s),
            lambda: self.publish(fresh.number, READY, since, fresh.zone, fresh.rack),
        )

    def _do_gateway_death(self, trouble: Trouble) -> Callable[[], None]:
        chosen = self._some([g for g, up in self.alive.items() if up], trouble.part)
        self._note(trouble, "begins", chosen)
        for gateway in chosen:
            self.alive[gateway] = False
            self.records.add("gateway", self.clock.now_us(), gateway, "down")
            self.gateways.kill(gateway)
            notice = int(self.scenario.clients.notice_s * 1e6)
            self.clock.at(self.clock.now_us() + notice, lambda g=gateway: self._notice(g))  # type: ignore[misc]

        def back() -> None:
            for gateway in chosen:
                self.gateways.revive(gateway)

        return back

    def _notice(self, gateway: int) -> None:
        self.believed[gateway] = self.alive[gateway]

    def revived(self, gateway: int) -> None:
        """A driver has a gateway ready again."""
        self.alive[gateway] = self.believed[gateway] = True
        now = self.clock.now_us()
        self.records.add("gateway", now, gateway, "up")
        self.told(gateway, self.known())

    def _do_gateway_upgrade(self, trouble: Trouble) -> None:
        chosen = self._some([g for g, up in self.alive.items() if up], trouble.part)
        self._note(trouble, "begins", chosen)
        for gateway in chosen:
            self.records.add("gateway", self.clock.now_us(), gateway, "upgrade")
            self.gateways.upgrade(gateway)

    def _do_discovery_down(self, trouble: Trouble) -> Callable[[], None]:
        self._note(trouble, "begins")
        self.roster.down = True
        self.gateways.special(trouble, True)

        def back() -> None:
            self.roster.down = False
            self.gateways.special(trouble, False)
            for gateway, numbers in self.roster.unsent.items():
                entries = [
                    self.roster.entries.get(number) or Listed(number, 0, 0, GONE)
                    for number in dict.fromkeys(numbers)
                ]
                if self.alive[gateway] and entries:
                    self.gateways.tell(gateway, entries, False)
            self.roster.unsent.clear()

        return back

    def _do_partition(self, trouble: Trouble) -> Callable[[], None]:
        """Gateways and servers of some zones lose the way to the servers and gateways of the others."""
        zones = range(len(self.scenario.fleet.zones))
        inside = set(self._some(list(zones), trouble.part))
        count = len(self.scenario.fleet.zones)
        near = frozenset(g for g in self.alive if g % count in inside)
        far = frozenset(g for g in self.alive if g % count not in inside)
        within = frozenset(n for n, s in self.servers.items() if s.zone in inside)
        without = frozenset(n for n, s in self.servers.items() if s.zone not in inside)
        cuts = [(near, without), (far, within)]
        self._note(trouble, "begins", sorted(inside))
        self.cut += cuts

        def heal() -> None:
            for cut in cuts:
                self.cut.remove(cut)

        return heal

    def reaches(self, gateway: int, server: int) -> bool:
        """Whether messages pass between a gateway and a server."""
        return not any(gateway in gateways and server in servers for gateways, servers in self.cut)

    def peers_reach(self, one: int, other: int) -> bool:
        """Whether datagrams pass between two gateways."""
        return not any((one in near) != (other in near) for near, _ in self.cut)

    def _do_skew(self, trouble: Trouble) -> Callable[[], None]:
        """Clocks of some gateways are off by `size` seconds, by turns behind and ahead."""
        chosen = self._some(list(self.alive), trouble.part)
        self._note(trouble, "begins", chosen)
        for place, gateway in enumerate(chosen):
            self.skew_us[gateway] = int(trouble.size * 1e6) * (1 if place % 2 == 0 else -1)
        return self.skew_us.clear

    def _do_vanish(self, trouble: Trouble) -> None:
        chosen = self._some([n for n, s in self.servers.items() if not s.draining], trouble.part)
        self._note(trouble, "begins", chosen)
        for number in chosen:
            server = self.servers[number]
            server.advance(self.clock.now_us())
            server.silent = True
            self.vanished.add(number)
            self.lose_server(server, "vanished")
            back = self.clock.now_us() + int(trouble.seconds * 1e6)
            self.clock.at(back, lambda s=server: self._successor(s))  # type: ignore[misc]

    def _do_spoilt(self, trouble: Trouble) -> Callable[[], None]:
        self._note(trouble, "begins")
        self.spoilt = trouble.part

        def over() -> None:
            self.spoilt = 0.0

        return over

    def _do_reset(self, trouble: Trouble) -> Callable[[], None]:
        self._note(trouble, "begins")
        self.resets = trouble.part

        def over() -> None:
            self.resets = 0.0

        return over

    def _do_overbook(self, trouble: Trouble) -> Callable[[], None]:
        """The roster lists servers that are not there."""
        count = max(1, round(trouble.part * self.scenario.fleet.servers))
        numbers = range(self.next_server, self.next_server + count)
        self.next_server += count
        self._note(trouble, "begins", list(numbers))
        for number in numbers:
            zone = number % len(self.scenario.fleet.zones)
            self.publish(number, READY, self.clock.now_us(), zone, number % self.racks)

        def forget() -> None:
            for number in numbers:
                self.publish(number, GONE)

        return forget
