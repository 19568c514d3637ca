"""Exceptions that this package raises."""

from __future__ import annotations


class PeerError(Exception):
    """Base class for errors in the communication between gateways."""


class CodecError(PeerError, ValueError):
    """Received bytes are not a valid datagram, or messages do not fit into one datagram."""
