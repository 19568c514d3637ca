"""The same call put to a server of the other format, and both answers held against each other.

Only calls of safe classes, whole and answered, at a bounded rate; the copy is a call of its own to the
module, which gives it a server of the other format or refuses it while anything else wants the room. Nobody
waits for it. What differs is counted by class and kind, and told in the log at most once a minute for each.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from sagetrack.core.clock import now_us
from sagetrack.core.gateway import Gateway
from sagetrack.core.interfaces import Call, Source
from sagetrack.core.log import log
from sagetrack.core.responses import Header, Response
from sagetrack.policy.rate_limit import Rate, RateLimiter
from sagetrack.policy.settings import Effect

# Fields that say of an answer's way and not of what it is (RFC 9110, 6.6.1 and 7.6.1)
PASSING = frozenset(
    {
        b"date",
        b"server",
        b"connection",
        b"keep-alive",
        b"transfer-encoding",
        b"content-length",
        b"via",
        b"age",
    }
)
TOLD_US = 60_000_000  # between two lines in the log on one difference
PREFIX = "shadow\n"  # no header, and so no client's id, can be that


def difference(one: Response, other: Response, ignored: frozenset[bytes] = PASSING) -> str | None:
    """How two answers differ, None if they do not: `status`, `body`, or `header` and the field's name.

    Names count without case, values to the byte; of a field that comes several times the order counts.
    """
    if one.status != other.status:
        return f"status {one.status} {other.status}"
    mine, its = fields_of(one.headers, ignored), fields_of(other.headers, ignored)
    for name in sorted(mine.keys() | its.keys()):
        if mine.get(name) != its.get(name):
            return f"header {name.decode('latin-1')}"
    return "body" if one.body != other.body else None


def fields_of(headers: list[Header], ignored: frozenset[bytes]) -> dict[bytes, list[bytes]]:
    found: dict[bytes, list[bytes]] = {}
    for name, value in headers:
        low = name.lower()
        if low not in ignored:
            found.setdefault(low, []).append(value)
    return found


@dataclass(slots=True)
class Report:
    """What the comparisons came to."""

    asked: int = 0
    same: int = 0
    refused: int = 0  # no room, or no server of the other format
    failed: int = 0  # the copy had no answer
    long: int = 0  # either answer was too long to be held
    different: dict[tuple[int, str], int] = field(default_factory=dict)  # by class and difference
    told_us: dict[tuple[int, str], int] = field(default_factory=dict)
    most: int = 200  # kinds of differences that are told apart

    def enter(self, klass: int, found: str, now: int) -> bool:
        """Count a difference; whether it is to be told."""
        place = (klass, found)
        if place not in self.different and len(self.different) >= self.most:
            place = (klass, "other")
        self.different[place] = self.different.get(place, 0) + 1
        last = self.told_us.get(place)
        if last is not None and now - last < TOLD_US:
            return False
        self.told_us[place] = now
        return True


class Shadow:
    """Compares answers of both formats, at so many calls a second."""

    def __init__(
        self,
        gateway: Gateway,
        per_s: float,
        ignored: list[str],
        names: list[str],
        wanted: Callable[[], bool],
    ) -> None:
        self.gateway, self.names, self.wanted = gateway, names, wanted
        kinds = enumerate(gateway.settings.classes)
        self.safe = frozenset(number for number, kind in kinds if kind.effect is Effect.SAFE)
        self.ignored = PASSING | {name.lower().encode() for name in ignored}
        self.bucket = RateLimiter(Rate(per_s, 1.0), 1)
        self.report = Report()
        self.number = 0

    def answered(self, call: Call, newer: bool, answer: Any) -> None:
        """A call has had its answer, whole, from a server of this format."""
        now = now_us()
        if call.mirror_target >= 0 or call.streamed_body is not None or call.klass not in self.safe:
            return
        if self.bucket.wait_us(0, now) > 0 or not isinstance(answer, Response) or not self.wanted():
            return
        self.bucket.take(0, now)
        self.number += 1
        self.report.asked += 1
        copy = replace(
            call,
            id=f"{PREFIX}{self.number:x}",
            client=Comparer(self, answer, newer),
            is_retry=True,
            mirror_target=int(not newer),
        )
        self.gateway.submit(copy)

    def compared(self, call: Call, first: Response, other: Response, newer: bool) -> None:
        old, new = (other, first) if newer else (first, other)
        found = difference(old, new, self.ignored)
        if found is None:
            self.report.same += 1
        elif self.report.enter(call.klass, found, now_us()):
            log(f"answers of the two formats differ for class {self.names[call.klass]}: {found}", "warning")

    def figures(self) -> dict[str, float]:
        """For the stats."""
        r = self.report
        found: dict[str, float] = {
            "new_compared_total": r.same + sum(r.different.values()),
            "new_compared_same_total": r.same,
            "new_compared_refused_total": r.refused,
            "new_compared_failed_total": r.failed,
            "new_compared_long_total": r.long,
        }
        by_class: dict[str, int] = {}
        for (klass, _), count in r.different.items():
            by_class[self.names[klass]] = by_class.get(self.names[klass], 0) + count
        return found | {f"new_differs_{name}_total": count for name, count in by_class.items()}


class Comparer:
    """The client of a copy."""

    def __init__(self, shadow: Shadow, answer: Response, newer: bool) -> None:
        self.shadow, self.answer, self.newer = shadow, answer, newer

    def on_response(self, call: Call, answer: Any) -> None:
        self.shadow.compared(call, self.answer, answer, self.newer)

    def on_response_started(self, call: Call, head: Any, source: Source) -> None:
        """Too long to be held: given up, as nobody wants it."""
        self.shadow.report.long += 1
        self.shadow.gateway.cancel_request(call.id)

    def on_response_data(self, call: Call, data: bytes) -> None:
        """It was given up."""

    def on_response_ended(self, call: Call, answer: Any) -> None:
        """It was given up."""

    def on_response_aborted(self, call: Call) -> None:
        """It was given up."""

    def on_rejected(self, call: Call, retry_after_us: int) -> None:
        self.shadow.report.refused += 1

    def on_failed(self, call: Call, timed_out: bool) -> None:
        self.shadow.report.failed += 1
