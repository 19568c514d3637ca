"""Errors of this package."""

from __future__ import annotations


class GrpcError(ValueError):
    """Base class of the package's errors."""


class MessageError(GrpcError):
    """Bytes that are no gRPC messages, or messages over a limit; the message says which."""


class TranslationError(GrpcError):
    """A request, response or field without counterpart in the other protocol; the message names it."""


class RequestReadError(GrpcError):
    """A request that is answered by the gateway itself.

    Args:
        status: gRPC status code of the answer.
        reason: Sent as `grpc-message`.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
