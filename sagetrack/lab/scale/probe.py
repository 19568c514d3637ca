"""What a probe is, and how its figures are taken: work in steps of the interpreter, CPU, memory, the longest
hold.

Steps are bytecodes that Python runs: the same every time on one version of Python, whatever else the machine
does, and a loop over n entries shows as n. What runs inside C (a sort, a sum, a JSON text) counts as one
step; its growth shows in the times alone.
"""

from __future__ import annotations

import gc
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, field
from types import FrameType
from typing import Any

from sagetrack.lab.scale.fit import Fit, fit
from sagetrack.lab.scale.world import FleetAhead

POINTS = 5
ROUNDS = 5
SPAN_S = 0.05  # CPU of a round, about
MOST_EVENTS = 200  # of a round
Values = dict[str, float]
TIMES = ("cpu_us", "cpu_us_least", "cpu_us_most", "longest_ms")


def steps(call: Callable[[], object]) -> int:
    """Bytecodes that a call runs.

    The garbage collector rests meanwhile: finalizers of objects made earlier would be counted with it.
    """
    count = 0

    def each(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal count
        count += event == "opcode"
        return each

    def begin(frame: FrameType, event: str, arg: object) -> Any:
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        return each

    before, collects = sys.gettrace(), gc.isenabled()
    gc.disable()
    sys.settrace(begin)
    try:
        call()
    finally:
        sys.settrace(before)
        if collects:
            gc.enable()
    return count


def held_bytes(make: Callable[[], object]) -> float:
    """Python's own count of what stays allocated once something is made."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        gc.collect()
        grown = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    del made
    return float(max(0, grown))


class Meter:
    """Takes an event's figures; times only where they are wanted, as they mean nothing on a busy machine."""

    def __init__(self, times: bool) -> None:
        self.times = times

    def event(
        self, call: Callable[[], object], between: Callable[[], object] = lambda: None, few: int = 3
    ) -> Values:
        """Steps, CPU and the longest hold of one event; `between` runs before each and is not counted."""
        taken = []
        for _ in range(few):
            between()
            taken.append(steps(call))
        values: Values = {"steps": statistics.median(taken)}
        if not self.times:
            return values
        between()
        began = time.thread_time_ns()
        call()
        each_s = max(1e-7, (time.thread_time_ns() - began) / 1e9)
        count = max(1, min(MOST_EVENTS, int(SPAN_S / each_s)))
        rounds, longest = [], 0
        for _ in range(ROUNDS):
            spent = 0
            for _ in range(count):
                between()
                started, began = time.perf_counter_ns(), time.thread_time_ns()
                call()
                spent += time.thread_time_ns() - began
                longest = max(longest, time.perf_counter_ns() - started)
            rounds.append(spent / count / 1000)
        median = statistics.median(rounds)
        return values | dict(zip(TIMES, (median, min(rounds), max(rounds), longest / 1e6), strict=True))


@dataclass(slots=True, frozen=True)
class Probe:
    """One question: what becomes of a figure as one size grows and the others are held."""

    name: str
    role: str  # gateway, agent, control, peers or servers
    about: str  # the event that the figures are of
    axis: str  # the size that is swept, by its name in Sizes
    held: str  # the others
    mechanism: str  # the file that carries it
    run: Callable[[FleetAhead, int, Meter], Values]
    least: int = 10
    most: int = 0  # the largest size that is played; 0: the target's
    quick_most: int = 0  # the same of a quick run
    virtual: tuple[str, ...] = ()  # measures in simulated time: real whatever the machine does


@dataclass(slots=True)
class Found:
    """A probe's figures."""

    probe: Probe
    target: int
    points: list[tuple[int, Values]] = field(default_factory=list)
    fits: dict[str, Fit] = field(default_factory=dict)

    def fit(self) -> None:
        for measure in self.points[0][1]:
            made = fit(*zip(*((float(size), values[measure]) for size, values in self.points), strict=True))
            if made is not None:
                self.fits[measure] = made


def spread(least: int, most: int, points: int = POINTS) -> list[int]:
    """Sizes from the least to the most in even steps of their logarithm."""
    least = max(1, min(least, most))
    raw = [round(least * (most / least) ** (step / (points - 1))) for step in range(points)]
    return sorted(set(raw))


def sweep(probe: Probe, fleet: FleetAhead, meter: Meter, quick: bool, progress: Callable[[], None]) -> Found:
    """Ask a probe at each of its sizes."""
    target = int(getattr(fleet.sizes, probe.axis))
    bound = probe.quick_most if quick and probe.quick_most else probe.most
    most = min(target, bound) if bound else target
    found = Found(probe, target)
    for size in spread(probe.least, most):
        found.points.append((size, probe.run(fleet, size, meter)))
        progress()
    found.fit()
    return found
