"""Errors of the operating system that may pass within moments, and retries of the calls that met them."""

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
RETRY_TIMEOUT_S = 6.0  # of all retries of one call at the start, by whose end the process has to be ready
RETRY_DELAY_S = 0.05  # between two attempts

Result = TypeVar("Result")


def is_transient(error: OSError) -> bool:
    """Return whether the same call may succeed a moment later."""
    return error.errno in TRANSIENT


def require_sockets(server: asyncio.Server) -> asyncio.Server:
    """Return the server if it listens.

    Raises:
        OSError: It has no socket, as asyncio skips every address for which it cannot open one.
    """
    if not server.sockets:
        raise OSError(errno.ENOBUFS, os.strerror(errno.ENOBUFS))
    return server


def _is_final(error: OSError, end_s: float) -> bool:
    """Return whether a call that has failed with this error is not retried, by `time.monotonic`."""
    return not is_transient(error) or time.monotonic() >= end_s


async def retry_while_transient(call: Callable[[], Result]) -> Result:
    """Return the result of a call, retried while its errors are transient.

    Raises:
        OSError: An error that is not transient, or the last one after `RETRY_TIMEOUT_S`.
    """
    end_s = time.monotonic() + RETRY_TIMEOUT_S
    while True:
        try:
            return call()
        except OSError as error:
            if _is_final(error, end_s):
                raise
        await asyncio.sleep(RETRY_DELAY_S)


def retry_while_transient_blocking(call: Callable[[], Result]) -> Result:
    """Do the same as `retry_while_transient` where no event loop runs yet; blocks between attempts.

    Raises:
        OSError: As `retry_while_transient`.
    """
    end_s = time.monotonic() + RETRY_TIMEOUT_S
    while True:
        try:
            return call()
        except OSError as error:
            if _is_final(error, end_s):
                raise
        time.sleep(RETRY_DELAY_S)
