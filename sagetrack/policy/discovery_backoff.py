"""When the list of servers is asked for, where nobody brings its changes by themselves. Pure.

All gateways ask one service of fixed capacity, and what keeps one of them from asking keeps the others too:
pauses are drawn from a span, and grow with the failures in a row. No setting moves their bounds: what
discovery has to tell counts as told six seconds after it can be reached again, however long a gateway may be
silent by the rules. core/deadlines.py has the sums that these bounds are part of.
"""

from __future__ import annotations

LEAST_PAUSE_US = 10_000  # after a first failure: a setting of nothing must not have calls made without end
FIRST_PAUSE_US = 500_000  # after a first failure, at most: a silent watch has taken most of the time by then
LONGEST_PAUSE_US = 1_400_000  # after any number of them: there must be time for two of these, and two calls


def longest_pause_us(failures: int, max_poll_interval_us: int) -> int:
    """The pause after so many failures in a row, at most; it doubles with each up to a bound."""
    first_us = min(max(max_poll_interval_us // 20, LEAST_PAUSE_US), FIRST_PAUSE_US)
    return min(first_us << min(failures - 1, 3), LONGEST_PAUSE_US)


def first_call_us(max_poll_interval_us: int) -> int:
    """How long after its start, at most, a gateway asks for the first time."""
    return min(max_poll_interval_us // 10, LONGEST_PAUSE_US)
