"""A loopback TCP listener that can stop completing handshakes, to simulate a vanished host."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

BACKLOG = 1024
ACCEPTS_PER_WAKEUP = 32
FILLER_CONNECTIONS = 3  # enough to fill an accept queue with a backlog of 0 on Linux


def _open_listener(host: str) -> socket.socket:
    """Open a non-blocking listening socket on a free port of this host. Raises OSError if there is none."""
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
    """A listening socket that can be muted; handshakes with it then neither complete nor fail.

    `address` is its "host:port". It accepts connections from its creation on, each with a protocol from the
    factory. Must be created while an event loop is running. The constructor raises OSError if the host has no
    free port.
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
            # Retrieve the exception of a connection that fails immediately, so that asyncio does not log it.
            task.add_done_callback(lambda done: done.cancelled() or done.exception())

    def mute(self) -> None:
        """Fill the accept queue, so that the kernel drops the SYNs of further connections."""
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
        """Stop listening. Further connections are refused; accepted ones stay open."""
        if self.is_closed:
            return
        self.unmute()
        self.is_closed = True
        self.loop.remove_reader(self.listener.fileno())
        self.listener.close()
