"""Demand by tenant in datagrams between gateways."""

from __future__ import annotations

from sagetrack.peers.codec import Datagram, decode, encode
from sagetrack.peers.demand_gossip import PLACES, Herald, demands_in, wanted

SECOND = 1_000_000


def test_demands_fit_into_a_datagram_and_few_peers_are_told_at_a_time() -> None:
    message = wanted([float(n) * 1e6 for n in range(1000)])
    assert message is not None and len(message.demands) == PLACES
    again = decode(encode(Datagram(1, 2, [message]))).messages[0]
    assert again == message and demands_in(message, 3) == (0.0, 0.0, 0.0) and wanted([10.0]) is None
    assert demands_in(message, 1000)[999] == 999e6
    herald = Herald(2, 500, 1, 0)
    told = herald.whom(SECOND)
    assert len(told) == 6 and 2 not in told and herald.whom(SECOND + 1) == []
