"""When the present incarnation of each server began, on this gateway's own clock.

Stamps are readings of the clock of service discovery. That clock, or the one here, may have been stepped by
seconds or an hour: a stamp tells incarnations apart, and their age only where nothing contradicts it. The
beginning that was once worked out for an incarnation stays, whatever either clock does later.
"""

from __future__ import annotations

from collections import OrderedDict

LISTING_LAG_US = 10_000_000  # a server is listed within this of its start, while changes are heard of
MAX_INCARNATIONS = 32_768  # the last ones heard of: a server may leave the list and come back in the same

Incarnation = tuple[int, int]  # the server and its stamp


class Incarnations:
    """The beginnings of incarnations, each worked out once."""

    def __init__(self) -> None:
        self._started_at_us: OrderedDict[Incarnation, int] = OrderedDict()

    def started_at_us(
        self, server: int, reported_start_us: int, now_us: int, wall_us: int, since_current_us: int | None
    ) -> int:
        """When an incarnation began, at most now.

        Args:
            server: The server's number.
            reported_start_us: When it started by the clock of service discovery.
            now_us: The present time on this gateway's clock.
            wall_us: Unix time here as the stamp was read.
            since_current_us: For how long before now the list, which lacked this incarnation, was not heard
                of; None where it was never heard.
        """
        incarnation = server, reported_start_us
        started_at_us = self._started_at_us.get(incarnation)
        if started_at_us is None:
            started_at_us = now_us - _age_us(wall_us - reported_start_us, since_current_us)
            self._started_at_us[incarnation] = started_at_us
            if len(self._started_at_us) > MAX_INCARNATIONS:
                self._started_at_us.popitem(last=False)
        else:
            self._started_at_us.move_to_end(incarnation)
        return started_at_us


def _age_us(reported_age_us: int, since_current_us: int | None) -> int:
    """The age by the stamp, or 0 where that cannot be.

    A stamp that is behind would give a server that has just started its full load, one that is ahead hours of
    slow start. To take a server for younger than it is costs no more than a needless slow start.
    """
    if reported_age_us < 0:
        return 0
    if since_current_us is not None and reported_age_us > since_current_us + LISTING_LAG_US:
        return 0
    return reported_age_us
