"""Measures one event: steps of the interpreter, CPU time, the longest duration, memory.

Steps are bytecodes that Python runs: they are the same every time on one version of Python, whatever else
the machine does, and a loop over n entries shows as n. What runs inside C (a sort, a sum, a JSON text)
counts as one step; its growth shows in the times alone.
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
ROUND_S = 0.05  # approximate CPU time of a round
MAX_EVENTS_PER_ROUND = 200
MIN_EVENT_S = 1e-7  # assumed of an event too short for the clock
Values = dict[str, float]  # by measure; the names are those of the stored results
TIMES = ("cpu_us", "cpu_us_least", "cpu_us_most", "longest_ms")


@contextmanager
def _gc_paused() -> Iterator[None]:
    """Pause the garbage collector: finalizers of earlier objects would be counted with the event."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def count_steps(call: Callable[[], object]) -> int:
    """Return the number of bytecodes that a call runs. Tracing that was on before is on again afterwards."""
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
    """Return Python's own count of the bytes that stay allocated once something is made."""
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
    """Prepare nothing."""


class Meter:
    """Measures events; takes times only if `takes_times`, as they mean nothing on a busy machine."""

    def __init__(self, measures_times: bool) -> None:
        self.measures_times = measures_times

    def measure_event(
        self,
        call: Callable[[], object],
        prepare: Callable[[], object] = _do_nothing,
        step_samples: int = 3,
    ) -> Values:
        """Return the steps of one event, and its times if they are taken.

        Args:
            call: The event.
            prepare: Runs before each event and is not counted.
            step_samples: Events whose steps are counted; the median is returned.
        """
        samples = []
        for _ in range(step_samples):
            prepare()
            samples.append(count_steps(call))
        values: Values = {"steps": statistics.median(samples)}
        return values | self._time_event(call, prepare) if self.measures_times else values

    def _time_event(self, call: Callable[[], object], prepare: Callable[[], object]) -> Values:
        """CPU time over some rounds (median, least, most) and the longest single event."""
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
