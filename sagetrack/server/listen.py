"""Listening sockets: bound here, or inherited from the platform and shared with other processes."""

from __future__ import annotations

import os
import socket

from sagetrack.config.platform import Address, ConfigError
from sagetrack.http1.acceptor import BACKLOG


def bind(address: Address, backlog: int = BACKLOG) -> socket.socket:
    """A socket of our own that listens at this address and no other."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.create_server(address, family=family, backlog=backlog)
    listener.setblocking(False)
    return listener


def inherit(descriptor: int) -> socket.socket:
    """The socket that the platform holds and every process of this gateway inherits.

    It is never shut down, only closed: a shutdown would end it for the other processes too.
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
        listener.detach()  # whatever it is, it is not ours to close
        raise ConfigError(f"LB_ACCEPT_FD {descriptor} is no listening socket")
    listener.setblocking(False)
    return listener
