"""The body that servers make for a request, by which its client knows the response as its own. Pure."""

from __future__ import annotations


def body_for(request_id: str) -> bytes:
    """The body of the response to this request, which no other response has."""
    return f"answer to {request_id} ".encode() * 4


def is_body_for(request_id: str, body: bytes) -> bool:
    """Whether a body is `body_for` this request, once or several times over."""
    expected = body_for(request_id)
    return bool(body) and body == expected * (len(body) // len(expected))
