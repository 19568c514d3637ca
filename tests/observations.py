"""Sample observations of servers for tests."""

from __future__ import annotations

from sagetrack.policy.peer_observations import Observation

NOW = 1_700_000_000_000_000
STARTED = NOW - 5_000_000


def observations(count: int) -> list[Observation]:
    """Return one observation of each of the servers 1 to `count`."""
    return [
        Observation(n, STARTED, 1, NOW - 1_000_000, n % 3, NOW + 300_000, 0.5) for n in range(1, count + 1)
    ]
