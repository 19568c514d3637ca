"""The error that the lab reports to its user."""

from __future__ import annotations


class LabError(RuntimeError):
    """A lab run cannot be started or completed; the message gives the reason in one line."""
