"""Requests of clients, and the attempts with which a client sends a request to gateways."""

from __future__ import annotations

from dataclasses import dataclass

from sagetrack.lab.model.scenario import RequestClass


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request of a client, with all its attempts."""

    id: str
    request_class: RequestClass
    class_index: int
    tenant: int
    zone: int
    key: int | None
    work_us: float
    created_us: int
    honors_retry_after: bool
    uses_keep_alive: bool  # whether it reuses a persistent connection
    client: int = 0  # number of the client within its tenant, from 1; 0: not identified
    attempt_count: int = 0

    @property
    def deadline_us(self) -> int:
        """Time after which a response is of no use to the client."""
        return self.created_us + int(self.request_class.deadline_ms * 1000)


@dataclass(slots=True, eq=False)
class ClientAttempt:
    """One attempt of a client's request, sent to a gateway."""

    call_id: str  # identifies the attempt in records, gateways and servers
    request: ClientRequest
    number: int  # within its request, from 1
    gateway: int
    budget_us: int  # timeout, counted from `sent_us`
    sent_us: int
    ended: bool = False  # the client has a response or has stopped waiting
    connection: object = None  # set and used by the driver

    @property
    def deadline_us(self) -> int:
        """Time at which the client stops waiting for this attempt."""
        return self.sent_us + self.budget_us
