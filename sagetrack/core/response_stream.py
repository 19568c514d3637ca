"""The time limit of a streamed response, from its head to its last byte, and the check of its length.

A response of at most `LONG_RESPONSE_BYTES` has to be complete by the client's deadline. For a longer one
the deadline covers its first bytes; from then on the server has to keep sending. While the client reads too
slowly, the server is paused and its time does not run. The response of a class with streamed responses has no
deadline once it has begun, and is ended by a long silence only.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from sagetrack.core.bodies import BODY_STALL_TIMEOUT_S
from sagetrack.core.body_length import BodyLengthCheck
from sagetrack.core.clock import now_us
from sagetrack.core.requests import ResponseSource

LONG_RESPONSE_BYTES = 64 * 1024  # the deadline of a longer response covers its first bytes only
PROGRESS_WINDOW_S = 2.0  # past the deadline, a long response is checked for progress at this interval
MIN_WINDOW_BYTES = 8 * 1024  # what a server has to send of a long response in each of these intervals
# Data that waited in the socket while this process was held up is read before the response is given up.
RECHECK_S = 0.02


class ResponseStream:
    """Ends a streamed response that has run out of time; the source of the response for its client.

    Attributes:
        body_length: Compares the body with its announced length.
    """

    __slots__ = (
        "_expire",
        "_is_exempt",
        "_is_expiring",
        "_is_paused",
        "_loop",
        "_progress_us",
        "_remaining_us",
        "_source",
        "_timer",
        "_window_began_us",
        "_window_bytes",
        "body_length",
    )

    def __init__(
        self,
        remaining_us: Callable[[int], int],
        length: int | None,
        source: ResponseSource,
        is_exempt: bool,
        expire: Callable[[], None],
    ) -> None:
        """Start the time of a response whose head has just arrived.

        Args:
            remaining_us: Returns the time until the client's deadline, given the time now.
            length: The length of the body that the server has announced; None if it has not.
            source: The upstream end of the response.
            is_exempt: True if the response has no deadline, as its class has streamed responses.
            expire: Ends the attempt; called at most once, when the response has run out of time.
        """
        self._remaining_us = remaining_us
        self._source = source
        self._is_exempt = is_exempt
        self._expire = expire
        self.body_length = BodyLengthCheck(length)
        self._progress_us = now_us()  # time of the last byte, or of the last resume
        self._window_began_us = self._progress_us  # start of the interval that is checked next
        self._window_bytes = 0  # what the server has sent in it
        self._is_paused = False
        self._is_expiring = False
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(self._first_check_s(), self._check)

    def _first_check_s(self) -> float:
        if self._is_exempt:
            return BODY_STALL_TIMEOUT_S
        return max(0.0, self._remaining_us(now_us()) / 1e6)

    @property
    def is_long(self) -> bool:
        """True if the deadline covers only the first bytes of the response."""
        return max(self.body_length.received_bytes, self.body_length.length or 0) > LONG_RESPONSE_BYTES

    def receive(self, data: bytes) -> bytes:
        """Return what may be passed on of the body, now that the server has sent `data`.

        Raises:
            BodyLengthError: The body is longer than announced.
        """
        self.on_progress(len(data))
        return self.body_length.pass_on(data)

    def on_progress(self, size: int) -> None:
        """Record that the server has sent this many bytes, which may not be part of the body yet."""
        self._window_bytes += size
        self._progress_us = now_us()

    def pause(self) -> None:
        """Pause the server, because the client reads too slowly."""
        self._is_paused = True
        self._source.pause()

    def resume(self) -> None:
        """Resume the server, whose time runs again."""
        self._is_paused = False
        self._progress_us = now_us()
        self._begin_window(self._progress_us)
        self._source.resume()

    def close(self) -> None:
        """Stop the time, as the response has ended."""
        self._timer.cancel()

    def _begin_window(self, now: int) -> None:
        self._window_began_us = now
        self._window_bytes = 0

    def _check(self) -> None:
        wait_s = self._next_check_s(now_us())
        if wait_s > 0:
            self._is_expiring = False
            self._timer = self._loop.call_later(wait_s, self._check)
        elif not self._is_expiring:
            self._is_expiring = True
            self._timer = self._loop.call_later(RECHECK_S, self._check)
        else:
            self._expire()

    def _next_check_s(self, now: int) -> float:
        """Return the time until the next check; 0 if the response has run out of time."""
        if self._is_exempt:
            silent_s = 0.0 if self._is_paused else (now - self._progress_us) / 1e6
            return max(0.0, BODY_STALL_TIMEOUT_S - silent_s)
        until_deadline_us = self._remaining_us(now)
        if until_deadline_us > 0:
            return until_deadline_us / 1e6
        if self._is_paused:
            return PROGRESS_WINDOW_S
        return self._next_window_s(now) if self.is_long else 0.0

    def _next_window_s(self, now: int) -> float:
        """Return the time until a long response past its deadline is checked again; 0 if it has stalled."""
        window_s = (now - self._window_began_us) / 1e6
        if window_s < PROGRESS_WINDOW_S:
            return PROGRESS_WINDOW_S - window_s
        if (now - self._progress_us) / 1e6 >= PROGRESS_WINDOW_S or self._window_bytes < MIN_WINDOW_BYTES:
            return 0.0
        self._begin_window(now)
        return PROGRESS_WINDOW_S
