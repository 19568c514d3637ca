"""Discards the rest of a request body after a response that was sent before its end."""

from __future__ import annotations

from collections.abc import Callable

from sagetrack.core.bodies import StreamedBody, do_nothing
from sagetrack.http1.codec import BODY_LIMIT


def ends_connection(body: StreamedBody | None, expects_continue: bool) -> bool:
    """Return whether the connection is closed after a response that is sent now.

    The rest of a short body is read, so that the next request can follow it.
    """
    if body is None or body.is_complete:
        return False
    is_long = body.length is None or body.length > BODY_LIMIT
    return is_long or body.is_aborted or expects_continue


class BodyDiscard:
    """The body that one connection reads and drops before it continues or closes."""

    __slots__ = ("_body", "_on_complete")

    def __init__(self) -> None:
        self._body: StreamedBody | None = None
        self._on_complete: Callable[[], None] = do_nothing

    @property
    def is_active(self) -> bool:
        """True while the rest of a body is being dropped."""
        return self._body is not None

    def begin(self, body: StreamedBody, on_complete: Callable[[], None]) -> None:
        """Drop the rest of a body, then call `on_complete`.

        Closing before that could cause a TCP reset that discards the response, as some clients read it only
        after they have sent the whole body.
        """
        self._body = body
        self._on_complete = on_complete
        body.discard()
        body.on_complete = self._finish

    def release(self) -> None:
        """Forget the body, as the connection has ended."""
        self._body = None
        self._on_complete = do_nothing

    def _finish(self) -> None:
        on_complete = self._on_complete
        self.release()
        on_complete()
