"""Limits a gateway's concurrency where its share of a server's limit is less than one request.

For example, a limit of three requests at a server that eighteen gateways use cannot be divided into integers:
with one request from each gateway the server would have eighteen. So a gateway keeps to its share of the
concurrency of all servers on average over time. It spends credit while it has more than its share in flight
and earns credit while it has less. The sum over all gateways then stays within the limit without
communication, whichever gateways have requests at the time, and a gateway that was idle may send a burst. The
credit is small, so that simultaneous bursts of all gateways do not fill a server's queue for long enough to
overload it.

The limit is an assumption: servers may have more cores, and other gateways may have less traffic. A gateway
that exhausts its share while its responses do not queue boosts the share in small steps, and reduces the
boost quickly when responses have queued. This is additive increase, multiplicative decrease (Chiu and Jain,
1989), and never goes below the share.
"""

from __future__ import annotations

MAX_SAVED_US = 500_000.0  # maximum saved credit, as time at the full share
MAX_DEBT_US = 4_000_000.0  # maximum debt, which bounds the time that hanging servers block a gateway
MIN_CREDIT_US = -MAX_DEBT_US
BOOST_CREDIT_US = 100_000.0  # credit needed per attempt in flight beyond the share, as saved time
# Bounds of prompt and late responses, as the ratio of their queueing time to the baseline latency.
PROMPT_QUEUEING, LATE_QUEUEING = 1.0, 2.0
BOOST_STEP, BOOST_CUT = 0.15, 0.7  # step added after a prompt response; factor applied after a late one
MAX_BOOST = 16.0  # multiple of the share; large enough for servers with many cores
MIN_SHARE = 1e-3  # avoids division by zero without servers, when nothing is sent anyway


class ConcurrencyShare:
    """A token bucket of credit that is filled by the share and drained by attempts in flight."""

    __slots__ = ("_as_of_us", "_credit_us", "_share", "_was_exhausted", "boost")

    def __init__(self) -> None:
        self._share = MIN_SHARE  # average number of attempts in flight, boost included
        self._credit_us = 0.0  # unused credit, in attempts in flight times microseconds
        self._as_of_us = 0  # time up to which the credit is accounted for
        self._was_exhausted = False  # True if the share was used up since the last response
        self.boost = 1.0  # factor applied to the share

    def wait_us(self, now_us: int, in_flight: int, share: float) -> int | None:
        """Return the time until one more attempt may start.

        Args:
            now_us: The current time.
            in_flight: Attempts in flight. `update_credit` must be called before each change of this number.
            share: Average number of attempts that this gateway may have in flight from now on.

        Returns:
            Microseconds, 0 if it may start now; None if it has to wait for another attempt to end.
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
        """Update the credit for the attempts that were in flight since the last call."""
        share = self._share
        self._credit_us = max(
            MIN_CREDIT_US * share,
            min(MAX_SAVED_US * share, self._credit_us + (share - in_flight) * (now_us - self._as_of_us)),
        )
        self._as_of_us = now_us

    def learn(self, queueing_ratio: float) -> None:
        """Adjust the boost after a response.

        Args:
            queueing_ratio: Queueing time as a multiple of the baseline latency; infinite if the response was
                lost or the request rejected.
        """
        if queueing_ratio > LATE_QUEUEING:
            self.boost = max(1.0, self.boost * BOOST_CUT)
        elif queueing_ratio < PROMPT_QUEUEING and self._was_exhausted:
            self.boost = min(MAX_BOOST, self.boost + BOOST_STEP)
        self._was_exhausted = False
