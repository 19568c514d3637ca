"""What the components of one load balancer share."""

from __future__ import annotations

from sagetrack.policy.event_context import EventContext
from sagetrack.policy.fleet_size import FleetSize
from sagetrack.policy.latency import LatencyEstimator
from sagetrack.policy.settings import Settings
from sagetrack.policy.timers import Timers


class PolicyContext:
    """Collaborators that most components need; a component keeps those that it uses."""

    __slots__ = ("event", "fleet", "latency", "settings", "timers")

    def __init__(
        self,
        settings: Settings,
        event: EventContext,
        timers: Timers,
        fleet: FleetSize,
        latency: LatencyEstimator,
    ) -> None:
        """Hold the collaborators of one load balancer.

        Args:
            settings: The settings of the load balancer.
            event: The event that is being handled: its time, its actions, the random generator.
            timers: Timers that are set, by what they are for.
            fleet: How many gateways and processes share the servers.
            latency: Latency estimates by request class.
        """
        self.settings = settings
        self.event = event
        self.timers = timers
        self.fleet = fleet
        self.latency = latency
