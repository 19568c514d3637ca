"""What gateways tell each other: the codec, who lives, what is believed, what is handed on."""

from __future__ import annotations

import asyncio
import contextlib
import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sagetrack.lab.membership import Fleet, death, partition
from sagetrack.lab.restart import pairs
from sagetrack.lab.scenario import load
from sagetrack.lab.virtual import play
from sagetrack.peers import handover
from sagetrack.peers.codec import LIMIT, Ask, CodecError, Datagram, Ping, Tell, Update, decode, encode
from sagetrack.peers.membership import Membership, Settings
from sagetrack.peers.membership import State as Life
from sagetrack.peers.node import Node
from sagetrack.peers.warm_start import MOST_PARTS, TRIES, Asker, Teller, sights_from, split
from sagetrack.policy.circuit_breaker import FIRST_COOLDOWN_US, State
from sagetrack.policy.fleet_size import sharing_gateways
from sagetrack.policy.interface import (
    FleetSizeChanged,
    ListedServer,
    ListKind,
    ObservationsReceived,
    Outcome,
    ServerStatus,
)
from sagetrack.policy.peer_observations import CLOSED, OPEN, ClassLatency, Observation, advise, join, trust
from sagetrack.policy.slow_start import BUDGET_MARGIN
from tests.helpers import START_US, Driver, sends
from tests.sockets import on_loop, until

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


# The codec


@given(st.binary(max_size=300))
def test_no_bytes_break_the_codec(data: bytes) -> None:
    with contextlib.suppress(CodecError):
        assert encode(decode(data)) == data


def test_a_datagram_with_one_bit_wrong_is_rejected() -> None:
    data = encode(Datagram(1, 7, [Ping(5, 2), Update(3, 1, 9, 1)]))
    assert decode(data).messages == [Ping(5, 2), Update(3, 1, 9, 1)]
    for bit in range(8 * len(data)):
        wrong = bytearray(data)
        wrong[bit // 8] ^= 1 << bit % 8
        with pytest.raises(CodecError):
            decode(bytes(wrong))


# Knowledge


@given(st.lists(SIGHTS, max_size=8), st.lists(SIGHTS, max_size=8), st.lists(SIGHTS, max_size=8))
def test_knowledge_merges_in_any_order_and_however_often(
    a: list[Observation], b: list[Observation], c: list[Observation]
) -> None:
    assert join(a, b) == join(b, a)
    assert join(join(a, b).values(), c) == join(a, join(b, c).values())
    assert join(a, a, b, a) == join(a, b)


@given(st.lists(SIGHTS, max_size=40))
def test_hearsay_takes_a_bounded_part_out_of_use(sights: list[Observation]) -> None:
    lives = {1: 0, 2: 0, 3: 5_000_000, 9: 0}
    for most in range(4):
        advice = advise(sights, lives, NOW, most)
        assert sum(a.open_us >= 0 for a in advice) <= most
    assert {a.server for a in advice} <= {1, 2, 3}


def test_older_word_weighs_less_and_one_voice_of_three_opens_nothing() -> None:
    assert trust(0) == 1.0 > trust(5_000_000) > trust(20_000_000) > trust(60_000_000) == 0.0
    lives = dict.fromkeys(range(1, 7), 0)
    bad = Observation(1, 0, 0, NOW, OPEN, NOW + 500_000, 0.05)
    good = [Observation(1, 0, by, NOW, CLOSED, 0, 1.0) for by in (1, 2)]
    (alone,) = advise([bad], lives, NOW, 2)
    (outvoted,) = advise([bad, *good], lives, NOW, 2)
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


# Shares


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
    assert driver.balancer.fleet.gateways == driver.balancer.settings.proxies


# Who lives


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_a_death_is_known_to_all_and_nobody_else_is_taken_for_dead(loss: float) -> None:
    made = death(8, 1, loss, 40.0)
    assert made.missed == 0 and made.false_deaths == 0 and made.p99_s < 20.0


def test_what_one_member_sends_does_not_grow_with_the_fleet() -> None:
    small, large = death(4, 1, 0.0, 20.0), death(60, 1, 0.0, 20.0)
    assert large.most_per_s < 1.5 * small.most_per_s + 1.0


def test_a_partition_heals() -> None:
    assert 0 <= partition(8, 1, 0.05).healed_s < 30


def test_who_comes_back_overrules_word_of_its_death() -> None:
    fleet = Fleet(5, 1, 0.0, Settings())
    fleet.run(3_000_000)
    fleet.dead = {4}
    fleet.run(30_000_000)
    assert all(fleet.members[n].peers[4].state is Life.DEAD for n in range(4))
    fleet.start(4, 31)
    fleet.run(40_000_000)
    assert fleet.views_equal()


def test_addresses_that_are_dead_for_good_cost_little() -> None:
    fleet = Fleet(10, 1, 0.0, Settings())
    fleet.dead = set(range(1, 10))
    fleet.run(60_000_000)
    member = fleet.members[0]
    assert member.alive == 1 and member.counts.sent < 60 * 6
    before = member.counts.sent
    fleet.run(120_000_000)
    assert member.counts.sent - before <= 60


@settings(max_examples=50)
@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(0, 2), st.integers(0, 3)), max_size=12), st.randoms()
)
def test_updates_come_to_the_same_view_in_any_order(
    updates: list[tuple[int, int, int]], shuffle: random.Random
) -> None:
    views = []
    for _ in range(2):
        member = Membership(9, 10, Settings(), 1, 0, lambda target, datagram: None)
        for of, state, incarnation in updates:
            member.hear(0, Update(of, state, incarnation, 5))
        views.append({number: peer.rank for number, peer in member.peers.items()})
        shuffle.shuffle(updates)
    assert views[0] == views[1]


def test_word_of_our_own_death_is_refuted() -> None:
    sent: list[Datagram] = []
    member = Membership(0, 3, Settings(), 1, 0, lambda target, datagram: sent.append(datagram), 5)
    member.handle(0, Datagram(1, 1, [Update(0, 2, 5, 1), Ping(1, 0)]))
    assert member.incarnation == 6
    assert sent[0].incarnation == 6 and Update(0, 0, 6, 0) in sent[0].messages


# A warm start


def facts(count: int) -> list[Observation]:
    return [
        Observation(n, NOW - 5_000_000, 1, NOW - 1_000_000, n % 3, NOW + 300_000, 0.5)
        for n in range(1, count + 1)
    ]


@pytest.mark.parametrize("count", [0, 5, 100, 5_000])
def test_an_answer_is_split_into_datagrams_that_stand_alone(count: int) -> None:
    parts = split(1, facts(count), [ClassLatency(0, 1000.0, 900.0)], NOW)
    assert len(parts) <= MOST_PARTS
    for part in parts:
        assert len(encode(Datagram(65_535, 2**40, [part]))) <= LIMIT
    lives = {n: NOW - 5_000_000 for n in range(1, count + 1)}
    found = [sight for part in parts for sight in sights_from(1, part.servers, lives, NOW)]
    assert len(found) == min(count, len(found)) and (count > 300 or len(found) == count)
    assert all(
        abs(s.seen_us - (NOW - 1_000_000)) <= 10_000 and s.open_until_us >= NOW + 300_000 for s in found
    )


def test_parts_may_be_lost_doubled_and_late() -> None:
    asked: list[tuple[int, Ask]] = []
    asker = Asker(0, [1, 2], 1, NOW, lambda peer, ask: asked.append((peer, ask)))
    asker.tick(NOW)
    assert {peer for peer, _ in asked} == {1, 2}
    lives = {n: NOW - 5_000_000 for n in range(1, 101)}
    peer, ask = asked[0]
    parts = split(ask.number, facts(100), [], NOW)
    got = [s for part in parts[:0:-1] for s in asker.handle(NOW, peer, part, lives)]
    assert len(parts) > 2 and not asker.whole and got
    asker.handle(NOW, peer, parts[1], lives)  # doubled
    assert not asker.handle(NOW, 3 - peer, parts[0], lives)  # not asked of that peer
    assert not asker.handle(NOW, peer, Tell(99, 0, 1, [], parts[0].servers), lives)  # nobody asked
    asker.handle(NOW + 5_000_000, peer, parts[0], lives)
    assert asker.whole == {ask.number} and asker.taken.peers == 1
    now = NOW
    while not asker.is_over:
        now = asker.due_us
        asker.tick(now)
    assert sum(p != peer for p, _ in asked) == TRIES


def test_answers_are_bounded_whoever_asks() -> None:
    teller = Teller(NOW)
    parts = [len(teller.answer(NOW, Ask(n), facts(100), [])) for n in range(200)]
    assert 0 < sum(parts) <= 120 and teller.held_back > 0
    assert teller.answer(NOW + 2_000_000, Ask(1), facts(100), [])


# The note for a successor


def test_a_note_that_is_torn_stale_or_foreign_is_passed_over(tmp_path: Path) -> None:
    sights, latencies = facts(9), [ClassLatency(1, 5.0, 4.0)]
    assert handover.write(tmp_path, "g1", NOW, sights, latencies)
    note = handover.read(tmp_path, "g1", NOW + 1)
    assert note is not None and note.sights == sights and note.latencies == latencies
    assert handover.read(tmp_path, "g2", NOW + 1) is None
    assert handover.read(tmp_path, "g1", NOW + handover.STALE_US + 1) is None
    assert handover.read(tmp_path, "g1", NOW - 1) is None
    data = (tmp_path / handover.FILE).read_bytes()
    for cut in range(len(data)):
        assert handover.parse(data[:cut], "g1", NOW) is None
        wrong = data[:cut] + bytes([data[cut] ^ 0x40]) + data[cut + 1 :]
        assert handover.parse(wrong, "g1", NOW) is None
    assert [path.name for path in tmp_path.iterdir()] == [handover.FILE]
    assert not handover.write(tmp_path / "none", "g1", NOW, sights, latencies)


# On sockets


@on_loop
async def test_nodes_find_each_other_learn_and_reject_strangers() -> None:
    loop = asyncio.get_running_loop()
    learned: list[object] = []
    addresses = []
    for _ in range(2):
        probe, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, ("127.0.0.1", 0))
        addresses.append(probe.get_extra_info("sockname"))
        probe.close()
    await asyncio.sleep(0)
    lives = {n: NOW - 5_000_000 for n in range(1, 4)}

    def node(me: int, sights: list[Observation]) -> Node:
        return Node(
            me,
            addresses[me],
            addresses,
            Settings(period_us=20_000, timeout_us=10_000),
            me,
            learned.append,
            lambda: (sights, []),
            lambda: lives,
            warm=me == 0,
        )

    nodes = [node(0, []), node(1, facts(3))]
    for each in nodes:
        each.start()
    try:
        await until(lambda: nodes[0].asker is not None and nodes[0].asker.taken.sights == 3)
        stranger, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, ("127.0.0.1", 0))
        before = nodes[1].counts.rejected
        for data in (b"", b"nonsense", encode(Datagram(0, 9, [Update(1, 2, 2**40, 0)]))):
            stranger.sendto(data or b"x", addresses[1])
        await until(lambda: nodes[1].counts.rejected == before + 3)
        stranger.close()
        assert nodes[1].machine.incarnation < 2**40
        nodes[1].close()
        await until(lambda: nodes[0].machine.alive == 1)
        assert any("dead" in line for line in nodes[0].describe())
        assert nodes[0].figures()["peers_dead"] == 1
    finally:
        for each in nodes:
            each.close()


def test_a_restart_with_help_loses_little_and_breaks_no_rule() -> None:
    """In virtual time: what restarted gateways serve in their first 10 s, by paired seeds."""
    scenario = load(Path(__file__).parent.parent / "scenarios" / "warm-restart.toml")
    made = pairs(scenario, range(1, 5), play, 1, lambda share: None)
    lost = sum(one.service["never"] - one.service["without"] for one in made)
    kept = sum(one.service["never"] - one.service["with"] for one in made)
    assert not any(one.broken for one in made)
    assert lost > 0 and kept <= lost / 4
    assert "".join(play(scenario, 1).lines()) == "".join(play(scenario, 1).lines())
