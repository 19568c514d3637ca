"""Demand gossip: encoding of tenant demand and selection of the peers that receive it."""

from __future__ import annotations

from sagetrack.peers.codec import Datagram, decode, encode
from sagetrack.peers.demand_gossip import MAX_DEMANDS, DemandGossipSchedule, decode_demands, demand_message

SECOND = 1_000_000


def test_demands_fit_into_a_datagram_and_each_transmission_goes_to_six_peers() -> None:
    message = demand_message([float(n) * 1e6 for n in range(1000)])
    assert message is not None and len(message.demands) == MAX_DEMANDS
    decoded = decode(encode(Datagram(1, 2, [message]))).messages[0]
    assert (
        decoded == message
        and decode_demands(message, 3) == (0.0, 0.0, 0.0)
        and demand_message([10.0]) is None
    )
    assert decode_demands(message, 1000)[999] == 999e6
    demand_schedule = DemandGossipSchedule(2, 500, 1, 0)
    targets = demand_schedule.targets(SECOND)
    assert len(targets) == 6 and 2 not in targets and demand_schedule.targets(SECOND + 1) == []
