"""Membership: failed members are detected, partitions heal, and the views of all members converge."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sagetrack.lab.benchmarks.membership import Fleet, simulate_deaths, simulate_partition
from sagetrack.peers.codec import (
    Datagram,
    Ping,
    Update,
)
from sagetrack.peers.member_table import MemberState
from sagetrack.peers.membership import Membership
from sagetrack.peers.settings import MembershipSettings


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_a_death_is_detected_by_all_members_without_false_positives(loss: float) -> None:
    result = simulate_deaths(8, 1, loss, 40.0)
    assert result.undetected == 0 and result.false_deaths == 0 and result.p99_s < 20.0


def test_the_message_rate_of_a_member_does_not_grow_with_the_fleet() -> None:
    small, large = simulate_deaths(4, 1, 0.0, 20.0), simulate_deaths(60, 1, 0.0, 20.0)
    assert large.max_sent_per_s < 1.5 * small.max_sent_per_s + 1.0


def test_a_partition_heals() -> None:
    assert 0 <= simulate_partition(8, 1, 0.05).convergence_s < 30


def test_a_member_that_restarts_overrides_the_updates_of_its_death() -> None:
    fleet = Fleet(5, 1, 0.0, MembershipSettings())
    fleet.run(3_000_000)
    fleet.dead = {4}
    fleet.run(30_000_000)
    assert all(fleet.members[n].peers[4].state is MemberState.DEAD for n in range(4))
    fleet.start(4, 31)
    fleet.run(40_000_000)
    assert fleet.views_equal()


def test_permanently_dead_members_cause_few_messages() -> None:
    fleet = Fleet(10, 1, 0.0, MembershipSettings())
    fleet.dead = set(range(1, 10))
    fleet.run(60_000_000)
    member = fleet.members[0]
    assert member.alive == 1 and member.counts.sent < 60 * 6
    sent_before = member.counts.sent
    fleet.run(120_000_000)
    assert member.counts.sent - sent_before <= 60


@settings(max_examples=50)
@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(0, 2), st.integers(0, 3)), max_size=12), st.randoms()
)
def test_the_view_does_not_depend_on_the_order_of_updates(
    updates: list[tuple[int, int, int]], shuffle: random.Random
) -> None:
    views = []
    for _ in range(2):
        member = Membership(9, 10, MembershipSettings(), 1, 0, lambda target, datagram: None)
        for subject, state, incarnation in updates:
            member.apply_update(0, Update(subject, state, incarnation, 5))
        views.append({number: peer.precedence for number, peer in member.peers.items()})
        shuffle.shuffle(updates)
    assert views[0] == views[1]


def test_a_member_refutes_its_own_death() -> None:
    sent: list[Datagram] = []
    member = Membership(0, 3, MembershipSettings(), 1, 0, lambda target, datagram: sent.append(datagram), 5)
    member.handle(0, Datagram(1, 1, [Update(0, 2, 5, 1), Ping(1, 0)]))
    assert member.incarnation == 6
    assert sent[0].incarnation == 6 and Update(0, 0, 6, 0) in sent[0].messages
