"""The program's log: events with fields, with a rate limit per event.

By default an event is written as one plain line to standard error. The operator's configuration may select
another sink, which `use_sink` installs. Nothing is logged per request.
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
DEFAULT_BURST_LINES = 20.0  # burst size per event
DEFAULT_LINES_PER_S = 5.0  # sustained rate per event
# Longer events are cut to this many characters, which a writable pipe accepts in one write without blocking.
MAX_EVENT_LENGTH = 3_000
MAX_RATE_LIMITED_EVENTS = 256  # events with a token bucket of their own; all others share one bucket
MAX_EVENT_NAME_LENGTH = 40  # characters of an event name that the rate limit compares


@dataclass(slots=True)
class _Bucket:
    """The token bucket of one event.

    Attributes:
        tokens: Number of lines that may be written now.
        refilled_s: Time at which `tokens` was last updated.
        suppressed: Number of lines suppressed since the last written one.
    """

    tokens: float
    refilled_s: float
    suppressed: int = 0


class LogRateLimit:
    """Rate limit with one token bucket per event, so that a flood of one event does not hide others.

    Suppressed lines are counted, and the count is added to the next line written for that event.
    """

    __slots__ = ("buckets", "burst", "rate")

    def __init__(self, burst: float = DEFAULT_BURST_LINES, rate: float = DEFAULT_LINES_PER_S) -> None:
        """Allow bursts of `burst` lines per event, and a sustained rate of `rate` lines per second."""
        self.burst = burst
        self.rate = rate
        self.buckets: dict[str, _Bucket] = {}

    def admit(self, event: str, now_s: float) -> int:
        """Check the rate limit for one line.

        Returns:
            The number of lines of this event suppressed since the last written one, or -1 if this line is
            suppressed too.
        """
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
    """Return a sink that forwards events of at least this level to `sink`, and drops the others."""
    admitted = LEVELS[LEVELS.index(level) :]

    def write(level: str, event: str, fields: dict[str, object]) -> None:
        if level in admitted:
            sink(level, event, fields)

    return write


def plain_sink(level: str, event: str, fields: dict[str, object]) -> None:
    """Write an event and its fields, except `server`, as one line to standard error."""
    named = "".join(f" {name}={value}" for name, value in fields.items() if name != "server")
    print(f"sagetrack: {event}{named}", file=sys.stderr, flush=True)


def unbuffered_stderr() -> TextIO:
    """Return an unbuffered stream to standard error, so that a line that cannot be written is dropped."""
    raw = io.FileIO(sys.__stderr__.fileno() if sys.__stderr__ else 2, "w", closefd=False)
    return io.TextIOWrapper(cast(BinaryIO, raw), "utf-8", "backslashreplace", write_through=True)


def is_writable(stream: TextIO) -> bool:
    """Return whether a line can be written without blocking, as opposed to a full pipe without a reader."""
    try:
        descriptor = stream.fileno()
    except (OSError, ValueError):
        return True  # an in-memory stream has no descriptor
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return any(event & (select.POLLOUT | select.POLLERR) for _, event in poll.poll(0))


_sink: Sink = plain_sink
_rate_limit = LogRateLimit()
_unwritten = 0  # number of lines that could not be written since the last successful write


def use_sink(sink: Sink, rate_limit: LogRateLimit | None = None) -> None:
    """Replace the sink, and the rate limit too; by default a new rate limit with default parameters."""
    global _sink, _rate_limit
    _sink = sink
    _rate_limit = rate_limit or LogRateLimit()


def log(event: str, level: str = "info", rate_limit_key: str | None = None, **fields: object) -> None:
    """Log an event.

    Args:
        event: The event's name, optionally followed by a colon and further text.
        level: One of `LEVELS`.
        rate_limit_key: Events with the same key share one rate limit; by default the event's name.
        fields: Additional fields; the names in use are `gateway`, `server`, `call`, `class` and `member`.
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
    """Write a line, or count it as unwritten, so that a full disk or blocked pipe never stops the caller."""
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
