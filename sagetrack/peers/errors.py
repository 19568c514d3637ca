"""Errors of this package."""

from __future__ import annotations


class PeerError(Exception):
    """Base class of what goes wrong between gateways."""


class CodecError(PeerError, ValueError):
    """Bytes that are no datagram of this version, or messages that do not fit into one."""
