"""Detection of connections closed by the peer, by asking the kernel instead of reading.

The kernel knows of a FIN once all bytes before it have arrived at this machine, and of a reset immediately.
It cannot know of a FIN that the sender holds back because the receive buffer is full.

No attempt begins more than 0.1 s after its client has closed, however late the event loop runs: the check
(`has_peer_closed`) and the sending of the first byte are in the same iteration of the loop, with nothing
awaited between them. The bound does not depend on any periodic check. `PeerCloseWatcher` only releases the
resources of such a client, within one iteration of the loop.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from contextlib import suppress

HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # epoll uses the same values


def has_peer_closed(poll: select.poll) -> bool:
    """Return whether the peer has closed or reset the connection; costs one system call.

    Args:
        poll: A poll object on which only the socket of that connection is registered.
    """
    return any(event & HANGUP_EVENTS for _, event in poll.poll(0))


class PeerCloseWatcher:
    """Watches connections whose reading is paused; the kernel wakes the event loop when a peer closes.

    A connection costs one system call to watch and one to stop watching, whatever the duration and the number
    of connections. Polling 1,000 clients every 0.05 s would cost 20,000 calls per second.
    """

    def __init__(self) -> None:
        self.epoll = select.epoll()  # uses one file descriptor
        self.watched: dict[int, Callable[[], object]] = {}
        self.loop: asyncio.AbstractEventLoop | None = None

    def watch(self, descriptor: int, on_hangup: Callable[[], object]) -> None:
        """Call `on_hangup` when the peer of this socket closes, or if it already has closed.

        If the kernel cannot watch another socket, the close is noticed when the connection is next read.
        """
        if self.loop is None:
            self.loop = asyncio.get_running_loop()
            self.loop.add_reader(self.epoll.fileno(), self.dispatch_hangups)
        if descriptor not in self.watched:
            with suppress(OSError):
                self.epoll.register(descriptor, select.EPOLLRDHUP)
                self.watched[descriptor] = on_hangup

    def unwatch(self, descriptor: int) -> None:
        """Stop watching a socket; must be called before it is closed and its descriptor reused."""
        if self.watched.pop(descriptor, None) is not None:
            with suppress(OSError):  # the descriptor is already closed after a failed write
                self.epoll.unregister(descriptor)

    def dispatch_hangups(self) -> None:
        """Run the callbacks of all watched connections whose peer has closed; called by the event loop."""
        for descriptor, _ in self.epoll.poll(0):
            on_hangup = self.watched.get(descriptor)
            self.unwatch(descriptor)
            if on_hangup is not None:
                on_hangup()

    def close(self) -> None:
        """Stop watching all connections permanently."""
        if self.loop is not None:
            self.loop.remove_reader(self.epoll.fileno())
            self.loop = None
        self.epoll.close()
        self.watched.clear()
