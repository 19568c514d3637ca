"""Deadlines that follow from the settings and the protocol, each with its sum written out.

Nothing here reads a clock. Whoever has to meet a deadline takes its limits from here.

How the limits for service discovery are derived

Every change of the endpoint list has to be here before the grace for sending is over: before the time in
which a gateway may still send to a server that drains or is gone. G is that grace in seconds, and at least
`MIN_GRACE_S`. "Delivered" means that G runs from that moment on.

Pushed: an agent on this machine is polled, which costs nothing. What the agent has counts as delivered at
once, also while a watch is silent or is being opened anew, and when service discovery recovers. All limits
are fractions of G.

- A watch that has fallen silent: wait G/4 + response G/8 + backoff G/16 + connect G/8 + response G/8 = 11/16
  of G. The other 5/16 (0.6 s of 2) are for a busy core and for an attempt that was chosen a moment before.
- After failures all backoffs are equal, and polls of the complete list do not wait for a change: response
  G/8 + 2 x (backoff G/16 + connect G/8 + response G/8) = 3/4 of G.

Polled: one service of fixed capacity serves all gateways, and calls queue there, so that few are made.
Whatever has failed, a change counts as delivered 6 s after service discovery had it and could be reached. A
newer list has to be here by 6 + G, and the limits are chosen for 6 + 3/4 G.

- What a watch of H seconds misses, silent from its first moment on, counts as delivered after max(6, H + 2).
  H = 6 - 2 is the longest wait with which nothing counts as delivered later than after 6 s, by either term.
- Limits are fractions of g = min(G, (4 + G)/3), which is G up to 2 s. As fractions of a longer G they alone
  would use up the time (at G = 4: 10.5 s of 10).
- The load balancer decides when to poll again, and no setting changes its longest backoff
  (policy/discovery_backoff.py). A watch that falls silent, with the backoff after a first failure: wait 4 +
  response g/2 + backoff 0.5 + connect 3g/8 + response g/2 = 4.5 + 11/8 g (G = 2: 7.25 of 7.5).
- After any number of failures a poll waits for 1 ms, as it only has to find out whether service discovery has
  recovered. The poll that is in flight at the recovery is lost, and its response limit counts, as that for
  connecting is shorter. The next one is rejected as late as possible, and the one after it succeeds: 0.001 +
  response g/2 + 2 x (backoff 1.4 + connect 3g/8 + response g/2) = 2.801 + 9/4 g (G = 2: 7.301).
- A service that rejects a second time in a row has more calls than it can serve, and counts as unreachable
  until its last rejection: if all gateways polled again within 1.4 s, they would keep it overloaded (seen
  with 32 gateways at a service of fixed capacity). From then on each waits for 2.6 s more at most: backoff
  1.4 + 2.6 + call 7/8 g = 4 + 7/8 g (G = 2: 5.75 of 7.5).
- With g = (4 + G)/3, thus for G over 2 s, a silent watch takes 6.34 + 0.46 G and a recovery 5.81 + 0.75 G.
- A new process waits for 1.4 s at most before its first call, as if that were the first of those backoffs.
- What a new address of service discovery has to deliver counts as delivered 4 s after the signal, and has to
  be here by 4 + G: call 7/8 g + backoff 1.4 + call 7/8 g = 1.4 + 7/4 g (G = 2: 4.9 of 6).
"""

from __future__ import annotations

from dataclasses import dataclass

from sagetrack.policy.discovery_backoff import MAX_DELAY_US, MAX_FIRST_DELAY_US
from sagetrack.policy.settings import Settings

SILENT_WATCH_LIMIT_S = 6.0  # after a watch fell silent, when the changes it has missed count as delivered
AFTER_POLL_WAIT_S = 2.0  # or this long after the end of the wait that was requested, if that is later
REJECTION_BACKOFF_S = 2.6  # beside the longest backoff, after a second rejection in a row: 4 s together
RETRY_POLL_WAIT_S = 0.001  # of the poll after a failure: the least that can be requested
REUSE_DELAY_S = 0.015  # a surplus second response comes some milliseconds after the first (seen: 1.6 to 8.6)
MIN_GRACE_S = 0.4  # the grace to plan with where the settings allow less, as a call takes some time


@dataclass(slots=True, frozen=True)
class DiscoveryTimeouts:
    """How service discovery is polled. All times are in seconds.

    Attributes:
        poll_wait_s: How long a watch asks service discovery to wait for a change.
        retry_poll_wait_s: The same for the first poll after a failure.
        response_timeout_s: For a response, beyond that wait.
        connect_timeout_s: For a connection to open.
        first_backoff_s: At most, after a failure; after the first one, where the load balancer decides.
        max_backoff_s: At most, after any number of failures.
        rejection_backoff_s: At most, in addition, after a second rejection in a row.
        initial_list_timeout_s: At the start: how long clients may be kept waiting for the first list.
    """

    poll_wait_s: float
    retry_poll_wait_s: float
    response_timeout_s: float
    connect_timeout_s: float
    first_backoff_s: float
    max_backoff_s: float
    rejection_backoff_s: float
    initial_list_timeout_s: float

    @property
    def max_call_s(self) -> float:
        """The longest time for a call that waits for no change, from opening the connection on."""
        return self.connect_timeout_s + self.response_timeout_s

    @property
    def max_stall_s(self) -> float:
        """The longest time from a watch's falling silent to the response on the next connection."""
        return self.poll_wait_s + self.response_timeout_s + self.first_backoff_s + self.max_call_s

    @property
    def max_recovery_s(self) -> float:
        """The longest time from the recovery of service discovery, after failures, to its response.

        The call that is in flight then is lost and times out. The one after it may be rejected, as many
        gateways poll at a recovery.
        """
        lost_s = max(self.connect_timeout_s, self.retry_poll_wait_s + self.response_timeout_s)
        rejected_s = self.max_backoff_s + self.max_call_s
        return lost_s + rejected_s + self.max_backoff_s + self.max_call_s

    @property
    def max_rejection_s(self) -> float:
        """The longest time from the last of several rejections to the response."""
        return self.max_backoff_s + self.rejection_backoff_s + self.max_call_s

    @property
    def max_relocation_s(self) -> float:
        """The longest time from a new address to its response, where the first call there fails."""
        return self.max_call_s + self.max_backoff_s + self.max_call_s


def discovery_timeouts(settings: Settings) -> DiscoveryTimeouts:
    """Return limits by which every change of the endpoint list is here before the grace has passed."""
    grace_s = max(MIN_GRACE_S, settings.stop_sending_within_us / 1e6)
    return _pushed_timeouts(grace_s) if settings.endpoints_are_pushed else _polled_timeouts(grace_s)


def _pushed_timeouts(grace_s: float) -> DiscoveryTimeouts:
    """Return the limits for an agent on this machine: see "Pushed" above."""
    return DiscoveryTimeouts(
        poll_wait_s=grace_s / 4,
        retry_poll_wait_s=0.0,
        response_timeout_s=grace_s / 8,
        connect_timeout_s=grace_s / 8,
        first_backoff_s=grace_s / 16,
        max_backoff_s=grace_s / 16,
        rejection_backoff_s=0.0,
        initial_list_timeout_s=grace_s / 4,
    )


def _polled_timeouts(grace_s: float) -> DiscoveryTimeouts:
    """Return the limits for a service that all gateways share: see "Polled" above."""
    planned_s = min(grace_s, (4.0 + grace_s) / 3)  # g
    return DiscoveryTimeouts(
        poll_wait_s=SILENT_WATCH_LIMIT_S - AFTER_POLL_WAIT_S,
        retry_poll_wait_s=RETRY_POLL_WAIT_S,
        response_timeout_s=planned_s / 2,
        connect_timeout_s=planned_s * 3 / 8,
        first_backoff_s=MAX_FIRST_DELAY_US / 1e6,
        max_backoff_s=MAX_DELAY_US / 1e6,
        rejection_backoff_s=REJECTION_BACKOFF_S,
        initial_list_timeout_s=0.0,
    )
