"""Observations in datagrams: rounding, bounds, and the check of the server's incarnation."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sagetrack.peers.codec import Datagram, LatencyEntry, WarmStartResponse, decode, encode
from sagetrack.peers.observation_codec import (
    AGE_UNIT_US,
    COOLDOWN_UNIT_US,
    MAX_AGE_UNITS,
    MAX_COOLDOWN_UNITS,
    MAX_WORK_UNITS,
    START_IDS,
    decode_latencies,
    decode_observations,
    encode_latency,
    encode_observation,
    start_id,
)
from sagetrack.policy.peer_observations import OPEN, ClassLatency, Observation
from tests.observations import NOW, STARTED


@given(
    st.integers(-10, 10**9),
    st.integers(-(10**9), 10**9),
    st.floats(0.0, 1.0),
    st.booleans(),
    st.integers(-5, 10**9),
)
def test_cooldowns_round_up_and_ages_and_work_round_down(
    age_us: int, cooldown_us: int, weight: float, overloaded: bool, work_us: int
) -> None:
    sent = Observation(7, STARTED, 1, NOW - age_us, OPEN, NOW + cooldown_us, weight, overloaded, work_us)
    entry = encode_observation(sent, NOW)
    assert decode(encode(Datagram(1, 1, [WarmStartResponse(1, 0, 1, [], [entry])]))).messages
    (received,) = decode_observations(1, [entry], {7: STARTED}, NOW)
    expected_us = min(max(0, cooldown_us), MAX_COOLDOWN_UNITS * COOLDOWN_UNIT_US)
    assert 0 <= received.open_until_us - NOW - expected_us < COOLDOWN_UNIT_US
    expected_us = min(max(0, age_us), MAX_AGE_UNITS * AGE_UNIT_US)
    assert 0 <= expected_us - (NOW - received.seen_us) < AGE_UNIT_US
    assert abs(received.weight - weight) <= 0.005 + 1e-9
    assert (received.state, received.overloaded, received.by) == (OPEN, overloaded, 1)
    assert (
        0 <= received.slow_start_used_us <= max(0, work_us)
        and received.slow_start_used_us <= MAX_WORK_UNITS * 1000
    )


def test_an_observation_of_an_unknown_incarnation_or_server_is_dropped() -> None:
    entry = encode_observation(Observation(7, STARTED, 1, NOW), NOW)
    assert not decode_observations(1, [entry], {7: STARTED + 1000}, NOW)
    assert not decode_observations(1, [entry], {8: STARTED}, NOW)
    assert decode_observations(1, [entry], {7: STARTED + 1}, NOW)  # start ids have a resolution of 1 ms
    assert start_id(STARTED) == start_id(STARTED + START_IDS * 1000) < START_IDS


def test_latencies_are_at_least_one_unit_and_bounded() -> None:
    assert encode_latency(ClassLatency(3, 0.0, 1e15)) == LatencyEntry(3, 1, 2**32 - 1)
    assert decode_latencies([encode_latency(ClassLatency(3, 20_049.0, 100.0))]) == (
        ClassLatency(3, 20_000.0, 100.0),
    )
