"""Creates the node that exchanges messages with other gateways, from the configured addresses."""

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

MIN_GATEWAYS = 2  # including this one; with fewer there are no peers


@dataclass(slots=True, frozen=True)
class PeerAddresses:
    """The addresses at which the gateways of a fleet exchange messages."""

    own_number: int  # the index of this gateway in `all_gateways`
    listen: Address
    all_gateways: list[Address]


def peer_addresses(config: Config, operator: Operator | None) -> PeerAddresses | None:
    """Return the addresses for messages between gateways, or None if these are disabled.

    Raises:
        ConfigError: The operator enables messages between gateways, but addresses are missing or invalid.
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
    """Create the node without starting it, or return None if messages between gateways are disabled.

    Raises:
        ConfigError: The operator enables messages between gateways, but addresses are missing or invalid.
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
    """Return a function that returns the local demand of each tenant, or None without fair queues."""
    admission = gateway.balancer.admission
    return None if admission is None else lambda: admission.local_demands(now_us())
