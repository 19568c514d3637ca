"""What a virtual gateway needs of its decision module, so that faulty ones can take its place."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from sagetrack.policy.actions import Action
from sagetrack.policy.admission import AdmissionController
from sagetrack.policy.events import Event
from sagetrack.policy.peer_observations import ClassLatency, Observation
from sagetrack.policy.state import Request, Server


class Balancer(Protocol):
    """A `LoadBalancer`, or a proxy that alters its events and actions."""

    @property
    def admission(self) -> AdmissionController[Request] | None:
        """The admission control, if the settings have any."""
        ...

    @property
    def servers(self) -> Mapping[int, Server]:
        """The listed servers by number."""
        ...

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event; returns what to do, in order."""
        ...

    def own_observations(self) -> tuple[list[Observation], list[ClassLatency]]:
        """What this gateway itself has seen of servers and classes."""
        ...
