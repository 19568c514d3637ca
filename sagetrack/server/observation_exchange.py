"""Exchange of server health with other gateways, and with sibling processes during a hot restart."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sagetrack.config.platform import Config
from sagetrack.core.gateway import Gateway
from sagetrack.http1.listener import HttpListener
from sagetrack.server.health_handover import HealthHandover
from sagetrack.server.hot_restart import HotRestart
from sagetrack.server.peer_node import build_peer_node

if TYPE_CHECKING:
    from sagetrack.config.operator import Operator
    from sagetrack.peers.node import PeerNode


class ObservationExchange:
    """The peer node and the handover to a successor process; each is None if it is disabled."""

    def __init__(self, config: Config, operator: Operator | None, gateway: Gateway) -> None:
        """Store the arguments; the exchange begins with `start`.

        Args:
            config: The platform's configuration.
            operator: The operator's file, which may enable or disable messages between gateways.
            gateway: Provides observations and receives those of others.
        """
        self.config = config
        self.operator = operator
        self.gateway = gateway
        self.peer_node: PeerNode | None = None
        self.health_handover: HealthHandover | None = None

    def start(self, http: HttpListener, hot_restart: HotRestart) -> None:
        """Start to exchange observations; requires a running event loop.

        Args:
            http: Reports the state of the peers through the admin interface.
            hot_restart: The other processes of this gateway.

        Raises:
            ConfigError: The operator enables messages between gateways, but addresses are missing.
        """
        self.peer_node = build_peer_node(self.config, self.operator, self.gateway)
        if self.peer_node is not None:
            self.gateway.metrics.metric_sources.append(self.peer_node.metric_values)
            http.describe_peers = self.peer_node.describe
            self.peer_node.start()
        if hot_restart.folder is not None:
            self.health_handover = HealthHandover(hot_restart, self.config, self.gateway)

    def close(self) -> None:
        """Stop the exchange and release the address for a successor process."""
        if self.peer_node is not None:
            self.peer_node.close()
        if self.health_handover is not None:
            self.health_handover.close()
