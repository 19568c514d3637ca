"""Errors of the machine that a moment may mend, and how a start waits for that moment."""

from __future__ import annotations

import asyncio
import errno
import os
import time
from collections.abc import Callable
from typing import TypeVar

TRANSIENT = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EINTR,
        errno.EAGAIN,
        errno.EIO,
    }
)
PATIENCE_S = 6.0  # with them, at a start: by then it has to be ready
PAUSE_S = 0.05  # between two tries

Result = TypeVar("Result")


def is_transient(error: OSError) -> bool:
    """Whether the same call may well succeed a moment later."""
    return error.errno in TRANSIENT


def require_sockets(server: asyncio.Server) -> asyncio.Server:
    """The server, if it has a socket; OSError if asyncio has passed over all that it could not make."""
    if not server.sockets:
        raise OSError(errno.ENOBUFS, os.strerror(errno.ENOBUFS))
    return server


async def retry_while_transient(call: Callable[[], Result]) -> Result:
    """What a call returns, made again while its errors are transient; the last of them if they stay."""
    end_s = time.monotonic() + PATIENCE_S
    while True:
        try:
            return call()
        except OSError as error:
            if not is_transient(error) or time.monotonic() >= end_s:
                raise
        await asyncio.sleep(PAUSE_S)


def retry_while_transient_blocking(call: Callable[[], Result]) -> Result:
    """The same where nothing else is to be done meanwhile."""
    end_s = time.monotonic() + PATIENCE_S
    while True:
        try:
            return call()
        except OSError as error:
            if not is_transient(error) or time.monotonic() >= end_s:
                raise
        time.sleep(PAUSE_S)
