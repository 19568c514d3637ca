"""This gateway as a node among other gateways: its address, theirs, and what it may exchange with them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from sagetrack.config.platform import Address, Config, ConfigError, parse_address
from sagetrack.core.clock import now_us
from sagetrack.core.gateway import Gateway

if TYPE_CHECKING:
    from sagetrack.config.operator import Operator
    from sagetrack.peers.node import PeerNode

MIN_GATEWAYS = 2  # with fewer there is nobody to exchange messages with


@dataclass(slots=True, frozen=True)
class PeerAddresses:
    """Where the gateways of the fleet exchange messages."""

    own_number: int  # this gateway's, in `all_gateways`
    listen: Address
    all_gateways: list[Address]


def peer_addresses(config: Config, operator: Operator | None) -> PeerAddresses | None:
    """The addresses to exchange messages at; None where that is off.

    Raises:
        ConfigError: the operator asks for messages, and the addresses do not suffice.
    """
    settings = operator.peers if operator is not None else None
    use = settings.use if settings is not None else "platform"
    if use == "off":
        return None
    listen, gateways, own_number = config.peer_listen, list(config.peers), config.settings.gateway_index
    if settings is not None and use == "on":
        listen = parse_address(settings.listen, "peers.listen") if settings.listen else listen
        gateways = [parse_address(peer, "peers.addresses") for peer in settings.addresses] or gateways
        own_number = settings.me if settings.me is not None else own_number
        if listen is None or not gateways:
            raise ConfigError("peers.use = on needs peers.listen and peers.addresses")
        if own_number >= len(gateways):
            count = len(gateways)
            raise ConfigError(f"peers.me = {own_number} is not below the number of peers.addresses, {count}")
    elif not config.settings.may_message_peers or len(gateways) != config.settings.gateway_count:
        return None
    if listen is None or len(gateways) < MIN_GATEWAYS:
        return None
    return PeerAddresses(own_number, listen, gateways)


def build_peer_node(config: Config, operator: Operator | None, gateway: Gateway) -> PeerNode | None:
    """The node, not yet started; None where messages between gateways are off.

    Raises:
        ConfigError: the operator asks for messages, and the addresses do not suffice.
    """
    addresses = peer_addresses(config, operator)
    if addresses is None:
        return None
    from sagetrack.peers.node import PeerNode
    from sagetrack.peers.settings import MembershipSettings

    settings = MembershipSettings()
    warm_start = True
    if operator is not None:
        peers = operator.peers
        settings = MembershipSettings(period_us=peers.period_ms * 1000, timeout_us=peers.timeout_ms * 1000)
        warm_start = peers.warm_start
    return PeerNode(
        addresses.own_number,
        addresses.listen,
        addresses.all_gateways,
        settings,
        config.seed,
        lambda event: gateway.post(lambda: event),
        gateway.balancer.own_observations,
        gateway.server_start_times,
        warm_start,
        demand_source(gateway),
    )


def demand_source(gateway: Gateway) -> Callable[[], list[float]] | None:
    """What returns the tenants' demand here, for other gateways; None where fair queues are off."""
    admission = gateway.balancer.admission
    return None if admission is None else lambda: admission.local_demands(now_us())
