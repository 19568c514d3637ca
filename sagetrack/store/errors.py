"""Errors of the store. All of them have `StoreError` as their base class."""

from __future__ import annotations


class StoreError(Exception):
    """Base class of the errors that the store raises itself; failures of the disk stay `OSError`."""


class StoreOpenError(StoreError):
    """The store cannot be opened; the message is one plain line."""


class WriteRejectedError(StoreError):
    """The store does not accept a write; nothing of it was written."""


class BatchTooLargeError(WriteRejectedError):
    """A batch is larger than a frame may be."""


class StoreFullError(WriteRejectedError):
    """The limit on disk space is reached."""


class CorruptionError(StoreError, ValueError):
    """Bytes on disk are not what was written."""


class NewerFormatError(StoreError, ValueError):
    """A later version of the program wrote this; it must be left unchanged."""
