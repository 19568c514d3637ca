"""The exchange of server health with other gateways, and with the sibling process of a hot restart."""

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
    """The peer node and the handover to a sibling process; each is None where it is off."""

    def __init__(self, config: Config, operator: Operator | None, gateway: Gateway) -> None:
        """Nothing is exchanged before `start`.

        Args:
            config: the platform's configuration.
            operator: the operator's file, which may switch messages between gateways on or off.
            gateway: where observations are from, and where received ones go.
        """
        self.config = config
        self.operator = operator
        self.gateway = gateway
        self.peer_node: PeerNode | None = None
        self.health_handover: HealthHandover | None = None

    def start(self, http: HttpListener, hot_restart: HotRestart) -> None:
        """Begin to exchange observations; made on a running loop.

        Args:
            http: shows the state of the peers at its admin address.
            hot_restart: the processes of this gateway.

        Raises:
            ConfigError: the operator asks for messages between gateways, and the addresses do not suffice.
        """
        self.peer_node = build_peer_node(self.config, self.operator, self.gateway)
        if self.peer_node is not None:
            self.gateway.metrics.extra_figures.append(self.peer_node.metric_values)
            http.describe_peers = self.peer_node.describe
            self.peer_node.start()
        if hot_restart.folder is not None:
            self.health_handover = HealthHandover(hot_restart, self.config, self.gateway)

    def close(self) -> None:
        """Exchange no more observations, and free the address for a successor."""
        if self.peer_node is not None:
            self.peer_node.close()
        if self.health_handover is not None:
            self.health_handover.close()
