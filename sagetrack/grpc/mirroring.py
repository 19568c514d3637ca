"""Mirrors requests to servers of the other protocol, and compares the responses.

Only requests of safe classes are mirrored, at a limited rate, and only after their complete response was
sent. The load balancer treats a mirrored request like any other, but sends it to a server of the other
protocol, or rejects it while other requests need the capacity. No client waits for it. Differences are
counted by class and kind, and each of them is logged at most once a minute.
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

# Header fields that depend on the transport of a response, not on its content (RFC 9110, 6.6.1 and 7.6.1)
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
LOG_INTERVAL_US = 60_000_000  # interval between log lines about the same difference
# The ids of client requests come from a header and contain no line break, so they never have this prefix.
ID_PREFIX = "shadow\n"


def find_difference(
    first: Response, second: Response, ignored: frozenset[bytes] = IGNORED_FIELDS
) -> str | None:
    """Describe the first difference of two responses, or return None if they are equal.

    The description is `status` with both status codes, `header` with the name of a field, or `body`. Field
    names are compared case-insensitively, values byte by byte, and repeated fields in order.
    """
    if first.status != second.status:
        return f"status {first.status} {second.status}"
    first_fields, second_fields = (
        fields_by_name(first.headers, ignored),
        fields_by_name(second.headers, ignored),
    )
    for name in sorted(first_fields.keys() | second_fields.keys()):
        if first_fields.get(name) != second_fields.get(name):
            return f"header {name.decode('latin-1')}"
    return "body" if first.body != second.body else None


def fields_by_name(headers: list[Header], ignored: frozenset[bytes]) -> dict[bytes, list[bytes]]:
    """Return the values of each field by its name in lower case, without the ignored fields."""
    fields: dict[bytes, list[bytes]] = {}
    for name, value in headers:
        lower_name = name.lower()
        if lower_name not in ignored:
            fields.setdefault(lower_name, []).append(value)
    return fields


@dataclass(slots=True)
class MirrorCounts:
    """Counts of mirrored requests and of the results of comparisons since the start of the process."""

    mirrored: int = 0
    equal: int = 0
    rejected: int = 0  # mirrored requests rejected for lack of capacity or of a server of the other protocol
    failed: int = 0  # mirrored requests without a response
    too_long: int = 0  # mirrored requests whose response was too long to be buffered
    # Counts by class index and difference
    differences: dict[tuple[int, str], int] = field(default_factory=dict)
    logged_us: dict[tuple[int, str], int] = field(default_factory=dict)
    max_differences: int = 200  # further keys are counted together as "other"

    def record_difference(self, class_index: int, difference: str, now: int) -> bool:
        """Count a difference; returns True if it should be logged."""
        key = (class_index, difference)
        if key not in self.differences and len(self.differences) >= self.max_differences:
            key = (class_index, "other")
        self.differences[key] = self.differences.get(key, 0) + 1
        last = self.logged_us.get(key)
        if last is not None and now - last < LOG_INTERVAL_US:
            return False
        self.logged_us[key] = now
        return True


class RequestMirror:
    """Mirrors requests at a limited rate and compares the responses.

    Args:
        gateway: Handles the mirrored requests.
        per_s: The maximum number of mirrored requests per second.
        ignored: Names of header fields that are not compared, in addition to `IGNORED_FIELDS`.
        class_names: The names of the classes, by index.
        is_active: Returns whether requests may be mirrored now.
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
        self.safe_classes = frozenset(
            index for index, request_class in classes if request_class.effect is Effect.SAFE
        )
        self.ignored = IGNORED_FIELDS | {name.lower().encode() for name in ignored}
        self.rate_limiter = RateLimiter(Rate(per_s, 1.0), 1)
        self.counts = MirrorCounts()
        self.last_mirror_number = 0

    def on_response(self, request: Request, from_grpc: bool, response: Any) -> None:
        """Mirror a request that has its complete response, if its class and the rate limit allow it."""
        now = now_us()
        if (
            request.mirror_target >= 0
            or request.streamed_body is not None
            or request.class_index not in self.safe_classes
        ):
            return
        if (
            self.rate_limiter.wait_us(0, now) > 0
            or not isinstance(response, Response)
            or not self.is_active()
        ):
            return
        self.rate_limiter.take(0, now)
        self.last_mirror_number += 1
        self.counts.mirrored += 1
        mirrored = replace(
            request,
            id=f"{ID_PREFIX}{self.last_mirror_number:x}",
            client=MirrorClient(self, response, from_grpc),
            is_retry=True,
            mirror_target=int(not from_grpc),
        )
        self.gateway.submit(mirrored)

    def compare(
        self, request: Request, original: Response, mirrored: Response, original_from_grpc: bool
    ) -> None:
        """Compare two responses and count the result; descriptions name the HTTP/1.1 response first."""
        http1, grpc = (mirrored, original) if original_from_grpc else (original, mirrored)
        difference = find_difference(http1, grpc, self.ignored)
        if difference is None:
            self.counts.equal += 1
        elif self.counts.record_difference(request.class_index, difference, now_us()):
            log(
                f"mirrored response differs: class {self.class_names[request.class_index]}, {difference}",
                "warning",
            )

    def metric_values(self) -> dict[str, float]:
        """Return the values of the exported metrics."""
        counts = self.counts
        values: dict[str, float] = {
            "new_compared_total": counts.equal + sum(counts.differences.values()),
            "new_compared_same_total": counts.equal,
            "new_compared_refused_total": counts.rejected,
            "new_compared_failed_total": counts.failed,
            "new_compared_long_total": counts.too_long,
        }
        by_class: dict[str, int] = {}
        for (class_index, _), count in counts.differences.items():
            by_class[self.class_names[class_index]] = by_class.get(self.class_names[class_index], 0) + count
        return values | {f"new_differs_{name}_total": count for name, count in by_class.items()}


class MirrorClient:
    """The client of a mirrored request, which compares its response to the original one."""

    def __init__(self, mirror: RequestMirror, original: Response, original_from_grpc: bool) -> None:
        self.mirror = mirror
        self.original = original
        self.original_from_grpc = original_from_grpc

    def on_response(self, request: Request, response: Any) -> None:
        """Compare the response to the original one."""
        self.mirror.compare(request, self.original, response, self.original_from_grpc)

    def on_response_started(self, request: Request, head: Any, source: ResponseSource) -> None:
        """Cancel the request, as its response is too long to be buffered and compared."""
        self.mirror.counts.too_long += 1
        self.mirror.gateway.cancel_request(request.id)

    def on_response_data(self, request: Request, data: bytes) -> None:
        """Ignore the data, as the request is cancelled."""

    def on_response_ended(self, request: Request, response: Any) -> None:
        """Ignore the end, as the request is cancelled."""

    def on_response_aborted(self, request: Request) -> None:
        """Ignore the end, as the request is cancelled."""

    def on_rejected(self, request: Request, retry_after_us: int) -> None:
        """Count the rejection of the mirrored request."""
        self.mirror.counts.rejected += 1

    def on_failed(self, request: Request, timed_out: bool) -> None:
        """Count the failure of the mirrored request."""
        self.mirror.counts.failed += 1
