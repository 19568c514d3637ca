"""The model of one address server. It has no clock and no I/O; all times are in microseconds.

A server processes a fixed number of requests concurrently (slots per core) and queues more; when the queue
is full, it rejects requests. A cold server warms up linearly, and crashes if it receives far more work than
it can do. After a sustained overload a server degrades until it has been mostly idle for a while. A repeated
idempotency key is dropped by all servers of its scope: a rack, a zone or the whole fleet.
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

MAX_STEP_US = 200_000  # longest interval over which a changing rate is treated as constant
DUPLICATE_SHARE = 0.05  # cost of a dropped duplicate, as a share of its work
ROUNDING = 1e-6  # a request is complete when at most this share of its work remains


class Result(Enum):
    """How a server responds to an attempt."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "rejected"
    MALFORMED = "spoilt"  # a response that is not valid HTTP
    RESET = "reset"


@dataclass(slots=True, eq=False)
class Job:
    """One attempt on a server.

    `on_done` is called once, but not for a cancelled job or a server that has become unresponsive.
    """

    call_id: str
    work_us: float  # on a standard core
    key: int | None
    window_us: int  # how long a duplicate of the key is dropped
    scope: str  # all, zone or rack
    deadline_us: int
    on_done: Callable[[Job, Result], None]
    result: Result = Result.SERVED
    remaining_us: float = 0.0  # work that is still to do
    ended: bool = False


class Server:
    """One address server, from its start until it stops."""

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
            fleet: The properties that all servers have in common.
            zone: The number of its zone.
            rack: The number of its rack.
            speed: The speed of a core, relative to a standard core.
            started_us: The current time.
            is_cold: Whether the server has to warm up.
            keys: The idempotency keys that it shares with other servers, by scope.
            on_run: Called when a job starts to run, with whether the job has an effect.
        """
        self.number = number
        self.zone = zone
        self.rack = rack
        self.started_us = started_us
        self.now_us = started_us
        self.slowdown = 1.0  # factor by which an injected fault slows the server down
        self.draining = False
        self.down = False  # crashed or stopped: refuses connections
        self.unresponsive = False  # keeps connections open but never responds
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
        """Whether the server is still warming up."""
        return self._warm_up.is_cold

    @property
    def is_degraded(self) -> bool:
        """Whether the server is slow because of an overload."""
        return self._degradation.is_degraded

    @property
    def request_count(self) -> int:
        """Number of running and queued requests."""
        return len(self.running) + len(self.waiting)

    def capacity_share(self, now_us: int) -> float:
        """Return the share of its full capacity that the server has at a time."""
        return self._warm_up.capacity_share(now_us - self.started_us)

    def rate(self, now_us: int) -> float:
        """Return the work that each running request completes per microsecond."""
        fleet = self._fleet
        rate = self._speed * self.capacity_share(now_us) / self.slowdown / fleet.slots_per_core
        rate /= self._degradation.slowdown
        if fleet.thrash:
            excess = max(0.0, self.request_count - fleet.thrash_at * fleet.cores)
            rate /= 1.0 + fleet.thrash * excess
        return rate

    # Events

    def receive(self, now_us: int, job: Job) -> Result | None:
        """Accept a job and return None, or return REJECTED; an accepted job calls `on_done` later."""
        self.advance(now_us)
        if self.unresponsive:
            return None
        if self._warm_up.is_overloaded_by(job.work_us, now_us - self.started_us):
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
        """Drop a job whose client has stopped waiting, if the scenario's `fleet.cancel` says so."""
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

    def next_event_us(self) -> int | None:
        """Return the time by which `advance` has to be called; None if there is nothing to do."""
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
        """Process jobs up to a time and call `on_done` for those that complete."""
        while not self.unresponsive and self.now_us < now_us:
            if not self.running:
                self._advance_time(now_us)
                return
            first = min(self.running, key=lambda job: job.remaining_us)
            duration_us = now_us - self.now_us
            rate = self._mean_rate(first, duration_us)
            due_us = math.ceil(first.remaining_us / rate)
            step_us = min(duration_us, due_us, MAX_STEP_US)
            completed_us = step_us * rate
            for job in self.running:
                job.remaining_us -= completed_us
            self._advance_time(self.now_us + step_us)
            if step_us == due_us:
                first.remaining_us = 0.0
            self._end_completed()
        self.now_us = max(now_us, self.now_us)

    def reset_all(self) -> None:
        """Reset every connection; jobs that were running may already have had their effect."""
        jobs = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for job in jobs:
            job.ended = True
            job.on_done(job, Result.RESET)

    def stop(self) -> None:
        """Terminate at once: connections are reset, and new ones are refused."""
        self.down = True
        self.reset_all()

    def _is_full(self) -> bool:
        queue_capacity = self._fleet.waiting_per_core * self._fleet.cores
        return len(self.running) >= self._slots and len(self.waiting) >= queue_capacity

    def _start(self, job: Job) -> None:
        has_effect = True
        if job.key is not None:
            has_effect = self._keys[job.scope].register(job.key, self.now_us, job.window_us)
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

    def _mean_rate(self, first: Job, duration_us: int) -> float:
        """Return the mean rate over the next step; the rate of a cold server rises during the step."""
        rate = self.rate(self.now_us)
        if self.is_cold:
            step_us = int(min(duration_us, first.remaining_us / rate, MAX_STEP_US))
            rate = (rate + self.rate(self.now_us + step_us)) / 2
        return rate

    def _advance_time(self, now_us: int) -> None:
        utilization = min(1.0, len(self.running) / self._slots)
        self._degradation.record_utilization(now_us - self.now_us, utilization)
        self.now_us = now_us
        self._degradation.update(now_us, len(self.waiting))

    def _end_completed(self) -> None:
        """End all completed jobs.

        A completed job that stayed would be due at the current time again, without end.
        """
        for job in [job for job in self.running if job.remaining_us <= ROUNDING * job.work_us]:
            self.running.remove(job)
            job.ended = True
            self._fill_slots()
            job.on_done(job, job.result)
