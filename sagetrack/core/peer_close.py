"""Peers that have hung up, as the kernel knows before anything is read from them.

It knows of a FIN once all bytes before it have come to this machine, and of a reset at once. It cannot know
of a FIN that waits at its sender behind bytes for which there is no room here.

The rule: no attempt begins more than 0.1 s after its client's close. The sum, for every attempt: the look
(`has_peer_closed`) and the first byte are in one turn of the loop with nothing awaited between them, so that
what passes between them is the writing itself, however late the turn is. No sweep is in the sum;
`PeerCloseWatcher` frees what such a client holds within a turn of the loop, and nothing depends on how long
that one takes.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from contextlib import suppress

GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # epoll's bits have the same values


def has_peer_closed(poll: select.poll) -> bool:
    """Whether the peer of the one socket in there has closed or reset its connection: one system call."""
    return any(event & GONE for _, event in poll.poll(0))


class PeerCloseWatcher:
    """Connections on which nothing is read for now: the kernel wakes the loop when one of their peers leaves.

    It costs one system call to watch and one to stop, however long it lasts and however many there are: a
    sweep of 1,000 clients every 0.05 s would be 20,000 a second.
    """

    def __init__(self) -> None:
        self.epoll = select.epoll()  # one descriptor
        self.watched: dict[int, Callable[[], object]] = {}
        self.loop: asyncio.AbstractEventLoop | None = None

    def watch(self, descriptor: int, on_hangup: Callable[[], object]) -> None:
        """Call this once the peer has hung up, which may have been before.

        Where the kernel has no room for one more, the peer's end is heard when it is next asked for.
        """
        if self.loop is None:
            self.loop = asyncio.get_running_loop()
            self.loop.add_reader(self.epoll.fileno(), self.look)
        if descriptor not in self.watched:
            with suppress(OSError):
                self.epoll.register(descriptor, select.EPOLLRDHUP)
                self.watched[descriptor] = on_hangup

    def forget(self, descriptor: int) -> None:
        """Watch it no more; before it is closed, as its number may then be another's."""
        if self.watched.pop(descriptor, None) is not None:
            with suppress(OSError):  # a failed write has closed it already
                self.epoll.unregister(descriptor)

    def look(self) -> None:
        for descriptor, _ in self.epoll.poll(0):
            on_hangup = self.watched.get(descriptor)
            self.forget(descriptor)
            if on_hangup is not None:
                on_hangup()

    def close(self) -> None:
        if self.loop is not None:
            self.loop.remove_reader(self.epoll.fileno())
            self.loop = None
        self.epoll.close()
        self.watched.clear()
