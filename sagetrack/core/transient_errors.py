"""Errors of the operating system that may pass within moments, and retries of the calls that met them."""

from __future__ import annotations

import asyncio
import errno
import os
import time
from collections.abc import Callable
from typing import Generic, TypeVar

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


class _Retries(Generic[Result]):
    """A call that may be made several times, until `RETRY_TIMEOUT_S` after the first.

    Attributes:
        result: What it has returned, once it has succeeded.
    """

    result: Result

    def __init__(self, call: Callable[[], Result]) -> None:
        self._call = call
        self._end_s = time.monotonic() + RETRY_TIMEOUT_S

    def try_once(self) -> bool:
        """Make the call; False after a transient error, while there is time for a retry.

        Raises:
            OSError: Any other error of the call.
        """
        try:
            self.result = self._call()
        except OSError as error:
            if not is_transient(error) or time.monotonic() >= self._end_s:
                raise
            return False
        return True


async def retry_while_transient(call: Callable[[], Result]) -> Result:
    """Return the result of a call, retried while its errors are transient.

    Raises:
        OSError: An error that is not transient, or the last one after `RETRY_TIMEOUT_S`.
    """
    retries = _Retries(call)
    while not retries.try_once():
        await asyncio.sleep(RETRY_DELAY_S)
    return retries.result


def retry_while_transient_blocking(call: Callable[[], Result]) -> Result:
    """Do the same as `retry_while_transient` where no event loop runs yet; blocks between attempts.

    Raises:
        OSError: As `retry_while_transient`.
    """
    retries = _Retries(call)
    while not retries.try_once():
        time.sleep(RETRY_DELAY_S)
    return retries.result
