"""Compares the bytes of a streamed body with the length that its sender has announced.

A receiver takes a body for whole once it has as many bytes as were announced. The last of them is therefore
withheld until the sender has ended the body, so that one that turns out to be longer, or to end with an
error, never looks whole.
"""

from __future__ import annotations


class BodyLengthError(ValueError):
    """A body is longer or shorter than announced."""


class BodyLengthCheck:
    """Passes on the parts of one body as long as they fit its announced length.

    Attributes:
        length: The announced length in bytes; None if none was announced, so that every length fits.
        received_bytes: Bytes received so far.
    """

    __slots__ = ("_withheld", "length", "received_bytes")

    def __init__(self, length: int | None) -> None:
        self.length = length
        self.received_bytes = 0
        self._withheld = b""

    def pass_on(self, data: bytes) -> bytes:
        """Return what may be passed on now that `data` was received.

        Raises:
            BodyLengthError: The body is longer than announced; nothing more of it may be passed on.
        """
        self.received_bytes += len(data)
        if self.length is None or self.received_bytes < self.length:
            return data
        if self.received_bytes > self.length:
            raise BodyLengthError(f"body of over {self.length} bytes, as many were announced")
        if data:
            self._withheld = data[-1:]
        return data[:-1]

    def ends_with(self, data: bytes) -> bool:
        """Return whether the body has its announced length if it ends with `data`, not yet received."""
        return self.length is None or self.received_bytes + len(data) == self.length

    def finish(self, data: bytes = b"") -> bytes:
        """Return the rest of a body that ends with `data`.

        Raises:
            BodyLengthError: The body does not have its announced length.
        """
        if not self.ends_with(data):
            received = self.received_bytes + len(data)
            raise BodyLengthError(f"body of {received} bytes, {self.length} were announced")
        self.received_bytes += len(data)
        return self._withheld + data
