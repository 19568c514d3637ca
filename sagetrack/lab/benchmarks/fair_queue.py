"""What fair queues cost, by the number of clients: CPU time of a request, and memory. A simulated clock.

The whole decision module runs, at a stated multiple of what its servers can do, with fair queues on and off
by turns in one process.
"""

from __future__ import annotations

import gc
import heapq
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

from sagetrack.lab.benchmarks.rows import rounded
from sagetrack.policy.actions import SendAttempt, SetTimer
from sagetrack.policy.admission import AdmissionSettings
from sagetrack.policy.events import (
    AttemptEnded,
    EndpointList,
    Event,
    ListedServer,
    ListKind,
    Outcome,
    RequestArrived,
    TimerFired,
)
from sagetrack.policy.load_balancer import LoadBalancer
from sagetrack.policy.settings import Effect, RequestClass, Settings, Tenant

SERVERS = 20
MEAN_WORK_US = 50_000  # of a request on its server
TENANTS = 10
TIMEOUT_US = 8_000_000
LATENCY_OBJECTIVES_US = (1_500_000, 6_000_000)  # by class
WARM_UP_REQUESTS = 2_000  # before those that are measured


@dataclass(slots=True, frozen=True)
class Cost:
    """One round."""

    clients: int
    request_us: float  # CPU time of all events of one request, arrival to end
    queued: int  # at the end
    reserved: int  # open reservations at the end
    allocated_kb: float  # by Python's own count, since the module was made; 0 if not traced
    counted_kb: float  # what the queues count against their bound
    limit_kb: float


def settings(fair_queues: bool, memory_kb: int) -> Settings:
    """Return the settings of a round; `memory_kb` bounds the queues."""
    classes = tuple(
        RequestClass(
            latency_objective_us=objective_us,
            request_timeout_us=TIMEOUT_US,
            late_priority_weight=0.5,
            effect=Effect.SAFE,
        )
        for objective_us in LATENCY_OBJECTIVES_US
    )
    tenants = tuple(Tenant(1.0 / TENANTS) for _ in range(TENANTS))
    base = Settings(classes=classes, tenants=tenants, max_attempts=3, max_retry_after_us=TIMEOUT_US)
    if not fair_queues:
        return base
    return replace(base, admission=AdmissionSettings(memory_bytes=memory_kb * 1024))


class _Simulation:
    """A load balancer, its servers with one core each, and what is planned on the simulated clock."""

    def __init__(self, balancer_settings: Settings, seed: int, rng: random.Random) -> None:
        self.rng = rng
        self.balancer = LoadBalancer(balancer_settings, seed)
        self.now_us = 0
        self.cpu_ns = 0  # of the balancer, in events that are counted
        self.scheduled: list[tuple[int, int, Event]] = []  # a heap: time, order of planning, event
        self.actions = 0
        self.free_us = [0] * SERVERS  # when each server has done what it was given
        self.attempts: dict[str, int] = {}  # by request
        servers = tuple(ListedServer(number) for number in range(SERVERS))
        self.balancer.handle(0, EndpointList(ListKind.FULL, servers))

    def handle(self, event: Event, measured: bool) -> None:
        """Hand an event to the balancer now and plan what follows from its actions."""
        start_ns = time.process_time_ns()
        actions = self.balancer.handle(self.now_us, event)
        if measured:
            self.cpu_ns += time.process_time_ns() - start_ns
        for action in actions:
            self.actions += 1
            if isinstance(action, SendAttempt):
                end_us, ended = self._attempt(action)
                self._schedule(end_us, ended)
            elif isinstance(action, SetTimer):
                self._schedule(action.due_us, TimerFired(action.token))

    def advance(self, until_us: float, measured: bool) -> None:
        """Handle what is planned up to that time."""
        while self.scheduled and self.scheduled[0][0] <= until_us:
            self.now_us, _, event = heapq.heappop(self.scheduled)
            self.handle(event, measured)
        self.now_us = int(until_us)

    def release(self) -> None:
        """Drop what only the simulation holds, so that it does not count as the balancer's memory."""
        self.attempts.clear()
        self.scheduled.clear()

    def _schedule(self, due_us: int, event: Event) -> None:
        heapq.heappush(self.scheduled, (due_us, self.actions, event))

    def _attempt(self, action: SendAttempt) -> tuple[int, AttemptEnded]:
        """Return when an attempt ends, and how: its server does one after the other."""
        number = self.attempts.get(action.request, 0)
        self.attempts[action.request] = number + 1
        start_us = max(self.now_us, self.free_us[action.server])
        end_us = start_us + int(self.rng.expovariate(1 / MEAN_WORK_US))
        self.free_us[action.server] = end_us
        outcome = Outcome.OK
        if end_us - self.now_us > action.timeout_us:
            end_us = self.now_us + action.timeout_us
            outcome = Outcome.TIMEOUT
        latency_us = end_us - self.now_us
        is_ok = outcome is Outcome.OK
        return end_us, AttemptEnded(action.request, number, action.server, outcome, latency_us, is_ok)


@contextmanager
def _tracing(enabled: bool) -> Iterator[None]:
    if not enabled:
        yield
        return
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()


def run_round(
    clients: int, requests: int, fair_queues: bool, memory_kb: int, seed: int, trace: bool, load: float = 2.0
) -> Cost:
    """Play one round.

    Args:
        clients: each sends as many requests as any other, on average.
        requests: how many are measured, after `WARM_UP_REQUESTS`.
        fair_queues: whether the balancer has them.
        memory_kb: their bound.
        seed: of all that is drawn.
        trace: whether to count allocated memory, which makes CPU time worthless.
        load: times what the servers can do.
    """
    rng = random.Random(seed)
    gc.collect()
    with _tracing(trace):
        simulation = _Simulation(settings(fair_queues, memory_kb), seed, rng)
        _send_requests(simulation, clients, requests, rng, load)
        allocated_kb = 0.0
        if trace:
            simulation.release()
            gc.collect()
            allocated_kb = tracemalloc.get_traced_memory()[0] / 1024
    request_us = simulation.cpu_ns / 1000 / requests
    admission = simulation.balancer.admission
    if admission is None:
        queued = len(simulation.balancer.capacity_wait)
        return Cost(clients, request_us, queued, 0, allocated_kb, counted_kb=0.0, limit_kb=0.0)
    return Cost(
        clients=clients,
        request_us=request_us,
        queued=admission.queued,
        reserved=admission.open_reservations,
        allocated_kb=allocated_kb,
        counted_kb=admission.memory_used() / 1024,
        limit_kb=memory_kb,
    )


def _send_requests(
    simulation: _Simulation, clients: int, requests: int, rng: random.Random, load: float
) -> None:
    mean_gap_us = MEAN_WORK_US / SERVERS / load
    arrival_us = 0.0
    for number in range(WARM_UP_REQUESTS + requests):
        measured = number >= WARM_UP_REQUESTS
        arrival_us += rng.expovariate(1 / mean_gap_us)
        simulation.advance(arrival_us, measured)
        client = rng.randrange(clients) + 1
        arrived = RequestArrived(
            f"{number:x}",
            number % len(LATENCY_OBJECTIVES_US),
            TIMEOUT_US,
            number,
            tenant=client % TENANTS,
            client=client,
        )
        simulation.handle(arrived, measured)


def measure(
    sizes: list[int],
    requests: int,
    rounds: int,
    memory_kb: int,
    progress: Callable[[float], None],
    load: float = 2.0,
) -> list[dict[str, Any]]:
    """Measure each number of clients, fair queues on and off by turns, and memory in a round of its own.

    Args:
        sizes: numbers of clients.
        requests: measured in each round.
        rounds: with fair queues, and as many without.
        memory_kb: bound of the queues.
        progress: called with the share of rounds that are done.
        load: times what the servers can do.

    Returns:
        A row of medians for each number of clients, for the printed table.
    """
    rows = []
    total = len(sizes) * (2 * rounds + 1)
    done = 0
    for size in sizes:
        costs: dict[bool, list[Cost]] = {True: [], False: []}  # by whether there are fair queues
        for number in range(rounds):
            for fair_queues in (True, False) if number % 2 else (False, True):
                costs[fair_queues].append(
                    run_round(size, requests, fair_queues, memory_kb, number, False, load)
                )
                done += 1
                progress(done / total)
        traced = run_round(size, max(requests, 2 * size), True, memory_kb, 0, True, load)
        done += 1
        progress(done / total)
        rows.append(_summary_row(traced, costs[True], costs[False]))
    return rows


def _summary_row(traced: Cost, with_queues: list[Cost], without: list[Cost]) -> dict[str, Any]:
    on_us = statistics.median(cost.request_us for cost in with_queues)
    off_us = statistics.median(cost.request_us for cost in without)
    ratios = [on.request_us / off.request_us for on, off in zip(with_queues, without, strict=True)]
    # The keys are the printed table's columns, which stay; the fields have today's names.
    row = {
        "clients": traced.clients,
        "call_us": on_us,
        "waiting": traced.queued,
        "promised": traced.reserved,
        "held_kb": traced.allocated_kb,
        "counted_kb": traced.counted_kb,
        "bound_kb": traced.limit_kb,
        "off_us": off_us,
        "times": on_us / off_us,
        "times_from": min(ratios),
        "times_to": max(ratios),
    }
    return rounded(row, 2)
