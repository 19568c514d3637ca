"""The interfaces between the gateway and the upstream side of a protocol, and to the durable store."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import Any, Protocol

from sagetrack.core.endpoints import Endpoint
from sagetrack.core.requests import Request, Source
from sagetrack.core.send_rules import ServerState
from sagetrack.policy.events import LoadReport, Outcome

AnyResponse = Any  # a response of the protocol: its upstream side makes it, its downstream side reads it


class Attempt(Protocol):
    """One attempt of a request at one server, as the protocol's upstream pool holds it."""

    @property
    def server(self) -> int:
        """The id of the server it was sent to."""
        ...

    @property
    def latency_us(self) -> int:
        """Time from its start to its end, in microseconds."""
        ...


class AttemptObserver(Protocol):
    """Receives what becomes of one attempt, which ends exactly once, with `on_attempt_ended`."""

    def may_begin(self, server: ServerState) -> bool:
        """Return whether the request may be sent now to the server in this state.

        The upstream pool asks right before the first byte, with nothing awaited in between.
        """
        ...

    def on_first_byte(self) -> None:
        """Record that the first byte of the request is sent in this turn of the event loop."""
        ...

    def on_request_sent(self) -> None:
        """Record that the last byte of the request was handed to the kernel."""
        ...

    def on_response_started(self, attempt: Attempt, head: AnyResponse, source: Source) -> None:
        """Take the head of a response that is too long to be buffered and is streamed from here on."""
        ...

    def on_response_data(self, attempt: Attempt, data: bytes) -> None:
        """Take the next bytes of a streamed response."""
        ...

    def on_attempt_ended(
        self, attempt: Attempt, outcome: Outcome, response: AnyResponse | None, load: LoadReport | None
    ) -> None:
        """Take the outcome, the response if there is one, and the server's load report if it sent one."""
        ...


class UpstreamPool(Protocol):
    """The servers of a protocol: those that are listed, and the attempts at them."""

    def put(self, entry: Endpoint) -> None:
        """Add a server, or update its address, its start time or whether it drains."""
        ...

    def remove(self, server: int) -> None:
        """Take a server out; nothing new is sent to it."""
        ...

    @property
    def listed(self) -> Collection[int]:
        """The ids of the servers that are listed."""
        ...

    def server_start_times(self) -> dict[int, int]:
        """Return when each listed server started, in microseconds: it tells incarnations apart."""
        ...

    def begin(self, request: Request, server: int, wait_us: int, observer: AttemptObserver) -> Attempt | None:
        """Start an attempt that may take `wait_us`; None if the server is not listed."""
        ...

    def cancel(self, attempt: Any) -> None:
        """Stop waiting for an attempt and close its connection or stream, so that the server can tell."""
        ...

    def cancel_unsent(self, attempt: Any) -> None:
        """Cancel an attempt if nothing of it was sent yet: every class allows that, as it has not run."""
        ...

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        ...

    def probe(self, server: int, on_result: Callable[[Outcome, int, LoadReport | None], None]) -> None:
        """Poll a server for its load, where the settings allow it.

        Args:
            server: The id of the server.
            on_result: Called once with the outcome, the latency in microseconds and the load report.
        """
        ...

    def close(self) -> None:
        """Close all connections at once."""
        ...


class Recorder(Protocol):
    """Records what happens in the durable store, where the operator has one."""

    def record_attempt(self, class_index: int, outcome: str, latency_us: int, succeeded: bool) -> None:
        """Record the end of an attempt."""
        ...

    def record_event(self, line: str) -> None:
        """Record a line about the gateway or its servers."""
        ...
