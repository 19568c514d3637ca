"""How the calls of discovery have ended: the metric by outcome, failures in a row and overload."""

from __future__ import annotations

from enum import StrEnum

from sagetrack.core.clock import now_us
from sagetrack.core.log import log
from sagetrack.core.metrics import LabeledCounter
from sagetrack.discovery.endpoint_parsing import EndpointListUpdate

OVERLOAD_STATUSES = (429, 503)  # discovery can be reached, and has too many calls
# From so many overload responses on, without a list between, a watch waits besides the backoff; what else
# failed between them does not matter.
OVERLOADS_UNTIL_WAIT = 2


class CallOutcome(StrEnum):
    """How a call ended; the values are the metric's label."""

    COMPLETE_LIST = "whole"
    CHANGES = "changes"
    NO_CHANGES = "no_news"
    TIMEOUT = "late"
    FAILED = "failed"


class CallHistory:
    """What the calls up to now say of the next one.

    Attributes:
        counts: Calls by outcome, an exported metric.
        last_failed: Whether the last call failed; the next one only finds out whether discovery is back.
        no_list_since_failure: Whether no list has come since the last failure, or since the start.
    """

    def __init__(self) -> None:
        self.counts = LabeledCounter("discovery_calls_total", "outcome", ())
        self.last_failed = False
        self.no_list_since_failure = True
        self._failing_since_us: int | None = None  # the first of the calls in a row that have failed
        self._last_response_us: int | None = None
        self._overloads = 0  # overload responses since the last list

    @property
    def time_without_contact_us(self) -> int | None:
        """Time since the last response that `on_list_reported` noted; None: there was none."""
        return None if self._last_response_us is None else now_us() - self._last_response_us

    @property
    def is_overloaded(self) -> bool:
        """Whether discovery has so many calls that a watch should wait."""
        return self._overloads >= OVERLOADS_UNTIL_WAIT

    def on_status(self, status: int) -> None:
        """A response has come, with this HTTP status."""
        self._overloads += status in OVERLOAD_STATUSES

    def on_failure(self, error: Exception) -> None:
        """A call has failed; it is logged."""
        timed_out = isinstance(error, TimeoutError)
        self.counts.add(CallOutcome.TIMEOUT if timed_out else CallOutcome.FAILED)
        if self._failing_since_us is None:
            self._failing_since_us = now_us()
        log(f"discovery call failed: {'timeout, no response in time' if timed_out else error}")
        self.no_list_since_failure = True
        self.last_failed = True

    def on_success(self, update: EndpointListUpdate) -> None:
        """A call has brought a usable list; the end of a failure is logged."""
        if update.is_complete:
            self.counts.add(CallOutcome.COMPLETE_LIST)
        else:
            self.counts.add(CallOutcome.CHANGES if update.endpoints else CallOutcome.NO_CHANGES)
        if self._failing_since_us is not None:
            log(f"discovery reachable again after {(now_us() - self._failing_since_us) / 1e6:.2f} s")
            self._failing_since_us = None
        self.last_failed = False
        self._overloads = 0

    def on_reporting(self) -> None:
        """A list is about to be reported to the load balancer: it makes up for the failures before it."""
        self.no_list_since_failure = False

    def on_list_reported(self) -> None:
        """A list, or that it is unchanged, has been reported to the load balancer."""
        self._last_response_us = now_us()

    def on_address_changed(self) -> None:
        """Calls go to another address from now on."""
        self.no_list_since_failure = True
        self._overloads = 0
