"""Slow start in the soak: the gateways' configuration, and the request budget of a new server. No I/O."""

from __future__ import annotations

START_CAPACITY = 0.13  # capacity of a server that has just started, as a share of its full capacity
WARMUP_S = 12.0
OVERLOAD_MULTIPLE = 4.0  # a server is overloaded at this multiple of its current capacity
SLOW_START_WINDOW_S = 3.0
MEAN_WORK_S = 0.0175  # mean of `server.WORK_S`
SMALL_COUNT = 30  # below this count the normal approximation of a Poisson count needs a larger tolerance


def slow_start_budget(age_s: float) -> float:
    """Return the maximum number of requests in one window for a server started `age_s` seconds ago.

    This is the overload limit of its capacity plus two standard deviations and two requests (three of each
    for small counts), because requests arrive at random.
    """
    capacity = min(1.0, START_CAPACITY + (1.0 - START_CAPACITY) * age_s / WARMUP_S)
    expected = OVERLOAD_MULTIPLE * capacity * SLOW_START_WINDOW_S / MEAN_WORK_S
    slack = 3 if expected < SMALL_COUNT else 2
    return float(expected + slack * expected**0.5 + slack)
