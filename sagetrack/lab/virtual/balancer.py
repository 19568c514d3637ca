"""The interface of a decision module to a virtual gateway, so that faulty ones can replace it."""

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
        """The servers of the endpoint list by number."""
        ...

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event and return the actions to carry out, in order."""
        ...

    def own_observations(self) -> tuple[list[Observation], list[ClassLatency]]:
        """Return this gateway's own observations of servers, and its latencies by class."""
        ...
