"""The lab's own error."""

from __future__ import annotations


class LabError(RuntimeError):
    """The lab cannot play this; the message says why, in one line."""
