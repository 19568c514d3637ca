"""A client's HTTP message, and the checks that make it a request of the gateway.

The texts of `RequestError` are sent to clients as they stand.
"""

from __future__ import annotations

from dataclasses import dataclass

from sagetrack.config.platform import Config, NameIndices, stable_hash
from sagetrack.core.bodies import StreamedBody
from sagetrack.core.requests import Client, Request
from sagetrack.core.responses import Header
from sagetrack.http1.codec import ProtocolError, end_to_end_headers
from sagetrack.policy.settings import Effect, RequestClass

ID_LIMIT = 128  # bytes of X-Call-Id
DIGITS_LIMIT = 15  # of a number in a header
NOT_FORWARDED = frozenset({b"x-budget-ms"})
SINGLE_HEADERS = frozenset(  # headers that may come only once
    {b"x-call-id", b"x-call-class", b"x-caller", b"x-budget-ms", b"x-call-cost", b"idempotency-key"}
)


class RequestError(ProtocolError):
    """Why this process itself responds to a request, and with which status."""

    def __init__(self, status: int, reason: str, *headers: Header) -> None:
        super().__init__(reason)
        self.status = status
        self.headers = list(headers)


class HttpRequest:
    """One request as it was read; with an `error`, neither it nor anything after it can be read."""

    __slots__ = (
        "body",
        "error",
        "headers",
        "keep_alive",
        "method",
        "received_us",
        "streamed_body",
        "target",
        "version",
    )

    def __init__(self, error: RequestError | None = None) -> None:
        self.method = b""
        self.target = b""
        self.headers: list[Header] = []
        self.body: list[bytes] = []
        self.keep_alive = False
        self.error = error
        self.streamed_body: StreamedBody | None = None  # its body, if that is too long to be buffered
        self.version = "1.1"
        self.received_us = 0  # when its last byte was read


@dataclass(slots=True, frozen=True)
class ForwardedRequest:
    """A request as it is forwarded to an upstream server.

    Attributes:
        head: The request line and headers, all but the budget and the empty line.
        body: The body; empty where it is streamed.
    """

    head: bytes
    body: bytes


def read_request(message: HttpRequest, path: bytes, config: Config, client: Client) -> Request:
    """Return the request as the gateway takes it.

    Raises:
        RequestError: It is not one that this gateway serves.
    """
    headers = _unique_headers(message)
    names = config.names
    parts = [part for part in path.split(b"/") if part]
    class_index = _class_of(message, path, parts, headers.get(b"x-call-class"), names)
    settings = config.settings.classes[class_index]
    id_ = _check_class_rules(message, settings, headers)
    budget_ms = _whole_number(headers.get(b"x-budget-ms"), "X-Budget-Ms")
    body = b"".join(message.body)
    client_name = headers.get(config.client_header)
    # No client waits for longer than its class allows: a longer budget is cut to that.
    client_timeout_us = (
        settings.request_timeout_us
        if budget_ms is None
        else min(budget_ms * 1000, settings.request_timeout_us)
    )
    return Request(
        id=id_.decode("latin-1"),
        class_index=class_index,
        client_timeout_us=client_timeout_us,
        key=stable_hash(parts[-1], 8) if len(parts) > 1 else None,
        work_us=_whole_number(headers.get(b"x-call-cost"), "X-Call-Cost"),
        is_retry=headers.get(b"x-again") == b"1",
        tenant=names.tenants.get(headers.get(b"x-caller", b""), -1 if names.tenants else 0),
        message=ForwardedRequest(_forwarded_head(message, body), body),
        client=client,
        streamed_body=message.streamed_body,
        received_us=message.received_us,
        client_id=stable_hash(client_name, 8) if client_name else 0,
    )


def _unique_headers(message: HttpRequest) -> dict[bytes, bytes]:
    headers: dict[bytes, bytes] = {}
    for name, value in message.headers:
        name = name.lower()
        if name in headers and name in SINGLE_HEADERS:
            raise RequestError(400, f"{name.decode()} comes twice")
        headers[name] = value
    return headers


def _class_of(
    message: HttpRequest, path: bytes, parts: list[bytes], class_header: bytes | None, names: NameIndices
) -> int:
    """Return the index of the class that the path names, and X-Call-Class too if it is there."""
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
    """Check the method and headers that the class requires, and return the X-Call-Id."""
    method = b"GET" if settings.effect is Effect.SAFE else b"POST"
    if message.method != method:
        raise RequestError(405, f"{method.decode()} it", (b"Allow", method))
    if settings.effect is Effect.KEYED and not headers.get(b"idempotency-key"):
        raise RequestError(400, "no Idempotency-Key")
    id_ = headers.get(b"x-call-id")
    if not id_ or len(id_) > ID_LIMIT:
        raise RequestError(400, "no X-Call-Id that can be used")
    return id_


def _whole_number(text: bytes | None, name: str) -> int | None:
    if text is None:
        return None
    if not text.isdigit() or len(text) > DIGITS_LIMIT:
        raise RequestError(400, f"{name} is not a whole number")
    return int(text)


def _forwarded_head(message: HttpRequest, body: bytes) -> bytes:
    """Return the head as it is forwarded, without the budget and the empty line."""
    lines = [b"%s %s HTTP/1.1" % (message.method, message.target)]
    lines += [b"%s: %s" % pair for pair in end_to_end_headers(message.headers, NOT_FORWARDED)]
    length = len(body) if message.streamed_body is None else message.streamed_body.length
    if length is None:
        lines.append(b"Transfer-Encoding: chunked")
    elif length or message.method == b"POST":
        lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n"
