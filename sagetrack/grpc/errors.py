"""Exceptions of the gRPC package."""

from __future__ import annotations


class GrpcError(ValueError):
    """Base class of the exceptions of this package."""


class MessageError(GrpcError):
    """A gRPC message has invalid framing or exceeds the size limit."""


class TranslationError(GrpcError):
    """A request, response or field cannot be translated between HTTP/1.1 and gRPC; the message names it."""


class RequestReadError(GrpcError):
    """A request is invalid, and the gateway responds with an error instead of forwarding it.

    Args:
        status: The gRPC status code of the response.
        reason: The text of the response's `grpc-message`.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
