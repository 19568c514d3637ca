"""Exceptions of the store; `StoreError` is their base class."""

from __future__ import annotations


class StoreError(Exception):
    """Base class of the store's own exceptions; failures of file operations raise OSError."""


class StoreOpenError(StoreError):
    """The store cannot be opened; the message is a single line."""


class WriteRejectedError(StoreError):
    """The store rejected a write; no part of it was written."""


class BatchTooLargeError(WriteRejectedError):
    """The encoded batch exceeds the maximum size of a frame."""


class StoreFullError(WriteRejectedError):
    """The write would exceed the limit on disk space."""


class CorruptionError(StoreError, ValueError):
    """Data on disk is damaged: it differs from what was written."""


class NewerFormatError(StoreError, ValueError):
    """A later version of the program wrote the file; it must not be changed."""
