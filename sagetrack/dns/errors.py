"""Errors of this package."""

from __future__ import annotations


class DnsError(ValueError):
    """Base class of the package's errors."""
