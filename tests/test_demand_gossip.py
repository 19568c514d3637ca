"""Demand by tenant in datagrams between gateways."""

from __future__ import annotations

from sagetrack.peers.codec import Datagram, decode, encode
from sagetrack.peers.demand_gossip import MAX_DEMANDS, DemandGossipSchedule, decode_demands, demand_message

SECOND = 1_000_000


def test_demands_fit_into_a_datagram_and_few_peers_are_told_at_a_time() -> None:
    message = demand_message([float(n) * 1e6 for n in range(1000)])
    assert message is not None and len(message.demands) == MAX_DEMANDS
    again = decode(encode(Datagram(1, 2, [message]))).messages[0]
    assert (
        again == message and decode_demands(message, 3) == (0.0, 0.0, 0.0) and demand_message([10.0]) is None
    )
    assert decode_demands(message, 1000)[999] == 999e6
    demand_schedule = DemandGossipSchedule(2, 500, 1, 0)
    told = demand_schedule.targets(SECOND)
    assert len(told) == 6 and 2 not in told and demand_schedule.targets(SECOND + 1) == []
