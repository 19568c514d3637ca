"""Objects shared by the components of one load balancer."""

from __future__ import annotations

from sagetrack.policy.event_context import EventContext
from sagetrack.policy.fleet_size import FleetSize
from sagetrack.policy.latency import LatencyEstimator
from sagetrack.policy.settings import Settings
from sagetrack.policy.timers import Timers


class PolicyContext:
    """Bundles the objects that most components need; each component keeps references to those it uses."""

    __slots__ = ("event_context", "fleet", "latency", "settings", "timers")

    def __init__(
        self,
        settings: Settings,
        event_context: EventContext,
        timers: Timers,
        fleet: FleetSize,
        latency: LatencyEstimator,
    ) -> None:
        """Store references to the shared objects of one load balancer.

        Args:
            settings: The settings of the load balancer.
            event_context: The time and actions of the current event, and the random number generator.
            timers: Pending timers and their purposes.
            fleet: The numbers of gateways and processes that share the servers.
            latency: Latency estimates by request class.
        """
        self.settings = settings
        self.event_context = event_context
        self.timers = timers
        self.fleet = fleet
        self.latency = latency
