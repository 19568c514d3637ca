"""The gRPC share of the traffic: by weight, class and tenant, and the fallback to HTTP/1.1."""

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
    migration, now = Migration(0.25), 1_000_000
    old_factor, new_factor = migration.weight_factors(now, 6.0, 2.0)
    assert 2.0 * new_factor / (6.0 * old_factor + 2.0 * new_factor) == pytest.approx(0.25)
    assert migration.weight_factors(now, 0.0, 2.0) == (1.0, 1.0)  # there are only gRPC servers
    for _ in range(200):
        assert not migration.record(False, False, now)
    fallbacks = [migration.record(True, n % 3 == 0, now) for n in range(3 * MIN_OUTCOMES)]
    assert (
        fallbacks.count(True) == 1
        and migration.ramp_fraction(now) == 0.0
        and migration.weight_factors(now, 6.0, 2.0)[1] < 1e-5
    )
    fallback_until_us = migration.fallback_until_us
    fractions = [migration.ramp_fraction(fallback_until_us + n * RAMP_STEP_US) for n in range(5)]
    assert fractions == sorted(fractions) and fractions[0] == 0.1 and fractions[-1] == 1.0
    similar = Migration(0.25)
    rng = random.Random(1)
    # Both protocols fail equally often, so there is no fallback.
    assert not any(similar.record(bool(n % 2), rng.random() < 0.2, now) for n in range(4000))


def test_classes_and_tenants_override_the_share_and_a_mirrored_request_has_one_protocol() -> None:
    classes = tuple(RequestClass(1_000_000, 3_000_000, effect=Effect.SAFE) for _ in range(2))
    migration = Migration(0.5, {1: 0.1}, {1: 1.0})
    settings = replace(SETTINGS, classes=classes, grpc_kinds=frozenset({7}), max_concurrency=1000.0)
    balancer = LoadBalancer(settings, 1)
    old_factor, new_factor = migration.weight_factors(0, 4.0, 4.0)
    servers = tuple(
        ListedServer(n, weight=new_factor if n % 2 else old_factor, kind=7 if n % 2 else 0) for n in range(8)
    )
    balancer.handle(0, EndpointList(ListKind.FULL, servers))
    balancer.handle(0, TrafficShift(*migration.override_factors(0, 4.0, 4.0)))

    def grpc_fraction(class_index: int, tenant: int, mirror_target: int = -1) -> float:
        sent_to_grpc = 0
        for n in range(400):
            now, request_id = n * 20_000, f"{class_index}{tenant}{mirror_target}{n}"
            event = RequestArrived(
                request_id,
                class_index,
                3_000_000,
                tenant=tenant,
                mirror_target=mirror_target,
                is_retry=mirror_target >= 0,
            )
            (attempt,) = [a for a in balancer.handle(now, event) if isinstance(a, SendAttempt)]
            sent_to_grpc += attempt.server % 2
            balancer.handle(now + 5, AttemptEnded(request_id, 0, attempt.server, Outcome.OK, 5, True))
        return sent_to_grpc / 400

    assert (
        grpc_fraction(0, 0) == pytest.approx(0.5, abs=0.2)
        and grpc_fraction(1, 0) < 0.25
        and grpc_fraction(1, 1) == 1.0
    )
    assert grpc_fraction(0, 1, mirror_target=0) == 0.0 and grpc_fraction(1, 0, mirror_target=1) == 1.0
    balancer.shedder.shed_fraction = 0.5  # while load is shed, mirrored requests are rejected first
    assert not any(
        isinstance(a, SendAttempt)
        for a in balancer.handle(9, RequestArrived("z", 0, 9_000_000, mirror_target=1))
    )
