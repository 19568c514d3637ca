"""The program's log: events with fields, limited in rate for each event; where lines go is set once.

Until `use_sink` is called, an event is one plain line on standard error. The operator's file may ask for
another sink. Nothing is logged for each request.
"""

from __future__ import annotations

import io
import select
import sys
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic
from typing import BinaryIO, TextIO, cast

Sink = Callable[[str, str, dict[str, object]], None]  # level, event, fields

LEVELS = ("debug", "info", "warning", "error")
DEFAULT_BURST_LINES = 20.0  # lines of one event at once
DEFAULT_LINES_PER_S = 5.0  # lines of one event a second, in the long run
MAX_EVENT_LENGTH = 3_000  # characters of an event: what a pipe takes at once if it takes anything
MAX_RATE_LIMITED_EVENTS = 256  # events with a limit of their own; all others share one
MAX_EVENT_NAME_LENGTH = 40  # characters by which events are told apart


@dataclass(slots=True)
class _Bucket:
    """The token bucket of one event.

    Attributes:
        tokens: Lines that may be written at once.
        refilled_s: When that was computed.
        suppressed: Lines that were suppressed since the last one that was written.
    """

    tokens: float
    refilled_s: float
    suppressed: int = 0


class LogRateLimit:
    """A token bucket for each event: a flood of one event neither hides others nor costs the program.

    Suppressed lines are counted, and reported with the next line of that event that is written.
    """

    __slots__ = ("buckets", "burst", "rate")

    def __init__(self, burst: float = DEFAULT_BURST_LINES, rate: float = DEFAULT_LINES_PER_S) -> None:
        """Allow `burst` lines of an event at once, and `rate` lines a second in the long run."""
        self.burst = burst
        self.rate = rate
        self.buckets: dict[str, _Bucket] = {}

    def admit(self, event: str, now_s: float) -> int:
        """Return how many lines of this event were suppressed since the last one; -1 if this one is, too."""
        bucket = self.buckets.get(event)
        if bucket is None:
            if len(self.buckets) >= MAX_RATE_LIMITED_EVENTS:
                event = ""
            bucket = self.buckets.setdefault(event, _Bucket(self.burst, now_s))
        bucket.tokens = min(self.burst, bucket.tokens + (now_s - bucket.refilled_s) * self.rate)
        bucket.refilled_s = now_s
        if bucket.tokens < 1.0:
            bucket.suppressed += 1
            return -1
        bucket.tokens -= 1.0
        suppressed = bucket.suppressed
        bucket.suppressed = 0
        return suppressed


def with_minimum_level(level: str, sink: Sink) -> Sink:
    """Return a sink that passes events of this level and above on, and drops the others."""
    admitted = LEVELS[LEVELS.index(level) :]

    def write(level: str, event: str, fields: dict[str, object]) -> None:
        if level in admitted:
            sink(level, event, fields)

    return write


def plain_sink(level: str, event: str, fields: dict[str, object]) -> None:
    """Write an event and its fields, but for `server`, as one line on standard error."""
    named = "".join(f" {name}={value}" for name, value in fields.items() if name != "server")
    print(f"sagetrack: {event}{named}", file=sys.stderr, flush=True)


def unbuffered_stderr() -> TextIO:
    """Return standard error without a buffer: a line that cannot be written is dropped, not kept."""
    raw = io.FileIO(sys.__stderr__.fileno() if sys.__stderr__ else 2, "w", closefd=False)
    return io.TextIOWrapper(cast(BinaryIO, raw), "utf-8", "backslashreplace", write_through=True)


def is_writable(stream: TextIO) -> bool:
    """Return whether a line can be written there without blocking: not to a full pipe that nobody reads."""
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
    """Write events to another sink from now on, under another rate limit or a new one of default size."""
    global _sink, _rate_limit
    _sink = sink
    _rate_limit = rate_limit or LogRateLimit()


def log(event: str, level: str = "info", rate_limit_key: str | None = None, **fields: object) -> None:
    """Log an event.

    Args:
        event: The text, which begins with the event's name and a colon, or is the name.
        level: One of `LEVELS`.
        rate_limit_key: Names the events that share one rate limit with it; by default, the event's name.
        fields: Fields with fixed names: `gateway`, `server`, `call`, `class` and `member`.
    """
    suppressed = _rate_limit.admit(
        rate_limit_key or event.partition(":")[0][:MAX_EVENT_NAME_LENGTH], monotonic()
    )
    if suppressed < 0:
        return
    if suppressed:
        fields["suppressed"] = suppressed
    _write(level, event, fields)


def _write(level: str, event: str, fields: dict[str, object]) -> None:
    """Write a line, or count it as unwritten: a full disk or a blocked pipe must not stop the callers."""
    global _unwritten
    if _unwritten:
        fields["unwritten"] = _unwritten
    try:
        if not is_writable(sys.stderr):
            raise BlockingIOError
        _sink(level, event[:MAX_EVENT_LENGTH], fields)
        _unwritten = 0
    except (OSError, ValueError):  # ValueError: the stream is closed
        _unwritten += 1
