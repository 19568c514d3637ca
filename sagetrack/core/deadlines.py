"""Service discovery time limits, derived from the grace period that the settings specify.

This module does not read a clock; it supplies the limits that other modules enforce.

Derivation of the time limits

The grace period G is the time, in seconds, during which a gateway may still send to a server after its
withdrawal (draining or gone) was delivered. The gateway must have received every change of the endpoint list
by the end of the grace period. G is at least `MIN_GRACE_S`. "Delivered" means that G starts at that moment.

Pushed lists: an agent on this machine is polled, so that a call costs little. A change counts as delivered as
soon as the agent has it, even while a watch is silent or being reopened, and when service discovery recovers.
All limits are fractions of G.

- A watch that has stopped responding is replaced after wait G/4 + response G/8 + backoff G/16 + connect G/8 +
  response G/8 = 11/16 of G. The remaining 5/16 of G (0.6 s of 2) allow for a busy core and for attempts
  chosen just before the change.
- After failures all backoffs are equal, and polls of the complete list do not wait for a change: response
  G/8 + 2 x (backoff G/16 + connect G/8 + response G/8) = 3/4 of G.

Polled lists: one service of fixed capacity serves all gateways and queues their calls, so that each gateway
makes few calls. A change counts as delivered at the latest 6 s after service discovery had it and was
reachable, whatever has failed. A newer list must therefore be received within 6 + G, and the limits are
designed for 6 + 3/4 G.

- A change missed by a watch of H seconds that was silent from its start counts as delivered after
  max(6, H + 2). H = 6 - 2 is the longest wait for which no change counts as delivered later than after 6 s,
  by either term.
- The limits are fractions of g = min(G, (4 + G)/3), which equals G up to 2 s. As fractions of a longer G they
  would exceed the total (at G = 4: 10.5 s of 10).
- The load balancer decides when to poll again, and its longest backoff is not configurable
  (policy/discovery_backoff.py). A watch that stops responding, followed by the backoff after a first failure,
  takes wait 4 + response g/2 + backoff 0.5 + connect 3g/8 + response g/2 = 4.5 + 11/8 g (G = 2: 7.25 of 7.5).
- After any number of failures a poll requests a wait of only 1 ms, because it only has to find out whether
  service discovery has recovered. The poll in flight at the recovery is lost and takes its whole response
  limit, which is longer than the connect limit. In the worst case the next poll is rejected just before its
  limit, and the one after it succeeds: 0.001 + response g/2 + 2 x (backoff 1.4 + connect 3g/8 +
  response g/2) = 2.801 + 9/4 g (G = 2: 7.301).
- A service that rejects two calls in a row is overloaded, and counts as unreachable until its last rejection.
  If all gateways polled again within 1.4 s, they would keep it overloaded (observed with 32 gateways and a
  service of fixed capacity). From the second rejection on, each gateway therefore waits up to 2.6 s longer:
  backoff 1.4 + 2.6 + call 7/8 g = 4 + 7/8 g (G = 2: 5.75 of 7.5).
- With g = (4 + G)/3, that is for G over 2 s, replacing a silent watch takes 6.34 + 0.46 G and a recovery
  takes 5.81 + 0.75 G.
- A new process waits up to 1.4 s before its first call, as if after one of those backoffs.
- When service discovery moves to a new address, what it serves there counts as delivered 4 s after the signal
  and must be received within 4 + G: call 7/8 g + backoff 1.4 + call 7/8 g = 1.4 + 7/4 g (G = 2: 4.9 of 6).
"""

from __future__ import annotations

from dataclasses import dataclass

from sagetrack.policy.discovery_backoff import MAX_DELAY_US, MAX_FIRST_DELAY_US
from sagetrack.policy.settings import Settings

# Changes missed by a silent watch count as delivered at the later of the following two times.
SILENT_WATCH_LIMIT_S = 6.0  # measured from the moment the watch stopped responding
AFTER_POLL_WAIT_S = 2.0  # measured from the end of the wait that the watch requested
# Added to the longest backoff after a second rejection in a row; together they are 4 s.
REJECTION_BACKOFF_S = 2.6
RETRY_POLL_WAIT_S = 0.001  # the shortest wait that a poll can request; used after a failure
# A connection is reused only after this delay: a faulty server's surplus second response arrives some
# milliseconds after the first (observed: 1.6 to 8.6 ms).
REUSE_DELAY_S = 0.015
MIN_GRACE_S = 0.4  # the smallest grace period that limits are derived from, as a call takes some time


@dataclass(slots=True, frozen=True)
class DiscoveryTimeouts:
    """Time limits for calls to service discovery, in seconds.

    Attributes:
        poll_wait_s: The wait for a change that a watch requests from service discovery (long polling).
        retry_poll_wait_s: The wait that the first poll after a failure requests.
        response_timeout_s: Time limit for a response, in addition to the requested wait.
        connect_timeout_s: Time limit for opening a connection.
        first_backoff_s: Longest backoff after a failure; for polled lists, only after a first failure.
        max_backoff_s: Longest backoff after any number of failures.
        rejection_backoff_s: Longest additional backoff after a second rejection in a row.
        initial_list_timeout_s: At startup, the longest time clients may wait for the first list.
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
        """Longest duration of a call that does not wait for a change, including opening the connection."""
        return self.connect_timeout_s + self.response_timeout_s

    @property
    def max_stall_s(self) -> float:
        """Longest time from the start of a watch that gets no response to the response of the next call."""
        return self.poll_wait_s + self.response_timeout_s + self.first_backoff_s + self.max_call_s

    @property
    def max_recovery_s(self) -> float:
        """Longest time from the recovery of service discovery to its next successful response.

        The call in flight at the recovery is lost and times out. The next call may be rejected, because many
        gateways poll at that moment.
        """
        lost_s = max(self.connect_timeout_s, self.retry_poll_wait_s + self.response_timeout_s)
        rejected_s = self.max_backoff_s + self.max_call_s
        return lost_s + rejected_s + self.max_backoff_s + self.max_call_s

    @property
    def max_rejection_s(self) -> float:
        """Longest time from the last of several rejections to a successful response."""
        return self.max_backoff_s + self.rejection_backoff_s + self.max_call_s

    @property
    def max_relocation_s(self) -> float:
        """Longest time from a change of address to a response from the new one, if the first call fails."""
        return self.max_call_s + self.max_backoff_s + self.max_call_s


def discovery_timeouts(settings: Settings) -> DiscoveryTimeouts:
    """Return time limits such that every endpoint list change is received within its grace period."""
    grace_s = max(MIN_GRACE_S, settings.stop_sending_within_us / 1e6)
    return _pushed_timeouts(grace_s) if settings.endpoints_are_pushed else _polled_timeouts(grace_s)


def _pushed_timeouts(grace_s: float) -> DiscoveryTimeouts:
    """Return the limits for an agent on this machine; see "Pushed lists" above."""
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
    """Return the limits for a service shared by all gateways; see "Polled lists" above."""
    planned_s = min(grace_s, (4.0 + grace_s) / 3)  # g in the derivation above
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
