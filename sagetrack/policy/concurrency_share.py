"""A gateway's share of the concurrency of all servers, where it is less than one request at each.

A limit of three requests at a server that eighteen gateways use cannot be divided into integers: with one
request for each gateway the server would have eighteen. So a gateway keeps to a share of the concurrency of
all servers as a mean over time: while it has more than its share in flight it uses up credit, while it has
less it saves some. The sum over all gateways then keeps the limit without a message, whichever of them has
requests at the time, and a gateway that was idle may send a burst. The credit is small, so that bursts of all
gateways together do not fill a server's queue for as long as it takes to overload one.

The limit is a guess: servers may have more cores, and other gateways less to do. A gateway that finds its
share used up while its answers come without queueing boosts it by small steps, and takes the boost back by
large ones when answers have queued: additive increase, multiplicative decrease (Chiu, Jain, 1989), never
below its share.
"""

from __future__ import annotations

MAX_SAVED_US = 500_000.0  # of its share that may be saved up
MAX_DEBT_US = 4_000_000.0  # of its share that may be owed: servers that hang stop a gateway for no longer
MIN_CREDIT_US = -MAX_DEBT_US
BOOST_CREDIT_US = 100_000.0  # how long credit for what is beyond its share must have been saved
PROMPT_QUEUEING, LATE_QUEUEING = (
    1.0,
    2.0,
)  # times the baseline latency that an answer has queued: below, above
BOOST_STEP, BOOST_CUT = 0.15, 0.7  # of the share: added after a prompt answer, left after a late one
MAX_BOOST = 16.0  # times its share: servers of many cores
MIN_SHARE = 1e-3  # attempts in the mean; with no server at all nothing is sent anyway


class ConcurrencyShare:
    """A token bucket of credit that fills with the share and drains with attempts in flight."""

    __slots__ = ("_as_of_us", "_credit_us", "_share", "_was_exhausted", "boost")

    def __init__(self) -> None:
        self._share = MIN_SHARE  # attempts in flight, in the mean
        self._credit_us = 0.0  # attempts times microseconds
        self._as_of_us = 0
        self._was_exhausted = False  # the share was used up since the last answer
        self.boost = 1.0  # times the share

    def wait_us(self, now_us: int, in_flight: int, share: float) -> int | None:
        """How long until one more attempt may begin.

        Args:
            now_us: The present time.
            in_flight: Attempts in flight; whenever that changes, `update_credit` has to be called before.
            share: Attempts in flight in the mean that are this gateway's, from now on.

        Returns:
            Microseconds, 0 for at once; None if no attempt may begin before another ends.
        """
        self.update_credit(now_us, in_flight)
        self._share = max(MIN_SHARE, share * self.boost)
        if self._credit_us >= max(0.0, in_flight - self._share) * BOOST_CREDIT_US:
            return 0
        self._was_exhausted = True
        if in_flight >= self._share:
            return None
        return int(-self._credit_us / (self._share - in_flight)) + 1

    def update_credit(self, now_us: int, in_flight: int) -> None:
        """Account for the attempts that have been in flight since the last call."""
        share = self._share
        self._credit_us = max(
            MIN_CREDIT_US * share,
            min(MAX_SAVED_US * share, self._credit_us + (share - in_flight) * (now_us - self._as_of_us)),
        )
        self._as_of_us = now_us

    def learn(self, queueing_ratio: float) -> None:
        """Move the boost by how long an answer has queued, as a multiple of its baseline latency.

        A lost or rejected answer has queued infinitely long.
        """
        if queueing_ratio > LATE_QUEUEING:
            self.boost = max(1.0, self.boost * BOOST_CUT)
        elif queueing_ratio < PROMPT_QUEUEING and self._was_exhausted:
            self.boost = min(MAX_BOOST, self.boost + BOOST_STEP)
        self._was_exhausted = False
