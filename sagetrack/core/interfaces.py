"""What fronts, the gateway and backs ask of each other: calls, attempts, and who hears of them."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Any, Protocol

from sagetrack.core.bodies import Upload
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.send_rules import ServerState
from sagetrack.policy.events import LoadReport, Outcome

Answer = Any  # of a protocol: from its back to its front


class Source(Protocol):
    """Where an answer that passes through comes from."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class Attempt(Protocol):
    """One sending of a call to one server, as its protocol's back has it."""

    @property
    def server(self) -> int: ...

    @property
    def latency_us(self) -> int: ...


class AttemptObserver(Protocol):
    """Who is told what becomes of an attempt: it ends once, with `on_end`."""

    def may_begin(self, server: ServerState) -> bool:
        """Whether anything may be sent now to the server in this state: asked right before the first byte."""
        ...

    def on_first_byte(self) -> None:
        """Its first byte goes out in this turn."""
        ...

    def on_written(self) -> None:
        """Its last byte is on its way."""
        ...

    def on_begun(self, attempt: Attempt, head: Answer, source: Source) -> None:
        """Its answer is too long to be held, and passes through from here on."""
        ...

    def on_piece(self, attempt: Attempt, data: bytes) -> None: ...

    def on_end(
        self, attempt: Attempt, outcome: Outcome, answer: Answer | None, load: LoadReport | None
    ) -> None: ...


class UpstreamPool(Protocol):
    """A protocol's servers: what is listed, and attempts at them."""

    def put(self, entry: Endpoint) -> None:
        """Learn of a server, of its new address, that it has started anew, or that it drains."""
        ...

    def remove(self, server: int) -> None: ...

    @property
    def listed(self) -> Collection[int]: ...

    def lives(self) -> dict[int, int]:
        """When each listed server started."""
        ...

    def begin(self, call: Call, server: int, wait_us: int, watcher: AttemptObserver) -> Attempt | None:
        """Send a call to a server and wait for so long; None if that cannot be begun at all."""
        ...

    def cancel(self, attempt: Any) -> None: ...

    def withdraw(self, attempt: Any) -> None:
        """End an attempt of which its server has nothing yet: as it never ran, every class allows that."""
        ...

    def close_idle(self, server: int) -> None: ...

    def probe(self, server: int, told: Callable[[Outcome, int, LoadReport | None], None]) -> None:
        """Ask a server for its load, where the settings allow it."""
        ...

    def close(self) -> None: ...


class Client(Protocol):
    """Who waits for the final answer of a request; it gets just one of these.

    An answer that is too long to be held begins with `on_begun`, goes on with `on_piece` and ends with
    `on_ended` or `on_broken`.
    """

    def on_served(self, call: Call, answer: Any) -> None: ...

    def on_begun(self, call: Call, head: Any, source: Source) -> None: ...

    def on_piece(self, call: Call, data: bytes) -> None: ...

    def on_ended(self, call: Call, answer: Any) -> None: ...

    def on_broken(self, call: Call) -> None: ...

    def on_refused(self, call: Call, retry_after_us: int) -> None: ...

    def on_failed(self, call: Call, timed_out: bool) -> None: ...


def never_gone() -> bool:
    """Nobody can hang up."""
    return False


@dataclass(slots=True, eq=False)
class Call:
    """A client's request, as the gateway takes it. What it says is its protocol's own."""

    id: str
    klass: int
    client_timeout_us: int
    key: int | None
    work_us: int | None
    is_retry: bool
    tenant: int
    message: Any  # for the back of its protocol
    client: Client
    upload: Upload | None = None  # the body, if it is too long to be held
    who: int = 0  # the client within its tenant, where it is known
    mirror_target: int = -1  # a copy, to compare answers: see RequestArrived
    received_us: int = 0  # when its last byte was read; 0: only now
    has_gone: Callable[[], bool] = never_gone  # its client has hung up, whether or not the loop has seen it


class Recorder(Protocol):
    """Keeps a record of what happens, where the operator has a store."""

    def attempt(self, klass: int, outcome: str, latency_us: int, good: bool) -> None: ...

    def event(self, line: str) -> None: ...
