"""The protocol-independent gateway: passes requests to the load balancer and executes its decisions.

This module makes no load-balancing decisions. Events are handled strictly one at a time: all actions of an
event are executed before the next event is handled, and events that occur meanwhile are queued.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

from sagetrack.core.action_executor import TIMER_ROUNDING_S, ActionExecutor
from sagetrack.core.answer_watchdog import ResponseDeadlineWatchdog
from sagetrack.core.attempt_starter import AttemptStarter
from sagetrack.core.clock import now_us
from sagetrack.core.context import GatewayContext
from sagetrack.core.endpoints import Endpoint, EndpointSource
from sagetrack.core.event_dispatcher import EventDispatcher, PostEvent
from sagetrack.core.event_trace import EventTrace
from sagetrack.core.in_flight import InFlightRequest, InFlightRequests
from sagetrack.core.interfaces import Recorder, UpstreamPool
from sagetrack.core.invariants import InvariantViolations
from sagetrack.core.metrics import Gauges, LabeledCounter, Metrics
from sagetrack.core.recent_requests import RecentRequests
from sagetrack.core.requests import Request
from sagetrack.core.send_rules import DenialReason
from sagetrack.core.server_list import ServerList
from sagetrack.policy.events import ListKind, Outcome, ProcessCountChanged, RequestArrived, ShutdownStarted
from sagetrack.policy.load_balancer import LoadBalancer
from sagetrack.policy.settings import Settings


class Gateway:
    """Serves requests with one load balancer and one upstream pool.

    An instance must be created while an event loop is running.

    Attributes:
        settings: The settings of the load balancer.
        balancer: The load balancer.
        known_endpoints: The endpoint list supplied at startup, in the encoding of service discovery.
        in_flight: The requests in flight, by id.
        recent_requests: The ids of requests that may have run.
        post: Queues an event for the load balancer; see `EventDispatcher.post`.
        executor: Executes the actions of the load balancer.
        trace: Keeps the most recent unusual events in memory for operators.
        violations: Counts invariant violations.
        metrics: The exported metrics.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        classes: Sequence[str],
        upstream: UpstreamPool,
        known_endpoints: dict[str, Any],
    ) -> None:
        """Create a gateway, which has no servers until `start` is called.

        Args:
            settings: The settings of the load balancer.
            seed: The seed of the load balancer's random number generator.
            classes: The names of the request classes, in the order of the settings.
            upstream: The upstream pool of the protocol, which `close` closes too.
            known_endpoints: The initial endpoint list, in the encoding of service discovery.
        """
        self._loop = asyncio.get_running_loop()
        self.settings = settings
        self.balancer = LoadBalancer(settings, seed)
        self.known_endpoints = known_endpoints
        self._upstream = upstream
        self.trace = EventTrace()
        self.violations = InvariantViolations(self.trace)
        self._dispatcher = EventDispatcher(self.balancer, self.violations)
        self.post: PostEvent = self._dispatcher.post
        self.in_flight = InFlightRequests(upstream, self.trace, self.post)
        self.recent_requests = RecentRequests()
        self.metrics = Metrics(classes, self._gauges())
        self._context = self._make_context()
        self._servers = ServerList(self._context)
        attempts = AttemptStarter(self._context, self._servers)
        self.executor = ActionExecutor(self._context, attempts, self._loop)
        self._dispatcher.start(self.executor)
        self._watchdog = ResponseDeadlineWatchdog(self._context, self.executor, self._loop)

    def _gauges(self) -> Gauges:
        """Return the functions that compute the gauge metrics, by metric name."""
        return {
            "current": self.in_flight.awaiting_response_count,
            "cluster_size": lambda: len(self._upstream.listed),
            "cluster_unhealthy": lambda: self.balancer.unhealthy_count(),
        }

    def _make_context(self) -> GatewayContext:
        """Create the context shared by the gateway's components, and export its counters."""
        context = GatewayContext(
            settings=self.settings,
            upstream=self._upstream,
            in_flight=self.in_flight,
            post=self.post,
            metrics=self.metrics,
            trace=self.trace,
            violations=self.violations,
            denials=LabeledCounter("withheld_total", "reason", (denial.value for denial in DenialReason)),
            outcomes=LabeledCounter("attempts_total", "outcome", (outcome.value for outcome in Outcome)),
            rejections=LabeledCounter("refused_total", "reason", ()),
            recent_requests=self.recent_requests,
        )
        self.metrics.metric_sources.append(self.recent_requests.metric_values)
        for counts in (self.violations, context.denials, context.outcomes, context.rejections):
            self.metrics.metric_sources.append(counts.metric_values)
        return context

    def start(self, endpoint_source: EndpointSource) -> None:
        """Apply the initial endpoint list and start checking response deadlines.

        Newer lists are fetched when the load balancer requests them.
        """
        self._context.endpoint_source = endpoint_source
        endpoint_source.restore_known_endpoints(self.known_endpoints)
        self._watchdog.start()

    @property
    def recorder(self) -> Recorder | None:
        """Recorder of attempts and events in the durable store; None if no store is configured."""
        return self._context.recorder

    @recorder.setter
    def recorder(self, recorder: Recorder | None) -> None:
        self._context.recorder = recorder

    def set_process_count(self, processes: int) -> None:
        """Tell the load balancer how many processes of this gateway are running, such as in a hot restart."""
        self.post(lambda: ProcessCountChanged(processes))

    def server_start_times(self) -> dict[int, int]:
        """Return the start time in microseconds of each listed server; it identifies the incarnation."""
        return self._upstream.server_start_times()

    @property
    def can_serve(self) -> bool:
        """True if at least one server is listed."""
        return bool(self._upstream.listed)

    def close(self) -> None:
        """Stop immediately: handle no further events and close all upstream connections."""
        self._dispatcher.close()
        self._watchdog.close()
        if self._context.endpoint_source is not None:
            self._context.endpoint_source.close()
        self._upstream.close()

    def submit(self, request: Request) -> bool:
        """Accept a request, whose client receives exactly one final response unless it is cancelled.

        Returns:
            True if the request was accepted; False if one with the same id is in flight or may have run.
        """
        request_class = self.settings.classes[request.class_index]
        if request.id in self.in_flight or not self.recent_requests.may_run(request.id, request_class):
            return False
        now = now_us()
        waited_us = max(0, now - request.received_us) if request.received_us else 0
        self.in_flight.add(InFlightRequest(request, now + request.client_timeout_us - waited_us))
        event = RequestArrived(
            request.id,
            request.class_index,
            request.client_timeout_us,
            request.key,
            request.work_us,
            request.is_retry,
            request.tenant,
            request.streamed_body is not None,
            request.client_id,
            request.mirror_target,
            waited_us,
        )
        self.post(lambda: event)
        return True

    def cancel_request(self, id_: str) -> None:
        """Cancel a request whose client has disconnected; no response is sent."""
        self.in_flight.cancel(id_)

    def shut_down_within(self, wait_s: float) -> None:
        """Respond to all requests in flight, and to those still submitted, within `wait_s` seconds.

        When that time is over, attempts whose response has not started are cancelled, because the process
        may be killed soon afterwards.
        """
        end_us = now_us() + int(wait_s * 1e6)
        self.post(lambda: ShutdownStarted(end_us))
        self._loop.call_later(wait_s + TIMER_ROUNDING_S, self.in_flight.cancel_attempts_without_response)

    def on_endpoint_list(self, kind: ListKind, entries: list[Endpoint]) -> None:
        """Queue an endpoint list, which is applied after the events that are already queued."""
        self.post(lambda: self._servers.apply(kind, entries))
