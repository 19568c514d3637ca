"""Share of requests that goes to gRPC servers: by weight, class and tenant, and its fallback."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from sagetrack.policy.actions import SendAttempt
from sagetrack.policy.events import (
    AttemptEnded,
    EndpointList,
    ListedServer,
    ListKind,
    Outcome,
    RequestArrived,
    TrafficShift,
)
from sagetrack.policy.load_balancer import LoadBalancer
from sagetrack.policy.migration import MIN_OUTCOMES, RAMP_STEP_US, Migration
from sagetrack.policy.settings import Effect, RequestClass
from tests.grpc_helpers import (
    SETTINGS,
)


def test_traffic_shifts_by_weight_and_falls_back_when_grpc_servers_fail() -> None:
    move, now = Migration(0.25), 1_000_000
    old, new = move.weight_factors(now, 6.0, 2.0)
    assert 2.0 * new / (6.0 * old + 2.0 * new) == pytest.approx(0.25)
    assert move.weight_factors(now, 0.0, 2.0) == (1.0, 1.0)  # nothing else is there
    for _ in range(200):
        assert not move.record(False, False, now)
    left = [move.record(True, n % 3 == 0, now) for n in range(3 * MIN_OUTCOMES)]
    assert (
        left.count(True) == 1
        and move.ramp_fraction(now) == 0.0
        and move.weight_factors(now, 6.0, 2.0)[1] < 1e-5
    )
    back = move.fallback_until_us
    parts = [move.ramp_fraction(back + n * RAMP_STEP_US) for n in range(5)]
    assert parts == sorted(parts) and parts[0] == 0.1 and parts[-1] == 1.0
    equal = Migration(0.25)
    draw = random.Random(1)
    assert not any(equal.record(bool(n % 2), draw.random() < 0.2, now) for n in range(4000))  # in common


def test_a_member_and_a_class_have_shares_of_their_own_and_a_copy_one_format_alone() -> None:
    kinds = tuple(RequestClass(1_000_000, 3_000_000, effect=Effect.SAFE) for _ in range(2))
    move = Migration(0.5, {1: 0.1}, {1: 1.0})
    settings = replace(SETTINGS, classes=kinds, grpc_kinds=frozenset({7}), max_concurrency=1000.0)
    balancer = LoadBalancer(settings, 1)
    old, new = move.weight_factors(0, 4.0, 4.0)
    servers = tuple(ListedServer(n, weight=new if n % 2 else old, kind=7 if n % 2 else 0) for n in range(8))
    balancer.handle(0, EndpointList(ListKind.FULL, servers))
    balancer.handle(0, TrafficShift(*move.override_factors(0, 4.0, 4.0)))

    def newer(class_index: int, tenant: int, mirror_target: int = -1) -> float:
        hits = 0
        for n in range(400):
            now, name = n * 20_000, f"{class_index}{tenant}{mirror_target}{n}"
            event = RequestArrived(
                name,
                class_index,
                3_000_000,
                tenant=tenant,
                mirror_target=mirror_target,
                is_retry=mirror_target >= 0,
            )
            (sent,) = [a for a in balancer.handle(now, event) if isinstance(a, SendAttempt)]
            hits += sent.server % 2
            balancer.handle(now + 5, AttemptEnded(name, 0, sent.server, Outcome.OK, 5, True))
        return hits / 400

    assert newer(0, 0) == pytest.approx(0.5, abs=0.2) and newer(1, 0) < 0.25 and newer(1, 1) == 1.0
    assert newer(0, 1, mirror_target=0) == 0.0 and newer(1, 0, mirror_target=1) == 1.0
    balancer.shedder.shed_fraction = 0.5  # something is refused: a copy is the first
    assert not any(
        isinstance(a, SendAttempt)
        for a in balancer.handle(9, RequestArrived("z", 0, 9_000_000, mirror_target=1))
    )
