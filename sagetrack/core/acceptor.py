"""Accepts client connections on the listening socket while file descriptors are available."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING

from sagetrack.core.clock import now_us
from sagetrack.core.log import log
from sagetrack.core.metrics import LabeledCounter

if TYPE_CHECKING:
    import ssl  # at run time only a front with TLS loads it

BACKLOG = 1024  # maximum number of connections that wait to be accepted
ACCEPTS_PER_TURN = 16  # connections accepted in one event loop iteration
TLS_HANDSHAKE_TIMEOUT_S = 5.0
ACCEPT_RETRY_S = 0.01  # pause if no descriptor is available and none can be reclaimed
# Errors of accept after which accepting pauses; after any other the next connection is accepted at once.
EXHAUSTION_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# An idle client is closed after this many such errors in a row: the process may have fewer descriptors than
# configured.
MAX_CONSECUTIVE_EXHAUSTED = 10


class Acceptor:
    """Accepts connections on a listening socket, a limited number per event loop iteration."""

    def __init__(
        self,
        reclaim: Callable[[], bool],
        reclaim_idle: Callable[[], object],
        connection_factory: Callable[[int | None], asyncio.BaseProtocol],
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.reclaim = reclaim  # ensures that a descriptor is available; False if none is
        self.reclaim_idle = reclaim_idle  # closes an idle client connection
        # Creates the protocol of an accepted connection, given `waiting_since_us`.
        self.connection_factory = connection_factory
        self.tls = tls
        # Time since which connections may have waited to be accepted, 0 if it is before the start of this
        # process; None if none was waiting at the last look.
        self.waiting_since_us: int | None = 0
        self.listener: socket.socket | None = None
        self.pending: set[asyncio.Task[object]] = set()  # accepted connections that are being set up
        self.consecutive_exhausted = 0  # failures of accept with `EXHAUSTION_ERRNOS` in a row
        self.errors = LabeledCounter("accept_errors_total", "error", ())

    def start(self, listener: socket.socket) -> None:
        """Start to accept connections on this listening socket, beginning with those that wait already."""
        self.listener = listener
        loop = asyncio.get_running_loop()
        loop.add_reader(self.listener.fileno(), self.accept)
        loop.call_soon(self.accept)

    def accept(self, limit: int = ACCEPTS_PER_TURN) -> bool:
        """Accept at most `limit` waiting connections; return whether none is left waiting.

        If descriptors are short, other connections are closed before one is accepted, so that a burst of
        connections does not exhaust the descriptors.
        """
        loop = asyncio.get_running_loop()
        for _ in range(limit):
            if self.listener is None:
                return True
            if not self.reclaim():
                # Handle the accepted connections first: some may then be closed, which frees descriptors.
                self._pause()
                return False
            try:
                accepted, _ = self.listener.accept()
            except BlockingIOError:
                self.waiting_since_us = None
                return True
            except OSError as error:
                if self._handle_error(error):
                    continue
                return False
            self.consecutive_exhausted = 0
            task: asyncio.Task[object] = loop.create_task(self._connect(accepted, self.waiting_since_us))
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)
        return False

    def stop(self) -> None:
        """Close this process's descriptor; other processes continue to listen on a shared socket."""
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def _pause(self) -> None:
        assert self.listener is not None
        if self.waiting_since_us is None:
            self.waiting_since_us = now_us()
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.listener.fileno())
        loop.call_later(ACCEPT_RETRY_S, self._resume)

    def _resume(self) -> None:
        if self.listener is not None:
            asyncio.get_running_loop().add_reader(self.listener.fileno(), self.accept)

    def _handle_error(self, error: OSError) -> bool:
        """Log an error of accept, and return whether the next connection may be accepted at once.

        Otherwise accepting pauses for `ACCEPT_RETRY_S`. An idle client is closed only after this process has
        run out of descriptors `MAX_CONSECUTIVE_EXHAUSTED` times in a row, as the clients have not caused the
        error.
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

    async def _connect(self, accepted: socket.socket, waiting_since_us: int | None) -> None:
        with suppress(OSError):  # optional: without TCP_NODELAY, responses are slightly delayed
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: self.connection_factory(waiting_since_us),
                accepted,
                ssl=self.tls,
                ssl_handshake_timeout=TLS_HANDSHAKE_TIMEOUT_S if self.tls is not None else None,
            )
        except OSError:
            accepted.close()  # the client has already closed the connection
