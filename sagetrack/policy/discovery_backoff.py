"""Backoff for polling the endpoint list when service discovery does not push its changes.

All gateways poll one service of fixed capacity, and a cause that makes one poll fail makes the others fail
too. So delays are random, and their upper bound grows with the number of consecutive failures. No setting can
raise that bound further: a gateway must have the endpoint list within six seconds after discovery is
reachable again, whatever poll interval is configured. core/deadlines.py shows how these bounds add up.
"""

from __future__ import annotations

MIN_FIRST_DELAY_US = 10_000  # avoids a busy loop if the poll interval is 0
# Bound after the first failure. It is short because detecting a silent watch has taken most of the time.
MAX_FIRST_DELAY_US = 500_000
# Bound after any number of failures. Two such delays and two polls must fit into the six seconds.
MAX_DELAY_US = 1_400_000


def max_poll_delay_us(failures: int, max_poll_interval_us: int) -> int:
    """Return the longest delay after this many consecutive failures. It doubles with each, up to a bound."""
    first_us = min(max(max_poll_interval_us // 20, MIN_FIRST_DELAY_US), MAX_FIRST_DELAY_US)
    return min(first_us << min(failures - 1, 3), MAX_DELAY_US)


def max_first_poll_delay_us(max_poll_interval_us: int) -> int:
    """Return the longest delay from the start of a gateway to its first poll."""
    return min(max_poll_interval_us // 10, MAX_DELAY_US)
