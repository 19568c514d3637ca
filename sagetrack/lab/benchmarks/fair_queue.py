"""What fair queues cost, by the number of clients: time of a decision, and memory. A simulated clock.

The whole module decides, at a stated multiple of what its servers do, with fair queues on and off by turns in
one process.
"""

from __future__ import annotations

import gc
import heapq
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from typing import Any

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

SERVERS, WORK_US, MEMBERS = 20, 50_000, 10
WARM = 2_000  # calls before it is measured


@dataclass(slots=True, frozen=True)
class Cost:
    """One round."""

    clients: int
    door: bool
    call_us: float  # CPU of all events of one call, arrival to end
    waiting: int  # at the end
    promised: int
    held_kb: float  # Python's own count of what the module has allocated since it was made
    counted_kb: float  # what the door counts against its bound
    bound_kb: float


def settings(door: bool, memory_kb: int) -> Settings:
    kinds = tuple(
        RequestClass(
            latency_objective_us=aim,
            request_timeout_us=8_000_000,
            late_priority_weight=0.5,
            effect=Effect.SAFE,
        )
        for aim in (1_500_000, 6_000_000)
    )
    members = tuple(Tenant(1.0 / MEMBERS) for _ in range(MEMBERS))
    made = Settings(classes=kinds, tenants=members, max_attempts=3, max_retry_after_us=8_000_000)
    return replace(made, admission=AdmissionSettings(memory_bytes=memory_kb * 1024)) if door else made


def drive(
    clients: int, calls: int, door: bool, memory_kb: int, seed: int, trace: bool, load: float = 2.0
) -> Cost:
    """So many calls from so many clients, each as likely as any other."""
    draw = random.Random(seed)
    gc.collect()
    if trace:
        tracemalloc.start()
    balancer = LoadBalancer(settings(door, memory_kb), seed)
    balancer.handle(0, EndpointList(ListKind.FULL, tuple(ListedServer(n) for n in range(SERVERS))))
    due: list[tuple[int, int, Event]] = []
    order, now, spent = 0, 0, 0
    free_us = [0] * SERVERS  # when each server has done what it holds
    tries: dict[str, int] = {}
    gap_us = WORK_US / SERVERS / load

    def take(event: Event, counted: bool) -> None:
        nonlocal order, spent
        began = time.process_time_ns()
        actions = balancer.handle(now, event)
        if counted:
            spent += time.process_time_ns() - began
        for action in actions:
            order += 1
            if isinstance(action, SendAttempt):
                attempt = tries.get(action.request, 0)
                tries[action.request] = attempt + 1
                begins = max(now, free_us[action.server])
                free_us[action.server] = ends = begins + int(draw.expovariate(1 / WORK_US))
                outcome = Outcome.OK
                if ends - now > action.timeout_us:
                    ends, outcome = now + action.timeout_us, Outcome.TIMEOUT
                over = AttemptEnded(
                    action.request, attempt, action.server, outcome, ends - now, outcome is Outcome.OK
                )
                heapq.heappush(due, (ends, order, over))
            elif isinstance(action, SetTimer):
                heapq.heappush(due, (action.due_us, order, TimerFired(action.token)))

    arrival = 0.0
    for number in range(WARM + calls):
        arrival += draw.expovariate(1 / gap_us)
        while due and due[0][0] <= arrival:
            now, _, event = heapq.heappop(due)
            take(event, number >= WARM)
        now = int(arrival)
        client = draw.randrange(clients) + 1
        take(
            RequestArrived(
                f"{number:x}", number % 2, 8_000_000, number, tenant=client % MEMBERS, client=client
            ),
            number >= WARM,
        )
    held = 0.0
    if trace:
        tries.clear()
        due.clear()
        gc.collect()
        held = tracemalloc.get_traced_memory()[0] / 1024
        tracemalloc.stop()
    made = balancer.admission
    return Cost(
        clients,
        door,
        spent / 1000 / calls,
        made.queued if made else len(balancer.capacity_wait),
        made.open_reservations if made else 0,
        held,
        made.memory_used() / 1024 if made else 0.0,
        memory_kb if made else 0.0,
    )


def measure(
    sizes: list[int],
    calls: int,
    rounds: int,
    memory_kb: int,
    progress: Callable[[float], None],
    load: float = 2.0,
) -> list[dict[str, Any]]:
    """Medians by number of clients, fair queues on and off by turns; memory in a round of its own."""
    rows = []
    total, at = len(sizes) * (2 * rounds + 1), 0
    for size in sizes:
        found: dict[bool, list[Cost]] = {True: [], False: []}
        for turn in range(rounds):
            for door in (True, False) if turn % 2 else (False, True):
                found[door].append(drive(size, calls, door, memory_kb, turn, False, load))
                at += 1
                progress(at / total)
        traced = drive(size, max(calls, 2 * size), True, memory_kb, 0, True, load)
        at += 1
        progress(at / total)
        on, off = (statistics.median(c.call_us for c in found[door]) for door in (True, False))
        ratios = [a.call_us / b.call_us for a, b in zip(found[True], found[False], strict=True)]
        row = asdict(traced) | {"call_us": on, "off_us": off, "times": on / off}
        row |= {"times_from": min(ratios), "times_to": max(ratios)}
        del row["door"]
        rows.append({k: round(v, 2) if isinstance(v, float) else v for k, v in row.items()})
    return rows
