"""Values in gRPC's metadata: time-outs and binary values, as its description of HTTP/2 has them. Pure."""

from __future__ import annotations

import base64
import binascii
import re

UNITS = {"H": 3_600_000_000, "M": 60_000_000, "S": 1_000_000, "m": 1000, "u": 1, "n": 0.001}
TIMEOUT = re.compile(r"(\d{1,8})([HMSmun])", re.ASCII)


class TranslationError(ValueError):
    """What has no counterpart in the other format; names it."""


def timeout_header(us: int) -> str:
    """`grpc-timeout` for a duration: at most eight digits, rounded down, so that the server stops first."""
    for unit, size in (("u", 1), ("m", 1000), ("S", 1_000_000)):
        if us // size < 100_000_000:
            return f"{max(1, us // size)}{unit}"
    return "99999999S"


def timeout_us(text: str) -> int:
    """The duration that a `grpc-timeout` says, in microseconds; TranslationError if it is none."""
    match = TIMEOUT.fullmatch(text)
    if match is None:
        raise TranslationError(f"grpc-timeout {text[:20]!r} is no number of up to 8 digits with a unit")
    return int(int(match[1]) * UNITS[match[2]])


def binary(value: bytes) -> str:
    """A `-bin` metadata value: base64 without padding."""
    return base64.b64encode(value).rstrip(b"=").decode()


def from_binary(text: str) -> bytes:
    """TranslationError if it is no base64, with padding or without."""
    try:
        return base64.b64decode(text + "=" * (-len(text) % 4), validate=True)
    except (binascii.Error, ValueError):
        raise TranslationError("a -bin value that is no base64") from None
