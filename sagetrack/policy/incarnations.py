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
        self.began: OrderedDict[Incarnation, int] = OrderedDict()

    def began_us(
        self, server: int, stamp_us: int, now_us: int, wall_us: int, staleness_us: int | None
    ) -> int:
        """When an incarnation began, at most now.

        Args:
            server: The server's number.
            stamp_us: When it started by the clock of service discovery.
            now_us: The present time on this gateway's clock.
            wall_us: Unix time here as the stamp was read.
            staleness_us: For how long before now the list, which lacked this incarnation, was not heard of;
                None where it was never heard.
        """
        incarnation = server, stamp_us
        began_us = self.began.get(incarnation)
        if began_us is None:
            began_us = now_us - _age_us(wall_us - stamp_us, staleness_us)
            self.began[incarnation] = began_us
            if len(self.began) > MAX_INCARNATIONS:
                self.began.popitem(last=False)
        else:
            self.began.move_to_end(incarnation)
        return began_us


def _age_us(told_us: int, staleness_us: int | None) -> int:
    """The age by the stamp, or 0 where that cannot be.

    A stamp that is behind would give a server that has just started its full load, one that is ahead hours of
    slow start. To take a server for younger than it is costs no more than a needless slow start.
    """
    if told_us < 0:
        return 0
    if staleness_us is not None and told_us > staleness_us + LISTING_LAG_US:
        return 0
    return told_us
