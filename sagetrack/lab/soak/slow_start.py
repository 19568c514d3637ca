"""Slow start in the soak: what the gateways are configured with, and what they may send at most. Pure."""

from __future__ import annotations

START_CAPACITY = 0.13  # of the full capacity, when a server has just started
WARMUP_S = 12.0
OVERLOAD_MULTIPLE = 4.0  # a server is overloaded at so many times its present capacity
SLOW_START_WINDOW_S = 3.0
MEAN_WORK_S = 0.0175  # as `server.WORK_S` is drawn from
SMALL_COUNT = 30  # below it the normal approximation of a Poisson count needs more slack


def slow_start_budget(age_s: float) -> float:
    """Requests that a server so long after its start can take in one window.

    That is the overload limit of its capacity, and two standard deviations and two requests more (three of
    each for small counts), since requests arrive at random.
    """
    capacity = min(1.0, START_CAPACITY + (1.0 - START_CAPACITY) * age_s / WARMUP_S)
    expected = OVERLOAD_MULTIPLE * capacity * SLOW_START_WINDOW_S / MEAN_WORK_S
    slack = 3 if expected < SMALL_COUNT else 2
    return float(expected + slack * expected**0.5 + slack)
