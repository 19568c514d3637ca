"""A warm start: responses in parts, repeated requests, the limit, and what a restart gains by it."""

from __future__ import annotations

from pathlib import Path

import pytest

from sagetrack.lab.benchmarks.restart import play_seeds
from sagetrack.lab.model.scenario import load
from sagetrack.lab.virtual.simulation import play
from sagetrack.peers.codec import (
    DATAGRAM_LIMIT,
    Datagram,
    WarmStartRequest,
    WarmStartResponse,
    encode,
)
from sagetrack.peers.observation_codec import decode_observations
from sagetrack.peers.warm_start import (
    MAX_ATTEMPTS,
    MAX_PARTS,
    WarmStartClient,
    WarmStartServer,
    divide_response,
)
from sagetrack.policy.peer_observations import ClassLatency
from tests.observations import NOW, STARTED, observations


@pytest.mark.parametrize("count", [0, 5, 100, 5_000])
def test_an_answer_is_split_into_datagrams_that_stand_alone(count: int) -> None:
    parts = divide_response(1, observations(count), [ClassLatency(0, 1000.0, 900.0)], NOW)
    assert len(parts) <= MAX_PARTS
    for part in parts:
        assert len(encode(Datagram(65_535, 2**40, [part]))) <= DATAGRAM_LIMIT
    lives = {n: STARTED for n in range(1, count + 1)}
    found = [sight for part in parts for sight in decode_observations(1, part.servers, lives, NOW)]
    assert len(found) == min(count, len(found)) and (count > 300 or len(found) == count)
    assert all(
        abs(s.seen_us - (NOW - 1_000_000)) <= 10_000 and s.open_until_us >= NOW + 300_000 for s in found
    )


def test_parts_may_be_lost_doubled_and_late() -> None:
    asked: list[tuple[int, WarmStartRequest]] = []
    warm_start_client = WarmStartClient([1, 2], 1, NOW, lambda peer, ask: asked.append((peer, ask)))
    warm_start_client.tick(NOW)
    assert {peer for peer, _ in asked} == {1, 2}
    lives = {n: STARTED for n in range(1, 101)}
    peer, ask = asked[0]
    parts = divide_response(ask.request_id, observations(100), [], NOW)
    got = [s for part in parts[:0:-1] for s in warm_start_client.handle(NOW, peer, part, lives)]
    assert len(parts) > 2 and not warm_start_client.completed and got
    warm_start_client.handle(NOW, peer, parts[1], lives)  # doubled
    assert not warm_start_client.handle(NOW, 3 - peer, parts[0], lives)  # not asked of that peer
    assert not warm_start_client.handle(
        NOW, peer, WarmStartResponse(99, 0, 1, [], parts[0].servers), lives
    )  # nobody asked
    warm_start_client.handle(NOW + 5_000_000, peer, parts[0], lives)
    assert warm_start_client.completed == {ask.request_id} and warm_start_client.result.peers == 1
    now = NOW
    while not warm_start_client.is_finished:
        now = warm_start_client.due_us
        warm_start_client.tick(now)
    assert sum(p != peer for p, _ in asked) == MAX_ATTEMPTS


def test_answers_are_bounded_whoever_asks() -> None:
    warm_start_server = WarmStartServer(NOW)
    parts = [
        len(warm_start_server.respond(NOW, WarmStartRequest(n), observations(100), [])) for n in range(200)
    ]
    assert 0 < sum(parts) <= 120 and warm_start_server.rate_limited > 0
    assert warm_start_server.respond(NOW + 2_000_000, WarmStartRequest(1), observations(100), [])


def test_a_restart_with_help_loses_little_and_breaks_no_rule() -> None:
    """In virtual time: what restarted gateways serve in their first 10 s, by paired seeds."""
    scenario = load(Path(__file__).parent.parent / "scenarios" / "warm-restart.toml")
    made = play_seeds(scenario, range(1, 5), play, 1, lambda share: None)
    lost = sum(one.service["never"] - one.service["without"] for one in made)
    kept = sum(one.service["never"] - one.service["with"] for one in made)
    assert not any(one.violations for one in made)
    assert lost > 0 and kept <= lost / 4
    assert "".join(play(scenario, 1).lines()) == "".join(play(scenario, 1).lines())
