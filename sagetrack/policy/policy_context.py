"""What the components of one load balancer share."""

from __future__ import annotations

from dataclasses import dataclass

from sagetrack.policy.event_context import EventContext
from sagetrack.policy.fleet_size import FleetSize
from sagetrack.policy.latency import LatencyEstimator
from sagetrack.policy.settings import Settings
from sagetrack.policy.timers import Timers


@dataclass(slots=True, frozen=True)
class PolicyContext:
    """Collaborators that most components need; a component keeps those that it uses.

    Attributes:
        settings: The settings of the load balancer.
        event: The event that is being handled: its time, its actions, the random generator.
        timers: Timers that are set, by what they are for.
        fleet: How many gateways and processes share the servers.
        latency: Latency estimates by request class.
    """

    settings: Settings
    event: EventContext
    timers: Timers
    fleet: FleetSize
    latency: LatencyEstimator
