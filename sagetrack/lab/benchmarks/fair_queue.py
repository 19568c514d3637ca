"""CPU time per request and memory of fair queues, by number of clients.

The complete load balancer runs on a simulated clock, with a load that is a given multiple of the servers'
capacity. Rounds with and without fair queues alternate in one process.
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
MEAN_WORK_US = 50_000  # mean service time of a request
TENANTS = 10
TIMEOUT_US = 8_000_000
LATENCY_OBJECTIVES_US = (1_500_000, 6_000_000)  # by class index
WARM_UP_REQUESTS = 2_000  # requests before the measured ones


@dataclass(slots=True, frozen=True)
class Cost:
    """Results of one round."""

    clients: int
    request_us: float  # CPU time per request, over all of its events from arrival to end
    queued: int  # requests queued at the end
    reserved: int  # open reservations at the end
    allocated_kb: float  # memory that Python allocated for the load balancer; 0 if not traced
    counted_kb: float  # memory that the queues count towards their limit
    limit_kb: float  # the limit of the queues' memory


def settings(fair_queues: bool, memory_kb: int) -> Settings:
    """Return the load balancer settings of a round; `memory_kb` limits the memory of the queues."""
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
    """A load balancer, its single-core servers, and the events scheduled on the simulated clock."""

    def __init__(self, balancer_settings: Settings, seed: int, rng: random.Random) -> None:
        self.rng = rng
        self.balancer = LoadBalancer(balancer_settings, seed)
        self.now_us = 0
        self.cpu_ns = 0  # CPU time of the load balancer in the measured events
        self.scheduled: list[tuple[int, int, Event]] = []  # heap of due time, sequence number and event
        self.actions = 0
        self.free_us = [0] * SERVERS  # time at which each server has finished its attempts
        self.attempts: dict[str, int] = {}  # number of attempts by request
        servers = tuple(ListedServer(number) for number in range(SERVERS))
        self.balancer.handle(0, EndpointList(ListKind.FULL, servers))

    def handle(self, event: Event, measured: bool) -> None:
        """Pass an event to the load balancer, and schedule the events that result from its actions."""
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
        """Handle all events scheduled up to `until_us`, and set the clock to it."""
        while self.scheduled and self.scheduled[0][0] <= until_us:
            self.now_us, _, event = heapq.heappop(self.scheduled)
            self.handle(event, measured)
        self.now_us = int(until_us)

    def release(self) -> None:
        """Drop the simulation's own state, so that it is not counted as memory of the load balancer."""
        self.attempts.clear()
        self.scheduled.clear()

    def _schedule(self, due_us: int, event: Event) -> None:
        heapq.heappush(self.scheduled, (due_us, self.actions, event))

    def _attempt(self, action: SendAttempt) -> tuple[int, AttemptEnded]:
        """Return when an attempt ends, and its result; each server processes attempts one at a time."""
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
    """Run one round.

    Args:
        clients: number of clients, which all send at the same mean rate.
        requests: number of measured requests, after `WARM_UP_REQUESTS`.
        fair_queues: whether fair queues are enabled.
        memory_kb: memory limit of the queues.
        seed: seed of the random numbers.
        trace: whether to trace allocated memory, which makes the CPU time useless.
        load: offered load as a multiple of the servers' capacity.
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
    """Measure with and without fair queues in alternation, and memory in a separate round.

    Args:
        sizes: numbers of clients to measure with.
        requests: number of measured requests per round.
        rounds: number of rounds with fair queues; the same number runs without.
        memory_kb: memory limit of the queues.
        progress: called with the share of rounds that are finished.
        load: offered load as a multiple of the servers' capacity.

    Returns:
        A row of medians per number of clients, for the printed table.
    """
    rows = []
    total = len(sizes) * (2 * rounds + 1)
    done = 0
    for size in sizes:
        costs: dict[bool, list[Cost]] = {True: [], False: []}  # keyed by whether fair queues are enabled
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
    # The keys are the columns of the printed table, which are kept for compatibility.
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
