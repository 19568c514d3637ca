"""When the present life of each server began, on this proxy's own clock. Pure.

Stamps are readings of the clock of whoever lists the servers. That clock, or the one here, may have been
stepped by seconds or an hour: a stamp tells lives apart, and how old one is only where nothing speaks against
it. What a life's beginning was once taken to be stays so, whatever either clock does later.
"""

from __future__ import annotations

from collections import OrderedDict

LISTING_LAG_US = 10_000_000  # a server is listed within this of its start, while there is word of changes
REMEMBERED = 32_768  # lives, the last that were heard of: servers come back to the list in the same one

Incarnation = tuple[int, int]  # the server and its stamp


class Incarnations:
    """Beginnings of lives, each found once."""

    def __init__(self) -> None:
        self.began: OrderedDict[Incarnation, int] = OrderedDict()

    def began_us(self, server: int, stamp_us: int, now_us: int, wall_us: int, unheard_us: int | None) -> int:
        """When this life began, at most now.

        `wall_us`: Unix time here as the stamp was read. `unheard_us`: for how long before now there was no
        word of the list, where it was heard of without this life; None where nothing was heard.
        """
        life = server, stamp_us
        began_us = self.began.get(life)
        if began_us is None:
            began_us = now_us - _age_us(wall_us - stamp_us, unheard_us)
            self.began[life] = began_us
            if len(self.began) > REMEMBERED:
                self.began.popitem(last=False)
        else:
            self.began.move_to_end(life)
        return began_us


def _age_us(told_us: int, unheard_us: int | None) -> int:
    """How old a life is by its stamp, or 0 where that cannot be.

    Guards a server that has just started against its whole share, where its stamp is behind, and against
    hours of slow start, where it is ahead. To take one for younger than it is costs a slow start too many.
    """
    if told_us < 0:
        return 0
    if unheard_us is not None and told_us > unheard_us + LISTING_LAG_US:
        return 0
    return told_us
