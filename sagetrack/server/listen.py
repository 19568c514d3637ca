"""Listening sockets: bound here, or inherited from the platform and shared with other processes."""

from __future__ import annotations

import os
import socket

from sagetrack.config.platform import Address, ConfigError
from sagetrack.http1.acceptor import BACKLOG


def bind(address: Address, backlog: int = BACKLOG) -> socket.socket:
    """A non-blocking socket that listens at this address and no other; OSError if it cannot be had."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.create_server(address, family=family, backlog=backlog)
    listener.setblocking(False)
    return listener


def inherit(descriptor: int) -> socket.socket:
    """The listening socket that the platform holds and that every process of this gateway inherits.

    It must only be closed, never shut down: a shutdown would end it for the other processes too.

    Raises:
        ConfigError: the descriptor is no TCP socket that listens.
    """
    try:
        os.set_inheritable(descriptor, False)
        listener = socket.socket(fileno=descriptor)
    except OSError as error:
        raise ConfigError(f"LB_ACCEPT_FD {descriptor}: {error.strerror}") from None
    try:
        listens = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listens = 0
    if listener.type != socket.SOCK_STREAM or not listens:
        listener.detach()  # this process does not own the descriptor, and must not close it
        raise ConfigError(f"LB_ACCEPT_FD {descriptor} is no listening socket")
    listener.setblocking(False)
    return listener
