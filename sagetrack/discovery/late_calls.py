"""Calls to discovery that have exceeded their time limit, and whose responses may still come.

A service may take longer than the limit for each of its responses. If each call were closed at its limit, no
list would ever be received, although the service can be reached.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from sagetrack.core.responses import Response
from sagetrack.discovery.connection import DiscoveryConnection

MAX_LATE_CALLS = 2  # each one holds a connection
LATE_RESPONSE_TIMEOUT_S = 5.0  # counted from the time limit of the call


@dataclass(frozen=True, slots=True)
class LateCall:
    """A call without a response at its time limit.

    Attributes:
        connection: Its connection, which carries no other call.
        response: Completes with the response.
        since_version: The version from which it asked for changes; None if it asked for the complete list.
    """

    connection: DiscoveryConnection
    response: asyncio.Task[Response]
    since_version: int | None


class LateCalls:
    """Awaits the responses of late calls, for a limited time."""

    def __init__(self, on_response: Callable[[LateCall, Response], None]) -> None:
        self._on_response = on_response
        self._timers: dict[LateCall, asyncio.TimerHandle] = {}

    def keep(self, call: LateCall) -> bool:
        """Await the response of a call; return False if that many calls are awaited already."""
        if len(self._timers) >= MAX_LATE_CALLS:
            return False
        loop = asyncio.get_running_loop()
        self._timers[call] = loop.call_later(LATE_RESPONSE_TIMEOUT_S, self._drop, call)
        call.response.add_done_callback(lambda _: self._finish(call))
        return True

    def holds(self, connection: DiscoveryConnection) -> bool:
        """Return whether a late call is awaited on this connection."""
        return any(call.connection is connection for call in self._timers)

    def close(self) -> None:
        """Drop all calls."""
        for call in list(self._timers):
            self._drop(call)

    def _drop(self, call: LateCall) -> None:
        """Close the connection of a call, and ignore its response."""
        self._timers.pop(call).cancel()
        call.response.cancel()
        call.connection.close()

    def _finish(self, call: LateCall) -> None:
        if call not in self._timers:
            return
        succeeded = not call.response.cancelled() and call.response.exception() is None
        self._timers.pop(call).cancel()
        call.connection.close()
        if succeeded:
            self._on_response(call, call.response.result())
