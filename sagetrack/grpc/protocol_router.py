"""One fleet of both formats: each call goes to its server in the format that the server speaks."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import replace
from typing import Any

from sagetrack.core.clock import now_us
from sagetrack.core.endpoints import Endpoint
from sagetrack.core.interfaces import AnyResponse, Attempt, AttemptObserver, Call, Source, UpstreamPool
from sagetrack.core.send_rules import ServerState
from sagetrack.grpc.upstream import NewAttempt, NewPools
from sagetrack.policy.events import LoadReport, Outcome, ServerStatus
from sagetrack.policy.migration import Migration

Turned = dict[int, tuple[float, float]]
FAILED = frozenset({Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT, Outcome.CONNECT_FAILED})


class Counting:
    """Hears of an attempt before its watcher does, and counts how each format fares."""

    __slots__ = ("call", "mixed", "newer", "streams", "watcher")

    def __init__(self, watcher: AttemptObserver, mixed: Mixed, newer: bool, call: Call) -> None:
        self.watcher, self.mixed, self.newer, self.call = watcher, mixed, newer, call
        self.streams = False

    def may_begin(self, server: ServerState) -> bool:
        return self.watcher.may_begin(server)

    def on_first_byte(self) -> None:
        self.watcher.on_first_byte()

    def on_request_sent(self) -> None:
        self.watcher.on_request_sent()

    def on_response_started(self, attempt: Attempt, head: AnyResponse, source: Source) -> None:
        self.streams = True
        self.watcher.on_response_started(attempt, head, source)

    def on_response_data(self, attempt: Attempt, data: bytes) -> None:
        self.watcher.on_response_data(attempt, data)

    def on_attempt_ended(
        self, attempt: Attempt, outcome: Outcome, answer: AnyResponse | None, load: LoadReport | None
    ) -> None:
        told = outcome is Outcome.OK or outcome in FAILED
        if told and self.mixed.move.record(self.newer, outcome is not Outcome.OK, now_us()):
            self.mixed.on_move()
        self.watcher.on_attempt_ended(attempt, outcome, answer, load)
        if outcome is Outcome.OK and not self.streams and self.mixed.on_answer is not None:
            self.mixed.on_answer(self.call, self.newer, answer)  # the client has its own by now


class Mixed:
    """Servers of the older format behind `old`, of the newer one behind `new`, by their types."""

    def __init__(
        self,
        old: UpstreamPool,
        new: NewPools,
        kinds: Collection[int],
        move: Migration,
        on_move: Callable[[], None],
    ) -> None:
        self.old, self.new, self.kinds = old, new, frozenset(kinds)
        self.move, self.on_move = move, on_move
        self.entries: dict[int, Endpoint] = {}  # as they are listed
        self.factors = (1.0, 1.0)
        self.turns: tuple[Turned, Turned] = {}, {}  # by class and by member
        self.on_turns: Callable[[Turned, Turned], None] | None = None
        self.on_answer: Callable[[Call, bool, Any], None] | None = None  # a whole one, of the newer format?
        self.numbers: dict[int, None] = {}  # of all servers: asked for at each sending

    def weighed(self, entries: list[Endpoint]) -> list[Endpoint]:
        """The list as the module is to see it: weights turned so that the newer format has its share."""
        for entry in entries:
            if entry.listed.status is ServerStatus.GONE:
                self.entries.pop(entry.listed.server, None)
            else:
                self.entries[entry.listed.server] = entry
        return [self.turned(entry) for entry in entries]

    def turned(self, entry: Endpoint) -> Endpoint:
        factor = self.factors[entry.listed.kind in self.kinds]
        listed = replace(entry.listed, weight=entry.listed.weight * factor)
        return Endpoint(entry.name, entry.address, listed)

    def look(self) -> list[Endpoint]:
        """Entries whose weight has changed, since the share or a verdict on the newer format has."""
        sums = [0.0, 0.0]
        for entry in self.entries.values():
            if entry.listed.status is ServerStatus.READY:
                sums[entry.listed.kind in self.kinds] += entry.listed.weight
        now = now_us()
        turns = self.move.override_factors(now, *sums)
        if turns != self.turns:
            self.turns = turns
            if self.on_turns is not None:
                self.on_turns(*turns)
        factors = self.move.weight_factors(now, *sums)
        if factors == self.factors:
            return []
        self.factors = factors
        return [self.turned(entry) for entry in self.entries.values()]

    def speaks_new(self, server: int) -> bool:
        return server in self.new.hosts

    def put(self, entry: Endpoint) -> None:
        """A server that changes its format leaves the one side and comes to the other."""
        number = entry.listed.server
        self.numbers[number] = None
        if entry.listed.kind in self.kinds:
            if number in self.old.listed:
                self.old.remove(number)
            self.new.put(entry)
        else:
            if number in self.new.listed:
                self.new.remove(number)
            self.old.put(entry)

    def remove(self, server: int) -> None:
        self.numbers.pop(server, None)
        (self.new if self.speaks_new(server) else self.old).remove(server)

    @property
    def listed(self) -> Collection[int]:
        return self.numbers.keys()

    def server_start_times(self) -> dict[int, int]:
        return self.old.server_start_times() | self.new.server_start_times()

    def begin(self, call: Call, server: int, wait_us: int, watcher: AttemptObserver) -> Any:
        newer = self.speaks_new(server)
        back: Any = self.new if newer else self.old
        return back.begin(call, server, wait_us, Counting(watcher, self, newer, call))

    def cancel(self, attempt: Any) -> None:
        (self.new if isinstance(attempt, NewAttempt) else self.old).cancel(attempt)

    def cancel_unsent(self, attempt: Any) -> None:
        (self.new if isinstance(attempt, NewAttempt) else self.old).cancel_unsent(attempt)

    def close_idle(self, server: int) -> None:
        (self.new if self.speaks_new(server) else self.old).close_idle(server)

    def probe(self, server: int, told: Callable[[Outcome, int, LoadReport | None], None]) -> None:
        if not self.speaks_new(server):
            self.old.probe(server, told)

    def close(self) -> None:
        self.old.close()
        self.new.close()
