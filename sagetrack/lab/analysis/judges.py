"""Checks of a run's records against the rules that every run must keep.

The checks use only what clients, servers and discovery recorded, not the state of a gateway. Each check
yields violations with the call, the server and the time. The names of the rules are those of `rules_broken`
in stored results and of the scenarios' documentation.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple

from sagetrack.lab.analysis.records import (
    AttemptReceived,
    CallAnswered,
    CallSent,
    Execution,
    GatewayStateChanged,
    Records,
    ServerStarted,
    StatusReceived,
)
from sagetrack.lab.analysis.violations import NO_SERVER, Violation
from sagetrack.lab.analysis.warm_up import check_cold_budget, check_cold_sum
from sagetrack.lab.model.scenario import RequestClass, Scenario

SLACK_US = 50_000  # added to every time limit, for clock differences and scheduling delays
FINAL_VERDICTS = ("served", "refused", "failed")


class _Downtime(NamedTuple):
    begin_us: int
    end_us: float  # infinite if the gateway did not start again


def _calls_sent(records: Records) -> dict[str, CallSent]:
    return {sent.call: sent for sent in records.of_type(CallSent)}


def _downtimes(records: Records) -> dict[int, list[_Downtime]]:
    """Return the spans in which none of a gateway's processes was running, by gateway."""
    downtimes: dict[int, list[_Downtime]] = defaultdict(list)
    for change in records.of_type(GatewayStateChanged):
        spans = downtimes[change.gateway]
        if change.state in ("down", "left"):
            spans.append(_Downtime(change.time_us, math.inf))
        elif spans:
            spans[-1] = _Downtime(spans[-1].begin_us, min(spans[-1].end_us, change.time_us))
    return downtimes


def check_one_answer(records: Records, scenario: Scenario) -> Iterator[Violation]:
    """Check that each call accepted by a gateway gets one final response before its client stops waiting.

    A call counts as accepted unless its gateway was down at some time between its sending and its deadline.
    """
    answers: dict[str, list[CallAnswered]] = defaultdict(list)
    for answer in records.of_type(CallAnswered):
        answers[answer.call].append(answer)
    downtimes = _downtimes(records)
    last_us = records.last_us()
    for sent in records.of_type(CallSent):
        deadline_us = sent.time_us + sent.budget_us
        gateway_died = any(
            down.begin_us <= deadline_us and sent.time_us <= down.end_us for down in downtimes[sent.gateway]
        )
        yield from _answer_violations(sent, answers.get(sent.call, []), gateway_died, last_us)


def _answer_violations(
    sent: CallSent, answers: list[CallAnswered], gateway_died: bool, last_us: int
) -> Iterator[Violation]:
    """Yield the violations of `one_answer` for one call."""
    final = [answer for answer in answers if answer.verdict in FINAL_VERDICTS]
    if len(final) > 1:
        reason = f"gateway {sent.gateway} answered {len(final)} times"
        yield Violation("one_answer", final[1].time_us, sent.call, NO_SERVER, reason)
    if gateway_died:
        return
    broken = [answer for answer in answers if answer.verdict == "broken"]
    if broken and not final:
        reason = f"gateway {sent.gateway} ended it without a response"
        yield Violation("one_answer", broken[0].time_us, sent.call, NO_SERVER, reason)
    deadline_us = sent.time_us + sent.budget_us
    if not answers and deadline_us + SLACK_US <= last_us:
        yield Violation(
            "one_answer", deadline_us, sent.call, NO_SERVER, f"gateway {sent.gateway} never answered"
        )


def check_repeats(records: Records, scenario: Scenario) -> Iterator[Violation]:
    """Check that an attempt which may have been executed is retried only as its class allows.

    An unsafe call must not be retried. A keyed call may be retried only within the scope in which servers
    drop duplicates of its idempotency key, and only within the key's window.
    """
    calls = _calls_sent(records)
    starts = {start.server: start for start in records.of_type(ServerStarted)}
    first_attempts: dict[str, AttemptReceived] = {}
    for attempt in records.of_type(AttemptReceived):
        if attempt.verdict == "rejected" or attempt.call not in calls:
            continue
        first = first_attempts.setdefault(attempt.call, attempt)
        if first is attempt:
            continue
        request_class = scenario.classes[calls[attempt.call].class_index]
        reason = _retry_violation(first, attempt, request_class, starts)
        if reason is not None:
            yield Violation("repeats", attempt.time_us, attempt.call, attempt.server, reason)
    yield from _repeated_effects(records, scenario, calls)


def _retry_violation(
    first: AttemptReceived,
    retry: AttemptReceived,
    request_class: RequestClass,
    starts: dict[int, ServerStarted],
) -> str | None:
    """Return why the class forbids this retry, or None if it is allowed."""
    if request_class.effect == "unsafe":
        return f"sent again although server {first.server} may have executed it"
    if request_class.effect != "keyed":
        return None
    start, first_start = starts[retry.server], starts[first.server]
    left_zone = request_class.scope == "zone" and start.zone != first_start.zone
    left_rack = request_class.scope == "rack" and start.rack != first_start.rack
    if left_zone or left_rack:
        return f"keyed call retried outside the {request_class.scope} of server {first.server}"
    if retry.sent_us - first.sent_us > request_class.window_ms * 1000 + SLACK_US:
        return "keyed call retried after the window of its key"
    return None


def _repeated_effects(
    records: Records, scenario: Scenario, calls: dict[str, CallSent]
) -> Iterator[Violation]:
    """Yield the calls that are not safe and took effect more than once."""
    effects: dict[str, int] = {}
    for execution in records.of_type(Execution):
        call = execution.call
        if not execution.has_effect or call not in calls:
            continue
        if scenario.classes[calls[call].class_index].effect == "safe":
            continue
        if call in effects:
            reason = f"took effect twice, first at server {effects[call]}"
            yield Violation("repeats", execution.time_us, call, execution.server, reason)
        effects.setdefault(call, execution.server)


def check_refusals_after_execution(records: Records, scenario: Scenario) -> Iterator[Violation]:
    """Check that a call which may have been executed is refused only if its class allows a retry anywhere.

    A refusal tells the client that a retry is safe. Violations count under the rule `repeats`.
    """
    calls = _calls_sent(records)
    executed: dict[str, AttemptReceived] = {}
    for attempt in records.of_type(AttemptReceived):
        if attempt.verdict != "rejected":
            executed.setdefault(attempt.call, attempt)
    for answer in records.of_type(CallAnswered):
        call = answer.call
        if answer.verdict != "refused" or call not in executed or call not in calls:
            continue
        if executed[call].time_us > answer.time_us:
            continue
        request_class = scenario.classes[calls[call].class_index]
        is_scoped = request_class.effect == "keyed" and request_class.scope != "all"
        if request_class.effect == "unsafe" or is_scoped:
            reason = "refused although it may have been executed"
            yield Violation("repeats", answer.time_us, call, executed[call].server, reason)


def check_drains(records: Records, scenario: Scenario) -> Iterator[Violation]:
    """Check that a gateway sends a leaving server no attempts once the drain grace period is over.

    The period starts when discovery reports to the gateway that the server is no longer SERVING.
    """
    grace_us = scenario.gateways.drain_grace_ms * 1000 + SLACK_US
    leaving_since: dict[tuple[int, int], int] = {}  # time in us by (gateway, server)
    for record in records.of_types(StatusReceived, AttemptReceived):
        pair = (record.gateway, record.server)
        if isinstance(record, StatusReceived):
            if record.status == "SERVING":
                leaving_since.pop(pair, None)
            else:
                leaving_since.setdefault(pair, record.time_us)
        elif isinstance(record, AttemptReceived):
            since_us = leaving_since.get(pair)
            if since_us is not None and record.sent_us - since_us > grace_us:
                late_s = (record.sent_us - since_us) / 1e6
                reason = f"gateway {record.gateway} sent it {late_s:.2f} s after it was reported leaving"
                yield Violation("drains", record.sent_us, record.call, record.server, reason)


def _restarts(records: Records) -> dict[int, list[_Downtime]]:
    """Return the spans from the end of a process to the start of the next one, by gateway."""
    died: dict[int, int] = {}
    restarts: dict[int, list[_Downtime]] = defaultdict(list)
    for change in records.of_type(GatewayStateChanged):
        if change.state == "down":
            died[change.gateway] = change.time_us
        elif change.state == "up" and change.gateway in died:
            restarts[change.gateway].append(_Downtime(died.pop(change.gateway), change.time_us))
    return restarts


def check_late_refusals(records: Records, scenario: Scenario) -> Iterator[Violation]:
    """Check that a gateway which refuses or fails a call without any attempt does so early.

    The limit is half of the client's time budget. Failed connection attempts do not appear in the servers'
    records, so the limit is raised to the time that they can take, up to 80% of the budget. A call to a
    gateway that is down can wait in the listening socket that the next process inherits; its time counts
    from the start of that process.
    """
    restarts = _restarts(records)
    attempted = {attempt.call for attempt in records.of_type(AttemptReceived)}
    calls = _calls_sent(records)
    connect_limit_us = scenario.network.connect_timeout_ms * 1000 * scenario.gateways.max_attempts
    for answer in records.of_type(CallAnswered):
        call = answer.call
        if answer.verdict not in ("refused", "failed") or call in attempted or call not in calls:
            continue
        sent_us, budget_us = calls[call].time_us, calls[call].budget_us
        spans = restarts[answer.gateway]
        received_us = max(
            (span.end_us for span in spans if span.begin_us <= sent_us < span.end_us), default=sent_us
        )
        elapsed_us = answer.time_us - received_us
        if elapsed_us > max(budget_us / 2, min(connect_limit_us, 0.8 * budget_us)) + SLACK_US:
            share = elapsed_us / budget_us
            reason = f"gateway {answer.gateway} held it for {share:.0%} of its time budget without an attempt"
            yield Violation("late_refusals", answer.time_us, call, NO_SERVER, reason)


Check = Callable[[Records, Scenario], Iterator[Violation]]
CHECKS: tuple[Check, ...] = (
    check_one_answer,
    check_repeats,
    check_refusals_after_execution,
    check_drains,
    check_cold_budget,
    check_cold_sum,
    check_late_refusals,
)
RULES = ("one_answer", "repeats", "drains", "cold_budget", "cold_sum", "late_refusals")


def find_violations(records: Records, scenario: Scenario) -> list[Violation]:
    """Return the violations of all rules, sorted by time."""
    violations = [violation for check in CHECKS for violation in check(records, scenario)]
    return sorted(violations, key=lambda violation: (violation.time_us, violation.rule, violation.call))
