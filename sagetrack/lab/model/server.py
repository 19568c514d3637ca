"""The model of one address server: what it does with what it is sent. No clock and no I/O; microseconds.

A server has cores and, for each, slots for requests in work; more wait, and beyond that it turns requests
away. It starts cold and warms evenly. Sent far more than it can do while cold, it falls over. Crowded for a
while, it turns slow until it has been left alone. Servers of a rack, a zone or all of them drop a key that
they have seen.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice

from sagetrack.lab.model.scenario import Choke, Fleet

KEPT_US = 60_000_000  # a key is forgotten after this: windows are shorter
STEP_US = 200_000  # how far a rate that changes with time is taken as it is
DUPLICATE_SHARE = 0.05  # of the work: what a dropped repeat costs
BUSY_US = 500_000  # over which a choked server's load is smoothed
SLACK = 1.1  # of the fall budget, for chance
ROUNDING = 1e-6  # of its work: a request with no more left is done


class Result(Enum):
    """How a server answers."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "rejected"
    SPOILT = "spoilt"
    RESET = "reset"


@dataclass(slots=True, eq=False)
class Job:
    """One attempt at a server. `done` is called once, unless the server falls silent."""

    call: str
    work_us: float
    key: int | None
    window_us: int
    scope: str  # all, zone or rack
    deadline_us: int
    done: Callable[[Job, Result], None]
    result: Result = Result.SERVED
    left_us: float = 0.0
    started: bool = False
    ended: bool = False


@dataclass(slots=True)
class Keys:
    """Keys that the servers of one scope have seen: when, and by which call."""

    seen: dict[int, int] = field(default_factory=dict)

    def take(self, key: int, now_us: int, window_us: int) -> bool:
        """True if the key is new, or its window is over: then it has its effect."""
        first = self.seen.get(key)
        if first is not None and now_us - first < window_us:
            return False
        if first is not None:
            del self.seen[key]  # so that the oldest stay in front
        self.seen[key] = now_us
        for old in list(islice(self.seen, 2)):  # two out for one in: it shrinks again after a burst
            if now_us - self.seen[old] > KEPT_US:
                del self.seen[old]
        return True


@dataclass(slots=True, eq=False)
class Server:
    """One address server between its start and its end."""

    number: int
    fleet: Fleet
    zone: int
    rack: int
    speed: float
    started_us: int
    is_cold: bool
    keys: dict[str, Keys]  # by scope
    on_run: Callable[[Job, bool], None]
    slow: float = 1.0  # times slower, by a trouble
    draining: bool = False
    down: bool = False  # fell over or was stopped: refuses connections
    silent: bool = False
    now_us: int = 0
    running: list[Job] = field(default_factory=list)
    waiting: deque[Job] = field(default_factory=deque)
    arrived: deque[tuple[int, float]] = field(default_factory=deque)  # while cold: when, and its work
    arrived_us: float = 0.0
    crowded_since_us: int | None = None
    choked_since_us: int | None = None
    calm_since_us: int | None = None
    busy: float = 0.0

    def __post_init__(self) -> None:
        self.now_us = self.started_us

    # What it can do

    def warmth(self, now_us: int) -> float:
        """Share of its capacity that it has by now."""
        if not self.is_cold:
            return 1.0
        whole = self.fleet.cold_s * 1e6
        age = now_us - self.started_us
        if whole <= 0 or age >= whole:
            self.is_cold = False
            return 1.0
        start = self.fleet.cold_share
        return start + (1.0 - start) * age / whole

    def rate(self, now_us: int) -> float:
        """Work that each request in a slot has done in a microsecond."""
        fleet = self.fleet
        rate = self.speed * self.warmth(now_us) / self.slow / fleet.slots_per_core
        if self.choked_since_us is not None and fleet.choke is not None:
            rate /= fleet.choke.slower
        if fleet.thrash:
            over = max(0.0, self.held - fleet.thrash_at * fleet.cores)
            rate /= 1.0 + fleet.thrash * over
        return rate

    @property
    def held(self) -> int:
        return len(self.running) + len(self.waiting)

    # Events

    def receive(self, now_us: int, job: Job) -> Result | None:
        """Take a request in: REJECTED at once, or None and `done` later."""
        self.advance(now_us)
        if self.silent:
            return None
        if self.is_cold and self._falls(now_us, job.work_us):
            self.stop()
            return None
        fleet = self.fleet
        slots = fleet.cores * fleet.slots_per_core
        full = len(self.running) >= slots and len(self.waiting) >= fleet.waiting_per_core * fleet.cores
        if self.draining or self.down or full or now_us >= job.deadline_us:
            return Result.REJECTED
        if len(self.running) < slots:
            self._start(job)
        else:
            self.waiting.append(job)
        self._watch_crowd(now_us)
        return None

    def _falls(self, now_us: int, work_us: float) -> bool:
        """Whether this much more is more than a cold server bears (the platform's fourth rule)."""
        fall_us = int(self.fleet.fall_s * 1e6)
        self.arrived.append((now_us, work_us))
        self.arrived_us += work_us
        while self.arrived and self.arrived[0][0] <= now_us - fall_us:
            self.arrived_us -= self.arrived.popleft()[1]
        capacity = self.fleet.cores * self.speed * self.warmth(now_us)
        return self.arrived_us > SLACK * self.fleet.fall_multiple * capacity * fall_us

    def _start(self, job: Job) -> None:
        job.started = True
        effect = True
        if job.key is not None:
            effect = self.keys[job.scope].take(job.key, self.now_us, job.window_us)
        job.left_us = job.work_us if effect else job.work_us * DUPLICATE_SHARE
        self.running.append(job)
        self.on_run(job, effect)

    def give_up(self, now_us: int, job: Job) -> None:
        """Its client no longer waits."""
        if job.ended:
            return
        self.advance(now_us)
        how = self.fleet.cancel
        if job in self.waiting and how != "none":
            self.waiting.remove(job)
            job.ended = True
        elif how == "all" and job in self.running:
            self.running.remove(job)
            job.ended = True
            self._fill()

    def next_us(self) -> int | None:
        """When something happens by itself: at the latest then `advance` is to be called."""
        if self.silent or (not self.running and self.choked_since_us is None):
            return None
        step = self.now_us + STEP_US
        if not self.running:
            return step
        rate = self.rate(self.now_us)
        due = self.now_us + math.ceil(min(job.left_us for job in self.running) / rate)
        varies = self.is_cold or self.choked_since_us is not None or self.crowded_since_us is not None
        return min(due, step) if varies else due

    def advance(self, now_us: int) -> None:
        """Let time pass; answers that fall due are given."""
        while True:
            span = now_us - self.now_us
            if span <= 0 or self.silent:
                self.now_us = max(now_us, self.now_us)
                return
            if not self.running:
                self._pass(now_us)
                return
            first = min(self.running, key=lambda job: job.left_us)
            rate = self.rate(self.now_us)
            if self.is_cold:  # it rises meanwhile: the mean of both ends
                rate = (rate + self.rate(self.now_us + int(min(span, first.left_us / rate, STEP_US)))) / 2
            due = math.ceil(first.left_us / rate)
            step = min(span, due, STEP_US)
            done = step * rate
            for job in self.running:
                job.left_us -= done
            self._pass(self.now_us + step)
            if step == due:
                first.left_us = 0.0
            # Those that end together: one that was left for later would fall due now, for ever.
            for job in [job for job in self.running if job.left_us <= ROUNDING * job.work_us]:
                self.running.remove(job)
                job.ended = True
                self._fill()
                job.done(job, job.result)

    def _pass(self, now_us: int) -> None:
        span = now_us - self.now_us
        if self.fleet.choke is not None:
            share = min(1.0, len(self.running) / (self.fleet.cores * self.fleet.slots_per_core))
            fade = math.exp(-span / BUSY_US)
            self.busy = self.busy * fade + share * (1.0 - fade)
        self.now_us = now_us
        self._watch_crowd(now_us)

    def _fill(self) -> None:
        while self.waiting and len(self.running) < self.fleet.cores * self.fleet.slots_per_core:
            job = self.waiting.popleft()
            if self.now_us >= job.deadline_us and self.fleet.cancel != "none":
                job.ended = True
                job.done(job, Result.REJECTED)
                continue
            self._start(job)

    def _watch_crowd(self, now_us: int) -> None:
        choke: Choke | None = self.fleet.choke
        if choke is None:
            return
        if len(self.waiting) > choke.at * self.fleet.cores:
            if self.crowded_since_us is None:
                self.crowded_since_us = now_us
            elif self.choked_since_us is None and now_us - self.crowded_since_us >= choke.over_s * 1e6:
                self.choked_since_us, self.calm_since_us = now_us, None
        else:
            self.crowded_since_us = None
        if self.choked_since_us is None:
            return
        if self.busy >= choke.below:
            self.calm_since_us = None
        elif self.calm_since_us is None:
            self.calm_since_us = now_us
        rested = self.calm_since_us is not None and now_us - self.calm_since_us >= choke.rest_s * 1e6
        if rested or now_us - self.choked_since_us >= choke.most_s * 1e6:
            self.choked_since_us = self.calm_since_us = None

    def reset_all(self) -> None:
        """Break every connection: what was in work may have run."""
        jobs = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for job in jobs:
            job.ended = True
            job.done(job, Result.RESET)

    def stop(self) -> None:
        """End at once, as a process does: connections break, new ones are refused."""
        self.down = True
        self.reset_all()
