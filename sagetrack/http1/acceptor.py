"""The listening socket: connections of clients are accepted as long as there are descriptors for them."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from contextlib import suppress

from sagetrack.core.log import log
from sagetrack.core.metrics import LabeledCounter

BACKLOG = 1024  # connections that may wait to be accepted
ACCEPTS_PER_TURN = 16  # connections accepted in one turn of the loop
ACCEPT_RETRY_S = 0.01  # where there is no descriptor, and none can be reclaimed
# Errors of accept that may be over in a moment; after any other the next connection may be accepted at once
EXHAUSTION_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
MAX_CONSECUTIVE_EXHAUSTED = 10  # of them in a row: this process may have fewer descriptors than configured


class Acceptor:
    """Accepts connections on a listening socket, a few in a turn of the loop."""

    def __init__(
        self,
        reclaim: Callable[[], bool],
        reclaim_idle: Callable[[], object],
        connection_factory: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        self.reclaim = reclaim  # makes sure of a descriptor for one more; False if there is none
        self.reclaim_idle = reclaim_idle  # closes a client that is idle
        self.connection_factory = connection_factory  # makes the protocol of an accepted connection
        self.listener: socket.socket | None = None
        self.pending: set[asyncio.Task[object]] = set()  # accepted, not yet connections
        self.consecutive_exhausted = 0  # calls of accept in a row for which there was no descriptor or memory
        self.errors = LabeledCounter("accept_errors_total", "error", ())

    def start(self, listener: socket.socket) -> None:
        """Accept connections on this socket, which listens."""
        self.listener = listener
        asyncio.get_running_loop().add_reader(self.listener.fileno(), self.accept)

    def accept(self, limit: int = ACCEPTS_PER_TURN) -> bool:
        """Accept waiting connections, a few in a turn; True if none waits any more.

        Descriptors for many of them at once are gained by closing other connections, not by running out.
        """
        loop = asyncio.get_running_loop()
        for _ in range(limit):
            if self.listener is None:
                return True
            if not self.reclaim():
                # Accepted connections are read first: then some have their response, or may be closed.
                self._pause()
                return False
            try:
                accepted, _ = self.listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if self._handle_error(error):
                    continue
                return False
            self.consecutive_exhausted = 0
            task: asyncio.Task[object] = loop.create_task(self._connect(accepted))
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)
        return False

    def stop(self) -> None:
        """Close our descriptor; a shared socket goes on listening in other processes."""
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def _pause(self) -> None:
        assert self.listener is not None
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.listener.fileno())
        loop.call_later(ACCEPT_RETRY_S, self._resume)

    def _resume(self) -> None:
        if self.listener is not None:
            asyncio.get_running_loop().add_reader(self.listener.fileno(), self.accept)

    def _handle_error(self, error: OSError) -> bool:
        """Log an error, and return whether the next connection may be accepted at once.

        Otherwise accepting pauses for `ACCEPT_RETRY_S`. An idle client is closed only where this process has
        run out of descriptors many times in a row: the other clients have not caused the error.
        """
        name = errno.errorcode.get(error.errno or 0, "other")
        self.errors.add(name)
        if error.errno not in EXHAUSTION_ERRNOS:
            log(f"accept failed, continuing: {name}", "warning", "accept")
            return True
        self.consecutive_exhausted += 1
        if error.errno == errno.EMFILE and self.consecutive_exhausted >= MAX_CONSECUTIVE_EXHAUSTED:
            self.reclaim_idle()
        log(f"accept failed, pausing for {ACCEPT_RETRY_S} s: {name}", "warning", "accept")
        self._pause()
        return False

    async def _connect(self, accepted: socket.socket) -> None:
        with suppress(OSError):  # without TCP_NODELAY responses are only a little later
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await asyncio.get_running_loop().connect_accepted_socket(self.connection_factory, accepted)
        except OSError:
            accepted.close()  # the client has closed it already
