"""Parts of membership without a fleet: pings, indirect pings, local health, suspicion and dissemination."""

from __future__ import annotations

import random

import pytest

from sagetrack.peers.codec import DATAGRAM_LIMIT, Ack, Message, Nack, Ping, PingRequest, Update, encoded_size
from sagetrack.peers.dissemination import UpdateQueue, max_transmissions
from sagetrack.peers.failure_detector import MAX_RELAYED_PINGS, FailureDetector
from sagetrack.peers.member_table import MemberState, MemberTable
from sagetrack.peers.probes import MAX_LOCAL_HEALTH, LocalHealth
from sagetrack.peers.settings import MembershipSettings
from sagetrack.peers.token_bucket import TokenBucket

SETTINGS = MembershipSettings()


class Alone:
    """Member 0 of some, and all that it sends and reports."""

    def __init__(self, count: int = 5) -> None:
        self.sent: list[tuple[int, Message]] = []
        self.unanswered: list[int] = []
        self.table = MemberTable(0, count, SETTINGS, 0)
        self.detector = FailureDetector(
            self.table,
            SETTINGS,
            random.Random(1),
            0,
            self.send,
            lambda member: Update(member, MemberState.DEAD, 1, 0),
            lambda now_us, member: self.unanswered.append(member),
        )

    def send(self, now_us: int, target: int, message: Message, first: Message | None = None) -> None:
        self.sent += [(target, each) for each in (first, message) if each is not None]

    def step(self) -> int:
        """Go on to what is due next."""
        now_us = self.detector.next_us()
        self.detector.tick(now_us)
        return now_us

    def pinged(self) -> tuple[int, int]:
        """Begin a period, and return the target and the sequence number."""
        self.step()
        target, ping = self.sent[-1]
        assert isinstance(ping, Ping) and ping.target == target
        return target, ping.sequence


def test_a_ping_is_repeated_then_made_by_others_then_reported() -> None:
    alone = Alone()
    target, sequence = alone.pinged()
    alone.step()
    assert alone.sent[1:] == [(target, Ping(sequence, target))] and not alone.unanswered
    alone.step()
    asked = alone.sent[2:]
    assert len(asked) == SETTINGS.indirect_pings == len({helper for helper, _ in asked})
    assert all(request == PingRequest(sequence, target) for _, request in asked)
    assert target not in {helper for helper, _ in asked} and not alone.unanswered
    alone.step()
    assert alone.unanswered == [target]


def test_an_acknowledgement_ends_a_ping() -> None:
    alone = Alone()
    target, sequence = alone.pinged()
    alone.detector.on_ack(0, target, Ack(sequence, target % 4 + 1))  # of another target
    alone.detector.on_ack(0, target, Ack(sequence + 1, target))  # of another ping
    alone.detector.on_ack(0, target, Ack(sequence, target))
    following = alone.pinged()
    assert following[0] != target and following[1] == sequence + 1 and not alone.unanswered


@pytest.mark.parametrize(("nacks", "times"), [(3, 1), (2, 2), (0, 2)])
def test_local_health_worsens_only_where_helpers_are_silent_too(nacks: int, times: int) -> None:
    alone = Alone()
    target, sequence = alone.pinged()
    alone.step()
    alone.step()
    helpers = [member for member, message in alone.sent if isinstance(message, PingRequest)]
    for helper in helpers[:nacks]:
        alone.detector.on_nack(helper, Nack(sequence, target))
    alone.step()
    assert alone.unanswered == [target] and alone.detector.health.scale(10) == 10 * times


def test_local_health_is_bounded_on_both_sides() -> None:
    health = LocalHealth()
    health.improve()
    assert health.scale(10) == 10
    for _ in range(MAX_LOCAL_HEALTH + 5):
        health.worsen()
    assert health.scale(10) == 10 * (MAX_LOCAL_HEALTH + 1)
    health.improve()
    assert health.scale(10) == 10 * MAX_LOCAL_HEALTH


def test_an_indirect_ping_is_acknowledged_to_who_asked_for_it() -> None:
    alone = Alone()
    alone.detector.on_ping_request(0, 1, PingRequest(77, 2))
    ((target, ping),) = alone.sent
    assert target == 2 and isinstance(ping, Ping)
    alone.detector.on_ack(1, 2, Ack(ping.sequence, 2))
    assert alone.sent[1:] == [(1, Ack(77, 2))]
    alone.detector.on_ack(2, 2, Ack(ping.sequence, 2))  # again
    assert len(alone.sent) == 2


def test_an_indirect_ping_without_an_answer_is_nacked_once() -> None:
    alone = Alone()
    alone.detector.on_ping_request(0, 1, PingRequest(77, 2))
    for now_us in (SETTINGS.timeout_us - 1, SETTINGS.timeout_us, SETTINGS.timeout_us + SETTINGS.period_us):
        alone.detector.tick(now_us)
    assert [sent for sent in alone.sent if isinstance(sent[1], Nack)] == [(1, Nack(77, 2))]


def test_requests_for_indirect_pings_are_bounded_and_checked() -> None:
    alone = Alone()
    for target in (0, 1, 9):  # itself, who asks, nobody
        alone.detector.on_ping_request(0, 1, PingRequest(1, target))
    assert not alone.sent
    for sequence in range(MAX_RELAYED_PINGS + 9):
        alone.detector.on_ping_request(0, 1, PingRequest(sequence, 2))
    assert len(alone.sent) == MAX_RELAYED_PINGS


def test_each_round_pings_every_member_that_is_not_dead_once() -> None:
    alone = Alone(6)
    alone.table.set_state(0, 3, MemberState.DEAD, 0, 0)
    for _ in range(3):
        targets = []
        for _ in range(4):
            while True:
                alone.step()
                message = alone.sent[-1][1]
                if isinstance(message, Ping) and message.target != 3:
                    break
            targets.append(message.target)
            alone.detector.on_ack(0, message.target, Ack(message.sequence, message.target))
        assert sorted(targets) == [1, 2, 4, 5]


def test_a_dead_member_is_pinged_now_and_then_with_the_update_ahead() -> None:
    alone = Alone(2)
    alone.table.set_state(0, 1, MemberState.DEAD, 0, 0)
    alone.step()
    update, ping = (message for _, message in alone.sent)
    assert update == Update(1, MemberState.DEAD, 1, 0) and isinstance(ping, Ping)


# Suspicion


def test_a_suspicion_is_the_shorter_the_more_confirm_it() -> None:
    table = MemberTable(0, 10, SETTINGS, 0)
    spans = [table.suspicion_us(confirmations) for confirmations in range(5)]
    shortest = int(SETTINGS.suspicion_multiplier * table.log_size * SETTINGS.period_us)
    assert spans[0] == int(shortest * SETTINGS.max_suspicion_multiplier)
    assert spans == sorted(spans, reverse=True)
    assert spans[SETTINGS.confirmations] == spans[SETTINGS.confirmations + 1] == shortest
    assert MemberTable(0, 2, SETTINGS, 0).suspicion_us(0) > 0  # nobody is there to confirm it


def test_a_confirmation_counts_once_and_no_more_than_are_needed() -> None:
    table = MemberTable(0, 10, SETTINGS, 0)
    table.set_state(5, 1, MemberState.SUSPECT, 0, 2)
    before = table.suspicion_deadlines_us()
    assert not table.confirm_suspicion(1, 2) and table.suspicion_deadlines_us() == before
    assert [table.confirm_suspicion(1, by) for by in (3, 4, 5, 6)] == [True, True, True, False]
    assert table.suspicion_deadlines_us() < before
    (deadline_us,) = table.suspicion_deadlines_us()
    assert table.expired_suspects(deadline_us - 1) == [] and table.expired_suspects(deadline_us) == [1]


# Dissemination


def queue(*members: int) -> UpdateQueue:
    made = UpdateQueue(lambda member: Update(member, MemberState.SUSPECT, 2**40, 0))
    for member in members:
        made.enqueue(member)
    return made


def test_what_concerns_the_target_comes_first_then_what_was_sent_least() -> None:
    updates = queue(1, 2, 3)
    assert [u.member for u in updates.piggyback(2, 0, 9)] == [2, 1, 3]
    updates.enqueue(3)
    assert [u.member for u in updates.piggyback(9, 0, 9)] == [3, 1, 2]


def test_an_update_is_dropped_after_so_many_transmissions() -> None:
    updates = queue(1)
    assert [len(list(updates.piggyback(9, 0, 3))) for _ in range(5)] == [1, 1, 1, 0, 0]
    updates.enqueue(1)
    assert len(list(updates.piggyback(9, 0, 3))) == 1
    assert max_transmissions(3.0, 1.0) == 3 and max_transmissions(3.0, 1.1) == 4


def test_updates_fill_a_datagram_and_no_more() -> None:
    updates = queue(*range(100))
    first = list(updates.piggyback(999, encoded_size([]), 9))
    assert 0 < len(first) < 100 and encoded_size(first) <= DATAGRAM_LIMIT
    assert encoded_size([*first, first[0]]) > DATAGRAM_LIMIT
    assert not {u.member for u in first} & {u.member for u in updates.piggyback(999, encoded_size([]), 9)}
    assert not list(updates.piggyback(999, DATAGRAM_LIMIT, 9))


# The limit


def test_a_bucket_permits_a_burst_and_then_the_rate() -> None:
    bucket = TokenBucket(10.0, 3.0, 0)
    assert [bucket.take(0, 1) for _ in range(4)] == [True, True, True, False]
    assert not bucket.take(99_000, 1) and bucket.take(100_000, 1)
    assert not bucket.take(10_000_000, 4)  # all or none, and never above the burst
    assert bucket.take(10_000_000, 3)
