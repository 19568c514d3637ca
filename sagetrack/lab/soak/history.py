"""The history of one soak run: the applied faults, and which missing responses they excuse. No I/O.

All times are microseconds of the clock that timestamps the events.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from sagetrack.lab.soak.events import AttemptReceived

US_PER_S = 1_000_000  # microseconds per second
SYSTEM_CALL_FAULT_GRACE_S = 6.0  # allowed delay until a gateway with failing system calls learns of a change
ACCEPT_AFTER_SIGTERM_S = 0.7  # requests sent within this time after SIGTERM must still get a response
SIGTERM_EXCUSE_S = 6.0  # requests sent later than that, but within this time, need not get a response
REPLACEMENT_GRACE_S = 2.3  # time until a gateway that is told of a replacement sends by it
KILL_BEFORE_REQUEST_S = 0.2  # a kill up to this time before a request excuses its missing response


class GatewayTime(NamedTuple):
    """A point in time at one gateway."""

    gateway: int
    at_us: int


class GatewaySpan(NamedTuple):
    """A time span at one gateway."""

    gateway: int
    from_us: int
    to_us: int


@dataclass(slots=True)
class Withdrawal:
    """A period during which a server must not get new attempts."""

    server: int
    at_us: int  # when discovery listed it as draining or deleted
    until_us: int | None = None  # when it was listed as serving again; None if it was not


@dataclass(slots=True, frozen=True)
class Replacement:
    """Another server, of another idempotency group, that has come up at the address of a deleted one."""

    server: int
    at_us: int  # when discovery listed it
    group: int


@dataclass(slots=True)
class Restart:
    """The restart of a server. `at_us` is the start of its slow start."""

    server: int
    at_us: int


@dataclass(slots=True)
class History:
    """The faults applied during a run, and the problems that the run found besides the events."""

    kills: list[GatewayTime] = field(default_factory=list)
    sigterms: list[GatewayTime] = field(default_factory=list)
    down: list[GatewaySpan] = field(default_factory=list)  # spans without a ready process
    discovery_unreachable: list[GatewaySpan] = field(default_factory=list)
    system_call_faults: list[GatewaySpan] = field(default_factory=list)
    withdrawals: list[Withdrawal] = field(default_factory=list)
    restarts: list[Restart] = field(default_factory=list)
    server_groups: dict[int, int] = field(default_factory=dict)  # idempotency group by server, at the start
    replacements: list[Replacement] = field(default_factory=list)  # in order of time
    crashes: list[str] = field(default_factory=list)
    leaks: list[str] = field(default_factory=list)
    counted_violations: list[str] = field(default_factory=list)  # from the gateways' own metrics
    memory_excess: dict[int, float] = field(default_factory=dict)  # by gateway: peak above the limit, in MB

    def excuses_missing_response(self, gateway: int, sent_us: int, until_us: int) -> bool:
        """Return True if the faults excuse that a request got no response between these times.

        This is the case if the gateway was down when the request was sent, was killed shortly before that or
        while the request was open, or had stopped accepting after SIGTERM.
        """
        for span in self.down:
            if span.gateway == gateway and span.from_us <= sent_us <= span.to_us:
                return True
        earliest_kill_us = sent_us - int(KILL_BEFORE_REQUEST_S * US_PER_S)
        for kill in self.kills:
            if kill.gateway == gateway and earliest_kill_us <= kill.at_us <= until_us:
                return True
        stops_accepting_us = int(ACCEPT_AFTER_SIGTERM_S * US_PER_S)
        excused_for_us = int(SIGTERM_EXCUSE_S * US_PER_S)
        return any(
            sigterm.gateway == gateway and stops_accepting_us < sent_us - sigterm.at_us < excused_for_us
            for sigterm in self.sigterms
        )

    def may_have_waited_in_backlog(self, gateway: int, from_us: int, until_us: int) -> bool:
        """Return True if the gateway was down at any time between these times.

        A connection then waits in the accept queue, and the process that accepts it cannot know for how long.
        """
        return any(
            span.gateway == gateway and span.from_us < until_us and span.to_us > from_us for span in self.down
        )

    def share_a_group(self, earlier: AttemptReceived, later: AttemptReceived) -> bool:
        """Return whether two attempts were sent to servers of one idempotency group, as far as known then."""
        return not self._known_groups(earlier).isdisjoint(self._known_groups(later))

    def _known_groups(self, attempt: AttemptReceived) -> set[int]:
        """Return the group of an attempt's server, and former ones if the gateway may not know yet."""
        groups = {self.server_groups[attempt.server]}
        for replacement in self.replacements:
            if replacement.server != attempt.server or replacement.at_us > attempt.at_us:
                continue
            known_us = self.change_known_us(attempt.gateway, replacement.at_us)
            if attempt.at_us > known_us + REPLACEMENT_GRACE_S * US_PER_S:
                groups.clear()
            groups.add(replacement.group)
        return groups

    def may_have_lost_a_file_write(self, gateway: int, at_us: int) -> bool:
        """Return True if the gateway's system calls failed at this time."""
        return any(
            span.gateway == gateway and span.from_us <= at_us <= span.to_us
            for span in self.system_call_faults
        )

    def change_known_us(self, gateway: int, changed_us: int) -> int:
        """Return the time at which a gateway counts as knowing a change of the endpoint list.

        This is the time of the change, or the time when discovery became reachable again. If the gateway's
        system calls fail around that time, a grace period is added.
        """
        effective_us = _end_of_adjacent_spans(self.discovery_unreachable, gateway, changed_us)
        grace_us = int(SYSTEM_CALL_FAULT_GRACE_S * US_PER_S)
        for span in self.system_call_faults:
            if span.gateway != gateway:
                continue
            if span.from_us < effective_us + grace_us and span.to_us > effective_us:
                return effective_us + grace_us
        return effective_us


def _end_of_adjacent_spans(spans: Sequence[GatewaySpan], gateway: int, at_us: int) -> int:
    """Return the first time from `at_us` on that none of a gateway's spans covers."""
    for span in sorted(spans):
        if span.gateway == gateway and span.from_us <= at_us < span.to_us:
            at_us = span.to_us
    return at_us
