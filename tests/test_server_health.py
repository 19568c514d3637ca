"""Server health: how outcomes change the breakers and weights of servers and of classes at servers."""

from __future__ import annotations

import random

from sagetrack.policy.circuit_breaker import FIRST_COOLDOWN_US, HALF_OPEN_TRIALS, MIN_OUTCOMES_TO_OPEN, State
from sagetrack.policy.events import Outcome, RequestCancelled
from sagetrack.policy.server_health import WEIGHT_CUT, WEIGHT_STEP, adjust_weight
from sagetrack.policy.state import MAX_WEIGHT, MIN_WEIGHT
from tests.helpers import Driver, send_actions, trip


def run_with_random_failures(share: float, seed: int, dead: int | None = None) -> tuple[float, Driver]:
    """Run ten servers that randomly fail a share of attempts; return the mean share of open breakers."""
    driver, rng, open_count, count = Driver(servers=10, seed=seed), random.Random(seed), 0, 3000
    for number in range(count):
        driver.now_us += 3_000
        name, actions = driver.arrive(class_index=number % 3, client_timeout_us=1_000_000)
        attempt = 0
        while sent := send_actions(actions):
            driver.now_us += 1_000
            failed = rng.random() < share or sent[0].server == dead
            outcome = Outcome.RESET if failed else Outcome.OK
            actions = driver.end(name, sent[0].server, outcome, attempt=attempt)
            attempt += 1
        open_count += sum(s.breaker.state is State.OPEN for s in driver.balancer.servers.values())
    return open_count / count / 10, driver


def test_a_server_that_rejects_one_class_stays_in_use_for_the_others() -> None:
    """Guards against opening the breakers of half of the servers because they reject one class."""
    driver = Driver(servers=2)
    name, actions = driver.arrive(class_index=2)
    rejecting = send_actions(actions)[0].server
    driver.end(name, rejecting)
    server = driver.balancer.servers[rejecting]
    while server.breaker.state is State.CLOSED and server.class_health(0).breaker.state is State.CLOSED:
        name, actions = driver.arrive(class_index=0)
        first = send_actions(actions)[0].server
        outcome = Outcome.REJECTED if first == rejecting else Outcome.OK
        for retry in send_actions(driver.end(name, first, outcome)):
            driver.end(name, retry.server, attempt=1)
    assert server.breaker.state is State.CLOSED and server.breaker.failures == 0
    assert server not in driver.balancer.selector.subset(0) and server in driver.balancer.selector.subset(2)
    assert driver.balancer.shedder.shed_fraction_high_priority == 0.0


def test_failures_of_every_class_count_against_the_server() -> None:
    driver = Driver(servers=1)
    for class_index in (2, 1, 0, 2, 1):
        name, actions = driver.arrive(class_index=class_index)
        if send_actions(actions):
            driver.end(name, 0, Outcome.ERROR)
    assert driver.balancer.servers[0].breaker.failures >= 3


def test_one_failed_connection_opens_the_breaker() -> None:
    """Guards against five connection attempts by each gateway to a server whose connection table is full."""
    driver = Driver()
    name, actions = driver.arrive()
    first = send_actions(actions)[0].server
    driver.end(name, first, Outcome.CONNECT_FAILED)
    assert not driver.balancer.servers[first].breaker.allows_request(driver.now_us)


def test_one_failed_connection_does_not_open_the_breaker_of_a_server_that_just_responded() -> None:
    """Guards against occasional connection failures opening the breakers of most servers."""
    for since_response_us, state in (
        (FIRST_COOLDOWN_US // 2, State.CLOSED),
        (FIRST_COOLDOWN_US * 2, State.OPEN),
    ):
        driver = Driver(servers=1)
        name, actions = driver.arrive()
        driver.end(name, send_actions(actions)[0].server)
        driver.now_us += since_response_us
        name, actions = driver.arrive()
        driver.end(name, send_actions(actions)[0].server, Outcome.CONNECT_FAILED)
        assert driver.balancer.servers[0].breaker.state is state
    driver = Driver(servers=1)
    for outcome in (Outcome.OK, Outcome.CONNECT_FAILED, Outcome.CONNECT_FAILED):
        name, actions = driver.arrive()
        driver.end(name, send_actions(actions)[0].server, outcome)
    assert driver.balancer.servers[0].breaker.state is State.OPEN  # the second failure in a row


def test_a_timeout_shorter_than_the_usual_latency_does_not_count_as_a_failure() -> None:
    driver = Driver(servers=1)
    for _ in range(MIN_OUTCOMES_TO_OPEN * 3):
        # Simulates clients that give every attempt a different timeout.
        driver.balancer.client_timeouts.estimate(0, 0).usual_fraction = 0.0
        name, actions = driver.arrive()
        driver.end(name, send_actions(actions)[0].server, Outcome.TIMEOUT, latency_us=30_000)
    assert (
        driver.balancer.servers[0].breaker.state is State.CLOSED
        and driver.balancer.shedder.shed_fraction == 0
    )


def test_outcomes_after_the_breaker_opened_do_not_lower_the_weight() -> None:
    """Guards against late outcomes and failed trials lowering the weight of a recovering server."""
    driver = Driver(servers=1)
    server = driver.balancer.servers[0]
    names = [driver.arrive(class_index=2)[0] for _ in range(2)]
    trip(server.breaker, driver.now_us)
    weight = server.weight
    driver.end(names[0], 0, Outcome.ERROR)  # sent before the breaker opened
    assert server.weight == weight
    driver.now_us = server.breaker.open_until_us
    driver.end(names[1], 0, Outcome.ERROR)
    assert server.weight == weight


def test_a_failing_server_gets_an_open_breaker_and_no_requests() -> None:
    driver = Driver(servers=3)
    for _ in range(200):
        name, actions = driver.arrive()
        server = send_actions(actions)[0].server
        actions = driver.end(name, server, Outcome.RESET if server == 0 else Outcome.OK)
        for retry in send_actions(actions):
            driver.end(name, retry.server, attempt=1)
    assert driver.balancer.servers[0].breaker.state is State.OPEN
    for _ in range(50):
        name, actions = driver.arrive()
        assert send_actions(actions)[0].server != 0
        driver.end(name, send_actions(actions)[0].server)


def test_the_weight_rises_by_steps_and_is_cut_by_failures() -> None:
    driver = Driver(servers=1)
    server = driver.balancer.servers[0]
    server.weight = 0.5
    name, _ = driver.arrive()
    driver.end(name, 0)
    assert server.weight == 0.5 + WEIGHT_STEP
    name, _ = driver.arrive(class_index=2)
    driver.end(name, 0, Outcome.RESET)
    assert server.weight == (0.5 + WEIGHT_STEP) * WEIGHT_CUT
    name, _ = driver.arrive(class_index=2)
    driver.end(name, 0, Outcome.ERROR)  # the other class succeeded last, so only this class is affected
    assert (
        server.weight == (0.5 + WEIGHT_STEP) * WEIGHT_CUT
        and server.class_health(2).weight == MAX_WEIGHT * WEIGHT_CUT
    )


def test_a_response_over_twice_the_smoothed_latency_cuts_the_weight() -> None:
    driver = Driver(servers=1)
    server = driver.balancer.servers[0]
    name, _ = driver.arrive()
    driver.end(name, 0, latency_us=int(driver.balancer.latency.smoothed_us[0] * 2.2))
    assert server.weight == MAX_WEIGHT * WEIGHT_CUT


def test_the_weight_stays_within_its_bounds() -> None:
    driver = Driver(servers=1)
    server = driver.balancer.servers[0]
    for _ in range(40):
        adjust_weight(server, True)
    assert server.weight == MIN_WEIGHT
    for _ in range(400):
        adjust_weight(server, False)
    assert server.weight == MAX_WEIGHT


def test_a_server_keeps_its_weight_when_its_breaker_closes_again() -> None:
    driver = Driver(servers=1)
    server = driver.balancer.servers[0]
    for _ in range(MIN_OUTCOMES_TO_OPEN):
        name, actions = driver.arrive(class_index=2)
        assert send_actions(actions)
        driver.end(name, 0, Outcome.RESET)
    assert server.breaker.state is State.OPEN
    weight = server.weight
    driver.now_us += FIRST_COOLDOWN_US
    for _ in range(HALF_OPEN_TRIALS):
        name, actions = driver.arrive()
        assert send_actions(actions)
        driver.end(name, 0)
    assert server.breaker.state.value == "closed"
    assert server.weight == max(MIN_WEIGHT, weight)


def test_a_trial_that_fails_to_connect_reopens_the_breaker_at_once_for_longer() -> None:
    """Guards against two more requests to a server with a full connection table after every cooldown."""
    driver = Driver(servers=1)
    name, _ = driver.arrive()
    driver.end(name, 0, Outcome.CONNECT_FAILED)
    breaker = driver.balancer.servers[0].breaker
    driver.now_us = breaker.open_until_us
    name, actions = driver.arrive()
    assert send_actions(actions) and breaker.state is State.HALF_OPEN
    driver.end(name, 0, Outcome.CONNECT_FAILED)
    assert breaker.state.value == "open"
    assert breaker.open_until_us == driver.now_us + 2 * FIRST_COOLDOWN_US


def test_failures_common_to_all_servers_open_few_breakers_and_a_dead_server_is_still_found() -> None:
    """Guards against resets at all servers opening breakers one by one, which overloads the other servers."""
    assert sum(run_with_random_failures(0.35, seed)[0] for seed in range(4)) / 4 < 0.12
    _, driver = run_with_random_failures(0.25, seed=1, dead=3)
    states = {number: server.breaker.state for number, server in driver.balancer.servers.items()}
    assert states[3] is not State.CLOSED
    assert sum(state is not State.CLOSED for state in states.values()) <= 2


def test_a_server_that_never_responds_for_one_class_is_avoided_for_that_class_only() -> None:
    """Guards against requests of that class that waited at the server until past their latency objective.

    Its responses to other classes kept the breaker of the server closed.
    """
    driver = Driver(servers=3)
    timeouts = 0
    for number in range(2000):
        driver.now_us += 3_000
        class_index = int(number % 4 == 1)
        driver.balancer.shedder.shed_fraction = driver.balancer.shedder.shed_fraction_high_priority = 0.0
        name, actions = driver.arrive(class_index=class_index, client_timeout_us=400_000)
        (send,) = send_actions(actions)
        if send.server == 2 and class_index == 1:
            timeouts += 1
            driver.now_us += 150_000
            driver.end(name, 2, Outcome.TIMEOUT, latency_us=150_000)
            driver.handle(RequestCancelled(name))
        else:
            driver.end(name, send.server)
    assert timeouts <= 12
