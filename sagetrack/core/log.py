"""The program's log: events with fields, bounded in rate for each event; where lines go is set once.

Until `use_sink` is called, an event is one plain line on standard error. `use_sink` hands over to another
sink, which the operator's file asks for. Nothing is logged for each request.
"""

from __future__ import annotations

import io
import select
import sys
from collections.abc import Callable
from time import monotonic
from typing import BinaryIO, TextIO, cast

Sink = Callable[[str, str, dict[str, object]], None]  # level, event, fields

LEVELS = ("debug", "info", "warning", "error")
BURST = 20.0  # lines of one event at once
RATE = 5.0  # lines of one event a second, in the long run
LINE_LIMIT = 3_000  # characters of an event: what a pipe that takes anything takes at once
EVENTS = 256  # events that are told apart; the rest share one bound


class LogRateLimit:
    """A token bucket for each event: a flood of one kind neither hides the others nor costs the program.

    What was held back is counted and told with the next line of that event that passes.
    """

    __slots__ = ("buckets", "burst", "rate")

    def __init__(self, burst: float = BURST, rate: float = RATE) -> None:
        self.burst, self.rate = burst, rate
        self.buckets: dict[str, list[float]] = {}  # tokens, when they were counted, lines held back

    def admit(self, event: str, now_s: float) -> int:
        """Lines of this event that were held back before this one, or -1 if this one is held back too."""
        bucket = self.buckets.get(event)
        if bucket is None:
            if len(self.buckets) >= EVENTS:
                event = ""
            bucket = self.buckets.setdefault(event, [self.burst, now_s, 0.0])
        bucket[0] = min(self.burst, bucket[0] + (now_s - bucket[1]) * self.rate)
        bucket[1] = now_s
        if bucket[0] < 1.0:
            bucket[2] += 1.0
            return -1
        bucket[0] -= 1.0
        held, bucket[2] = int(bucket[2]), 0.0
        return held


def with_minimum_level(least: str, sink: Sink) -> Sink:
    """The same sink for this level and those above it."""
    admitted = LEVELS[LEVELS.index(least) :]

    def write(level: str, event: str, fields: dict[str, object]) -> None:
        if level in admitted:
            sink(level, event, fields)

    return write


def plain_sink(level: str, event: str, fields: dict[str, object]) -> None:
    """One line on standard error, as the platform keeps it."""
    named = "".join(f" {name}={value}" for name, value in fields.items() if name != "server")
    print(f"sagetrack: {event}{named}", file=sys.stderr, flush=True)


def unbuffered_stderr() -> TextIO:
    """Standard error without a buffer: a line that cannot be written is dropped, not kept for the exit."""
    raw = io.FileIO(sys.__stderr__.fileno() if sys.__stderr__ else 2, "w", closefd=False)
    return io.TextIOWrapper(cast(BinaryIO, raw), "utf-8", "backslashreplace", write_through=True)


def takes_a_line(stream: TextIO) -> bool:
    """Whether a line can be written there without a wait; a pipe that nobody reads takes none once full."""
    try:
        descriptor = stream.fileno()
    except (OSError, ValueError):
        return True  # it is in memory
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return any(event & (select.POLLOUT | select.POLLERR) for _, event in poll.poll(0))


_sink: Sink = plain_sink
_rate_limit = LogRateLimit()
_unwritten = 0  # lines since the last one that was written


def use_sink(sink: Sink, rate_limit: LogRateLimit | None = None) -> None:
    """Send what is logged from now on to another sink, under another bound."""
    global _sink, _rate_limit
    _sink, _rate_limit = sink, rate_limit or LogRateLimit()


def log(event: str, level: str = "info", kind: str | None = None, **fields: object) -> None:
    """Log an event. `kind` names what it is bounded with; without it that is the first word and its length.

    The fields with fixed names are `gateway`, `server`, `call`, `class` and `member`.
    """
    held = _rate_limit.admit(kind or event.partition(":")[0][:40], monotonic())
    if held < 0:
        return
    if held:
        fields["held_back"] = held
    _write(level, event, fields)


def _write(level: str, event: str, fields: dict[str, object]) -> None:
    """Write a line, or count it as unwritten.

    Guards the callers: a log on a full disk must not end what is being done, nor a pipe without a reader hold
    up the loop.
    """
    global _unwritten
    if _unwritten:
        fields["unwritten"] = _unwritten
    try:
        if not takes_a_line(sys.stderr):
            raise BlockingIOError
        _sink(level, event[:LINE_LIMIT], fields)
        _unwritten = 0
    except (OSError, ValueError):  # ValueError: the stream is closed
        _unwritten += 1
