"""Observations of peers: how they merge, how much of them is believed; quotas of a fleet that shrinks."""

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
from sagetrack.policy.fleet_size import sharing_gateways
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
from tests.helpers import START_US, Driver, sends

NOW = 1_700_000_000_000_000
SIGHTS = st.builds(
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


@given(st.lists(SIGHTS, max_size=8), st.lists(SIGHTS, max_size=8), st.lists(SIGHTS, max_size=8))
def test_knowledge_merges_in_any_order_and_however_often(
    a: list[Observation], b: list[Observation], c: list[Observation]
) -> None:
    assert merge_observations(a, b) == merge_observations(b, a)
    assert merge_observations(merge_observations(a, b).values(), c) == merge_observations(
        a, merge_observations(b, c).values()
    )
    assert merge_observations(a, a, b, a) == merge_observations(a, b)


@given(st.lists(SIGHTS, max_size=40))
def test_hearsay_takes_a_bounded_part_out_of_use(sights: list[Observation]) -> None:
    lives = {1: 0, 2: 0, 3: 5_000_000, 9: 0}
    for most in range(4):
        advice = weigh_observations(sights, lives, NOW, most)
        assert sum(a.open_us >= 0 for a in advice) <= most
    assert {a.server for a in advice} <= {1, 2, 3}


def test_older_word_weighs_less_and_one_voice_of_three_opens_nothing() -> None:
    assert (
        confidence(0) == 1.0 > confidence(5_000_000) > confidence(20_000_000) > confidence(60_000_000) == 0.0
    )
    lives = dict.fromkeys(range(1, 7), 0)
    bad = Observation(1, 0, 0, NOW, OPEN, NOW + 500_000, 0.05)
    good = [Observation(1, 0, by, NOW, CLOSED, 0, 1.0) for by in (1, 2)]
    (alone,) = weigh_observations([bad], lives, NOW, 2)
    (outvoted,) = weigh_observations([bad, *good], lives, NOW, 2)
    assert alone.open_us == 500_000 and outvoted.open_us == -1 and outvoted.weight > 0.6


def test_a_start_believes_what_it_has_not_seen_itself() -> None:
    driver = Driver(servers=6)
    sights = tuple(
        Observation(n, 0, 2, START_US, OPEN if n == 3 else CLOSED, START_US + 700_000, 0.2) for n in (3, 4)
    )
    driver.handle(ObservationsReceived(sights, (ClassLatency(0, 9_000.0, 8_000.0),)))
    servers = driver.balancer.servers
    assert servers[3].breaker.state is State.OPEN and servers[3].breaker.open_until_us == START_US + 700_000
    assert servers[4].weight == pytest.approx(0.2) and servers[5].weight == 1.0
    assert driver.balancer.latency.smoothed_us[0] == 9_000.0
    driver.now_us += FIRST_COOLDOWN_US
    assert servers[3].breaker.allows_request(driver.now_us)  # trials decide, as ever


def test_own_sight_outweighs_word_and_no_word_revives_who_drains_or_names_who_is_not_listed() -> None:
    driver = Driver(servers=3)
    name, actions = driver.arrive()
    server = sends(actions)[0].server
    driver.end(name, server)
    driver.list_servers(ListedServer(1, ServerStatus.DRAINING), kind=ListKind.DELTA)
    told = tuple(Observation(n, 0, 2, START_US, CLOSED, 0, 0.05) for n in (0, 1, 2, 77))
    driver.handle(ObservationsReceived(told))
    assert driver.balancer.servers[server].weight > 0.9
    assert 77 not in driver.balancer.servers
    assert driver.balancer.servers[1].entry.status is ServerStatus.DRAINING
    assert all(s.entry.server != 1 for s in driver.balancer.ring.ranked)


def test_a_peer_that_calls_all_servers_bad_leaves_most_of_them_in_use() -> None:
    driver = Driver(servers=9)
    driver.handle(
        ObservationsReceived(
            tuple(Observation(n, 0, 2, START_US, OPEN, START_US + 8_000_000, 0.05) for n in range(9))
        )
    )
    opened = sum(s.breaker.state is State.OPEN for s in driver.balancer.servers.values())
    assert opened == 3
    assert any(driver.arrive()[1])


def test_word_that_comes_again_is_believed_once_and_opens_no_more_in_all() -> None:
    driver = Driver(servers=9)
    for first in (0, 3, 6, 0, 3, 6):
        three = range(first, first + 3)
        told = tuple(Observation(n, 0, 2, START_US, OPEN, START_US + 8_000_000, 0.05) for n in three)
        driver.handle(ObservationsReceived(told))
    servers = driver.balancer.servers.values()
    assert sum(s.breaker.state is State.OPEN for s in servers) == 3
    again = Driver(servers=9)
    again.handle(ObservationsReceived((Observation(1, 0, 2, START_US, CLOSED, 0, 0.5),)))
    again.balancer.servers[1].weight = 1.0
    again.handle(ObservationsReceived((Observation(1, 0, 2, START_US, CLOSED, 0, 0.5),)))
    assert again.balancer.servers[1].weight == 1.0


def test_word_of_several_is_weighed_together_though_it_comes_one_by_one() -> None:
    driver = Driver(servers=9)
    for by, state in ((1, CLOSED), (2, CLOSED), (3, OPEN)):
        driver.handle(
            ObservationsReceived((Observation(1, 0, by, START_US, state, START_US + 9_000_000, 1.0),))
        )
    assert driver.balancer.servers[1].breaker.state is State.CLOSED


def test_a_cooldown_that_is_over_opens_nothing() -> None:
    driver = Driver(servers=9)
    driver.handle(
        ObservationsReceived((Observation(1, 0, 2, START_US - 3_000_000, OPEN, START_US - 1, 0.05),))
    )
    assert driver.balancer.servers[1].breaker.state is State.CLOSED


def test_another_life_at_the_same_id_is_not_judged_by_the_earlier_one() -> None:
    driver = Driver(servers=0)
    driver.list_servers(ListedServer(1, started_us=START_US))
    driver.handle(
        ObservationsReceived(
            (Observation(1, START_US - 9_000_000, 2, START_US, OPEN, START_US + 9_000_000, 0.05),)
        )
    )
    assert driver.balancer.servers[1].breaker.state is State.CLOSED


def test_what_is_seen_is_told_and_taken_up_again() -> None:
    one, other = Driver(servers=4), Driver(servers=4)
    for _ in range(6):
        name, actions = one.arrive()
        one.end(name, sends(actions)[0].server, Outcome.ERROR)
    sights, _ = one.balancer.own_observations()
    assert sights and all(sight.by == 0 for sight in sights)
    other.handle(
        ObservationsReceived(
            tuple(
                Observation(s.server, s.started_us, 1, s.seen_us, s.state, s.open_until_us, s.weight)
                for s in sights
            )
        )
    )
    for sight in sights:
        assert other.balancer.servers[sight.server].weight == pytest.approx(sight.weight)


# Quotas


@given(st.integers(1, 500), st.integers(0, 500))
def test_shares_never_add_up_to_more_than_is_planned_for(all_: int, cut: int) -> None:
    """Whoever is cut off or dead: both sides of the worst cut together stay within the whole."""
    small = min(cut, all_ // 2)
    total = (all_ - small) / sharing_gateways(all_ - small, all_) + (
        small / sharing_gateways(small, all_) if small else 0.0
    )
    assert total * BUDGET_MARGIN <= 1.0


def test_doubt_leaves_the_share_as_it_is() -> None:
    assert sharing_gateways(3, 3) == sharing_gateways(2, 3) == sharing_gateways(1, 3) == 3
    assert sharing_gateways(7, 8) == 7 and sharing_gateways(5, 8) == 6 and sharing_gateways(4, 8) == 8
    driver = Driver(servers=3)
    driver.handle(FleetSizeChanged(1))
    assert driver.balancer.fleet.gateways == driver.balancer.settings.gateway_count
