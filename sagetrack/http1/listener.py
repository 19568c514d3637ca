"""HTTP/1.1 listener: accepts client connections, enforces their limits and drains them at a shutdown."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from sagetrack.config.platform import Config
from sagetrack.core.acceptor import BACKLOG, Acceptor
from sagetrack.core.drain import SHUTDOWN_ACCEPT_S, Drain
from sagetrack.core.endpoints import EndpointSource
from sagetrack.core.event_trace import TraceEventKind
from sagetrack.core.fronts import Front
from sagetrack.core.gateway import Gateway
from sagetrack.core.memory_budget import MemoryBudget, OverloadAction
from sagetrack.core.processes import NoSiblings, SiblingProcesses
from sagetrack.core.send_rules import CloseReason, may_accept_clients
from sagetrack.http1.body_arrival import ARRIVAL_CHECK_S, ArrivalCheck
from sagetrack.http1.client_closes import DRAINED
from sagetrack.http1.connection_pool import ConnectionPools
from sagetrack.http1.descriptors import DescriptorBudget
from sagetrack.http1.downstream import ClientConnection, ClientContext
from sagetrack.http1.exchange import ExchangeContext
from sagetrack.http1.overload import RECLAIM_IDLE_S, OverloadManager
from sagetrack.http1.request_memory import UPSTREAM_CONNECTION_BYTES
from sagetrack.http1.requests import RequestError

DRAIN_POLL_S = 0.02  # interval of checks for connections to close during a drain
SWEEP_S = 0.2  # interval of checks for connections whose time limit has passed


class HttpListener:
    """Manages all client connections, from the accept to the end of a graceful shutdown."""

    def __init__(self, config: Config, gateway: Gateway, pools: ConnectionPools) -> None:
        self.config = config
        self.gateway = gateway
        max_timeout_us = max(request_class.request_timeout_us for request_class in config.settings.classes)
        self.drain = Drain(max_timeout_us / 1e6)
        self.siblings: SiblingProcesses = NoSiblings()
        self.exchange_context = ExchangeContext(config, gateway, lambda: self.is_ready)
        self.context = ClientContext(self.exchange_context, self.drain, pools.memory_budget)
        self.overload = OverloadManager(self.context)
        self.descriptors = DescriptorBudget(
            config,
            pools,
            self.context.phases,
            self.count_clients,
            lambda: 1 + self.siblings.sibling_count,
            self.overload.end_stalled_request,
        )
        self.memory_budget.sources += [
            lambda: gateway.in_flight.memory_bytes,
            lambda: gateway.recent_requests.memory_bytes,
            lambda: pools.open_connections * UPSTREAM_CONNECTION_BYTES,
        ]
        self.fronts: list[Front] = []  # the other protocols, which share descriptors and memory
        self.acceptor = Acceptor(
            self.admit,
            self.reclaim_idle_client,
            lambda waiting_since_us: ClientConnection(self.context, waiting_since_us),
        )
        self.describe_peers: Callable[[], list[str]] = lambda: ["messages between gateways are off"]
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.arrival_check = ArrivalCheck()
        self.arrival_timer: asyncio.TimerHandle | None = None
        self.drain_timer: asyncio.TimerHandle | None = None
        gateway.metrics.metric_sources += [
            self.acceptor.errors.metric_values,
            self.context.closes.counts.metric_values,
            self.context.memory_budget.metric_values,
        ]
        pools.on_descriptor_needed(self.descriptors.reclaim_for_upstream)

    def prepare(self, source: EndpointSource) -> None:
        """Start the gateway with this endpoint source; requests are admitted once it provides a list."""
        self._apply_process_count()
        self.gateway.start(source)

    def start(self, listener: socket.socket) -> None:
        """Accept clients on this listening socket."""
        self.acceptor.start(listener)
        self.sweep_timer = asyncio.get_running_loop().call_later(SWEEP_S, self.sweep)
        self.check_arrivals()
        self.siblings.mark_serving()

    def set_head_check(self, check: Callable[[bytes], str | None]) -> None:
        """Set the check of request heads, which returns why a request cannot be served, or None."""
        self.exchange_context.check_head = check

    @property
    def is_ready(self) -> bool:
        """True if this process accepts clients and can serve them."""
        return may_accept_clients(self.drain.is_draining, self.is_listening, self.gateway.can_serve) is None

    @property
    def is_listening(self) -> bool:
        """True if the listening socket is open in this process."""
        return self.acceptor.listener is not None

    @property
    def connections(self) -> set[ClientConnection]:
        """The open client connections."""
        return self.context.connections

    @property
    def memory_budget(self) -> MemoryBudget:
        """The memory budget of the process."""
        return self.context.memory_budget

    def count_clients(self) -> int:
        """Return the number of client connections that are open or being set up."""
        return len(self.connections) + len(self.acceptor.pending)

    # Interface `ClientAdmission`, for all fronts

    def admit(self) -> bool:
        """Ensure that one more client can be accepted, if necessary by closing another; False if not."""
        has_memory = self.overload.reclaim_for_client() or self._reclaim_memory()
        return has_memory and self.descriptors.reclaim_for_client()

    def _reclaim_memory(self) -> bool:
        """Close an idle client of another front; return whether that leaves memory for one more client."""
        reclaimed = any(front.reclaim_idle(RECLAIM_IDLE_S) for front in self.fronts)
        return reclaimed and self.memory_budget.action < OverloadAction.REJECT_CONNECTIONS

    def reclaim_idle_client(self) -> bool:
        """Close a client connection that is idle, as the system has no descriptor left; False if none is."""
        return self.descriptors.reclaim_idle_client()

    def add(self, front: Front) -> None:
        """Count the connections of another front from now on, and have it carry out overload actions."""
        self.fronts.append(front)
        self.descriptors.fronts.append(front)

    def sweep(self) -> None:
        """Close connections whose time limit has passed, and apply changes of the number of processes."""
        loop = asyncio.get_running_loop()
        previous_count = self.siblings.sibling_count
        self.gateway.recent_requests.merge_shared()
        self.siblings.refresh()
        if self.siblings.sibling_count != previous_count:
            self._apply_process_count()
        self.descriptors.shrink_to_limit()
        self.sweep_timer = loop.call_later(SWEEP_S, self.sweep)
        action = self.overload.sweep()
        for front in self.fronts:
            front.sweep(action)
        closes_idle = self.descriptors.has_many_clients or action >= OverloadAction.CLOSE_IDLE
        self.context.phases.close_expired(loop.time(), closes_idle)

    def check_arrivals(self) -> None:
        """Check repeatedly what has arrived on connections on which reading is paused."""
        paused = list(self.context.paused)
        for connection in paused:
            connection.waiting_data.sample(connection.descriptor)
        self.arrival_check.check(paused)
        self.arrival_timer = asyncio.get_running_loop().call_later(ARRIVAL_CHECK_S, self.check_arrivals)

    def _apply_process_count(self) -> None:
        """Pass the number of processes of this gateway on to all that share a limit with them."""
        processes = 1 + self.siblings.sibling_count
        self.gateway.set_process_count(processes)
        self.memory_budget.process_count = processes

    # Admin commands

    def status(self) -> bool:
        """Return whether this process accepts clients and can serve them."""
        return self.is_ready

    def stats(self) -> str:
        """Return all metrics, one per line."""
        return self.gateway.metrics.render()

    def peers(self) -> str:
        """Return the state of other gateways as seen by this one, one per line."""
        return "".join(f"{line}\n" for line in self.describe_peers())

    def trace(self) -> str:
        """Return the entries of the event trace, one per line."""
        return "".join(f"{line}\n" for line in self.gateway.trace.lines())

    def standby(self) -> bool:
        """Start a drain, which lasts until `active`; return False during a shutdown."""
        begun = self.drain.begin_standby(asyncio.get_running_loop().time())
        self.gateway.trace.record(TraceEventKind.STATE_CHANGED, "process", self.drain.phase.value)
        if begun and self.drain_timer is None:
            self.close_idle()
        return begun

    def active(self) -> bool:
        """End a drain; return False during a shutdown."""
        ended = self.drain.end_standby(asyncio.get_running_loop().time())
        self.gateway.trace.record(TraceEventKind.STATE_CHANGED, "process", self.drain.phase.value)
        return ended

    # Shutdown

    async def shut_down(self) -> None:
        """Shut down gracefully: return when all requests have a response and all connections are closed.

        This includes requests on connections that wait to be accepted. Requests that are still pending
        shortly before the process may be killed get an error response.
        """
        loop = asyncio.get_running_loop()
        self.drain.begin_shutdown(loop.time())
        self.gateway.trace.record(TraceEventKind.STATE_CHANGED, "process", self.drain.phase.value)
        self.gateway.shut_down_within(self.drain.response_cutoff_s - loop.time())
        self.siblings.mark_draining()
        self.siblings.refresh()
        if self.siblings.serving_sibling_count:
            self.stop_listening()  # another process accepts waiting and new connections
        self.close_idle()
        while self.is_listening or self.connections or self.acceptor.pending:
            if self.is_listening and loop.time() >= self.drain.since_s + SHUTDOWN_ACCEPT_S:
                self.stop_listening()
            if not self.is_listening and not self.drain.awaits_incomplete_requests(loop.time()):
                for connection in list(self.connections):
                    self._reject_incomplete(connection)
            await asyncio.sleep(DRAIN_POLL_S)

    def _reject_incomplete(self, connection: ClientConnection) -> None:
        """Respond with 503 to a request that is still incomplete during a shutdown, and close if idle.

        If the connection were closed without a response, the last byte of the request could already be on
        its way, and the client would never get the response that is due for it.
        """
        if connection.reader.has_partial_request:
            if connection.may_close(CloseReason.DESCRIPTORS_EXHAUSTED) is None:
                connection.abandon_request(RequestError(503, "this gateway is leaving: ask again"))
        elif connection.may_close(CloseReason.IDLE) is None:
            connection.close(DRAINED)

    def stop_listening(self) -> None:
        """Close this process's descriptor of the listening socket, if that loses no waiting connection.

        If no other process serves on the socket, waiting connections are accepted first. If there are not
        enough descriptors for that, the socket stays open until other connections have been closed.
        """
        if self.is_listening and (self.siblings.serving_sibling_count or self.acceptor.accept(BACKLOG)):
            self.acceptor.stop()

    def close_idle(self) -> None:
        """Close idle connections as soon as the drain allows it, and repeat until the drain ends."""
        loop = asyncio.get_running_loop()
        self.drain_timer = loop.call_later(DRAIN_POLL_S, self.close_idle) if self.drain.is_draining else None
        now_s = loop.time()
        for connection in list(self.connections):
            due = self.drain.may_close_idle(now_s, connection.opened_s, connection.exchange.has_responded)
            if due and connection.may_close(CloseReason.IDLE) is None:
                connection.close(DRAINED)

    def close(self) -> None:
        """Close the listening socket and all connections at once."""
        self.acceptor.stop()
        for timer in (self.sweep_timer, self.drain_timer, self.arrival_timer):
            if timer is not None:
                timer.cancel()
        self.siblings.release()
        for connection in list(self.connections):
            connection.abort()
        self.context.close_watcher.close()
