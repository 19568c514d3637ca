"""Operating system errors that are usually transient, and retries of calls that failed with them."""

from __future__ import annotations

import errno
import os
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    import asyncio

TRANSIENT_ERRNOS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EINTR,
        errno.EAGAIN,
        errno.EIO,
        errno.EADDRINUSE,  # a predecessor that is still ending has the address
    }
)
# Total time for all retries of one call. They are made at startup, and the process has to be ready by then.
RETRY_TIMEOUT_S = 6.0
RETRY_DELAY_S = 0.05  # delay between two tries

Result = TypeVar("Result")
IsTransient = Callable[[Exception], bool]  # returns whether the call that raised this error may be retried


def is_transient(error: Exception) -> bool:
    """Return whether the system call that failed with this error may succeed a moment later."""
    return isinstance(error, OSError) and error.errno in TRANSIENT_ERRNOS


def require_sockets(server: asyncio.Server) -> asyncio.Server:
    """Return the server if it has a listening socket.

    Raises:
        OSError: The server has no socket. asyncio skips every address for which it cannot open a socket.
    """
    if not server.sockets:
        raise OSError(errno.ENOBUFS, os.strerror(errno.ENOBUFS))
    return server


class _Retries(Generic[Result]):
    """A call that may be retried for `RETRY_TIMEOUT_S`, counted from the creation of the instance.

    Attributes:
        result: The return value of the call; set when it has succeeded.
    """

    result: Result

    def __init__(self, call: Callable[[], Result], is_transient: IsTransient) -> None:
        self._call = call
        self._is_transient = is_transient
        self._end_s = time.monotonic() + RETRY_TIMEOUT_S

    def try_once(self) -> bool:
        """Make the call; returns False after a transient error if there is time for another try.

        Raises:
            Exception: The call failed with an error that is not transient, or the time for retries is over.
        """
        try:
            self.result = self._call()
        except Exception as error:
            if not self._is_transient(error) or time.monotonic() >= self._end_s:
                raise
            return False
        return True


async def retry_while_transient(call: Callable[[], Result]) -> Result:
    """Make a call, retry it while it fails with transient errors, and return its result.

    Raises:
        OSError: The call failed with an error that is not transient, or still failed after `RETRY_TIMEOUT_S`.
    """
    import asyncio  # not at the top: the start uses this module before it knows whether asyncio needs TLS

    retries = _Retries(call, is_transient)
    while not retries.try_once():
        await asyncio.sleep(RETRY_DELAY_S)
    return retries.result


def retry_while_transient_blocking(
    call: Callable[[], Result], is_transient: IsTransient = is_transient
) -> Result:
    """Do the same as `retry_while_transient` before an event loop runs; sleeps between tries.

    Args:
        call: The call.
        is_transient: Returns whether the call may be retried after this error; by default, after those
            system errors that are usually transient.

    Raises:
        Exception: The call failed with an error that is not transient, or still failed after
            `RETRY_TIMEOUT_S`.
    """
    retries = _Retries(call, is_transient)
    while not retries.try_once():
        time.sleep(RETRY_DELAY_S)
    return retries.result
