"""Backoff of polls of the endpoint list, where its changes are not pushed.

All gateways poll one service of fixed capacity, and what fails one poll fails the others too: pauses are
drawn from a span and grow with the failures in a row. No setting moves their bounds: gateways have to know
the endpoint list six seconds after discovery can be reached again, whatever poll interval is configured.
core/deadlines.py has the sums that these bounds are part of.
"""

from __future__ import annotations

MIN_PAUSE_US = 10_000  # after a first failure: a poll interval of 0 must not cause a busy loop
FIRST_PAUSE_US = 500_000  # after a first failure, at most: a silent watch has used most of the time
MAX_PAUSE_US = 1_400_000  # after any number of failures: two of these and two calls must fit in


def max_poll_delay_us(failures: int, max_poll_interval_us: int) -> int:
    """The longest pause after so many failures in a row; it doubles with each up to a bound."""
    first_us = min(max(max_poll_interval_us // 20, MIN_PAUSE_US), FIRST_PAUSE_US)
    return min(first_us << min(failures - 1, 3), MAX_PAUSE_US)


def max_first_poll_delay_us(max_poll_interval_us: int) -> int:
    """The longest time after its start until a gateway polls for the first time."""
    return min(max_poll_interval_us // 10, MAX_PAUSE_US)
