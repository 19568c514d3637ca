"""Mirroring: a request is repeated at a server of the other protocol, and both responses are compared.

Only requests of safe classes are mirrored, after their complete response, at a limited rate. The mirrored
request is a request of its own to the load balancer, which sends it to a server of the other protocol, or
rejects it while other requests need the capacity. No client waits for it. Differences are counted by class
and kind, and each kind is logged at most once a minute.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from sagetrack.core.clock import now_us
from sagetrack.core.gateway import Gateway
from sagetrack.core.log import log
from sagetrack.core.requests import Request, ResponseSource
from sagetrack.core.responses import Header, Response
from sagetrack.policy.rate_limit import Rate, RateLimiter
from sagetrack.policy.settings import Effect

# Fields about the transport of a response and not its content (RFC 9110, 6.6.1 and 7.6.1)
IGNORED_FIELDS = frozenset(
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
LOG_INTERVAL_US = 60_000_000  # between two log lines on one difference
ID_PREFIX = "shadow\n"  # a client's id comes from a header, which has no line break


def difference(one: Response, other: Response, ignored: frozenset[bytes] = IGNORED_FIELDS) -> str | None:
    """How two responses differ: `status` with both, `header` with the field's name, or `body`; None if equal.

    Field names are compared without case, values byte by byte, repeated fields in order.
    """
    if one.status != other.status:
        return f"status {one.status} {other.status}"
    first, second = fields_by_name(one.headers, ignored), fields_by_name(other.headers, ignored)
    for name in sorted(first.keys() | second.keys()):
        if first.get(name) != second.get(name):
            return f"header {name.decode('latin-1')}"
    return "body" if one.body != other.body else None


def fields_by_name(headers: list[Header], ignored: frozenset[bytes]) -> dict[bytes, list[bytes]]:
    """Values of each field by its name in lower case, without those that are ignored."""
    found: dict[bytes, list[bytes]] = {}
    for name, value in headers:
        lower_name = name.lower()
        if lower_name not in ignored:
            found.setdefault(lower_name, []).append(value)
    return found


@dataclass(slots=True)
class MirrorReport:
    """Results of the comparisons since the start."""

    mirrored: int = 0
    equal: int = 0
    rejected: int = 0  # no capacity, or no server of the other protocol
    failed: int = 0  # the mirrored request had no response
    too_long: int = 0  # a response was too long to be buffered
    different: dict[tuple[int, str], int] = field(default_factory=dict)  # by class and difference
    logged_us: dict[tuple[int, str], int] = field(default_factory=dict)
    max_differences: int = 200  # kinds that are counted each; the others are counted together

    def record_difference(self, class_index: int, found: str, now: int) -> bool:
        """Count a difference; True if it should be logged."""
        key = (class_index, found)
        if key not in self.different and len(self.different) >= self.max_differences:
            key = (class_index, "other")
        self.different[key] = self.different.get(key, 0) + 1
        last = self.logged_us.get(key)
        if last is not None and now - last < LOG_INTERVAL_US:
            return False
        self.logged_us[key] = now
        return True


class ResponseMirror:
    """Mirrors requests at a limited rate and compares the responses.

    Args:
        gateway: Takes the mirrored requests.
        per_s: Mirrored requests a second.
        ignored: Names of further fields that may differ.
        class_names: Names of the classes, by index.
        is_active: Whether requests should be mirrored now.
    """

    def __init__(
        self,
        gateway: Gateway,
        per_s: float,
        ignored: list[str],
        class_names: list[str],
        is_active: Callable[[], bool],
    ) -> None:
        self.gateway = gateway
        self.class_names = class_names
        self.is_active = is_active
        classes = enumerate(gateway.settings.classes)
        self.safe_classes = frozenset(number for number, kind in classes if kind.effect is Effect.SAFE)
        self.ignored = IGNORED_FIELDS | {name.lower().encode() for name in ignored}
        self.rate_limiter = RateLimiter(Rate(per_s, 1.0), 1)
        self.report = MirrorReport()
        self.last_number = 0

    def on_response(self, request: Request, from_grpc: bool, answer: Any) -> None:
        """A request has had its complete response, from a server of the given protocol."""
        now = now_us()
        if (
            request.mirror_target >= 0
            or request.streamed_body is not None
            or request.class_index not in self.safe_classes
        ):
            return
        if self.rate_limiter.wait_us(0, now) > 0 or not isinstance(answer, Response) or not self.is_active():
            return
        self.rate_limiter.take(0, now)
        self.last_number += 1
        self.report.mirrored += 1
        mirrored = replace(
            request,
            id=f"{ID_PREFIX}{self.last_number:x}",
            client=MirrorClient(self, answer, from_grpc),
            is_retry=True,
            mirror_target=int(not from_grpc),
        )
        self.gateway.submit(mirrored)

    def compare(
        self, request: Request, original: Response, mirrored: Response, original_from_grpc: bool
    ) -> None:
        """Compare the responses, that of HTTP/1.1 first."""
        http1, grpc = (mirrored, original) if original_from_grpc else (original, mirrored)
        found = difference(http1, grpc, self.ignored)
        if found is None:
            self.report.equal += 1
        elif self.report.record_difference(request.class_index, found, now_us()):
            log(
                f"mirrored response differs: class {self.class_names[request.class_index]}, {found}",
                "warning",
            )

    def metric_values(self) -> dict[str, float]:
        """Values for the exported metrics."""
        report = self.report
        values: dict[str, float] = {
            "new_compared_total": report.equal + sum(report.different.values()),
            "new_compared_same_total": report.equal,
            "new_compared_refused_total": report.rejected,
            "new_compared_failed_total": report.failed,
            "new_compared_long_total": report.too_long,
        }
        by_class: dict[str, int] = {}
        for (class_index, _), count in report.different.items():
            by_class[self.class_names[class_index]] = by_class.get(self.class_names[class_index], 0) + count
        return values | {f"new_differs_{name}_total": count for name, count in by_class.items()}


class MirrorClient:
    """The client of one mirrored request."""

    def __init__(self, mirror: ResponseMirror, original: Response, original_from_grpc: bool) -> None:
        self.mirror = mirror
        self.original = original
        self.original_from_grpc = original_from_grpc

    def on_response(self, request: Request, answer: Any) -> None:
        """Compare the response."""
        self.mirror.compare(request, self.original, answer, self.original_from_grpc)

    def on_response_started(self, request: Request, head: Any, source: ResponseSource) -> None:
        """Cancel the request: its response is too long to be buffered."""
        self.mirror.report.too_long += 1
        self.mirror.gateway.cancel_request(request.id)

    def on_response_data(self, request: Request, data: bytes) -> None:
        """Ignore it: the request is cancelled."""

    def on_response_ended(self, request: Request, answer: Any) -> None:
        """Ignore it: the request is cancelled."""

    def on_response_aborted(self, request: Request) -> None:
        """Ignore it: the request is cancelled."""

    def on_rejected(self, request: Request, retry_after_us: int) -> None:
        """Count the rejection."""
        self.mirror.report.rejected += 1

    def on_failed(self, request: Request, timed_out: bool) -> None:
        """Count the failure."""
        self.mirror.report.failed += 1
