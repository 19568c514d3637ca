"""Rules that decide whether an attempt may be sent or retried, or a connection closed or accepted."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from sagetrack.core.invariants import Invariant
from sagetrack.core.send_rules import (
    FIRST_REQUEST_TIMEOUT_S,
    REQUEST_HEAD_TIMEOUT_S,
    AttemptRecord,
    ClientConnectionState,
    CloseReason,
    DenialReason,
    ServerState,
    may_accept_clients,
    may_close,
    may_retry,
    may_send,
)
from sagetrack.policy.actions import SendAttempt
from sagetrack.policy.events import Outcome, RequestArrived
from sagetrack.policy.settings import RequestClass
from tests.helpers import KEYED, SAFE, SETTINGS, UNSAFE
from tests.sockets import (
    configuration,
    no_response,
    on_event_loop,
    request,
    running_gateway,
    scripted_server,
    wait_until,
)

NEXT_ATTEMPT = AttemptRecord(zone=0, group=1)
WITHOUT_HEDGING = replace(SETTINGS, hedging=False)


def closable_client(has_unread: bool = False) -> tuple[list[bool], ClientConnectionState]:
    """Return a connection that may be closed, and a list that grows with each check for unread data."""
    kernel_checks: list[bool] = []

    def check_unread_data() -> bool:
        kernel_checks.append(True)
        return has_unread

    return kernel_checks, ClientConnectionState(
        response_pending=False,
        request_incomplete=False,
        has_sent_data=True,
        age_s=0.0,
        has_unread_data=check_unread_data,
    )


def test_nothing_is_sent_for_a_finished_request_or_to_a_server_that_is_not_serving() -> None:
    serving = ServerState.SERVING
    assert may_send(False, 1, serving, lambda: False) is None
    assert may_send(True, 1, serving, lambda: False) is DenialReason.ALREADY_RESPONDED
    assert may_send(False, 0, serving, lambda: False) is DenialReason.DEADLINE_EXCEEDED
    assert may_send(False, 1, ServerState.WITHDRAWN, lambda: False) is DenialReason.SERVER_WITHDRAWN
    assert may_send(False, 1, ServerState.RESTARTED, lambda: False) is DenialReason.SERVER_RESTARTED
    assert may_send(False, 1, ServerState.NOT_LISTED, lambda: False) is DenialReason.NOT_LISTED
    assert may_send(False, 1, serving, lambda: True) is DenialReason.CLIENT_DISCONNECTED


@pytest.mark.parametrize(
    ("request_class", "other", "at_us", "denial"),
    [
        (UNSAFE, AttemptRecord(0, 1), 1, None),  # nothing was sent
        (UNSAFE, AttemptRecord(0, 1, 0, Outcome.REJECTED), 1, None),
        (UNSAFE, AttemptRecord(0, 1, 0, Outcome.CONNECT_FAILED), 1, None),
        (UNSAFE, AttemptRecord(0, 1, 0), 1, DenialReason.MAY_HAVE_RUN),
        (UNSAFE, AttemptRecord(0, 1, 0, Outcome.RESET), 1, DenialReason.MAY_HAVE_RUN),
        (KEYED, AttemptRecord(0, 1, 0, Outcome.TIMEOUT), 1, None),
        (KEYED, AttemptRecord(0, 2, 0, Outcome.TIMEOUT), 1, DenialReason.OUT_OF_SCOPE),
        (KEYED, AttemptRecord(0, 2, 0, Outcome.REJECTED), 1, None),
        (KEYED, AttemptRecord(0, 1, 0, Outcome.TIMEOUT), KEYED.window_us, DenialReason.WINDOW_OVER),
        (SAFE, AttemptRecord(0, 2, 0), 1, None),
    ],
)
def test_a_retry_is_sent_only_where_it_cannot_run_twice(
    request_class: RequestClass, other: AttemptRecord, at_us: int, denial: DenialReason | None
) -> None:
    assert may_retry(SETTINGS, request_class, NEXT_ATTEMPT, [NEXT_ATTEMPT, other], at_us) is denial


def test_without_hedging_a_second_attempt_waits_for_the_end_of_the_first() -> None:
    in_flight, ended = AttemptRecord(0, 1, 0), AttemptRecord(0, 1, 0, Outcome.RESET)
    assert may_retry(WITHOUT_HEDGING, SAFE, NEXT_ATTEMPT, [in_flight], 1) is DenialReason.ATTEMPT_IN_FLIGHT
    assert may_retry(WITHOUT_HEDGING, SAFE, NEXT_ATTEMPT, [ended], 1) is None


def test_a_rejected_attempt_may_have_run_if_the_settings_say_so() -> None:
    rejected = AttemptRecord(0, 1, 0, Outcome.REJECTED)
    strict = replace(SETTINGS, rejection_may_have_run=True)
    assert may_retry(strict, UNSAFE, NEXT_ATTEMPT, [rejected], 1) is DenialReason.MAY_HAVE_RUN


def test_no_connection_with_a_pending_request_is_closed() -> None:
    for reason in CloseReason:
        _, client = closable_client()
        assert may_close(client, reason) is None
        assert may_close(replace(client, response_pending=True), reason) is DenialReason.RESPONSE_PENDING
        assert may_close(replace(client, has_unread_data=lambda: True), reason) is DenialReason.UNREAD_DATA
    _, client = closable_client()
    incomplete = replace(client, request_incomplete=True)
    assert may_close(incomplete, CloseReason.IDLE) is DenialReason.INCOMPLETE_REQUEST
    assert may_close(incomplete, CloseReason.RECLAIM_DESCRIPTOR) is DenialReason.INCOMPLETE_REQUEST
    assert (
        may_close(replace(incomplete, age_s=REQUEST_HEAD_TIMEOUT_S), CloseReason.RECLAIM_DESCRIPTOR) is None
    )
    assert may_close(incomplete, CloseReason.DESCRIPTORS_EXHAUSTED) is None


def test_a_new_connection_has_time_for_its_first_request() -> None:
    _, client = closable_client()
    new = replace(client, has_sent_data=False)
    assert may_close(new, CloseReason.RECLAIM_DESCRIPTOR) is DenialReason.AWAITS_FIRST_REQUEST
    assert may_close(replace(new, age_s=FIRST_REQUEST_TIMEOUT_S), CloseReason.RECLAIM_DESCRIPTOR) is None
    assert may_close(new, CloseReason.DESCRIPTORS_EXHAUSTED) is None


def test_the_kernel_is_asked_last_and_only_where_every_other_rule_allows_it() -> None:
    kernel_checks, client = closable_client()
    may_close(replace(client, response_pending=True), CloseReason.IDLE)
    assert not kernel_checks
    may_close(client, CloseReason.IDLE)
    assert kernel_checks


def test_clients_are_accepted_only_where_they_can_be_served() -> None:
    assert may_accept_clients(False, True, True) is None
    assert may_accept_clients(True, True, True) is DenialReason.SHUTTING_DOWN
    assert may_accept_clients(False, False, True) is DenialReason.NOT_LISTENING
    assert may_accept_clients(False, True, False) is DenialReason.NO_SERVERS


@on_event_loop
async def test_an_unsafe_retry_of_the_load_balancer_is_not_sent_and_is_counted() -> None:
    async with (
        scripted_server(no_response) as first,
        scripted_server(no_response) as second,
        running_gateway(configuration(first, second)) as run,
    ):
        client = await run.connect()
        client.send(request("transfer", b"x"))
        await wait_until(lambda: first.exchanges or second.exchanges)
        (pending,) = run.gateway.in_flight.values()
        for server in run.assembly.pools.servers:
            run.gateway.executor.execute(SendAttempt(pending.request.id, server, 1_000_000))
        await asyncio.sleep(0.05)
        assert len(first.exchanges) + len(second.exchanges) == 1
        assert run.gateway.violations.counts[Invariant.RETRIES_ARE_SAFE] == 2
        client.close()


@on_event_loop
async def test_a_request_without_a_response_is_failed_when_its_deadline_is_over() -> None:
    """The watchdog fails the request even if the load balancer ignores it, as it does here."""
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:
        handle = run.gateway.balancer.handle
        run.gateway.balancer.handle = (  # type: ignore[method-assign]
            lambda now_us, event: [] if isinstance(event, RequestArrived) else handle(now_us, event)
        )
        started_s = asyncio.get_running_loop().time()
        assert (await run.request(request(budget_ms=200))).status == 502
        assert asyncio.get_running_loop().time() - started_s < 0.2 + 0.5
        assert run.gateway.violations.counts[Invariant.RESPONSE_BY_DEADLINE] == 1
        assert not run.gateway.in_flight


@on_event_loop
async def test_an_event_that_cannot_be_made_does_not_block_later_events() -> None:
    async with scripted_server() as upstream, running_gateway(configuration(upstream)) as run:

        def fail() -> None:
            run.gateway.post(lambda: None)
            raise RuntimeError("injected fault")

        run.gateway.post(fail)
        assert run.gateway.violations.counts[Invariant.NO_HANDLER_ERROR] == 1
        assert (await run.request(request())).status == 200
