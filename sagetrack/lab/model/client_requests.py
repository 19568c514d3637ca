"""Requests of clients, and the attempts in which a client sends one to gateways."""

from __future__ import annotations

from dataclasses import dataclass

from sagetrack.lab.model.scenario import RequestClass


@dataclass(slots=True, eq=False)
class ClientRequest:
    """What a client wants, over all its attempts."""

    id: str
    request_class: RequestClass
    class_index: int
    tenant: int
    zone: int
    key: int | None
    work_us: float
    created_us: int
    honors_retry_after: bool
    uses_keep_alive: bool  # sends on a kept connection
    client: int = 0  # within its member, from 1; 0: unidentified
    attempt_count: int = 0

    @property
    def deadline_us(self) -> int:
        """When the client has no more use for a response."""
        return self.created_us + int(self.request_class.deadline_ms * 1000)


@dataclass(slots=True, eq=False)
class ClientAttempt:
    """One request on the wire, from a client to a gateway."""

    call_id: str  # the identifier that records, gateways and servers see
    request: ClientRequest
    number: int  # from 1
    gateway: int
    budget_us: int  # from `sent_us` on
    sent_us: int
    ended: bool = False  # answered, or given up
    connection: object = None  # the driver's

    @property
    def deadline_us(self) -> int:
        """When the client's budget for this attempt ends."""
        return self.sent_us + self.budget_us
