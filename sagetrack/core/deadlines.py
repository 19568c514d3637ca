"""Deadlines that follow from the settings and the protocol, each with its sum written out.

Nothing here reads a clock. Whoever has to be in time asks here how long it may take.
"""

from __future__ import annotations

from dataclasses import dataclass

from sagetrack.policy.discovery_backoff import FIRST_PAUSE_US, MAX_PAUSE_US
from sagetrack.policy.interface import Settings

SILENCE_S = 6.0  # what a silent watch misses counts as told this long after it fell silent
AFTER_WAIT_S = 2.0  # or this long after the wait that was asked for is over, if that is later
BUSY_S = 2.6  # beside the longest pause, after a second refusal in a row: 4 s together
RETRY_HOLD_S = 0.001  # for news, after a failure: the least that can be asked for
REST_S = 0.015  # a second answer comes some milliseconds after the first (seen: 1.6 to 8.6)
LEAST_GRACE_S = 0.4  # what is planned with where the settings allow less: a call needs some time


@dataclass(slots=True, frozen=True)
class Watching:
    """How the list of servers is asked for."""

    hold_s: float  # how long a watch asks to wait for news
    retry_hold_s: float  # the same for the first one after a failure
    answer_s: float  # for an answer, beyond that wait
    connect_s: float
    pause_s: float  # at most, after a failure; where the module asks again, after the first
    longest_pause_s: float  # at most, after any number of failures
    busy_s: float  # at most, besides that, after a second refusal in a row
    first_s: float  # at the start: how long clients may be kept waiting for the first list

    @property
    def call_s(self) -> float:
        """The longest time for a call, from the connection on, that waits for no news."""
        return self.connect_s + self.answer_s

    @property
    def noticed_s(self) -> float:
        """The longest time from a watch's falling silent to the answer on the next connection."""
        return self.hold_s + self.answer_s + self.pause_s + self.call_s

    @property
    def returned_s(self) -> float:
        """The longest time from discovery's return, after failures, to its answer.

        The call that is under way then has been lost: it is given up. The one after it may be refused, as
        many ask at a return.
        """
        lost_s = max(self.connect_s, self.retry_hold_s + self.answer_s)
        refused_s = self.longest_pause_s + self.call_s
        return lost_s + refused_s + self.longest_pause_s + self.call_s

    @property
    def refused_s(self) -> float:
        """The longest time from the last of several refusals to the answer."""
        return self.longest_pause_s + self.busy_s + self.call_s

    @property
    def moved_s(self) -> float:
        """The longest time from a new address to its answer, where the first call there fails."""
        return self.call_s + self.longest_pause_s + self.call_s


def watching(settings: Settings) -> Watching:
    """Limits that bring every change of the list here before the grace for sending has passed.

    G is the grace, and at least 0.4 s where limits are shares of it.

    Pushed: the agent on this machine is asked, at no cost, and what it has counts as told at once, also while
    a watch is silent or being opened anew, and when discovery returns. A watch that has fallen silent:

        hold G/4 + answer G/8 + pause G/16 + connect G/8 + answer G/8 = 11/16 of G

    which leaves 5/16 of G (0.6 s of 2) for a busy core and the attempt that was chosen a moment before. After
    failures, with all pauses alike and the whole list asked for, which waits for no news:

        answer G/8 + 2 x (pause G/16 + connect G/8 + answer G/8) = 3/4 of G

    Asked for: one service of fixed capacity answers all gateways, and calls wait in turn, so that few are
    made. Whatever has failed, a change counts as told 6 s after discovery had it and could be reached: until
    6 + G there must be a newer list, and 6 + 3/4 G is planned with. What a watch of H seconds misses, silent
    from its first moment on, counts as told after max(6, H + 2); H = 6 - 2 is the longest for which nothing
    counts later than the silence itself allows, and whichever of the two clocks is read, it ends at 6. Limits
    are shares of g = min(G, (4 + G)/3), which is G up to 2 s: as shares of a longer G they alone would use up
    the time (at G = 4: 10.5 s of 10). The module asks again, and no setting moves the longest that it pauses
    (decide/asking.py). A watch that falls silent, with the pause after a first failure:

        hold 4 + answer g/2 + pause 0.5 + connect 3g/8 + answer g/2 = 4.5 + 11/8 g    (G = 2: 7.25 of 7.5)

    After any number of failures a call holds for 1 ms, as it is to tell only whether discovery is back. One
    is under way at the return and lost (answer limit; that for connecting is shorter), the next is refused
    as late as it may be, and the one after it answered:

        0.001 + answer g/2 + 2 x (pause 1.4 + connect 3g/8 + answer g/2) = 2.801 + 9/4 g    (G = 2: 7.301)

    Who refuses a second time in a row has more calls than it can answer, and counts as out of reach until it
    has refused for the last time: if all asked again within 1.4 s, they would keep each other waiting (seen
    with 32 gateways at a service of fixed capacity). From then on each waits for 2.6 s more at most:

        pause 1.4 + 2.6 + call 7/8 g = 4 + 7/8 g    (G = 2: 5.75 of 7.5)

    With g = (4 + G)/3 the first is 6.34 + 0.46 G and the second 5.81 + 0.75 G. A new process waits 1.4 s at
    most with its first call, as if it were the first of those pauses. What a new address has to tell counts
    4 s after the signal, and has to be here within 4 + G:

        call 7/8 g + pause 1.4 + call 7/8 g = 1.4 + 7/4 g    (G = 2: 4.9 of 6)
    """
    grace_s = max(LEAST_GRACE_S, settings.stop_sending_within_us / 1e6)
    if settings.endpoints_are_pushed:
        return Watching(
            hold_s=grace_s / 4,
            retry_hold_s=0.0,
            answer_s=grace_s / 8,
            connect_s=grace_s / 8,
            pause_s=grace_s / 16,
            longest_pause_s=grace_s / 16,
            busy_s=0.0,
            first_s=grace_s / 4,
        )
    planned_s = min(grace_s, (4.0 + grace_s) / 3)
    return Watching(
        hold_s=SILENCE_S - AFTER_WAIT_S,
        retry_hold_s=RETRY_HOLD_S,
        answer_s=planned_s / 2,
        connect_s=planned_s * 3 / 8,
        pause_s=FIRST_PAUSE_US / 1e6,
        longest_pause_s=MAX_PAUSE_US / 1e6,
        busy_s=BUSY_S,
        first_s=0.0,
    )
