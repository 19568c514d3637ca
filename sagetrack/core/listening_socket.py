"""Creates listening sockets, or takes one that is inherited from the platform and shared by processes."""

from __future__ import annotations

import os
import socket

from sagetrack.config.platform import Address, ConfigError
from sagetrack.core.acceptor import BACKLOG


def bind_listener(address: Address, backlog: int = BACKLOG, shared: bool = False) -> socket.socket:
    """Return a non-blocking socket that listens only on this address, with `SO_REUSEPORT` if `shared`.

    Raises:
        OSError: The address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.create_server(address, family=family, backlog=backlog, reuse_port=shared)
    listener.setblocking(False)
    return listener


def inherit_listener(descriptor: int) -> socket.socket:
    """Return the listening socket that the platform holds and all processes of this gateway inherit.

    It must be closed, never shut down: a shutdown would affect the other processes as well.

    Raises:
        ConfigError: The descriptor is not a listening TCP socket.
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
        listener.detach()  # this process does not own the descriptor and must not close it
        raise ConfigError(f"LB_ACCEPT_FD {descriptor} is not a listening TCP socket")
    listener.setblocking(False)
    return listener
