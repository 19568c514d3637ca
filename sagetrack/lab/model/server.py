"""The model of one address server: what it does with what it is sent. No clock and no I/O; microseconds.

A server has cores and, for each, slots for requests in work; more wait in a queue, and beyond that it rejects
requests. It starts cold and warms up evenly. Sent far more than it can do while cold, it falls over.
Overloaded for a while, it degrades until it has been left mostly idle. Servers of a rack, a zone or all of
them drop a key that they have seen.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from sagetrack.lab.model.degradation import Degradation
from sagetrack.lab.model.idempotency_keys import IdempotencyKeys
from sagetrack.lab.model.scenario import Fleet
from sagetrack.lab.model.warm_up import WarmUp

MAX_STEP_US = 200_000  # how long a rate that changes with time is taken as constant
DUPLICATE_SHARE = 0.05  # of the work: what a dropped repeat costs
ROUNDING = 1e-6  # of its work: a request with no more left is done


class Result(Enum):
    """How a server answers."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "rejected"
    MALFORMED = "spoilt"  # a response that is no valid HTTP
    RESET = "reset"


@dataclass(slots=True, eq=False)
class Job:
    """One attempt at a server. `done` is called once, unless the server falls silent."""

    call_id: str
    work_us: float  # on a standard core
    key: int | None
    window_us: int  # within which a repeat of the key is dropped
    scope: str  # all, zone or rack
    deadline_us: int
    on_done: Callable[[Job, Result], None]
    result: Result = Result.SERVED
    remaining_us: float = 0.0  # of the work
    ended: bool = False


class Server:
    """One address server between its start and its end."""

    def __init__(
        self,
        number: int,
        fleet: Fleet,
        zone: int,
        rack: int,
        speed: float,
        started_us: int,
        is_cold: bool,
        keys: dict[str, IdempotencyKeys],
        on_run: Callable[[Job, bool], None],
    ) -> None:
        """Start a server.

        Args:
            number: Its number in the fleet.
            fleet: The figures that all servers share.
            zone: The number of its zone.
            rack: The number of its rack.
            speed: Times a standard core.
            started_us: The time now.
            is_cold: Whether it has to warm up.
            keys: By scope: the keys that it shares with the servers of the scope.
            on_run: Called as a job starts to run, with whether it has an effect.
        """
        self.number = number
        self.zone = zone
        self.rack = rack
        self.started_us = started_us
        self.now_us = started_us
        self.slowdown = 1.0  # times slower, by a fault
        self.draining = False
        self.down = False  # fell over or was stopped: refuses connections
        self.unresponsive = False
        self.running: list[Job] = []
        self.waiting: deque[Job] = deque()
        self._keys = keys
        self._on_run = on_run
        self._set_capacity(fleet, speed, is_cold)

    def _set_capacity(self, fleet: Fleet, speed: float, is_cold: bool) -> None:
        self._fleet = fleet
        self._speed = speed
        self._slots = fleet.cores * fleet.slots_per_core
        self._warm_up = WarmUp(fleet, fleet.cores * speed, is_cold)
        self._degradation = Degradation(fleet.choke, fleet.cores)

    @property
    def is_cold(self) -> bool:
        """Whether the server still warms up."""
        return self._warm_up.is_cold

    @property
    def is_degraded(self) -> bool:
        """Whether the server is slow after an overload."""
        return self._degradation.is_degraded

    @property
    def request_count(self) -> int:
        """Requests in work and in the queue."""
        return len(self.running) + len(self.waiting)

    def capacity_share(self, now_us: int) -> float:
        """The share of its capacity that the server has by now."""
        return self._warm_up.capacity_share(now_us - self.started_us)

    def rate(self, now_us: int) -> float:
        """Work that each request in a slot has done in a microsecond."""
        fleet = self._fleet
        rate = self._speed * self.capacity_share(now_us) / self.slowdown / fleet.slots_per_core
        rate /= self._degradation.slowdown
        if fleet.thrash:
            excess = max(0.0, self.request_count - fleet.thrash_at * fleet.cores)
            rate /= 1.0 + fleet.thrash * excess
        return rate

    # Events

    def receive(self, now_us: int, job: Job) -> Result | None:
        """Take a request in: REJECTED at once, or None and `done` later."""
        self.advance(now_us)
        if self.unresponsive:
            return None
        if self._warm_up.is_overwhelmed_by(job.work_us, now_us - self.started_us):
            self.stop()
            return None
        if self.draining or self.down or self._is_full() or now_us >= job.deadline_us:
            return Result.REJECTED
        if len(self.running) < self._slots:
            self._start(job)
        else:
            self.waiting.append(job)
        self._degradation.update(now_us, len(self.waiting))
        return None

    def cancel(self, now_us: int, job: Job) -> None:
        """Stop a job whose client no longer waits, as far as the scenario has servers do so."""
        if job.ended:
            return
        self.advance(now_us)
        cancel = self._fleet.cancel
        if job in self.waiting and cancel != "none":
            self.waiting.remove(job)
            job.ended = True
        elif cancel == "all" and job in self.running:
            self.running.remove(job)
            job.ended = True
            self._fill_slots()

    def next_us(self) -> int | None:
        """When something happens by itself: at the latest then `advance` is to be called."""
        if self.unresponsive or (not self.running and not self.is_degraded):
            return None
        step_us = self.now_us + MAX_STEP_US
        if not self.running:
            return step_us
        rate = self.rate(self.now_us)
        due_us = self.now_us + math.ceil(min(job.remaining_us for job in self.running) / rate)
        rate_may_change = self.is_cold or self._degradation.may_change
        return min(due_us, step_us) if rate_may_change else due_us

    def advance(self, now_us: int) -> None:
        """Let time pass; responses that fall due are given."""
        while not self.unresponsive and self.now_us < now_us:
            if not self.running:
                self._pass_time(now_us)
                return
            first = min(self.running, key=lambda job: job.remaining_us)
            span_us = now_us - self.now_us
            rate = self._mean_rate(first, span_us)
            due_us = math.ceil(first.remaining_us / rate)
            step_us = min(span_us, due_us, MAX_STEP_US)
            done_us = step_us * rate
            for job in self.running:
                job.remaining_us -= done_us
            self._pass_time(self.now_us + step_us)
            if step_us == due_us:
                first.remaining_us = 0.0
            self._end_finished()
        self.now_us = max(now_us, self.now_us)

    def reset_all(self) -> None:
        """Break every connection: what was in work may have run."""
        jobs = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for job in jobs:
            job.ended = True
            job.on_done(job, Result.RESET)

    def stop(self) -> None:
        """End at once, as a process does: connections break, new ones are refused."""
        self.down = True
        self.reset_all()

    def _is_full(self) -> bool:
        queue_size = self._fleet.waiting_per_core * self._fleet.cores
        return len(self.running) >= self._slots and len(self.waiting) >= queue_size

    def _start(self, job: Job) -> None:
        has_effect = True
        if job.key is not None:
            has_effect = self._keys[job.scope].take(job.key, self.now_us, job.window_us)
        job.remaining_us = job.work_us if has_effect else job.work_us * DUPLICATE_SHARE
        self.running.append(job)
        self._on_run(job, has_effect)

    def _fill_slots(self) -> None:
        while self.waiting and len(self.running) < self._slots:
            job = self.waiting.popleft()
            if self.now_us >= job.deadline_us and self._fleet.cancel != "none":
                job.ended = True
                job.on_done(job, Result.REJECTED)
                continue
            self._start(job)

    def _mean_rate(self, first: Job, span_us: int) -> float:
        """The rate over the step that comes; that of a cold server rises meanwhile."""
        rate = self.rate(self.now_us)
        if self.is_cold:
            step_us = int(min(span_us, first.remaining_us / rate, MAX_STEP_US))
            rate = (rate + self.rate(self.now_us + step_us)) / 2
        return rate

    def _pass_time(self, now_us: int) -> None:
        utilization = min(1.0, len(self.running) / self._slots)
        self._degradation.pass_time(now_us - self.now_us, utilization)
        self.now_us = now_us
        self._degradation.update(now_us, len(self.waiting))

    def _end_finished(self) -> None:
        """End all jobs that are done: one that was left for later would fall due now, again and again."""
        for job in [job for job in self.running if job.remaining_us <= ROUNDING * job.work_us]:
            self.running.remove(job)
            job.ended = True
            self._fill_slots()
            job.on_done(job, job.result)
