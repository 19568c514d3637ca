"""A gateway without its protocol: requests come in, the load balancer decides, and attempts go out.

Nothing is chosen here. One event is handled and its actions are executed before the next; what happens
meanwhile is queued.
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
from sagetrack.core.metrics import Gauges, Metrics, ReasonCounter
from sagetrack.core.requests import Request
from sagetrack.core.send_rules import DenialReason
from sagetrack.core.server_list import ServerList
from sagetrack.policy.events import ListKind, Outcome, ProcessCountChanged, RequestArrived, ShutdownStarted
from sagetrack.policy.load_balancer import LoadBalancer
from sagetrack.policy.settings import Settings


class Gateway:
    """The requests of one protocol: one load balancer, one upstream pool. Made on a running event loop.

    Attributes:
        settings: The settings of the load balancer.
        balancer: The load balancer.
        known_endpoints: The endpoint list that was known before the start, as service discovery encodes it.
        in_flight: The requests in flight, by id.
        post: Queues an event for the load balancer: see `EventDispatcher.post`.
        executor: Executes the actions of the load balancer.
        trace: The flight recorder.
        violations: Counts of violated invariants.
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
        """Make a gateway that serves nothing before `start`.

        Args:
            settings: The settings of the load balancer.
            seed: Of the load balancer's random generator.
            classes: The names of the request classes, in the order of the settings.
            upstream: The servers' side of the protocol; closed with the gateway.
            known_endpoints: The endpoint list that was known before the start.
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
        self.metrics = Metrics(classes, self._gauges())
        self._context = self._make_context()
        self._servers = ServerList(self._context)
        attempts = AttemptStarter(self._context, self._servers)
        self.executor = ActionExecutor(self._context, attempts, self._loop)
        self._dispatcher.start(self.executor)
        self._watchdog = ResponseDeadlineWatchdog(self._context, self.executor, self._loop)

    def _gauges(self) -> Gauges:
        """Return what computes the metrics of the present state, by their names."""
        return {
            "current": self.in_flight.awaiting_response_count,
            "cluster_size": lambda: len(self._upstream.listed),
            "cluster_unhealthy": lambda: self.balancer.unhealthy_count(),
        }

    def _make_context(self) -> GatewayContext:
        """Make what the parts share, and export its counters."""
        context = GatewayContext(
            settings=self.settings,
            upstream=self._upstream,
            in_flight=self.in_flight,
            post=self.post,
            metrics=self.metrics,
            trace=self.trace,
            violations=self.violations,
            denials=ReasonCounter("withheld_total", "reason", (denial.value for denial in DenialReason)),
            outcomes=ReasonCounter("attempts_total", "outcome", (outcome.value for outcome in Outcome)),
            rejections=ReasonCounter("refused_total", "reason", ()),
        )
        for counts in (self.violations, context.denials, context.outcomes, context.rejections):
            self.metrics.metric_sources.append(counts.metric_values)
        return context

    def start(self, endpoint_source: EndpointSource) -> None:
        """Begin with the endpoints known before; newer ones are requested when the load balancer decides."""
        self._context.endpoint_source = endpoint_source
        endpoint_source.restore_known_endpoints(self.known_endpoints)
        self._watchdog.start()

    @property
    def recorder(self) -> Recorder | None:
        """Records attempts and events into the durable store, where the operator has one."""
        return self._context.recorder

    @recorder.setter
    def recorder(self, recorder: Recorder | None) -> None:
        self._context.recorder = recorder

    def set_process_count(self, processes: int) -> None:
        """Inform the load balancer how many processes of this gateway run side by side now."""
        self.post(lambda: ProcessCountChanged(processes))

    def server_start_times(self) -> dict[int, int]:
        """Return when each listed server started, in microseconds: it tells incarnations apart."""
        return self._upstream.server_start_times()

    @property
    def can_serve(self) -> bool:
        """Whether there is any server to send to."""
        return bool(self._upstream.listed)

    def close(self) -> None:
        """Stop at once: no event is handled any more, and all upstream connections are closed."""
        self._dispatcher.close()
        self._watchdog.close()
        if self._context.endpoint_source is not None:
            self._context.endpoint_source.close()
        self._upstream.close()

    def submit(self, request: Request) -> bool:
        """Take a request, which will have exactly one final response unless it is cancelled.

        Returns:
            Whether it was taken: False if a request with its id is in flight already.
        """
        if request.id in self.in_flight:
            return False
        now = now_us()
        waited_us = max(0, now - request.received_us) if request.received_us else 0
        self.in_flight[request.id] = InFlightRequest(request, now + request.client_timeout_us - waited_us)
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
        """Drop a request whose client has disconnected: no response is sent."""
        self.in_flight.cancel(id_)

    def shut_down_within(self, wait_s: float) -> None:
        """Answer everything in flight, and what is still submitted, within this time.

        What is unanswered at its end is cancelled then; the process may be killed soon after.
        """
        end_us = now_us() + int(wait_s * 1e6)
        self.post(lambda: ShutdownStarted(end_us))
        self._loop.call_later(wait_s + TIMER_ROUNDING_S, self.in_flight.cancel_attempts_without_response)

    def on_endpoint_list(self, kind: ListKind, entries: list[Endpoint]) -> None:
        """Queue an endpoint list; it is applied when its turn comes."""
        self.post(lambda: self._servers.apply(kind, entries))
