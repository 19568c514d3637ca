"""Encodes and decodes timeouts and binary values in metadata, as in the "gRPC over HTTP2" specification."""

from __future__ import annotations

import base64
import binascii
import re

from sagetrack.grpc.errors import TranslationError

UNITS_US = {"H": 3_600_000_000, "M": 60_000_000, "S": 1_000_000, "m": 1000, "u": 1, "n": 0.001}
TIMEOUT_PATTERN = re.compile(r"(\d{1,8})([HMSmun])", re.ASCII)
TIMEOUT_VALUE_LIMIT = 100_000_000  # a value has at most 8 digits


def format_timeout(us: int) -> str:
    """Format microseconds as `grpc-timeout`, rounded down so that the server times out before the gateway."""
    for unit, size in (("u", 1), ("m", 1000), ("S", 1_000_000)):
        if us // size < TIMEOUT_VALUE_LIMIT:
            return f"{max(1, us // size)}{unit}"
    return "99999999S"


def parse_timeout_us(text: str) -> int:
    """Parse a `grpc-timeout`, and return its duration in microseconds.

    Raises:
        TranslationError: The text is not a number of at most 8 digits with a unit.
    """
    match = TIMEOUT_PATTERN.fullmatch(text)
    if match is None:
        raise TranslationError(f"grpc-timeout {text[:20]!r} is no number of up to 8 digits with a unit")
    return int(int(match[1]) * UNITS_US[match[2]])


def encode_binary(value: bytes) -> str:
    """Encode the value of a `-bin` field as base64 without padding."""
    return base64.b64encode(value).rstrip(b"=").decode()


def decode_binary(text: str) -> bytes:
    """Decode the value of a `-bin` field, with or without base64 padding.

    Raises:
        TranslationError: The text is not valid base64.
    """
    try:
        return base64.b64decode(text + "=" * (-len(text) % 4), validate=True)
    except (binascii.Error, ValueError):
        raise TranslationError("a -bin value that is no base64") from None
