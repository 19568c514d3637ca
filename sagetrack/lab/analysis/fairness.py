"""How evenly a run served members and clients: Jain's index over what each got of its max-min fair part."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from sagetrack.lab.analysis.records import Records, RequestClient, RequestFinished
from sagetrack.lab.model.scenario import Scenario
from sagetrack.policy.fair_queue import max_min_fair_shares

Work = dict[int, dict[int, float]]  # milliseconds of work by member and client


class Fairness(NamedTuple):
    """Jain's index over members, and over the clients of the member whose clients differ the most."""

    members: float
    clients: float


def jain_index(values: list[float]) -> float:
    """Jain's fairness index (Jain, Chiu, Hawe, 1984): 1 if all are equal, 1/n if one has all."""
    squares = sum(value * value for value in values)
    return min(1.0, sum(values) ** 2 / (len(values) * squares)) if squares else 1.0


def fairness_index(demand: list[float], served: list[float], weights: list[float]) -> float:
    """Jain's index of what each was served over its max-min fair part of what was served in all."""
    fair = max_min_fair_shares(demand, weights, sum(served))
    return jain_index([mine / part for mine, part in zip(served, fair, strict=True) if part > 0])


def fairness(records: Records, requests: Iterable[RequestFinished], scenario: Scenario) -> Fairness:
    """Fairness of these requests by their work: by share for members, even for the clients of a member.

    A member whose clients each come once, or that has one client, does not count for the clients' index.
    """
    demand, served = _work_by_client(records, requests, scenario)
    members = sorted(demand)
    members_index = fairness_index(
        [sum(demand[member].values()) for member in members],
        [sum(served[member].values()) for member in members],
        [scenario.tenants[member].share for member in members],
    )
    clients_index = 1.0
    for member in members:
        clients = [client for client in demand[member] if client]
        if len(clients) > 1 and not scenario.tenants[member].single_request:
            index = fairness_index(
                [demand[member][client] for client in clients],
                [served[member][client] for client in clients],
                [1.0] * len(clients),
            )
            clients_index = min(clients_index, index)
    return Fairness(members_index, clients_index)


def _work_by_client(
    records: Records, requests: Iterable[RequestFinished], scenario: Scenario
) -> tuple[Work, Work]:
    """The work that was requested, and the part of it that was served."""
    clients = {row.request: row.client for row in records.typed(RequestClient)}
    demand: Work = defaultdict(lambda: defaultdict(float))
    served: Work = defaultdict(lambda: defaultdict(float))
    for request in requests:
        client = clients.get(request.request, 0)
        work_ms = scenario.classes[request.class_index].work_ms
        demand[request.member][client] += work_ms
        served[request.member][client] += work_ms * (request.outcome in ("served", "late"))
    return demand, served
