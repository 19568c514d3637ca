"""A client's request as the gateway takes it from any protocol, and the client that awaits the response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from sagetrack.core.bodies import StreamedBody


class ResponseSource(Protocol):
    """The upstream end of a streamed response, for backpressure."""

    def pause(self) -> None:
        """Stop reading from the server: the client is slower."""
        ...

    def resume(self) -> None:
        """Read on after `pause`."""
        ...


class Client(Protocol):
    """The downstream side of a request, which receives exactly one final response.

    That is one of `on_response`, `on_rejected` and `on_failed`, or a streamed response: one
    `on_response_started`, any number of `on_response_data`, and one of `on_response_ended` and
    `on_response_aborted`.
    """

    def on_response(self, request: Request, response: Any) -> None:
        """Take a complete response."""
        ...

    def on_response_started(self, request: Request, head: Any, source: ResponseSource) -> None:
        """Take the head of a streamed response."""
        ...

    def on_response_data(self, request: Request, data: bytes) -> None:
        """Take the next bytes of a streamed response."""
        ...

    def on_response_ended(self, request: Request, response: Any) -> None:
        """Take the end of a streamed response, which is complete."""
        ...

    def on_response_aborted(self, request: Request) -> None:
        """Learn that the rest of a streamed response will not come."""
        ...

    def on_rejected(self, request: Request, retry_after_us: int) -> None:
        """Learn that the request is rejected; a retry has a chance after `retry_after_us`."""
        ...

    def on_failed(self, request: Request, timed_out: bool) -> None:
        """Learn that the request has failed; `timed_out` if its last attempt took too long."""
        ...


def never_disconnected() -> bool:
    """Return False: the default for requests whose client cannot disconnect."""
    return False


@dataclass(slots=True, eq=False)
class Request:
    """A client's request, as the gateway takes it from any protocol.

    Attributes:
        id: The request id, unique among the requests in flight.
        class_index: The index of its request class in the settings.
        client_timeout_us: How long its client waits, from the last byte of the request on.
        key: The hash of its ordering or idempotency key, None without one.
        work_us: The work it announces, None if it does not.
        is_retry: Whether its client has sent it before.
        tenant: The index of its tenant.
        message: The request for the upstream side of its protocol, which alone reads it.
        client: Receives the final response.
        streamed_body: The body, if it is too long to be buffered.
        client_id: The client within its tenant, 0 where it is not known.
        mirror_target: -1 for a client's request; else it is a mirrored one, and this names the protocol that
            its servers speak: see `RequestArrived`.
        received_us: When its last byte was read; 0 stands for now.
        has_disconnected: Asks whether its client has disconnected, also where the event loop has not seen it
            yet.
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
    has_disconnected: Callable[[], bool] = never_disconnected
