"""A TCP listener on loopback that can stop to complete handshakes, as a host that vanished does."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

BACKLOG = 1024
ACCEPTS_PER_WAKEUP = 32
FILLER_CONNECTIONS = 3  # connections that fill a queue of length 0 on Linux


def _open_listener(host: str) -> socket.socket:
    """A non-blocking listening socket at a free port of this host; OSError if there is none."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, 0))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except OSError:
        listener.close()
        raise
    return listener


class SilenceableListener:
    """A listening socket that can fall silent: handshakes with it then neither complete nor fail.

    `address` is its "host:port". It accepts connections from its creation on, with a protocol from the
    factory for each. Needs a running event loop; the constructor raises OSError if the host has no free port.
    """

    def __init__(self, host: str, protocol_factory: Callable[[], asyncio.Protocol]) -> None:
        self.loop = asyncio.get_running_loop()
        self.protocol_factory = protocol_factory
        self.listener = _open_listener(host)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.fillers: list[socket.socket] = []
        self.is_muted = False
        self.is_closed = False
        self.loop.add_reader(self.listener.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_WAKEUP):
            try:
                accepted, _ = self.listener.accept()
            except OSError:
                return
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self.loop.create_task(self.loop.connect_accepted_socket(self.protocol_factory, accepted))
            # The exception of a connection that broke at once is read, so that asyncio logs nothing.
            task.add_done_callback(lambda done: done.cancelled() or done.exception())

    def mute(self) -> None:
        """Fill the accept queue, so that the kernel drops the SYN of each further connection."""
        if self.is_muted or self.is_closed:
            return
        self.is_muted = True
        self.loop.remove_reader(self.listener.fileno())
        self.listener.listen(0)
        for _ in range(FILLER_CONNECTIONS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)

    def unmute(self) -> None:
        """Accept connections again."""
        if not self.is_muted or self.is_closed:
            return
        self.is_muted = False
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.listener.listen(BACKLOG)
        self.loop.add_reader(self.listener.fileno(), self._accept)

    def close(self) -> None:
        """Stop listening; further connections are refused. Accepted ones stay open."""
        if self.is_closed:
            return
        self.unmute()
        self.is_closed = True
        self.loop.remove_reader(self.listener.fileno())
        self.listener.close()
