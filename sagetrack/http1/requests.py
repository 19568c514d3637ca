"""HTTP requests of clients, and their validation and conversion into requests of the gateway.

The messages of `RequestError` are sent to clients unchanged.
"""

from __future__ import annotations

from dataclasses import dataclass

from sagetrack.config.platform import Config, NameIndices, stable_hash
from sagetrack.core.bodies import StreamedBody
from sagetrack.core.requests import Client, Request
from sagetrack.core.responses import Header
from sagetrack.http1.codec import ProtocolError, end_to_end_headers
from sagetrack.http1.header_block import HeaderBlock
from sagetrack.policy.settings import Effect, RequestClass

MAX_ID_BYTES = 128  # limit of X-Call-Id
MAX_DIGITS = 15  # limit of a number in a header
REMOVED_REQUEST_HEADERS = frozenset({b"x-budget-ms"})
UNIQUE_HEADERS = frozenset(  # headers that may occur only once
    {b"x-call-id", b"x-call-class", b"x-caller", b"x-budget-ms", b"x-call-cost", b"idempotency-key"}
)


class RequestError(ProtocolError):
    """A request cannot be served; carries the status and headers of the error response."""

    def __init__(self, status: int, reason: str, *headers: Header) -> None:
        super().__init__(reason)
        self.status = status
        self.headers = list(headers)


class HttpRequest:
    """One request as parsed; if `error` is set, neither it nor any data after it can be parsed."""

    __slots__ = (
        "body",
        "error",
        "header_block",
        "headers",
        "keep_alive",
        "memory_bytes",
        "method",
        "received_us",
        "streamed_body",
        "target",
        "version",
    )

    def __init__(self, error: RequestError | None = None) -> None:
        self.method = b""
        self.target = b""
        self.header_block = HeaderBlock()  # the headers while the head is being received
        self.headers: list[Header] = []  # the headers of a complete head
        self.body: list[bytes | bytearray] = []
        self.keep_alive = False
        self.error = error
        self.streamed_body: StreamedBody | None = None  # the body, if it is too long to be buffered
        self.version = "1.1"
        self.received_us = 0  # time at which the last byte of the request was received
        self.memory_bytes = 0  # estimated memory of the head and of a buffered body

    def complete_head(self) -> None:
        """Make the headers available, as the head is complete."""
        self.headers = self.header_block.unpack()
        self.header_block = HeaderBlock()

    def release_content(self) -> None:
        """Drop the headers and the buffered body, which the request to forward contains as well."""
        self.headers = []
        self.body = []
        self.memory_bytes = 0


@dataclass(slots=True, frozen=True)
class ForwardedRequest:
    """A request as it is forwarded to an upstream server.

    Attributes:
        head: The request line and headers, without X-Budget-Ms and the final empty line.
        body: The body; empty if it is streamed.
    """

    head: bytes
    body: bytes


def read_request(message: HttpRequest, path: bytes, config: Config, client: Client) -> Request:
    """Validate an HTTP request and convert it into a request of the gateway.

    Raises:
        RequestError: The request is invalid or cannot be served by this gateway.
    """
    headers = _unique_headers(message)
    names = config.names
    parts = [part for part in path.split(b"/") if part]
    class_index = _class_index_of(message, path, parts, headers.get(b"x-call-class"), names)
    settings = config.settings.classes[class_index]
    id_ = _check_class_rules(message, settings, headers)
    budget_ms = _parse_integer(headers.get(b"x-budget-ms"), "X-Budget-Ms")
    body = b"".join(message.body)
    client_name = headers.get(config.client_header)
    # A budget longer than the request timeout of the class is reduced to that timeout.
    client_timeout_us = (
        settings.request_timeout_us
        if budget_ms is None
        else min(budget_ms * 1000, settings.request_timeout_us)
    )
    forwarded = ForwardedRequest(_forwarded_head(message, body), body)
    message.release_content()
    return Request(
        id=id_.decode("latin-1"),
        class_index=class_index,
        client_timeout_us=client_timeout_us,
        key=stable_hash(parts[-1], 8) if len(parts) > 1 else None,
        work_us=_parse_integer(headers.get(b"x-call-cost"), "X-Call-Cost"),
        is_retry=headers.get(b"x-again") == b"1",
        tenant=names.tenants.get(headers.get(b"x-caller", b""), -1 if names.tenants else 0),
        message=forwarded,
        client=client,
        streamed_body=message.streamed_body,
        received_us=message.received_us,
        memory_bytes=len(forwarded.head) + len(body),
        client_id=stable_hash(client_name, 8) if client_name else 0,
    )


def _unique_headers(message: HttpRequest) -> dict[bytes, bytes]:
    headers: dict[bytes, bytes] = {}
    for name, value in message.headers:
        name = name.lower()
        if name in headers and name in UNIQUE_HEADERS:
            raise RequestError(400, f"{name.decode()} comes twice")
        headers[name] = value
    return headers


def _class_index_of(
    message: HttpRequest, path: bytes, parts: list[bytes], class_header: bytes | None, names: NameIndices
) -> int:
    """Return the index of the class named in the path; X-Call-Class must name the same class if present."""
    if class_header is not None and class_header not in names.classes:
        raise RequestError(400, "unknown class")
    if not parts or not path.startswith(b"/") or parts[0] not in names.classes:
        raise RequestError(404, "unknown path")
    if b"#" in message.target:
        raise RequestError(400, "a fragment is not sent")
    if class_header is not None and class_header != parts[0]:
        raise RequestError(400, "the class is not that of the path")
    return names.classes[parts[0]]


def _check_class_rules(message: HttpRequest, settings: RequestClass, headers: dict[bytes, bytes]) -> bytes:
    """Check the method and the headers that the class requires, and return the X-Call-Id."""
    method = b"GET" if settings.effect is Effect.SAFE else b"POST"
    if message.method != method:
        raise RequestError(405, f"{method.decode()} it", (b"Allow", method))
    if settings.effect is Effect.KEYED and not headers.get(b"idempotency-key"):
        raise RequestError(400, "no Idempotency-Key")
    id_ = headers.get(b"x-call-id")
    if not id_ or len(id_) > MAX_ID_BYTES:
        raise RequestError(400, "no X-Call-Id that can be used")
    return id_


def _parse_integer(text: bytes | None, name: str) -> int | None:
    if text is None:
        return None
    if not text.isdigit() or len(text) > MAX_DIGITS:
        raise RequestError(400, f"{name} is not a whole number")
    return int(text)


def _forwarded_head(message: HttpRequest, body: bytes) -> bytes:
    """Return the head to forward, without X-Budget-Ms and the final empty line."""
    lines = [b"%s %s HTTP/1.1" % (message.method, message.target)]
    lines += [b"%s: %s" % pair for pair in end_to_end_headers(message.headers, REMOVED_REQUEST_HEADERS)]
    length = len(body) if message.streamed_body is None else message.streamed_body.length
    if length is None:
        lines.append(b"Transfer-Encoding: chunked")
    elif length or message.method == b"POST":
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n"
