"""A gateway process with a deliberate fault, which the soak has to find: `python -m tests.planted_fault`.

The environment variable PLANTED_FAULT names the fault.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import sys
from collections.abc import Callable

from sagetrack.core.attempt_observer import GatewayAttemptObserver
from sagetrack.core.recent_requests import RecentRequests
from sagetrack.http1.attempt import Attempt
from sagetrack.http1.attempt_runner import AttemptRunner
from sagetrack.http1.downstream import ClientConnection
from sagetrack.http1.upstream_server import UpstreamServer
from sagetrack.server.process import main

VARIABLE = "PLANTED_FAULT"
LEAK_BYTES = 256 * 1024
ATTEMPT_DELAY_S = 0.6
DELAYED_EVERY = 3  # one of so many attempts is delayed, so that the clients remain busy

leaked: list[bytes] = []


def forget_ids() -> None:
    """Run a request again whose id has come again."""
    RecentRequests.may_run = lambda *arguments: True  # type: ignore[method-assign]


def leak_memory() -> None:
    """Keep memory for every piece of data that a client sends."""
    receive = ClientConnection.buffer_updated

    def buffer_updated(self: ClientConnection, size: int) -> None:
        leaked.append(b"x" * LEAK_BYTES)
        receive(self, size)

    ClientConnection.buffer_updated = buffer_updated  # type: ignore[method-assign]


def ignore_disconnects() -> None:
    """Start some attempts late, and all without asking whether the client is still there."""
    assign = AttemptRunner.assign
    numbers = itertools.count(1)

    def assign_late(self: AttemptRunner, attempt: Attempt) -> None:
        if next(numbers) % DELAYED_EVERY:
            assign(self, attempt)
        else:
            asyncio.get_running_loop().call_later(ATTEMPT_DELAY_S, assign, self, attempt)

    AttemptRunner.assign = assign_late  # type: ignore[method-assign]
    GatewayAttemptObserver.may_begin = lambda *arguments: True  # type: ignore[method-assign]
    ClientConnection.cancel_requests = lambda self: None  # type: ignore[method-assign]


def ignore_withdrawals() -> None:
    """Send requests to servers that are draining, and to the former server at an address."""
    UpstreamServer.mark_withdrawn = lambda self: None  # type: ignore[method-assign]


FAULTS: dict[str, Callable[[], None]] = {
    fault.__name__: fault for fault in (forget_ids, leak_memory, ignore_disconnects, ignore_withdrawals)
}

if __name__ == "__main__":
    FAULTS[os.environ[VARIABLE]]()
    sys.exit(main())
