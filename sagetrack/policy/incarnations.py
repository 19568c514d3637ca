"""Estimates when server incarnations started, on this gateway's own clock.

Service discovery reports start times on its own clock. That clock or the gateway's may have been stepped by
seconds or by an hour. So a reported start time identifies an incarnation, but its age is taken from it only
if nothing contradicts that. The estimate for an incarnation is made once and does not change when either
clock is stepped later.
"""

from __future__ import annotations

from collections import OrderedDict

# While list changes are received, a server is listed within this time of its start.
LISTING_LAG_US = 10_000_000
# The most recently listed incarnations are remembered, even those that are no longer listed: a server may
# leave the list and return without a restart.
MAX_INCARNATIONS = 32_768

Incarnation = tuple[int, int]  # the server's id and its reported start time


class Incarnations:
    """Start times of incarnations, each estimated once."""

    def __init__(self) -> None:
        self._started_at_us: OrderedDict[Incarnation, int] = OrderedDict()

    def started_at_us(
        self, server: int, reported_start_us: int, now_us: int, wall_us: int, staleness_us: int | None
    ) -> int:
        """Return the estimated start time of an incarnation, not later than now.

        Args:
            server: The id of the server.
            reported_start_us: Its start time on the clock of service discovery.
            now_us: The current time on this gateway's clock.
            wall_us: The gateway's Unix time when the reported start time was received.
            staleness_us: Time since the previous list, which lacked this incarnation, was last known to
                be current; None if there was no previous list.
        """
        incarnation = server, reported_start_us
        started_at_us = self._started_at_us.get(incarnation)
        if started_at_us is None:
            started_at_us = now_us - _age_us(wall_us - reported_start_us, staleness_us)
            self._started_at_us[incarnation] = started_at_us
            if len(self._started_at_us) > MAX_INCARNATIONS:
                self._started_at_us.popitem(last=False)
        else:
            self._started_at_us.move_to_end(incarnation)
        return started_at_us


def _age_us(reported_age_us: int, staleness_us: int | None) -> int:
    """Return the reported age, or 0 if that age is implausible.

    A reported start time that is too early would give a server that has just started its full load; one that
    is too late would keep it in slow start for hours. Underestimating the age only costs an unneeded slow
    start.
    """
    if reported_age_us < 0:
        return 0
    if staleness_us is not None and reported_age_us > staleness_us + LISTING_LAG_US:
        return 0
    return reported_age_us
