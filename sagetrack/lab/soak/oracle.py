"""The test oracle of the soak: finds the rules that the events of one run violate. No I/O.

A violation is reported only if nothing in the run's `History` excuses it. Each comparison of timestamps from
two processes allows `SCHEDULING_SLACK_S`, because either process may be scheduled late.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from itertools import combinations

from sagetrack.lab.soak.events import (
    AnyEvent,
    AttemptReceived,
    AttemptStarted,
    MalformedRequestIgnored,
    RequestSent,
    ResponseMissing,
)
from sagetrack.lab.soak.history import US_PER_S, History, Restart, Withdrawal
from sagetrack.lab.soak.request_trace import RequestTrace, trace_requests
from sagetrack.lab.soak.slow_start import SLOW_START_WINDOW_S, slow_start_budget

# Tolerances of the comparisons
SCHEDULING_SLACK_S = 0.25  # scheduling delay between two processes
RESPONSE_SLACK_S = 0.5  # allowed time from the end of a request's budget until its response
DISCONNECT_SLACK_S = 0.1  # allowed time from a client's close until the start of an attempt
DRAIN_SLACK_S = 2.05  # allowed time from a gateway's knowledge of a withdrawal until the start of an attempt
BUDGET_SLACK_S = 0.15  # allowed excess of an attempt's budget over the request's remaining budget
SENT_STAMP_SLACK_S = 0.1  # a client may timestamp a request this long after the proxy has seen its attempt
RESEND_OVERLAP_S = 1.0  # attempts up to this time before a request was sent may belong to it

CROSSING_S = 0.3  # a pipelined request that was sent longer before the close had been read
IDEMPOTENCY_WINDOW_S = 2.0  # time during which servers drop repeats of a key
MALFORMED_REQUEST_TIMEOUT_S = 3.0  # same value as `client.MALFORMED_REQUEST_TIMEOUT_S`


class Rule(Enum):
    """The rules for gateways. The values are the codes that `lab soak` prints and the documentation uses."""

    NO_CRASH = "crash"
    NO_LEAK = "leak"
    NO_COUNTED_VIOLATION = "counted"
    CORRECT_RESPONSE = "wrong_answer"
    RESPONSE_IN_TIME = "late"
    RESPONSE = "lost"
    RESPONSE_ENDS = "unending"
    NO_DUPLICATE = "duplicate"
    WITHIN_MEMORY = "memory"
    NO_ATTEMPT_AFTER_DISCONNECT = "after_close"
    ATTEMPT_BUDGET = "told"
    NO_ATTEMPT_AT_WITHDRAWN_SERVER = "drain"
    MALFORMED_REQUEST_HANDLED = "bad_client"
    SLOW_START = "cold"
    ENOUGH_SERVED = "service"  # applies to the run as a whole, see `verdict`


@dataclass(slots=True, frozen=True)
class Violation:
    """A violated rule, and the details of the violation."""

    rule: Rule
    detail: str

    def __str__(self) -> str:
        return f"{self.rule.value}: {self.detail}"


Violations = Iterator[Violation]
RequestRule = Callable[[str, RequestTrace, History], Violations]


def find_violations(events: Sequence[AnyEvent], history: History) -> list[Violation]:
    """Find all violations of one run. The events must be in chronological order."""
    found = list(_process_violations(history))
    for request_id, trace in trace_requests(events).items():
        for rule in REQUEST_RULES:
            found += rule(request_id, trace, history)
    found += _malformed_requests_are_handled(events, history)
    for restart in history.restarts:
        found += _slow_start_budget_is_kept(restart, events)
    return found


def _process_violations(history: History) -> Violations:
    """Yield the problems of the processes that the run recorded.

    These are `NO_CRASH`, `NO_LEAK`, `NO_COUNTED_VIOLATION` and `WITHIN_MEMORY`.
    """
    for gateway, peak_mb in history.memory_excess.items():
        yield Violation(Rule.WITHIN_MEMORY, f"gateway {gateway} held {peak_mb:.1f} MB")
    yield from (Violation(Rule.NO_CRASH, crash) for crash in history.crashes)
    yield from (Violation(Rule.NO_LEAK, leak) for leak in history.leaks)
    yield from (Violation(Rule.NO_COUNTED_VIOLATION, violation) for violation in history.counted_violations)


def _response_matches_request(request_id: str, trace: RequestTrace, history: History) -> Violations:
    """`CORRECT_RESPONSE`: the body of a 200 response belongs to its request."""
    for response in trace.responses:
        if not response.body_correct:
            yield Violation(Rule.CORRECT_RESPONSE, request_id)


def _response_is_within_budget(request_id: str, trace: RequestTrace, history: History) -> Violations:
    """`RESPONSE_IN_TIME`: the first response is complete within the request's budget.

    Tolerance: `RESPONSE_SLACK_S` and scheduling. Excused: a truncated response, a client that has closed its
    connection, and a gateway that was killed, ended or down.
    """
    if trace.disconnect is not None or not trace.sent or not trace.responses:
        return
    sent, response = trace.sent[-1], trace.responses[0]
    due_us = sent.at_us + int((sent.budget_ms / 1000 + RESPONSE_SLACK_S + SCHEDULING_SLACK_S) * US_PER_S)
    if response.at_us <= due_us or not response.status:
        return
    if history.excuses_missing_response(sent.gateway, sent.at_us, response.at_us):
        return
    late_ms = (response.at_us - due_us) / 1000
    yield Violation(
        Rule.RESPONSE_IN_TIME, f"{_describe(request_id, sent)}, response {late_ms:.0f} ms too late"
    )


def _request_gets_response(request_id: str, trace: RequestTrace, history: History) -> Violations:
    """`RESPONSE`: each request gets a response.

    There is no tolerance, because the client waits longer than the budget. Excused: a client that has closed
    its connection, a gateway that was killed, ended or down, and a reused connection that was closed before
    any attempt started, since the client then resends the request.
    """
    if trace.disconnect is not None or not trace.sent:
        return
    for missing in trace.missing_responses:
        sent = trace.last_sent_before(missing.at_us)
        if sent is None:
            raise ValueError(
                f"request {request_id} has a ResponseMissing event before its first RequestSent event"
            )
        if history.excuses_missing_response(sent.gateway, sent.at_us, missing.at_us):
            continue
        attempts = _attempts_between(trace, sent, missing)
        waited_s = (missing.at_us - sent.at_us) / US_PER_S
        may_cross = not sent.is_pipelined or waited_s <= CROSSING_S
        if missing.connection_closed and not sent.first_on_connection and not attempts and may_cross:
            continue
        how = "closed" if missing.connection_closed else "timed out"
        connection = "a new" if sent.first_on_connection else "a reused"
        after_ms = (missing.at_us - sent.at_us) / 1000
        yield Violation(
            Rule.RESPONSE,
            f"{_describe(request_id, trace.sent[-1])}, {how} after {after_ms:.0f} ms "
            f"on {connection} connection, {attempts} attempts started",
        )


def _response_ends(request_id: str, trace: RequestTrace, history: History) -> Violations:
    """`RESPONSE_ENDS`: a short response that has begun ends, or is cut off, within the request's time.

    There is no tolerance, because the client waits longer. Excused: a gateway that was killed, ended or down.
    """
    if trace.unfinished is None or not trace.sent:
        return
    sent = trace.sent[-1]
    if not history.excuses_missing_response(sent.gateway, sent.at_us, trace.unfinished.at_us):
        yield Violation(Rule.RESPONSE_ENDS, _describe(request_id, sent))


def _attempts_between(trace: RequestTrace, sent: RequestSent, missing: ResponseMissing) -> int:
    """Count the attempts of a request that got no response."""
    earliest_us = sent.at_us - RESEND_OVERLAP_S * US_PER_S
    return sum(earliest_us <= attempt.at_us <= missing.at_us for attempt in trace.attempts_started)


def _describe(request_id: str, sent: RequestSent) -> str:
    """Describe a request in the details of a violation."""
    return (
        f"{request_id} {sent.class_name} at gateway {sent.gateway}, budget {sent.budget_ms} ms, "
        f"sent at {sent.at_us} us"
    )


def _request_is_not_processed_twice(request_id: str, trace: RequestTrace, history: History) -> Violations:
    """`NO_DUPLICATE`: a request that a server may have processed is retried only where repeats are dropped.

    A single-shot request ("transfer") is never retried. A keyed request is retried only within the
    idempotency window and, if its key is known to one group only ("reserve"), only in that group.
    Tolerance: scheduling, at the end of the window. Excused: attempts after a rejection, safe requests
    ("search"), and requests that the client itself has resent.
    """
    if len(trace.sent) != 1 or trace.sent[0].class_name == "search":
        return
    class_name = trace.sent[0].class_name
    for earlier, later in combinations(trace.attempts_received, 2):
        if trace.rejected_by(earlier.server):
            continue
        same_group = history.share_a_group(earlier, later)
        apart_s = (later.at_us - earlier.at_us) / US_PER_S
        if class_name == "transfer" or (class_name == "reserve" and not same_group):
            where = f"at servers {earlier.server} and {later.server}"
            yield Violation(Rule.NO_DUPLICATE, f"{request_id} {class_name} {where}")
        elif apart_s > IDEMPOTENCY_WINDOW_S + SCHEDULING_SLACK_S:
            yield Violation(Rule.NO_DUPLICATE, f"{request_id} {class_name} retried after {apart_s:.2f} s")


def _repeated_id_is_processed_once(request_id: str, trace: RequestTrace, history: History) -> Violations:
    """`NO_DUPLICATE`: an unsafe request is processed once although its ID comes again.

    A keyed request whose key is known to one group only ("reserve") is processed in that group only. Excused:
    attempts that a server has rejected, and attempts during failing system calls of the gateway, whose
    processes exchange what they have sent in files.
    """
    if trace.repeated is None:
        return
    for earlier, later in combinations(trace.attempts_received, 2):
        if history.may_have_lost_a_file_write(earlier.gateway, earlier.at_us):
            continue
        same_group = history.share_a_group(earlier, later)
        if trace.repeated.class_name == "reserve" and same_group:
            continue
        if not trace.rejected_by(earlier.server):
            where = f"at servers {earlier.server} and {later.server}"
            yield Violation(Rule.NO_DUPLICATE, f"{request_id} {trace.repeated.class_name} came again {where}")


def _no_attempt_after_disconnect(request_id: str, trace: RequestTrace, history: History) -> Violations:
    """`NO_ATTEMPT_AFTER_DISCONNECT`: no attempt starts after its client has closed the connection.

    Tolerance: `DISCONNECT_SLACK_S` and scheduling.
    """
    if trace.disconnect is None:
        return
    latest_us = trace.disconnect.at_us + (DISCONNECT_SLACK_S + SCHEDULING_SLACK_S) * US_PER_S
    for attempt in trace.attempts_started:
        if attempt.at_us > latest_us:
            after_ms = (attempt.at_us - trace.disconnect.at_us) / 1000
            yield Violation(
                Rule.NO_ATTEMPT_AFTER_DISCONNECT,
                f"{request_id}: attempt started {after_ms:.0f} ms after its client closed the connection",
            )


def _attempt_budget_is_within_remaining(request_id: str, trace: RequestTrace, history: History) -> Violations:
    """`ATTEMPT_BUDGET`: an attempt's budget does not exceed the remaining budget of its request.

    Tolerance: `BUDGET_SLACK_S` and scheduling. Excused: requests that may have waited in the accept queue.
    """
    for attempt in trace.attempts_started:
        sent = trace.last_sent_before(attempt.at_us + int(SENT_STAMP_SLACK_S * US_PER_S))
        if sent is None:
            continue
        left_ms = sent.budget_ms - (attempt.at_us - sent.at_us) / 1000
        if attempt.budget_ms <= left_ms + (BUDGET_SLACK_S + SCHEDULING_SLACK_S) * 1000:
            continue
        if not history.may_have_waited_in_backlog(attempt.gateway, sent.at_us, attempt.at_us):
            yield Violation(
                Rule.ATTEMPT_BUDGET,
                f"{request_id}: attempt has a budget of {attempt.budget_ms} ms, {left_ms:.0f} ms remain",
            )


def _no_attempt_at_withdrawn_server(request_id: str, trace: RequestTrace, history: History) -> Violations:
    """`NO_ATTEMPT_AT_WITHDRAWN_SERVER`: no attempt starts at a server that is withdrawn.

    Tolerance: `DRAIN_SLACK_S` and scheduling, from the time at which the gateway could know of the
    withdrawal. At most one violation is reported for each attempt.
    """
    for attempt in trace.attempts_started:
        for withdrawal in history.withdrawals:
            late_s = _excess_delay_s(attempt, withdrawal, history)
            if late_s > 0:
                where = f"server {attempt.server} by gateway {attempt.gateway}"
                after_s = late_s + DRAIN_SLACK_S
                yield Violation(
                    Rule.NO_ATTEMPT_AT_WITHDRAWN_SERVER,
                    f"{request_id}: attempt started at {where}, {after_s:.2f} s after it could know",
                )
                break


def _excess_delay_s(attempt: AttemptStarted, withdrawal: Withdrawal, history: History) -> float:
    """Return by how many seconds an attempt started too late at a withdrawn server; 0 if it was allowed."""
    if withdrawal.server != attempt.server or attempt.at_us <= withdrawal.at_us:
        return 0.0
    if withdrawal.until_us is not None and attempt.at_us >= withdrawal.until_us:
        return 0.0
    known_us = history.change_known_us(attempt.gateway, withdrawal.at_us)
    return (attempt.at_us - known_us) / US_PER_S - DRAIN_SLACK_S - SCHEDULING_SLACK_S


def _malformed_requests_are_handled(events: Sequence[AnyEvent], history: History) -> Violations:
    """`MALFORMED_REQUEST_HANDLED`: a malformed request gets an error response or a close in time.

    The limit is the client's timeout, without further tolerance. Excused: connections that may have waited in
    the accept queue.
    """
    for event in events:
        if not isinstance(event, MalformedRequestIgnored):
            continue
        sent_us = event.at_us - int(MALFORMED_REQUEST_TIMEOUT_S * US_PER_S)
        if not history.may_have_waited_in_backlog(event.gateway, sent_us, event.at_us):
            yield Violation(
                Rule.MALFORMED_REQUEST_HANDLED, f"no reaction to {event.data!r} from gateway {event.gateway}"
            )


def _slow_start_budget_is_kept(restart: Restart, events: Sequence[AnyEvent]) -> Violations:
    """`SLOW_START`: all gateways together send a server in slow start no more attempts than its budget.

    The rule is checked in every window that begins with an attempt, and the first violation is reported.
    Tolerance: that of `slow_start_budget`.
    """
    times_us = [
        event.at_us
        for event in events
        if isinstance(event, AttemptReceived)
        and event.server == restart.server
        and event.at_us >= restart.at_us
    ]
    for first, window_us in enumerate(times_us):
        window_end_us = window_us + SLOW_START_WINDOW_S * US_PER_S
        received = sum(time_us < window_end_us for time_us in times_us[first:])
        age_s = (window_us - restart.at_us) / US_PER_S
        budget = slow_start_budget(age_s + SLOW_START_WINDOW_S)
        if received > budget:
            detail = (
                f"{received} attempts, budget {budget:.0f}, in a window from {age_s:.1f} s after its start"
            )
            yield Violation(Rule.SLOW_START, f"server {restart.server}: {detail}")
            return


REQUEST_RULES: tuple[RequestRule, ...] = (
    _response_matches_request,
    _response_is_within_budget,
    _request_gets_response,
    _response_ends,
    _request_is_not_processed_twice,
    _repeated_id_is_processed_once,
    _no_attempt_after_disconnect,
    _attempt_budget_is_within_remaining,
    _no_attempt_at_withdrawn_server,
)
