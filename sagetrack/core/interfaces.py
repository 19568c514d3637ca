"""Interfaces between the gateway, the upstream side of a protocol, and the durable store."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Any, Protocol

from sagetrack.core.endpoints import Endpoint
from sagetrack.core.requests import Request, ResponseSource
from sagetrack.core.send_rules import ServerState
from sagetrack.policy.events import LoadReport, Outcome

AnyResponse = Any  # a protocol-specific response, made by the upstream side and read by the downstream side


class Attempt(Protocol):
    """One attempt of a request at one server, managed by the protocol's upstream pool."""

    @property
    def server(self) -> int:
        """The id of the server that was chosen for the attempt."""
        ...

    @property
    def latency_us(self) -> int:
        """Time from the start of the attempt to its end, in microseconds."""
        ...


class AttemptObserver(Protocol):
    """Receives the progress of one attempt, which ends with exactly one call of `on_attempt_ended`."""

    def may_begin(self, server: ServerState) -> bool:
        """Return whether the request may be sent now to a server in this state.

        The upstream pool calls this immediately before sending the first byte, with nothing awaited between.
        """
        ...

    def on_first_byte(self) -> None:
        """Record that the first byte of the request is sent in this iteration of the event loop."""
        ...

    def on_request_sent(self) -> None:
        """Record that the last byte of the request was handed to the kernel."""
        ...

    def on_response_started(self, attempt: Attempt, head: AnyResponse, source: ResponseSource) -> None:
        """Handle the head of a response that is too long to be buffered, and is streamed instead."""
        ...

    def on_response_progress(self, size: int) -> None:
        """Record that bytes of a streamed response have arrived, whether or not they can be passed on."""
        ...

    def on_response_data(self, attempt: Attempt, data: bytes) -> None:
        """Handle the next bytes of a streamed response."""
        ...

    def on_attempt_ended(
        self, attempt: Attempt, outcome: Outcome, response: AnyResponse | None, load: LoadReport | None
    ) -> None:
        """Handle the end of the attempt: its outcome, and the response and load report if received."""
        ...


class UpstreamPool(Protocol):
    """The upstream servers of a protocol, and the attempts in flight to them."""

    def put(self, entry: Endpoint) -> None:
        """Add a server, or update its address, start time and status."""
        ...

    def remove(self, server: int) -> None:
        """Remove a server; no new attempt is sent to it."""
        ...

    @property
    def listed(self) -> Collection[int]:
        """The ids of the listed servers."""
        ...

    def server_start_times(self) -> dict[int, int]:
        """Return the start time in microseconds of each listed server; it identifies the incarnation."""
        ...

    def begin(
        self, request: Request, server: int, timeout_us: int, observer: AttemptObserver
    ) -> Attempt | None:
        """Start an attempt that times out after `timeout_us`; returns None if the server is not listed."""
        ...

    def cancel(self, attempt: Any) -> None:
        """Cancel an attempt and close its connection or stream, so that the server notices."""
        ...

    def end(self, attempt: Any, outcome: Outcome) -> None:
        """End an attempt whose streamed response cannot be used to its end, so that the server notices."""
        ...

    def cancel_unsent(self, attempt: Any) -> None:
        """Cancel an attempt if nothing was sent yet; it cannot have run, so every class allows this."""
        ...

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        ...

    def probe(self, server: int, on_result: Callable[[Outcome, int, LoadReport | None], None]) -> None:
        """Send a server a probe that asks for its load, if the settings allow it.

        Args:
            server: The id of the server.
            on_result: Called once with the outcome, the latency in microseconds, and the load report if any.
        """
        ...

    def close(self) -> None:
        """Close all connections immediately."""
        ...


class Recorder(Protocol):
    """Records attempts and events in the durable store, if one is configured."""

    def record_attempt(self, class_index: int, outcome: str, latency_us: int, succeeded: bool) -> None:
        """Record an attempt that has ended."""
        ...

    def record_event(self, line: str) -> None:
        """Record a line about the gateway or its servers."""
        ...
