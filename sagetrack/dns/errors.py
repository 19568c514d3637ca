"""Base class of the DNS errors."""

from __future__ import annotations


class DnsError(ValueError):
    """Base class of all errors that this package raises."""
