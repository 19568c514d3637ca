"""Old calls as new ones, and new answers as old ones: exact, or an error that names what cannot pass.

Pure. A call's head is the text that goes on to an old server; nothing in it is read for its meaning but what
the newer format has a place for.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

from google.protobuf.message import DecodeError

from sagetrack.core.responses import Header, Response
from sagetrack.grpc.calls_pb2 import Answer, Call, Field
from sagetrack.grpc.metadata import TranslationError, binary, from_binary, timeout_header, timeout_us
from sagetrack.grpc.outcomes import Status

SERVICE = "/sagetrack.v2.Calls/"
METADATA = {
    b"x-call-id": "x-call-id",
    b"x-call-class": "x-call-class",
    b"x-caller": "x-caller",
    b"x-call-cost": "x-call-cost",
    b"x-again": "x-again",
}
KEY, KEY_BIN = b"idempotency-key", "idempotency-key-bin"
NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")  # of a field, RFC 9110, 5.5
PLAIN = re.compile(rb"[\x20-\x7e]*")
NO_FIELD = frozenset({b"content-length", b"transfer-encoding", b"connection"})


def split_head(head: bytes) -> tuple[str, bytes, list[Header]]:
    """Method, target and headers of a call's head; TranslationError for a head that is none."""
    lines = head.rstrip(b"\r\n").split(b"\r\n")
    parts = lines[0].split(b" ")
    if len(parts) != 3:
        raise TranslationError("a request line that is none")
    headers = []
    for line in lines[1:]:
        name, colon, value = line.partition(b":")
        if not colon or not NAME.fullmatch(name):
            raise TranslationError(f"a header {line[:40]!r} that is none")
        headers.append((name, value.removeprefix(b" ")))
    return parts[0].decode("latin-1"), parts[1], headers


def read_head(head: bytes) -> tuple[str, bytes, list[Header], dict[str, str]]:
    """Method, target, headers that pass on, and metadata; TranslationError names what cannot pass."""
    method, target, headers = split_head(head)
    metadata: dict[str, str] = {}
    passed = [(name, value) for name, value in headers if name.lower() not in NO_FIELD]
    for name, value in passed:
        low = name.lower()
        if low == KEY:
            metadata[KEY_BIN] = binary(value)
        elif low in METADATA:
            if not PLAIN.fullmatch(value):
                raise TranslationError(f"{name.decode()} has bytes that metadata cannot carry")
            metadata[METADATA[low]] = value.decode()
        elif not VALUE.fullmatch(value):
            raise TranslationError(f"{name.decode()} has control characters")
    return method, target, passed, metadata


def to_new(
    head: bytes, body: bytes, length: int | None, wait_us: int, authority: str
) -> tuple[list[tuple[str, str]], bytes]:
    """HTTP/2 headers and the first message for an old call.

    `length`: of a body that follows in pieces, where it is known. TranslationError names what cannot pass.
    """
    method, target, passed, metadata = read_head(head)
    klass = metadata.get("x-call-class", "")
    if not klass:
        klass = target.lstrip(b"/").partition(b"/")[0].partition(b"?")[0].decode("latin-1")
    # A name's own spelling is kept in the fields, so that an old server behind a new one sees it.
    fields = [Field(name=name, value=value) for name, value in passed]
    first = Call(method=method, target=target, fields=fields, body=body)
    if length is not None:
        first.length = length
    pseudo = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", SERVICE + klass),
        (":authority", authority),
        ("te", "trailers"),
        ("content-type", "application/grpc+proto"),
        ("grpc-timeout", timeout_header(wait_us)),
    ]
    return [*pseudo, *metadata.items()], first.SerializeToString()


def with_timeout(headers: list[tuple[str, str]], left_us: int) -> list[tuple[str, str]]:
    """The same headers with what is left of the time now: the connection may have come up late."""
    told = timeout_header(max(1, left_us))
    return [(name, told if name == "grpc-timeout" else value) for name, value in headers]


def more(data: bytes) -> bytes:
    """A further message with a piece of a call's body."""
    return Call(body=data).SerializeToString()


def to_old(message: bytes) -> tuple[Response, int | None]:
    """An old answer from the first message of a new one, and the length of its body where that is told.

    TranslationError where it has no counterpart.
    """
    try:
        answer = Answer.FromString(message)
    except DecodeError:
        raise TranslationError("an answer that the schema does not know") from None
    return Response(200, old_fields(answer.fields), answer.body, True), (
        answer.length if answer.HasField("length") else None
    )


def piece(message: bytes) -> bytes:
    """The piece of a body that a further message of an answer has."""
    try:
        return Answer.FromString(message).body
    except DecodeError:
        raise TranslationError("an answer that the schema does not know") from None


def old_fields(fields: Iterable[Field]) -> list[Header]:
    """Headers of an old answer; TranslationError for one that would not be one there."""
    headers = []
    for field in fields:
        if not NAME.fullmatch(field.name) or not VALUE.fullmatch(field.value):
            raise TranslationError(f"a field {field.name[:40]!r} that is no header")
        if field.name.lower() not in NO_FIELD:
            headers.append((field.name, field.value))
    return headers


def from_new(headers: Iterable[tuple[str, str]], message: bytes) -> tuple[bytes, bytes, int | None, int]:
    """The other way: an old call's head, body, length of a body in pieces, and budget in microseconds.

    What the metadata says of id, class, member and key wins over the fields. TranslationError as above.
    """
    said = dict(headers)
    try:
        call = Call.FromString(message)
    except DecodeError:
        raise TranslationError("a call that the schema does not know") from None
    if " " in call.method or not call.method or not PLAIN.fullmatch(call.target) or b" " in call.target:
        raise TranslationError("a method or target that no request line can carry")
    kept = [(f.name, f.value) for f in call.fields]
    carried = {name: said[key].encode("latin-1") for name, key in METADATA.items() if key in said}
    if KEY_BIN in said:
        carried[KEY] = from_binary(said[KEY_BIN])
    lines = [b"%s %s HTTP/1.1" % (call.method.encode(), call.target)]
    for name, value in kept:
        low = name.lower()
        if low in NO_FIELD:
            continue
        value = carried.pop(low, value)
        if not NAME.fullmatch(name) or not VALUE.fullmatch(value):
            raise TranslationError(f"a field {name[:40]!r} that is no header")
        lines.append(b"%s: %s" % (name, value))
    if "host" not in {f.name.lower().decode("latin-1") for f in call.fields} and ":authority" in said:
        carried[b"Host"] = said[":authority"].encode("latin-1")
    for name, value in carried.items():
        if not VALUE.fullmatch(value):
            raise TranslationError(f"{name.decode()} has control characters")
        lines.append(b"%s: %s" % (name, value))
    if call.body or call.method == "POST":
        lines.append(b"Content-Length: %d" % (call.length if call.HasField("length") else len(call.body)))
    budget = timeout_us(said["grpc-timeout"]) if "grpc-timeout" in said else 0
    whole = call.length if call.HasField("length") else None
    return b"\r\n".join(lines) + b"\r\n", call.body, whole, budget


def old_body(message: bytes) -> bytes:
    """The piece of a body that a further message of a call has."""
    try:
        return Call.FromString(message).body
    except DecodeError:
        raise TranslationError("a call that the schema does not know") from None


def to_new_answer(headers: Iterable[Header], body: bytes) -> bytes:
    """The one message of a new answer for an old one."""
    fields = [Field(name=name, value=value) for name, value in headers if name.lower() not in NO_FIELD]
    return Answer(fields=fields, body=body).SerializeToString()


def refusal(retry_after_us: int) -> list[tuple[str, str]]:
    """Trailers that refuse: never ran, and when to come back (gRPC's retry push-back, proposal A6)."""
    trailers = [("grpc-status", str(int(Status.RESOURCE_EXHAUSTED))), ("x-rejected", "1")]
    if retry_after_us > 0:
        trailers.append(("grpc-retry-pushback-ms", str(max(1, retry_after_us // 1000))))
    return trailers


def untranslatable(head: bytes) -> str | None:
    """Why a call can go to no server of the newer format; None if it can."""
    try:
        read_head(head)
    except TranslationError as error:
        return str(error)
    return None
