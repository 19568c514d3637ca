"""Measurement of one event: interpreter steps, CPU time, longest duration and memory.

A step is one executed bytecode. The number of steps is reproducible on a given version of Python, whatever
the load of the machine, and a loop over n entries shows as a term proportional to n. A call into C code, such
as a sort, a sum or the encoding of JSON, counts as one step, so that its growth shows only in the times.
"""

from __future__ import annotations

import gc
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import FrameType
from typing import Any

ROUNDS = 5
ROUND_S = 0.05  # approximate CPU time of each round
MAX_EVENTS_PER_ROUND = 200
MIN_EVENT_S = 1e-7  # assumed duration of an event that is too short for the clock
Values = dict[str, float]  # value by measure, with the names of the stored results
TIMES = ("cpu_us", "cpu_us_least", "cpu_us_most", "longest_ms")


@contextmanager
def _gc_paused() -> Iterator[None]:
    """Pause garbage collection, as finalizers of earlier objects would be counted with the event."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def count_steps(call: Callable[[], object]) -> int:
    """Return the number of bytecodes that a call executes. A trace function set before is restored."""
    count = 0

    def count_opcode(frame: FrameType, event: str, arg: object) -> Any:
        nonlocal count
        count += event == "opcode"
        return count_opcode

    def enter_frame(frame: FrameType, event: str, arg: object) -> Any:
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        return count_opcode

    tracer_before = sys.gettrace()
    with _gc_paused():
        sys.settrace(enter_frame)
        try:
            call()
        finally:
            sys.settrace(tracer_before)
    return count


def retained_bytes(make: Callable[[], object]) -> float:
    """Return the bytes that stay allocated after a call of `make`, as traced by tracemalloc."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        retained = make()
        gc.collect()
        growth_bytes = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    del retained
    return float(max(0, growth_bytes))


def _do_nothing() -> None:
    """Default preparation of an event."""


class Meter:
    """Measures events; times are optional, because they are meaningless on a busy machine."""

    def __init__(self, measures_times: bool) -> None:
        self.measures_times = measures_times

    def measure_event(
        self,
        call: Callable[[], object],
        prepare: Callable[[], object] = _do_nothing,
        step_samples: int = 3,
    ) -> Values:
        """Return the steps of one event, and its times if the meter measures times.

        Args:
            call: Runs the event.
            prepare: Called before each event; not counted.
            step_samples: Number of events whose steps are counted; the median is returned.
        """
        samples = []
        for _ in range(step_samples):
            prepare()
            samples.append(count_steps(call))
        values: Values = {"steps": statistics.median(samples)}
        return values | self._time_event(call, prepare) if self.measures_times else values

    def _time_event(self, call: Callable[[], object], prepare: Callable[[], object]) -> Values:
        """Return the median, least and most CPU time of an event over the rounds, and the longest event."""
        prepare()
        began_ns = time.thread_time_ns()
        call()
        event_s = max(MIN_EVENT_S, (time.thread_time_ns() - began_ns) / 1e9)
        count = max(1, min(MAX_EVENTS_PER_ROUND, int(ROUND_S / event_s)))
        rounds_us = []
        longest_ns = 0
        for _ in range(ROUNDS):
            spent_ns = 0
            for _ in range(count):
                prepare()
                started_ns = time.perf_counter_ns()
                began_ns = time.thread_time_ns()
                call()
                spent_ns += time.thread_time_ns() - began_ns
                longest_ns = max(longest_ns, time.perf_counter_ns() - started_ns)
            rounds_us.append(spent_ns / count / 1000)
        figures = (statistics.median(rounds_us), min(rounds_us), max(rounds_us), longest_ns / 1e6)
        return dict(zip(TIMES, figures, strict=True))
