"""Retries: which attempts may follow a failed one, where to, and what they cost."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sagetrack.policy.actions import Fail, Reject
from sagetrack.policy.events import ListedServer, Outcome
from sagetrack.policy.load_shedding import SHED_STEP
from sagetrack.policy.retry import CHEAP_RETRY, MAX_TOKENS, RETRIES_PER_FIRST_TRY, RetryBudget
from sagetrack.policy.settings import Scope
from tests.helpers import KEYED, SETTINGS, Driver, finals, sends


def test_an_unsafe_request_that_may_have_run_fails_at_once() -> None:
    driver = Driver()
    name, actions = driver.arrive(class_index=2)
    answer = driver.end(name, sends(actions)[0].server, Outcome.RESET)
    assert finals(answer) == [Fail(name)] and not sends(answer)


def test_an_unsafe_request_that_never_ran_goes_elsewhere() -> None:
    driver = Driver()
    name, actions = driver.arrive(class_index=2)
    first = sends(actions)[0].server
    again = sends(driver.end(name, first, Outcome.CONNECT_FAILED))
    assert len(again) == 1 and again[0].server != first


def test_a_keyed_request_stays_in_its_group_and_window() -> None:
    driver = Driver(servers=6)
    name, actions = driver.arrive(class_index=1)
    first = sends(actions)[0].server
    again = sends(driver.end(name, first, Outcome.RESET))
    assert again[0].server % 2 == first % 2
    name, actions = driver.arrive(class_index=1)
    driver.now_us += KEYED.window_us
    assert finals(driver.end(name, sends(actions)[0].server, Outcome.RESET)) == [Fail(name)]


def test_a_keyed_request_dropped_everywhere_may_be_refused() -> None:
    anywhere = replace(KEYED, scope=Scope.ALL)
    driver = Driver(replace(SETTINGS, classes=(anywhere,), max_attempts=1, max_retry_after_us=0))
    name, actions = driver.arrive()
    assert finals(driver.end(name, sends(actions)[0].server, Outcome.ERROR)) == [Reject(name)]


def test_attempts_end_with_the_limit() -> None:
    driver = Driver(replace(SETTINGS, max_attempts=2, max_retry_after_us=0), servers=5)
    name, actions = driver.arrive()
    again = sends(driver.end(name, sends(actions)[0].server, Outcome.ERROR))
    assert finals(driver.end(name, again[0].server, Outcome.ERROR, attempt=1)) == [Reject(name)]


def test_full_is_no_proof_where_the_settings_say_so() -> None:
    for unproven in (True, False):
        driver = Driver(replace(SETTINGS, rejection_may_have_run=unproven))
        name, actions = driver.arrive(class_index=2)
        answer = driver.end(name, sends(actions)[0].server, Outcome.REJECTED)
        assert (finals(answer) == [Fail(name)]) == unproven
        assert bool(sends(answer)) != unproven


@pytest.mark.parametrize("scope", list(Scope))
def test_a_keyed_repeat_keeps_to_its_scope_and_ends_with_the_window(scope: Scope) -> None:
    """The window counts from the first attempt that may have run, to the microsecond."""
    for late in (0, 1):
        class_index = replace(KEYED, scope=scope)
        driver = Driver(replace(SETTINGS, classes=(class_index,)), servers=0)
        driver.list_servers(*(ListedServer(n, zone=n % 2, group=n % 3) for n in range(12)))
        name, actions = driver.arrive(client_timeout_us=700_000)
        first = sends(actions)[0].server
        driver.now_us += KEYED.window_us - 1 + late
        again = sends(driver.end(name, first, Outcome.RESET))
        assert len(again) == 1 - late
        if again and scope is Scope.ZONE:
            assert again[0].server % 2 == first % 2
        if again and scope is Scope.GROUP:
            assert again[0].server % 3 == first % 3


def test_no_copy_and_no_repeat_of_what_may_have_run_while_anything_is_shed() -> None:
    """Three hundred gateways doubled their work at the first jam, and the fleet never left it."""
    driver = Driver()
    driver.balancer.shedder.shed_fraction = SHED_STEP
    driver.balancer.context.random.seed(1)
    name, actions = driver.arrive(class_index=0)
    while not sends(actions):
        name, actions = driver.arrive(class_index=0)
    driver.balancer.shedder.shed_fraction = SHED_STEP * 3
    assert not sends(driver.end(name, sends(actions)[0].server, Outcome.TIMEOUT))


def test_after_a_reset_a_repeat_costs_less_and_goes_on_while_little_is_shed() -> None:
    driver = Driver(servers=10)
    driver.balancer.retry_budget.tokens, driver.balancer.shedder.shed_fraction = (
        CHEAP_RETRY - RETRIES_PER_FIRST_TRY,
        SHED_STEP,
    )
    driver.balancer.context.random.seed(1)
    name, actions = driver.arrive(class_index=1, client_timeout_us=800_000)
    again = sends(driver.end(name, sends(actions)[0].server, Outcome.RESET))
    assert again and driver.balancer.retry_budget.tokens == 0
    assert not sends(driver.end(name, again[0].server, Outcome.RESET, attempt=1))


# The budget, by call


def test_first_tries_pay_for_a_share_of_the_retries() -> None:
    budget = RetryBudget()
    budget.spend(MAX_TOKENS)
    for _ in range(4):
        assert not budget.can_spend(1.0)
        budget.add_first_try()
    budget.add_first_try()
    assert budget.can_spend(1.0) and budget.tokens == pytest.approx(5 * RETRIES_PER_FIRST_TRY)


def test_no_more_retries_are_saved_up_than_the_bound() -> None:
    budget = RetryBudget()
    for _ in range(1000):
        budget.add_first_try()
    assert budget.tokens == MAX_TOKENS and not budget.can_spend(MAX_TOKENS + 0.1)


def test_a_retry_where_no_attempt_may_have_run_costs_nothing() -> None:
    driver = Driver(servers=5)
    name, actions = driver.arrive(class_index=2)
    before = driver.balancer.retry_budget.tokens
    assert sends(driver.end(name, sends(actions)[0].server, Outcome.CONNECT_FAILED))
    assert driver.balancer.retry_budget.tokens == before
