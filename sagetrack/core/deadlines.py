"""Deadlines that follow from the settings and the protocol, each with its sum written out.

Nothing here reads a clock. Whoever has to be in time asks here how long it may take.
"""

from __future__ import annotations

from dataclasses import dataclass

from sagetrack.decide.interface import Settings

SILENCE_S = 6.0  # what a silent watch misses counts as told this long after it fell silent
AFTER_WAIT_S = 2.0  # or this long after the wait that was asked for is over, if that is later
REST_S = 0.005  # a server's second answer comes some milliseconds after the first (seen: 1.6 to 4.2)
LEAST_GRACE_S = 0.4  # what is planned with where the settings allow less: a call needs some time


@dataclass(slots=True, frozen=True)
class Watching:
    """How the list of servers is asked for."""

    hold_s: float  # how long a watch asks to wait for news
    answer_s: float  # for an answer, beyond that wait
    connect_s: float
    pause_s: float  # at most, after a failure, where it is not the module that asks again
    first_s: float  # at the start: how long clients may be kept waiting for the first list

    @property
    def noticed_s(self) -> float:
        """The longest time from a watch's falling silent to the whole list on the next connection."""
        return self.hold_s + self.answer_s + self.pause_s + self.connect_s + self.answer_s


def watching(settings: Settings) -> Watching:
    """Limits that bring every change of the list here before the grace for sending has passed.

    Pushed: the agent on this machine is asked, at no cost, and what it has counts as told at once, also while
    a watch is silent or being opened anew, and when discovery returns. With G the grace:

        hold G/4 + answer G/8 + pause G/16 + connect G/8 + answer G/8 = 11/16 of G

    which leaves 5/16 of G (0.6 s of 2) for a busy core and the attempt that was chosen a moment before.

    Asked for: one service of fixed capacity answers all gateways, and calls wait in turn, so that few are
    made. What a watch of H seconds misses, silent from its first moment on, counts as told after
    max(6, H + 2); H = 6 - 2 is the longest for which nothing counts later than the silence itself allows, and
    whichever of the two clocks is read, it ends at 6. Until 6 + G there must be a newer list, with a quarter
    of G to spare:

        hold 4 + answer G/2 + pause G/4 + connect 3G/8 + answer G/2 = 4 + 13/8 G, and 6 + 3/4 G are there
        (G = 2: 7.25 of 7.5)

    The module asks again after a failure there; its first pauses are under G/4 (0.5 s).
    """
    grace_s = max(LEAST_GRACE_S, settings.stop_sending_within_us / 1e6)
    if settings.list_is_pushed:
        return Watching(
            hold_s=grace_s / 4, answer_s=grace_s / 8, connect_s=grace_s / 8, pause_s=grace_s / 16,
            first_s=grace_s / 4,
        )  # fmt: skip
    return Watching(
        hold_s=SILENCE_S - AFTER_WAIT_S, answer_s=grace_s / 2, connect_s=grace_s * 3 / 8, pause_s=grace_s / 4,
        first_s=0.0,
    )  # fmt: skip
