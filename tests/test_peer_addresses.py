"""Selection of the peer addresses from the platform's configuration and the operator's file."""

from __future__ import annotations

from typing import Any

import pytest

from sagetrack.config.operator import Operator, PeerSettings
from sagetrack.config.platform import Config, ConfigError, parse
from sagetrack.server.peer_node import PeerAddresses, peer_addresses
from tests.sockets import configuration

FIRST, SECOND = ("127.0.0.1", 7001), ("127.0.0.1", 7002)


def config(
    may_message_peers: bool = True, peers: tuple[str, ...] = ("127.0.0.1:7001", "127.0.0.1:7002")
) -> Config:
    raw = configuration("127.0.0.1:1", peers=may_message_peers)
    raw["settings"] |= {"balancers": 2, "index": 1}
    return parse(raw | {"peer_listen": "127.0.0.1:7002", "peers": list(peers)})


def operator(**settings: Any) -> Operator:
    return Operator(peers=PeerSettings(**settings))


def test_the_platforms_addresses_are_used_if_it_allows_peer_messages() -> None:
    expected = PeerAddresses(1, SECOND, [FIRST, SECOND])
    assert peer_addresses(config(), None) == expected
    assert peer_addresses(config(), operator()) == expected
    assert peer_addresses(config(may_message_peers=False), None) is None
    assert peer_addresses(config(peers=("127.0.0.1:7001",)), None) is None  # fewer addresses than gateways


def test_the_operator_can_disable_peer_messages() -> None:
    assert peer_addresses(config(), operator(use="off")) is None


def test_the_operators_addresses_take_precedence() -> None:
    found = peer_addresses(
        config(may_message_peers=False),
        operator(use="on", listen="127.0.0.1:7003", addresses=["127.0.0.1:7003", "127.0.0.1:7001"], me=0),
    )
    assert found == PeerAddresses(0, ("127.0.0.1", 7003), [("127.0.0.1", 7003), FIRST])
    # The only address is the gateway's own.
    assert peer_addresses(config(), operator(use="on", addresses=["127.0.0.1:7002"], me=0)) is None


def test_missing_addresses_are_an_error_if_the_operator_enables_peer_messages() -> None:
    without_peers = parse(configuration("127.0.0.1:1"))
    with pytest.raises(ConfigError, match="needs peers.listen and peers.addresses"):
        peer_addresses(without_peers, operator(use="on"))
    with pytest.raises(ConfigError, match="peers.me = 2 is not below the number of peers.addresses, 2"):
        peer_addresses(config(), operator(use="on", me=2))
