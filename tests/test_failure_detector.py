"""Parts of membership, each alone: failure detector, local health, suspicion, dissemination, rate limit."""

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


class DetectorHarness:
    """A failure detector of member 0; records the messages that it sends and the members that it reports."""

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
        self.sent += [(target, sent) for sent in (first, message) if sent is not None]

    def step(self) -> int:
        """Advance to the next due time and run the detector."""
        now_us = self.detector.next_us()
        self.detector.tick(now_us)
        return now_us

    def begin_probe(self) -> tuple[int, int]:
        """Begin a period; return the target and the sequence number of its ping."""
        self.step()
        target, ping = self.sent[-1]
        assert isinstance(ping, Ping) and ping.target == target
        return target, ping.sequence


def test_a_probe_pings_twice_then_requests_indirect_pings_then_reports_the_target() -> None:
    harness = DetectorHarness()
    target, sequence = harness.begin_probe()
    harness.step()
    assert harness.sent[1:] == [(target, Ping(sequence, target))] and not harness.unanswered
    harness.step()
    requests = harness.sent[2:]
    assert len(requests) == SETTINGS.indirect_pings == len({helper for helper, _ in requests})
    assert all(request == PingRequest(sequence, target) for _, request in requests)
    assert target not in {helper for helper, _ in requests} and not harness.unanswered
    harness.step()
    assert harness.unanswered == [target]


def test_only_the_matching_acknowledgement_ends_a_probe() -> None:
    harness = DetectorHarness()
    target, sequence = harness.begin_probe()
    harness.detector.on_ack(0, target, Ack(sequence, target % 4 + 1))  # wrong target
    harness.detector.on_ack(0, target, Ack(sequence + 1, target))  # wrong sequence number
    harness.detector.on_ack(0, target, Ack(sequence, target))
    following = harness.begin_probe()
    assert following[0] != target and following[1] == sequence + 1 and not harness.unanswered


@pytest.mark.parametrize(("nacks", "factor"), [(3, 1), (2, 2), (0, 2)])
def test_local_health_worsens_only_if_a_helper_sends_no_nack(nacks: int, factor: int) -> None:
    harness = DetectorHarness()
    target, sequence = harness.begin_probe()
    harness.step()
    harness.step()
    helpers = [member for member, message in harness.sent if isinstance(message, PingRequest)]
    for helper in helpers[:nacks]:
        harness.detector.on_nack(helper, Nack(sequence, target))
    harness.step()
    assert harness.unanswered == [target] and harness.detector.health.scale(10) == 10 * factor


def test_local_health_is_bounded_on_both_sides() -> None:
    health = LocalHealth()
    health.improve()
    assert health.scale(10) == 10
    for _ in range(MAX_LOCAL_HEALTH + 5):
        health.worsen()
    assert health.scale(10) == 10 * (MAX_LOCAL_HEALTH + 1)
    health.improve()
    assert health.scale(10) == 10 * MAX_LOCAL_HEALTH


def test_the_acknowledgement_of_an_indirect_ping_is_forwarded_to_the_requester_once() -> None:
    harness = DetectorHarness()
    harness.detector.on_ping_request(0, 1, PingRequest(77, 2))
    ((target, ping),) = harness.sent
    assert target == 2 and isinstance(ping, Ping)
    harness.detector.on_ack(1, 2, Ack(ping.sequence, 2))
    assert harness.sent[1:] == [(1, Ack(77, 2))]
    harness.detector.on_ack(2, 2, Ack(ping.sequence, 2))  # duplicate
    assert len(harness.sent) == 2


def test_an_unacknowledged_indirect_ping_is_nacked_once() -> None:
    harness = DetectorHarness()
    harness.detector.on_ping_request(0, 1, PingRequest(77, 2))
    for now_us in (SETTINGS.timeout_us - 1, SETTINGS.timeout_us, SETTINGS.timeout_us + SETTINGS.period_us):
        harness.detector.tick(now_us)
    assert [sent for sent in harness.sent if isinstance(sent[1], Nack)] == [(1, Nack(77, 2))]


def test_requests_for_indirect_pings_are_limited_and_validated() -> None:
    harness = DetectorHarness()
    for target in (0, 1, 9):  # this member, the requester, an unknown member
        harness.detector.on_ping_request(0, 1, PingRequest(1, target))
    assert not harness.sent
    for sequence in range(MAX_RELAYED_PINGS + 9):
        harness.detector.on_ping_request(0, 1, PingRequest(sequence, 2))
    assert len(harness.sent) == MAX_RELAYED_PINGS


def test_each_round_pings_every_member_that_is_not_dead_once() -> None:
    harness = DetectorHarness(6)
    harness.table.set_state(0, 3, MemberState.DEAD, 0, 0)
    for _ in range(3):
        targets = []
        for _ in range(4):
            while True:
                harness.step()
                message = harness.sent[-1][1]
                if isinstance(message, Ping) and message.target != 3:
                    break
            targets.append(message.target)
            harness.detector.on_ack(0, message.target, Ack(message.sequence, message.target))
        assert sorted(targets) == [1, 2, 4, 5]


def test_the_ping_of_a_dead_member_is_preceded_by_the_update_of_its_death() -> None:
    harness = DetectorHarness(2)
    harness.table.set_state(0, 1, MemberState.DEAD, 0, 0)
    harness.step()
    update, ping = (message for _, message in harness.sent)
    assert update == Update(1, MemberState.DEAD, 1, 0) and isinstance(ping, Ping)


# Suspicion


def test_each_confirmation_shortens_a_suspicion() -> None:
    table = MemberTable(0, 10, SETTINGS, 0)
    durations = [table.suspicion_us(confirmations) for confirmations in range(5)]
    shortest = int(SETTINGS.suspicion_multiplier * table.log_size * SETTINGS.period_us)
    assert durations[0] == int(shortest * SETTINGS.max_suspicion_multiplier)
    assert durations == sorted(durations, reverse=True)
    assert durations[SETTINGS.confirmations] == durations[SETTINGS.confirmations + 1] == shortest
    assert MemberTable(0, 2, SETTINGS, 0).suspicion_us(0) > 0  # no other member can confirm it


def test_a_confirmation_counts_once_and_confirmations_are_limited() -> None:
    table = MemberTable(0, 10, SETTINGS, 0)
    table.set_state(5, 1, MemberState.SUSPECT, 0, 2)
    previous = table.suspicion_deadlines_us()
    assert not table.confirm_suspicion(1, 2) and table.suspicion_deadlines_us() == previous
    assert [table.confirm_suspicion(1, reporter) for reporter in (3, 4, 5, 6)] == [True, True, True, False]
    assert table.suspicion_deadlines_us() < previous
    (deadline_us,) = table.suspicion_deadlines_us()
    assert table.expired_suspects(deadline_us - 1) == [] and table.expired_suspects(deadline_us) == [1]


# Dissemination


def queue_updates(*members: int) -> UpdateQueue:
    updates = UpdateQueue(lambda member: Update(member, MemberState.SUSPECT, 2**40, 0))
    for member in members:
        updates.enqueue(member)
    return updates


def test_updates_about_the_target_come_first_then_the_least_transmitted() -> None:
    updates = queue_updates(1, 2, 3)
    assert [update.member for update in updates.piggyback(2, 0, 9)] == [2, 1, 3]
    updates.enqueue(3)
    assert [update.member for update in updates.piggyback(9, 0, 9)] == [3, 1, 2]


def test_an_update_is_dropped_after_the_maximum_of_transmissions() -> None:
    updates = queue_updates(1)
    assert [len(list(updates.piggyback(9, 0, 3))) for _ in range(5)] == [1, 1, 1, 0, 0]
    updates.enqueue(1)
    assert len(list(updates.piggyback(9, 0, 3))) == 1
    assert max_transmissions(3.0, 1.0) == 3 and max_transmissions(3.0, 1.1) == 4


def test_piggybacked_updates_fill_a_datagram_without_exceeding_its_limit() -> None:
    updates = queue_updates(*range(100))
    first = list(updates.piggyback(999, encoded_size([]), 9))
    assert 0 < len(first) < 100 and encoded_size(first) <= DATAGRAM_LIMIT
    assert encoded_size([*first, first[0]]) > DATAGRAM_LIMIT
    assert not {update.member for update in first} & {
        update.member for update in updates.piggyback(999, encoded_size([]), 9)
    }
    assert not list(updates.piggyback(999, DATAGRAM_LIMIT, 9))


# Rate limit


def test_a_bucket_permits_a_burst_and_then_the_rate() -> None:
    bucket = TokenBucket(10.0, 3.0, 0)
    assert [bucket.take(0, 1) for _ in range(4)] == [True, True, True, False]
    assert not bucket.take(99_000, 1) and bucket.take(100_000, 1)
    assert not bucket.take(10_000_000, 4)  # all or none; the bucket never holds more than the burst
    assert bucket.take(10_000_000, 3)
