"""Errors of this package."""

from __future__ import annotations


class DiscoveryError(Exception):
    """Base class of what goes wrong with service discovery."""


class DiscoveryCallError(DiscoveryError):
    """A call to discovery failed: no complete response, an error status, or an outdated list."""


class EndpointListError(DiscoveryError, ValueError):
    """An endpoint list, or an entry of one, does not have the form that discovery documents."""
