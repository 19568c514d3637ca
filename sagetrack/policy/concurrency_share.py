"""A gateway's part of what servers hold, kept over time where it is less than one place at each. Pure.

A bound of three at a server that eighteen gateways use cannot be dealt out in whole places: each would hold
one, and the server eighteen. So a gateway keeps a part of all places at all servers, as a mean over time:
while it holds more than its part it uses up credit, while it holds less it saves some. The sum over all
gateways then keeps the whole without a message, whoever of them has work just then, and a gateway with
nothing to send for a while may hold several in a burst. What is saved is little, so that all gateways
together fill no server's queue for as long as it takes to jam one.

The places are a guess: servers may have more cores, and other gateways less to do. A gateway that finds its
part used up while its answers come unhindered takes more, by small steps, and gives it back by large ones
when answers have waited: additive increase, multiplicative decrease (Chiu, Jain, 1989), never below its part.
"""

from __future__ import annotations

SAVED_US = 500_000.0  # of its part that is saved at the most
OWED_US = 4_000_000.0  # of its part that is owed at the most: servers that hang silence it for no longer
LEAST_CREDIT_US = -OWED_US
AHEAD_US = 100_000.0  # for so long what is beyond its part has to be saved: no burst is begun on credit
PROMPT, LATE = 1.0, 2.0  # times the unhindered latency that an answer has waited: below, above
STEP, CUT = 0.15, 0.7  # of the part: added after a prompt answer, left after a late one
MOST_EASE = 16.0  # times its part: servers of many cores
LEAST_PART = 1e-3  # attempts in the mean; with no server at all nothing is sent anyway


class ConcurrencyShare:
    """Credit for holding attempts: a token bucket filled at `part` and drained by what is out."""

    __slots__ = ("_at_us", "_credit_us", "_part", "_short", "ease")

    def __init__(self) -> None:
        self._part = LEAST_PART  # attempts out, in the mean
        self._credit_us = 0.0  # attempts times microseconds
        self._at_us = 0
        self._short = False  # the part was used up since the last answer
        self.ease = 1.0  # times the part

    def wait_us(self, now_us: int, out: int, part: float) -> int | None:
        """How long until one more attempt may begin, in microseconds: 0 now, None not before one ends.

        `part` holds from now on; whenever `out` changes, `pass_time` is told first what was out until then.
        """
        self.pass_time(now_us, out)
        self._part = max(LEAST_PART, part * self.ease)
        if self._credit_us >= max(0.0, out - self._part) * AHEAD_US:
            return 0
        self._short = True
        if out >= self._part:
            return None
        return int(-self._credit_us / (self._part - out)) + 1

    def pass_time(self, now_us: int, out: int) -> None:
        """So many attempts have been out since the last call."""
        part = self._part
        self._credit_us = max(
            LEAST_CREDIT_US * part,
            min(SAVED_US * part, self._credit_us + (part - out) * (now_us - self._at_us)),
        )
        self._at_us = now_us

    def learn(self, waited: float) -> None:
        """An answer has waited for so many times its unhindered latency; a lost or refused one for ever."""
        if waited > LATE:
            self.ease = max(1.0, self.ease * CUT)
        elif waited < PROMPT and self._short:
            self.ease = min(MOST_EASE, self.ease + STEP)
        self._short = False
