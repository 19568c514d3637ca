"""Merging and weighing peers' observations, and the shares of gateways when some of them are lost."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sagetrack.policy.circuit_breaker import FIRST_COOLDOWN_US, State
from sagetrack.policy.events import (
    FleetSizeChanged,
    ListedServer,
    ListKind,
    ObservationsReceived,
    Outcome,
    ServerStatus,
)
from sagetrack.policy.fleet_size import effective_gateway_count
from sagetrack.policy.peer_observations import (
    CLOSED,
    OPEN,
    ClassLatency,
    Observation,
    confidence,
    merge_observations,
    weigh_observations,
)
from sagetrack.policy.slow_start import BUDGET_MARGIN
from tests.helpers import START_US, Driver, send_actions

NOW = 1_700_000_000_000_000
OBSERVATIONS = st.builds(
    Observation,
    st.integers(1, 4),
    st.sampled_from([0, 5_000_000]),
    st.integers(0, 3),
    st.integers(NOW - 3, NOW),
    st.integers(0, 2),
    st.integers(NOW, NOW + 2),
    st.sampled_from([0.05, 0.5, 1.0]),
    st.booleans(),
    st.integers(0, 2),
)


# Observations


@given(
    st.lists(OBSERVATIONS, max_size=8), st.lists(OBSERVATIONS, max_size=8), st.lists(OBSERVATIONS, max_size=8)
)
def test_merging_observations_is_commutative_associative_and_idempotent(
    a: list[Observation], b: list[Observation], c: list[Observation]
) -> None:
    assert merge_observations(a, b) == merge_observations(b, a)
    assert merge_observations(merge_observations(a, b).values(), c) == merge_observations(
        a, merge_observations(b, c).values()
    )
    assert merge_observations(a, a, b, a) == merge_observations(a, b)


@given(st.lists(OBSERVATIONS, max_size=40))
def test_observations_of_peers_open_no_more_than_the_given_number_of_servers(
    observations: list[Observation],
) -> None:
    started_us = {1: 0, 2: 0, 3: 5_000_000, 9: 0}
    for max_open in range(4):
        advice = weigh_observations(observations, started_us, NOW, max_open)
        assert sum(a.open_us >= 0 for a in advice) <= max_open
    assert {a.server for a in advice} <= {1, 2, 3}


def test_older_observations_count_less_and_one_peer_of_three_opens_no_breaker() -> None:
    assert (
        confidence(0) == 1.0 > confidence(5_000_000) > confidence(20_000_000) > confidence(60_000_000) == 0.0
    )
    started_us = dict.fromkeys(range(1, 7), 0)
    unhealthy = Observation(1, 0, 0, NOW, OPEN, NOW + 500_000, 0.05)
    healthy = [Observation(1, 0, by, NOW, CLOSED, 0, 1.0) for by in (1, 2)]
    (alone,) = weigh_observations([unhealthy], started_us, NOW, 2)
    (outvoted,) = weigh_observations([unhealthy, *healthy], started_us, NOW, 2)
    assert alone.open_us == 500_000 and outvoted.open_us == -1 and outvoted.weight > 0.6


def test_a_started_gateway_uses_observations_of_servers_it_has_not_used() -> None:
    driver = Driver(servers=6)
    observations = tuple(
        Observation(n, 0, 2, START_US, OPEN if n == 3 else CLOSED, START_US + 700_000, 0.2) for n in (3, 4)
    )
    driver.handle(ObservationsReceived(observations, (ClassLatency(0, 9_000.0, 8_000.0),)))
    servers = driver.balancer.servers
    assert servers[3].breaker.state is State.OPEN and servers[3].breaker.open_until_us == START_US + 700_000
    assert servers[4].weight == pytest.approx(0.2) and servers[5].weight == 1.0
    assert driver.balancer.latency.smoothed_us[0] == 9_000.0
    driver.now_us += FIRST_COOLDOWN_US
    assert servers[3].breaker.allows_request(driver.now_us)  # trials decide, as after any cooldown


def test_own_observations_outweigh_those_of_peers_which_cannot_make_ready_or_add_a_server() -> None:
    driver = Driver(servers=3)
    name, actions = driver.arrive()
    server = send_actions(actions)[0].server
    driver.end(name, server)
    driver.list_servers(ListedServer(1, ServerStatus.DRAINING), kind=ListKind.DELTA)
    observations = tuple(Observation(n, 0, 2, START_US, CLOSED, 0, 0.05) for n in (0, 1, 2, 77))
    driver.handle(ObservationsReceived(observations))
    assert driver.balancer.servers[server].weight > 0.9
    assert 77 not in driver.balancer.servers
    assert driver.balancer.servers[1].entry.status is ServerStatus.DRAINING
    assert all(s.entry.server != 1 for s in driver.balancer.ring.ranked)


def test_a_peer_that_reports_all_servers_as_failing_opens_only_a_third_of_them() -> None:
    driver = Driver(servers=9)
    driver.handle(
        ObservationsReceived(
            tuple(Observation(n, 0, 2, START_US, OPEN, START_US + 8_000_000, 0.05) for n in range(9))
        )
    )
    opened = sum(s.breaker.state is State.OPEN for s in driver.balancer.servers.values())
    assert opened == 3
    assert any(driver.arrive()[1])


def test_a_repeated_observation_is_applied_once_and_the_bound_holds_over_all_messages() -> None:
    driver = Driver(servers=9)
    for first in (0, 3, 6, 0, 3, 6):
        numbers = range(first, first + 3)
        observations = tuple(
            Observation(n, 0, 2, START_US, OPEN, START_US + 8_000_000, 0.05) for n in numbers
        )
        driver.handle(ObservationsReceived(observations))
    servers = driver.balancer.servers.values()
    assert sum(s.breaker.state is State.OPEN for s in servers) == 3
    again = Driver(servers=9)
    again.handle(ObservationsReceived((Observation(1, 0, 2, START_US, CLOSED, 0, 0.5),)))
    again.balancer.servers[1].weight = 1.0
    again.handle(ObservationsReceived((Observation(1, 0, 2, START_US, CLOSED, 0, 0.5),)))
    assert again.balancer.servers[1].weight == 1.0


def test_observations_of_several_peers_are_weighed_together_though_they_arrive_separately() -> None:
    driver = Driver(servers=9)
    for by, state in ((1, CLOSED), (2, CLOSED), (3, OPEN)):
        driver.handle(
            ObservationsReceived((Observation(1, 0, by, START_US, state, START_US + 9_000_000, 1.0),))
        )
    assert driver.balancer.servers[1].breaker.state is State.CLOSED


def test_an_observation_whose_cooldown_has_ended_opens_no_breaker() -> None:
    driver = Driver(servers=9)
    driver.handle(
        ObservationsReceived((Observation(1, 0, 2, START_US - 3_000_000, OPEN, START_US - 1, 0.05),))
    )
    assert driver.balancer.servers[1].breaker.state is State.CLOSED


def test_a_restarted_server_is_not_ejected_by_observations_from_before_the_restart() -> None:
    driver = Driver(servers=0)
    driver.list_servers(ListedServer(1, started_us=START_US))
    driver.handle(
        ObservationsReceived(
            (Observation(1, START_US - 9_000_000, 2, START_US, OPEN, START_US + 9_000_000, 0.05),)
        )
    )
    assert driver.balancer.servers[1].breaker.state is State.CLOSED


def test_the_observations_of_one_gateway_can_be_applied_by_another() -> None:
    observer, receiver = Driver(servers=4), Driver(servers=4)
    for _ in range(6):
        name, actions = observer.arrive()
        observer.end(name, send_actions(actions)[0].server, Outcome.ERROR)
    observations, _ = observer.balancer.own_observations()
    assert observations and all(observation.by == 0 for observation in observations)
    receiver.handle(
        ObservationsReceived(
            tuple(
                Observation(s.server, s.started_us, 1, s.seen_us, s.state, s.open_until_us, s.weight)
                for s in observations
            )
        )
    )
    for observation in observations:
        assert receiver.balancer.servers[observation.server].weight == pytest.approx(observation.weight)


# Shares of gateways


@given(st.integers(1, 500), st.integers(0, 500))
def test_the_shares_of_both_sides_of_a_partition_stay_within_the_whole(
    configured: int, unreachable: int
) -> None:
    """In any partition, both sides together use no more than the planned total."""
    minority = min(unreachable, configured // 2)
    total = (configured - minority) / effective_gateway_count(configured - minority, configured) + (
        minority / effective_gateway_count(minority, configured) if minority else 0.0
    )
    assert total * BUDGET_MARGIN <= 1.0


def test_uncertain_membership_leaves_the_share_unchanged() -> None:
    assert (
        effective_gateway_count(3, 3) == effective_gateway_count(2, 3) == effective_gateway_count(1, 3) == 3
    )
    assert (
        effective_gateway_count(7, 8) == 7
        and effective_gateway_count(5, 8) == 6
        and effective_gateway_count(4, 8) == 8
    )
    driver = Driver(servers=3)
    driver.handle(FleetSizeChanged(1))
    assert driver.balancer.fleet.gateways == driver.balancer.settings.gateway_count
