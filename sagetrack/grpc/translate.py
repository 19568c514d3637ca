"""Translates requests and responses between HTTP/1.1 and gRPC, without loss or with a `TranslationError`.

The head of a request is the text that would be sent to an HTTP/1.1 server. Only the fields that are also sent
as gRPC metadata (`METADATA_BY_FIELD` and the idempotency key) are interpreted; others are copied unchanged.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

from google.protobuf.message import DecodeError

from sagetrack.core.responses import Header, Response
from sagetrack.grpc.calls_pb2 import Answer, Call, Field
from sagetrack.grpc.errors import TranslationError
from sagetrack.grpc.metadata import decode_binary, encode_binary, format_timeout, parse_timeout_us
from sagetrack.grpc.outcomes import StatusCode

SERVICE = "/sagetrack.v2.Calls/"
METADATA_BY_FIELD = {
    b"x-call-id": "x-call-id",
    b"x-call-class": "x-call-class",
    b"x-caller": "x-caller",
    b"x-call-cost": "x-call-cost",
    b"x-again": "x-again",
}
IDEMPOTENCY_KEY_FIELD = b"idempotency-key"
IDEMPOTENCY_KEY_METADATA = "idempotency-key-bin"
FIELD_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")  # RFC 9110, 5.6.2
FIELD_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")  # RFC 9110, 5.5
PRINTABLE_ASCII = re.compile(rb"[\x20-\x7e]*")
# Fields about a connection or the framing of a message (RFC 9110, 7.6.1 and 8.6), which are not translated
HOP_BY_HOP_FIELDS = frozenset({b"content-length", b"transfer-encoding", b"connection"})


def split_head(head: bytes) -> tuple[str, bytes, list[Header]]:
    """Split the head of an HTTP/1.1 request into method, target and fields.

    Raises:
        TranslationError: The request line or a field is malformed.
    """
    lines = head.rstrip(b"\r\n").split(b"\r\n")
    request_line = lines[0].split(b" ")
    if len(request_line) != 3:
        raise TranslationError("a request line that is none")
    headers = []
    for line in lines[1:]:
        name, colon, value = line.partition(b":")
        if not colon or not FIELD_NAME.fullmatch(name):
            raise TranslationError(f"a header {line[:40]!r} that is none")
        headers.append((name, value.removeprefix(b" ")))
    return request_line[0].decode("latin-1"), request_line[1], headers


def read_head(head: bytes) -> tuple[str, bytes, list[Header], dict[str, str]]:
    """Split the head of an HTTP/1.1 request into method, target, end-to-end fields, and gRPC metadata.

    Raises:
        TranslationError: A field cannot be translated; the message names it.
    """
    method, target, headers = split_head(head)
    metadata: dict[str, str] = {}
    forwarded_fields = [(name, value) for name, value in headers if name.lower() not in HOP_BY_HOP_FIELDS]
    for name, value in forwarded_fields:
        lower_name = name.lower()
        if lower_name == IDEMPOTENCY_KEY_FIELD:
            metadata[IDEMPOTENCY_KEY_METADATA] = encode_binary(value)
        elif lower_name in METADATA_BY_FIELD:
            if not PRINTABLE_ASCII.fullmatch(value):
                raise TranslationError(f"{name.decode()} has bytes that metadata cannot carry")
            metadata[METADATA_BY_FIELD[lower_name]] = value.decode()
        elif not FIELD_VALUE.fullmatch(value):
            raise TranslationError(f"{name.decode()} has control characters")
    return method, target, forwarded_fields, metadata


def request_to_grpc(
    head: bytes, body: bytes, length: int | None, timeout_us: int, authority: str
) -> tuple[list[tuple[str, str]], bytes]:
    """Translate a request to HTTP/2 headers and the first message.

    Args:
        head: The request line and the header fields.
        body: The body, or the beginning of a streamed body.
        length: The length of a streamed body, if it is known.
        timeout_us: The timeout to send as `grpc-timeout`.
        authority: The address of the server.

    Raises:
        TranslationError: A part of the request cannot be translated; the message names it.
    """
    method, target, forwarded_fields, metadata = read_head(head)
    class_name = metadata.get("x-call-class", "")
    if not class_name:
        class_name = target.lstrip(b"/").partition(b"/")[0].partition(b"?")[0].decode("latin-1")
    # The spelling of field names is kept, so that an HTTP/1.1 server behind a gRPC server sees it unchanged.
    fields = [Field(name=name, value=value) for name, value in forwarded_fields]
    first_message = Call(method=method, target=target, fields=fields, body=body)
    if length is not None:
        first_message.length = length
    base_headers = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", SERVICE + class_name),
        (":authority", authority),
        ("te", "trailers"),
        ("content-type", "application/grpc+proto"),
        ("grpc-timeout", format_timeout(timeout_us)),
    ]
    return [*base_headers, *metadata.items()], first_message.SerializeToString()


def with_remaining_timeout(headers: list[tuple[str, str]], remaining_us: int) -> list[tuple[str, str]]:
    """Set `grpc-timeout` to the remaining time, as establishing the connection may have taken some of it."""
    timeout = format_timeout(max(1, remaining_us))
    return [(name, timeout if name == "grpc-timeout" else value) for name, value in headers]


def request_body_message(data: bytes) -> bytes:
    """Encode a further message of a streamed request body."""
    return Call(body=data).SerializeToString()


def response_to_http1(message: bytes) -> tuple[Response, int | None]:
    """Translate the first message of a response to HTTP/1.1.

    Returns:
        The response, and the length of its body if it is announced.

    Raises:
        TranslationError: The response cannot be translated to HTTP/1.1.
    """
    try:
        response = Answer.FromString(message)
    except DecodeError:
        raise TranslationError("a response message does not follow the protobuf schema") from None
    return Response(200, http1_fields(response.fields), response.body, True), (
        response.length if response.HasField("length") else None
    )


def response_body_chunk(message: bytes) -> bytes:
    """Decode the part of the body in a further message of a response.

    Raises:
        TranslationError: The message does not follow the schema.
    """
    try:
        return Answer.FromString(message).body
    except DecodeError:
        raise TranslationError("a response message does not follow the protobuf schema") from None


def http1_fields(fields: Iterable[Field]) -> list[Header]:
    """Translate header fields to HTTP/1.1, without hop-by-hop fields.

    Raises:
        TranslationError: A field would be malformed in HTTP/1.1.
    """
    headers = []
    for field in fields:
        if not FIELD_NAME.fullmatch(field.name) or not FIELD_VALUE.fullmatch(field.value):
            raise TranslationError(f"field {field.name[:40]!r} is not a valid HTTP/1.1 header field")
        if field.name.lower() not in HOP_BY_HOP_FIELDS:
            headers.append((field.name, field.value))
    return headers


def request_to_http1(
    headers: Iterable[tuple[str, str]], message: bytes
) -> tuple[bytes, bytes, int | None, int]:
    """Translate a gRPC request to HTTP/1.1.

    Metadata takes precedence over fields of the same name.

    Returns:
        The head, the body, the length of a streamed body if it is announced, and the timeout in microseconds
        (0 without a timeout).

    Raises:
        TranslationError: A part of the request cannot be translated; the message names it.
    """
    metadata = dict(headers)
    try:
        call = Call.FromString(message)
    except DecodeError:
        raise TranslationError("a call that the schema does not know") from None
    if (
        " " in call.method
        or not call.method
        or not PRINTABLE_ASCII.fullmatch(call.target)
        or b" " in call.target
    ):
        raise TranslationError("a method or target that no request line can carry")
    lines = [b"%s %s HTTP/1.1" % (call.method.encode(), call.target), *request_field_lines(call, metadata)]
    length = call.length if call.HasField("length") else None
    if call.body or call.method == "POST":
        lines.append(b"Content-Length: %d" % (len(call.body) if length is None else length))
    budget_us = parse_timeout_us(metadata["grpc-timeout"]) if "grpc-timeout" in metadata else 0
    return b"\r\n".join(lines) + b"\r\n", call.body, length, budget_us


def request_field_lines(call: Call, metadata: dict[str, str]) -> list[bytes]:
    """Return the header lines of a request: the fields of the message, overridden and completed by metadata.

    Raises:
        TranslationError: A field would be malformed in HTTP/1.1.
    """
    overrides = {
        name: metadata[key].encode("latin-1") for name, key in METADATA_BY_FIELD.items() if key in metadata
    }
    if IDEMPOTENCY_KEY_METADATA in metadata:
        overrides[IDEMPOTENCY_KEY_FIELD] = decode_binary(metadata[IDEMPOTENCY_KEY_METADATA])
    lines = []
    for field in call.fields:
        lower_name = field.name.lower()
        if lower_name in HOP_BY_HOP_FIELDS:
            continue
        value = overrides.pop(lower_name, field.value)
        if not FIELD_NAME.fullmatch(field.name) or not FIELD_VALUE.fullmatch(value):
            raise TranslationError(f"a field {field.name[:40]!r} that is no header")
        lines.append(b"%s: %s" % (field.name, value))
    if "host" not in {f.name.lower().decode("latin-1") for f in call.fields} and ":authority" in metadata:
        overrides[b"Host"] = metadata[":authority"].encode("latin-1")
    for name, value in overrides.items():
        if not FIELD_VALUE.fullmatch(value):
            raise TranslationError(f"{name.decode()} has control characters")
        lines.append(b"%s: %s" % (name, value))
    return lines


def request_body_chunk(message: bytes) -> bytes:
    """Decode the part of the body in a further message of a request.

    Raises:
        TranslationError: The message does not follow the schema.
    """
    try:
        return Call.FromString(message).body
    except DecodeError:
        raise TranslationError("a call that the schema does not know") from None


def response_to_grpc(headers: Iterable[Header], body: bytes) -> bytes:
    """Encode a response as a message."""
    fields = [
        Field(name=name, value=value) for name, value in headers if name.lower() not in HOP_BY_HOP_FIELDS
    ]
    return Answer(fields=fields, body=body).SerializeToString()


def rejection_trailers(retry_after_us: int) -> list[tuple[str, str]]:
    """Return the trailers of a rejection: the request was not run, and may be retried after a delay.

    The delay is sent as the retry pushback of gRPC (proposal A6).
    """
    trailers = [("grpc-status", str(int(StatusCode.RESOURCE_EXHAUSTED))), ("x-rejected", "1")]
    if retry_after_us > 0:
        trailers.append(("grpc-retry-pushback-ms", str(max(1, retry_after_us // 1000))))
    return trailers


def untranslatable_reason(head: bytes) -> str | None:
    """Return why a request cannot be sent to a gRPC server; None if it can."""
    try:
        read_head(head)
    except TranslationError as error:
        return str(error)
    return None
