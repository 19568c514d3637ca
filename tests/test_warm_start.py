"""Warm start: split responses, repeated requests, the rate limit, and the benefit for restarted gateways."""

from __future__ import annotations

from pathlib import Path

import pytest

from sagetrack.lab.benchmarks.restart import play_seeds
from sagetrack.lab.model.scenario import load_scenario
from sagetrack.lab.virtual.simulation import simulate
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
def test_a_response_is_split_into_datagrams_that_are_decoded_independently(count: int) -> None:
    parts = divide_response(1, observations(count), [ClassLatency(0, 1000.0, 900.0)], NOW)
    assert len(parts) <= MAX_PARTS
    for part in parts:
        assert len(encode(Datagram(65_535, 2**40, [part]))) <= DATAGRAM_LIMIT
    start_times = {n: STARTED for n in range(1, count + 1)}
    decoded = [
        observation
        for part in parts
        for observation in decode_observations(1, part.servers, start_times, NOW)
    ]
    assert len(decoded) == min(count, len(decoded)) and (count > 300 or len(decoded) == count)
    assert all(
        abs(s.seen_us - (NOW - 1_000_000)) <= 10_000 and s.open_until_us >= NOW + 300_000 for s in decoded
    )


def test_parts_may_be_lost_duplicated_or_late() -> None:
    sent: list[tuple[int, WarmStartRequest]] = []
    warm_start_client = WarmStartClient([1, 2], 1, NOW, lambda peer, request: sent.append((peer, request)))
    warm_start_client.tick(NOW)
    assert {peer for peer, _ in sent} == {1, 2}
    start_times = {n: STARTED for n in range(1, 101)}
    peer, request = sent[0]
    parts = divide_response(request.request_id, observations(100), [], NOW)
    observed = [s for part in parts[:0:-1] for s in warm_start_client.handle(NOW, peer, part, start_times)]
    assert len(parts) > 2 and not warm_start_client.completed and observed
    warm_start_client.handle(NOW, peer, parts[1], start_times)  # duplicate
    # The request was not sent to this peer.
    assert not warm_start_client.handle(NOW, 3 - peer, parts[0], start_times)
    # The request id is unknown.
    assert not warm_start_client.handle(
        NOW, peer, WarmStartResponse(99, 0, 1, [], parts[0].servers), start_times
    )
    warm_start_client.handle(NOW + 5_000_000, peer, parts[0], start_times)
    assert warm_start_client.completed == {request.request_id} and warm_start_client.result.peers == 1
    now = NOW
    while not warm_start_client.is_finished:
        now = warm_start_client.due_us
        warm_start_client.tick(now)
    assert sum(p != peer for p, _ in sent) == MAX_ATTEMPTS


def test_responses_to_all_peers_share_one_rate_limit() -> None:
    warm_start_server = WarmStartServer(NOW)
    parts = [
        len(warm_start_server.respond(NOW, WarmStartRequest(n), observations(100), [])) for n in range(200)
    ]
    assert 0 < sum(parts) <= 120 and warm_start_server.rate_limited > 0
    assert warm_start_server.respond(NOW + 2_000_000, WarmStartRequest(1), observations(100), [])


def test_a_warm_start_recovers_most_of_the_service_that_a_restart_loses() -> None:
    """Compares the service of restarted gateways in their first 10 s, in virtual time and by paired seeds.

    The cases are no restart, a restart with warm start and one without it.
    """
    scenario = load_scenario(Path(__file__).parent.parent / "scenarios" / "warm-restart.toml")
    results = play_seeds(scenario, range(1, 5), simulate, 1, lambda share: None)
    loss_without = sum(result.service["never"] - result.service["without"] for result in results)
    loss_with = sum(result.service["never"] - result.service["with"] for result in results)
    assert not any(result.violations for result in results)
    assert loss_without > 0 and loss_with <= loss_without / 4
    assert "".join(simulate(scenario, 1).lines()) == "".join(simulate(scenario, 1).lines())
