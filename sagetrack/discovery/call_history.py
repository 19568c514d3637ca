"""Outcomes of calls to the discovery service: a metric, failures in a row and overload detection."""

from __future__ import annotations

from enum import StrEnum

from sagetrack.core.clock import now_us
from sagetrack.core.log import log
from sagetrack.core.metrics import LabeledCounter
from sagetrack.discovery.endpoint_parsing import EndpointListUpdate

OVERLOAD_STATUSES = (429, 503)  # statuses of a reachable service that is overloaded
# After this many overload responses since the last list, a watch waits in addition to the backoff of the load
# balancer. Other failures in between do not reset the count.
OVERLOAD_RESPONSES_BEFORE_WAIT = 2


class CallOutcome(StrEnum):
    """Outcome of a call; the values are the values of the metric's `outcome` label."""

    COMPLETE_LIST = "whole"
    CHANGES = "changes"
    NO_CHANGES = "no_news"
    TIMEOUT = "late"
    FAILED = "failed"


class CallHistory:
    """Records the outcome of each call, from which the client decides when and how to make the next one.

    Attributes:
        counts: Number of calls by outcome, an exported metric.
        last_failed: True if the last call failed. The next call is then a short poll that only tests whether
            discovery is available again.
        no_list_since_failure: True if no list has been received since the last failure or since the start.
    """

    def __init__(self) -> None:
        self.counts = LabeledCounter("discovery_calls_total", "outcome", ())
        self.last_failed = False
        self.no_list_since_failure = True
        self._failing_since_us: int | None = None  # time of the first failure of the current series
        self._last_response_us: int | None = None
        self._overload_responses = 0  # number of overload responses since the last list

    @property
    def time_without_contact_us(self) -> int | None:
        """Time since the last call of `on_list_reported`; None if it has not been called yet."""
        return None if self._last_response_us is None else now_us() - self._last_response_us

    @property
    def is_overloaded(self) -> bool:
        """True if discovery has rejected so many calls that a watch should wait before the next one."""
        return self._overload_responses >= OVERLOAD_RESPONSES_BEFORE_WAIT

    def on_status(self, status: int) -> None:
        """Record the HTTP status of a response."""
        self._overload_responses += status in OVERLOAD_STATUSES

    def on_failure(self, error: Exception) -> None:
        """Record and log the failure of a call."""
        timed_out = isinstance(error, TimeoutError)
        self.counts.add(CallOutcome.TIMEOUT if timed_out else CallOutcome.FAILED)
        if self._failing_since_us is None:
            self._failing_since_us = now_us()
        log(f"discovery call failed: {'timeout, no response in time' if timed_out else error}")
        self.no_list_since_failure = True
        self.last_failed = True

    def on_success(self, update: EndpointListUpdate) -> None:
        """Record a call that returned a usable list; the first one after failures is logged."""
        if update.is_complete:
            self.counts.add(CallOutcome.COMPLETE_LIST)
        else:
            self.counts.add(CallOutcome.CHANGES if update.endpoints else CallOutcome.NO_CHANGES)
        if self._failing_since_us is not None:
            log(f"discovery reachable again after {(now_us() - self._failing_since_us) / 1e6:.2f} s")
            self._failing_since_us = None
        self.last_failed = False
        self._overload_responses = 0

    def before_list_reported(self) -> None:
        """Record that a list is about to be reported to the load balancer, as required after a failure."""
        self.no_list_since_failure = False

    def on_list_reported(self) -> None:
        """Record that a response has been processed and, if needed, reported to the load balancer."""
        self._last_response_us = now_us()

    def on_address_changed(self) -> None:
        """Reset the state that depends on the address: calls go to another service from now on."""
        self.no_list_since_failure = True
        self._overload_responses = 0
