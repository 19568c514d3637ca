"""Fairness of a run to members and clients: Jain's index over the served part of each max-min fair share."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from sagetrack.lab.analysis.records import Records, RequestClient, RequestFinished
from sagetrack.lab.model.scenario import Scenario
from sagetrack.policy.fair_queue import max_min_fair_shares

WorkByClient = dict[int, dict[int, float]]  # milliseconds of work by member and client


class Fairness(NamedTuple):
    """Jain's index over the members, and the lowest index over the clients of any one member."""

    members: float
    clients: float


def jain_index(values: list[float]) -> float:
    """Return Jain's fairness index (Jain, Chiu, Hawe, 1984): 1 if all are equal, 1/n if one has all."""
    squares = sum(value * value for value in values)
    return min(1.0, sum(values) ** 2 / (len(values) * squares)) if squares else 1.0


def fairness_index(demand: list[float], served: list[float], weights: list[float]) -> float:
    """Return Jain's index of the ratios of served work to the max-min fair share of all served work."""
    fair_shares = max_min_fair_shares(demand, weights, sum(served))
    return jain_index([work / share for work, share in zip(served, fair_shares, strict=True) if share > 0])


def compute_fairness(records: Records, requests: Iterable[RequestFinished], scenario: Scenario) -> Fairness:
    """Return the fairness of the work served for these requests.

    Members are weighted by their configured shares; the clients of a member have equal weights. A member
    with one client, or whose clients send a single request each, is left out of the clients' index.
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
) -> tuple[WorkByClient, WorkByClient]:
    """Return the requested work, and the part of it that was served, by member and client."""
    clients = {row.request: row.client for row in records.of_type(RequestClient)}
    demand: WorkByClient = defaultdict(lambda: defaultdict(float))
    served: WorkByClient = defaultdict(lambda: defaultdict(float))
    for request in requests:
        client = clients.get(request.request, 0)
        work_ms = scenario.classes[request.class_index].work_ms
        demand[request.member][client] += work_ms
        served[request.member][client] += work_ms * (request.outcome in ("served", "late"))
    return demand, served
