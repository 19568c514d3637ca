"""By how many gateways a bound or a cold server's budget is to be shared, as far as is known who lives. Pure.

Who is cut off cannot be told from who is dead, and both sides of a cut go on sending. So a share grows only
on the side of the majority, and by no more than the margin that is planned with: with at most `GROWTH` of the
shares taken over, a majority that uses all of it and a minority that still sends as before stay within the
whole together.
"""

from __future__ import annotations

import math

GROWTH = 0.25  # of all shares that may be taken over


def sharers(alive: int, all_: int) -> int:
    """So many share. `alive` counts this gateway and all who are not known to be dead; doubt is alive."""
    if all_ < 1 or not 0 < alive <= all_ or 2 * alive <= all_:
        return max(1, all_)
    return max(alive, math.ceil((1.0 - GROWTH) * all_))
