"""Response bodies that are unique to a request, so that its client can verify them. No I/O."""

from __future__ import annotations


def body_for(request_id: str) -> bytes:
    """Build the body of the response to a request. It differs from that of every other request."""
    return f"answer to {request_id} ".encode() * 4


def is_body_for(request_id: str, body: bytes) -> bool:
    """Return True if a body is one or more repetitions of `body_for` this request."""
    expected = body_for(request_id)
    return bool(body) and body == expected * (len(body) // len(expected))
