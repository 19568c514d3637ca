"""What was done in one run of the soak, and what of it excuses a gateway. Pure.

All times are microseconds of the clock that the events are stamped with.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

MICROSECONDS = 1_000_000  # in a second
SYSTEM_CALL_FAULT_GRACE_S = 6.0  # while its system calls fail, a gateway may learn of a change so late
ACCEPT_AFTER_SIGTERM_S = 0.7  # what is sent within this time after SIGTERM still gets its response
SIGTERM_EXCUSE_S = 6.0  # so long after SIGTERM a request may find no process
KILL_BEFORE_REQUEST_S = 0.2  # a kill so shortly before a request excuses it too


class GatewayTime(NamedTuple):
    """A moment in one gateway's run."""

    gateway: int
    at_us: int


class GatewaySpan(NamedTuple):
    """A span of time in one gateway's run."""

    gateway: int
    from_us: int
    to_us: int


@dataclass(slots=True)
class Withdrawal:
    """A server that may get no new attempts."""

    server: int
    at_us: int  # when discovery has listed it so
    until_us: int | None = None  # when it was listed as serving again; None: not before the end of the run


@dataclass(slots=True)
class Restart:
    """A server that has started again, at the start of its slow start."""

    server: int
    at_us: int


@dataclass(slots=True)
class History:
    """What was done in a run, and what the run itself has found beside the events."""

    kills: list[GatewayTime] = field(default_factory=list)
    sigterms: list[GatewayTime] = field(default_factory=list)
    down: list[GatewaySpan] = field(default_factory=list)  # without a process that is ready
    discovery_unreachable: list[GatewaySpan] = field(default_factory=list)
    system_call_faults: list[GatewaySpan] = field(default_factory=list)
    withdrawals: list[Withdrawal] = field(default_factory=list)
    restarts: list[Restart] = field(default_factory=list)
    server_groups: dict[int, int] = field(default_factory=dict)  # idempotency group by server
    crashes: list[str] = field(default_factory=list)
    leaks: list[str] = field(default_factory=list)
    counted_violations: list[str] = field(default_factory=list)  # in the gateways' own counters

    def excuses_missing_response(self, gateway: int, sent_us: int, until_us: int) -> bool:
        """Whether a request may have got no response between these times.

        It may if the gateway was down when the request was sent, was killed shortly before that or while the
        request was open, or had stopped accepting after SIGTERM.
        """
        for span in self.down:
            if span.gateway == gateway and span.from_us <= sent_us <= span.to_us:
                return True
        earliest_kill_us = sent_us - int(KILL_BEFORE_REQUEST_S * MICROSECONDS)
        for kill in self.kills:
            if kill.gateway == gateway and earliest_kill_us <= kill.at_us <= until_us:
                return True
        stops_accepting_us = int(ACCEPT_AFTER_SIGTERM_S * MICROSECONDS)
        excused_for_us = int(SIGTERM_EXCUSE_S * MICROSECONDS)
        return any(
            sigterm.gateway == gateway and stops_accepting_us < sent_us - sigterm.at_us < excused_for_us
            for sigterm in self.sigterms
        )

    def may_have_waited_in_backlog(self, gateway: int, from_us: int, until_us: int) -> bool:
        """Whether the gateway was down at any time between these.

        A connection then waits in the listening socket, and no process knows since when.
        """
        return any(
            span.gateway == gateway and span.from_us < until_us and span.to_us > from_us for span in self.down
        )

    def change_effective_us(self, gateway: int, changed_us: int) -> int:
        """When a change of the endpoint list counts as known to a gateway.

        That is at once where discovery can be reached and otherwise as soon as it can be, but not before the
        grace period has passed where the gateway's system calls fail meanwhile.
        """
        effective_us = _end_of_adjacent_spans(self.discovery_unreachable, gateway, changed_us)
        grace_us = int(SYSTEM_CALL_FAULT_GRACE_S * MICROSECONDS)
        for span in self.system_call_faults:
            if span.gateway != gateway:
                continue
            if span.from_us < effective_us + grace_us and span.to_us > effective_us:
                return effective_us + grace_us
        return effective_us


def _end_of_adjacent_spans(spans: Sequence[GatewaySpan], gateway: int, at_us: int) -> int:
    """The first moment from `at_us` on that none of a gateway's spans covers."""
    for span in sorted(spans):
        if span.gateway == gateway and span.from_us <= at_us < span.to_us:
            at_us = span.to_us
    return at_us
