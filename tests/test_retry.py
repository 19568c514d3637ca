"""Tests of retries: when they are allowed, which servers they may go to, and what they cost."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sagetrack.policy.actions import Fail, Reject
from sagetrack.policy.events import ListedServer, Outcome
from sagetrack.policy.load_shedding import SHED_STEP
from sagetrack.policy.retry import CHEAP_RETRY, MAX_TOKENS, RETRIES_PER_FIRST_TRY, RetryBudget
from sagetrack.policy.settings import Scope
from tests.helpers import KEYED, SETTINGS, Driver, final_actions, send_actions


def test_an_unsafe_request_that_may_have_run_fails_without_a_retry() -> None:
    driver = Driver()
    name, actions = driver.arrive(class_index=2)
    after_reset = driver.end(name, send_actions(actions)[0].server, Outcome.RESET)
    assert final_actions(after_reset) == [Fail(name)] and not send_actions(after_reset)


def test_an_unsafe_request_that_never_ran_is_retried_at_another_server() -> None:
    driver = Driver()
    name, actions = driver.arrive(class_index=2)
    first = send_actions(actions)[0].server
    retries = send_actions(driver.end(name, first, Outcome.CONNECT_FAILED))
    assert len(retries) == 1 and retries[0].server != first


def test_a_keyed_request_is_retried_within_its_group_and_window() -> None:
    driver = Driver(servers=6)
    name, actions = driver.arrive(class_index=1)
    first = send_actions(actions)[0].server
    retries = send_actions(driver.end(name, first, Outcome.RESET))
    assert retries[0].server % 2 == first % 2
    name, actions = driver.arrive(class_index=1)
    driver.now_us += KEYED.window_us
    assert final_actions(driver.end(name, send_actions(actions)[0].server, Outcome.RESET)) == [Fail(name)]


def test_a_keyed_request_of_scope_all_may_be_rejected_after_an_attempt() -> None:
    anywhere = replace(KEYED, scope=Scope.ALL)
    driver = Driver(replace(SETTINGS, classes=(anywhere,), max_attempts=1, max_retry_after_us=0))
    name, actions = driver.arrive()
    assert final_actions(driver.end(name, send_actions(actions)[0].server, Outcome.ERROR)) == [Reject(name)]


def test_attempts_are_limited() -> None:
    driver = Driver(replace(SETTINGS, max_attempts=2, max_retry_after_us=0), servers=5)
    name, actions = driver.arrive()
    retries = send_actions(driver.end(name, send_actions(actions)[0].server, Outcome.ERROR))
    assert final_actions(driver.end(name, retries[0].server, Outcome.ERROR, attempt=1)) == [Reject(name)]


def test_a_rejection_counts_as_possibly_run_if_the_settings_say_so() -> None:
    for may_have_run in (True, False):
        driver = Driver(replace(SETTINGS, rejection_may_have_run=may_have_run))
        name, actions = driver.arrive(class_index=2)
        after_rejection = driver.end(name, send_actions(actions)[0].server, Outcome.REJECTED)
        assert (final_actions(after_rejection) == [Fail(name)]) == may_have_run
        assert bool(send_actions(after_rejection)) != may_have_run


@pytest.mark.parametrize("scope", list(Scope))
def test_a_keyed_retry_stays_in_its_scope_and_ends_with_the_window(scope: Scope) -> None:
    """The window starts with the first attempt that may have run; it is exact to the microsecond."""
    for late_us in (0, 1):
        request_class = replace(KEYED, scope=scope)
        driver = Driver(replace(SETTINGS, classes=(request_class,)), servers=0)
        driver.list_servers(*(ListedServer(n, zone=n % 2, group=n % 3) for n in range(12)))
        name, actions = driver.arrive(client_timeout_us=700_000)
        first = send_actions(actions)[0].server
        driver.now_us += KEYED.window_us - 1 + late_us
        retries = send_actions(driver.end(name, first, Outcome.RESET))
        assert len(retries) == 1 - late_us
        if retries and scope is Scope.ZONE:
            assert retries[0].server % 2 == first % 2
        if retries and scope is Scope.GROUP:
            assert retries[0].server % 3 == first % 3


def test_a_request_that_may_have_run_is_not_retried_while_requests_are_shed() -> None:
    """Guards against lasting overload: 300 gateways doubled the load by retries and never recovered."""
    driver = Driver()
    driver.balancer.shedder.shed_fraction = SHED_STEP
    driver.balancer.context.random.seed(1)
    name, actions = driver.arrive(class_index=0)
    while not send_actions(actions):
        name, actions = driver.arrive(class_index=0)
    driver.balancer.shedder.shed_fraction = SHED_STEP * 3
    assert not send_actions(driver.end(name, send_actions(actions)[0].server, Outcome.TIMEOUT))


def test_a_retry_after_a_reset_costs_less_and_is_allowed_while_little_is_shed() -> None:
    driver = Driver(servers=10)
    driver.balancer.retry_budget.tokens, driver.balancer.shedder.shed_fraction = (
        CHEAP_RETRY - RETRIES_PER_FIRST_TRY,
        SHED_STEP,
    )
    driver.balancer.context.random.seed(1)
    name, actions = driver.arrive(class_index=1, client_timeout_us=800_000)
    retries = send_actions(driver.end(name, send_actions(actions)[0].server, Outcome.RESET))
    assert retries and driver.balancer.retry_budget.tokens == 0
    assert not send_actions(driver.end(name, retries[0].server, Outcome.RESET, attempt=1))


# Retry budget by itself


def test_first_tries_earn_a_share_of_a_retry() -> None:
    budget = RetryBudget()
    budget.spend(MAX_TOKENS)
    for _ in range(4):
        assert not budget.can_spend(1.0)
        budget.add_first_try()
    budget.add_first_try()
    assert budget.can_spend(1.0) and budget.tokens == pytest.approx(5 * RETRIES_PER_FIRST_TRY)


def test_saved_retries_are_bounded() -> None:
    budget = RetryBudget()
    for _ in range(1000):
        budget.add_first_try()
    assert budget.tokens == MAX_TOKENS and not budget.can_spend(MAX_TOKENS + 0.1)


def test_a_retry_of_an_attempt_that_never_ran_costs_nothing() -> None:
    driver = Driver(servers=5)
    name, actions = driver.arrive(class_index=2)
    before = driver.balancer.retry_budget.tokens
    assert send_actions(driver.end(name, send_actions(actions)[0].server, Outcome.CONNECT_FAILED))
    assert driver.balancer.retry_budget.tokens == before
