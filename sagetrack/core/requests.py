"""A client request, independent of its protocol, and the interface of the client that awaits the response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from sagetrack.core.bodies import StreamedBody


class ResponseSource(Protocol):
    """The upstream end of a streamed response, which can be paused for backpressure."""

    def pause(self) -> None:
        """Stop reading from the server, because the client reads more slowly."""
        ...

    def resume(self) -> None:
        """Resume reading after `pause`."""
        ...


class Client(Protocol):
    """The downstream side of a request, which receives exactly one final response.

    A final response is one call of `on_response`, `on_rejected` or `on_failed`, or a streamed response: one
    call of `on_response_started`, any number of calls of `on_response_data`, and one call of
    `on_response_ended` or `on_response_aborted`.
    """

    def on_response(self, request: Request, response: Any) -> None:
        """Handle a complete response."""
        ...

    def on_response_started(self, request: Request, head: Any, source: ResponseSource) -> None:
        """Handle the head of a streamed response."""
        ...

    def on_response_data(self, request: Request, data: bytes) -> None:
        """Handle the next bytes of a streamed response."""
        ...

    def on_response_ended(self, request: Request, response: Any) -> None:
        """Handle the end of a complete streamed response."""
        ...

    def on_response_aborted(self, request: Request) -> None:
        """Handle a streamed response whose remaining data will never arrive."""
        ...

    def on_rejected(self, request: Request, retry_after_us: int) -> None:
        """Handle the rejection of the request; a retry may succeed after `retry_after_us`."""
        ...

    def on_failed(self, request: Request, timed_out: bool) -> None:
        """Handle the failure of the request; `timed_out` is True if its last attempt timed out."""
        ...


def never_disconnected() -> bool:
    """Return False; the default for requests whose client cannot disconnect."""
    return False


@dataclass(slots=True, eq=False)
class Request:
    """A client request, independent of the protocol it arrived by.

    Attributes:
        id: The request id, unique among the requests in flight.
        class_index: The index of the request class in the settings.
        client_timeout_us: Time that the client waits, counted from the last byte of the request.
        key: The hash of the ordering or idempotency key; None if there is none.
        work_us: The work that the request announces, in microseconds; None if it announces none.
        is_retry: True if the client has sent the request before.
        tenant: The index of the tenant.
        message: The protocol-specific request, read only by the upstream side of the protocol.
        client: Receives the final response.
        streamed_body: The body, if it is too long to be buffered.
        client_id: Identifies the client within its tenant; 0 if unknown.
        mirror_target: -1 for a client's request. Any other value marks a mirrored request, and identifies the
            protocol of its upstream servers; see `RequestArrived`.
        received_us: Time at which the last byte was read; 0 means now.
        memory_bytes: Estimated memory of the request, without a streamed body.
        has_disconnected: Returns whether the client has disconnected, even if the event loop does not know
            it yet.
    """

    id: str
    class_index: int
    client_timeout_us: int
    key: int | None
    work_us: int | None
    is_retry: bool
    tenant: int
    message: Any
    client: Client
    streamed_body: StreamedBody | None = None
    client_id: int = 0
    mirror_target: int = -1
    received_us: int = 0
    memory_bytes: int = 0
    has_disconnected: Callable[[], bool] = never_disconnected
