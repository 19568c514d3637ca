"""Peer nodes on real sockets: membership, warm start, and rejection of foreign datagrams."""

from __future__ import annotations

import asyncio

from sagetrack.peers.codec import (
    Datagram,
    Update,
    encode,
)
from sagetrack.peers.node import PeerNode
from sagetrack.peers.settings import MembershipSettings
from sagetrack.policy.peer_observations import Observation
from tests.observations import STARTED, observations
from tests.sockets import on_event_loop, wait_until


@on_event_loop
async def test_nodes_exchange_observations_and_reject_datagrams_of_non_members() -> None:
    loop = asyncio.get_running_loop()
    events: list[object] = []
    addresses = []
    for _ in range(2):
        probe, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, ("127.0.0.1", 0))
        addresses.append(probe.get_extra_info("sockname"))
        probe.close()
    await asyncio.sleep(0)
    start_times = {n: STARTED for n in range(1, 4)}

    def make_node(number: int, own_observations: list[Observation]) -> PeerNode:
        return PeerNode(
            number,
            addresses[number],
            addresses,
            MembershipSettings(period_us=20_000, timeout_us=10_000),
            number,
            events.append,
            lambda: (own_observations, []),
            lambda: start_times,
            use_warm_start=number == 0,
        )

    nodes = [make_node(0, []), make_node(1, observations(3))]
    for node in nodes:
        node.start()
    try:
        await wait_until(
            lambda: nodes[0].warm_start_client is not None
            and nodes[0].warm_start_client.result.observations == 3
        )
        non_member, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, ("127.0.0.1", 0))
        rejected_before = nodes[1].counts.rejected
        for data in (b"", b"nonsense", encode(Datagram(0, 9, [Update(1, 2, 2**40, 0)]))):
            non_member.sendto(data or b"x", addresses[1])
        await wait_until(lambda: nodes[1].counts.rejected == rejected_before + 3)
        non_member.close()
        assert nodes[1].membership.incarnation < 2**40
        nodes[1].close()
        await wait_until(lambda: nodes[0].membership.alive == 1)
        assert any("dead" in line for line in nodes[0].describe())
        assert nodes[0].metric_values()["peers_dead"] == 1
    finally:
        for node in nodes:
            node.close()
