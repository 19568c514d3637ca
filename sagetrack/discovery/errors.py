"""Exceptions of the discovery package."""

from __future__ import annotations


class DiscoveryError(Exception):
    """Base class of the exceptions of service discovery."""


class DiscoveryCallError(DiscoveryError):
    """A call to discovery failed: incomplete response, error status or outdated list."""


class EndpointListError(DiscoveryError, ValueError):
    """An endpoint list or one of its entries does not have the format that discovery documents."""
