"""Estimates of the memory that requests and connections take, which claims of the memory budget use."""

from __future__ import annotations

from sagetrack.core.responses import Header

CLIENT_CONNECTION_BYTES = 5 * 1024  # objects of a client connection that has sent nothing
UPSTREAM_CONNECTION_BYTES = 6 * 1024  # objects of an upstream connection, with its attempt
REQUEST_OVERHEAD = 1024  # bytes of the objects of a request, without its headers
HEADER_OVERHEAD = 160  # bytes of the objects of a header, without its name and value


def head_memory(target: bytes, headers: list[Header]) -> int:
    """Return the estimated memory in bytes of a parsed request head."""
    text = len(target) + sum(len(name) + len(value) for name, value in headers)
    return text + len(headers) * HEADER_OVERHEAD + REQUEST_OVERHEAD
