"""Tests of the admission controller, by itself and as part of a load balancer."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest

from sagetrack.policy.actions import Action, Reject, SendAttempt, SetTimer
from sagetrack.policy.admission import (
    ADMITTED,
    AdmissionController,
    AdmissionDecision,
    AdmissionDenial,
    AdmissionSettings,
)
from sagetrack.policy.events import (
    AttemptEnded,
    EndpointList,
    Event,
    ListedServer,
    ListKind,
    Outcome,
    PeerDemands,
    RequestArrived,
    TenantSharesChanged,
    TimerFired,
)
from sagetrack.policy.load_balancer import LoadBalancer
from sagetrack.policy.rate_limit import Rate
from sagetrack.policy.reservations import Requester, RetryAfterLimits
from sagetrack.policy.settings import Effect, RequestClass, Settings, Tenant

SECOND_US = 1_000_000


def test_an_address_shared_by_clients_is_not_treated_as_one_client_retrying_too_early() -> None:
    controller: AdmissionController[str] = AdmissionController(AdmissionSettings(), [1.0])
    for client, key, is_retry, rejected in ((-5, 0, False, False), (5, 0, False, True), (-5, 7, False, True)):
        requester = Requester(0, client, key)
        retry_after_us = controller.retry_after_us(
            0, requester, 400_000.0, RetryAfterLimits(0.0, 8 * SECOND_US, 8 * SECOND_US)
        )
        decision = controller.check_arrival(retry_after_us // 10, requester, 0, 1000.0, is_retry)
        assert (decision != ADMITTED) == rejected, (client, decision)


@pytest.mark.parametrize(
    ("setting", "message"),
    [
        ({"max_wait_fraction": 0.6}, "max_wait_fraction is 0.6, must be from 0 to 0.5"),
        ({"flows": 0}, "flows is 0, must be at least 1"),
        ({"memory_bytes": 1000}, "memory_bytes is 1000, must be at least 65536"),
    ],
)
def test_settings_out_of_range_are_reported_with_the_allowed_range(
    setting: dict[str, Any], message: str
) -> None:
    with pytest.raises(ValueError, match=message):
        AdmissionSettings(**setting)


# Load balancer with admission control

CLASSES = (RequestClass(1_000_000, 4_000_000, late_priority_weight=0.5, effect=Effect.SAFE),)
BASE = Settings(
    classes=CLASSES,
    tenants=(Tenant(0.5), Tenant(0.5)),
    max_attempts=2,
    max_retry_after_us=4_000_000,
    admission=AdmissionSettings(adaptive=False),
)


class Simulation:
    """A load balancer with simulated servers that process one request at a time, in 100 ms each."""

    def __init__(self, settings: Settings = BASE, servers: int = 2) -> None:
        self.balancer = LoadBalancer(settings, 1)
        self.now_us = SECOND_US
        self.count = 0
        self.pending: list[tuple[int, int, Event]] = []
        self.sent: list[str] = []
        self.rejected: dict[str, int] = {}
        self.free_at_us = [0] * servers
        self.handle(EndpointList(ListKind.FULL, tuple(ListedServer(number) for number in range(servers))))

    def handle(self, event: Event) -> list[Action]:
        """Handle an event; schedule the end of each sent attempt, and record timers and rejections."""
        actions = self.balancer.handle(self.now_us, event)
        for action in actions:
            self.count += 1
            if isinstance(action, SendAttempt):
                self.sent.append(action.request)
                self.free_at_us[action.server] = end_us = (
                    max(self.now_us, self.free_at_us[action.server]) + 100_000
                )
                ended = AttemptEnded(action.request, 0, action.server, Outcome.OK, end_us - self.now_us, True)
                self.pending.append((end_us, self.count, ended))
            elif isinstance(action, SetTimer):
                self.pending.append((action.due_us, self.count, TimerFired(action.token)))
            elif isinstance(action, Reject):
                assert action.request not in self.rejected and action.request not in self.sent
                self.rejected[action.request] = action.retry_after_us
        return actions

    def arrive(self, name: str, tenant: int, client: int = 1, key: int | None = None, **extra: Any) -> None:
        """Deliver a request; unless a key is given, it is derived from the name."""
        key = key if key is not None else abs(hash(name)) % 2**40
        self.handle(RequestArrived(name, 0, 4_000_000, key, tenant=tenant, client=client, **extra))

    def run_until(self, time_us: int) -> None:
        """Advance the clock to a time and handle all events pending until then."""
        while self.pending and min(self.pending)[0] <= time_us:
            next_event = min(self.pending)
            self.pending.remove(next_event)
            self.now_us = max(self.now_us, next_event[0])
            self.handle(next_event[2])
        self.now_us = time_us

    def flood(self, seconds: float, rate: int, tenant: int = 0, clients: int = 5) -> None:
        """Deliver requests of one tenant at a constant rate, from a few clients in turn."""
        for number in range(int(seconds * rate)):
            self.run_until(self.now_us + SECOND_US // rate)
            self.arrive(f"f{self.now_us}-{number}", tenant, number % clients + 1)


def test_a_small_tenant_is_served_while_a_large_one_floods() -> None:
    simulation = Simulation()
    for n in range(20):
        simulation.flood(0.25, 80)
        simulation.arrive(f"small{n}", 1)
    simulation.run_until(simulation.now_us + 5 * SECOND_US)
    assert sum(name.startswith("small") for name in simulation.sent) == 20
    assert len(simulation.rejected) > 100 and not len(simulation.balancer.admission.queues)  # type: ignore[union-attr]
    counts = simulation.balancer.admission.counts  # type: ignore[union-attr]
    assert counts[1].served == counts[1].requested == 20 and counts[0].waiting == 0
    assert counts[0].served + counts[0].rejected == counts[0].requested


def test_a_retry_at_its_retry_after_is_admitted_and_an_immediate_one_is_rejected() -> None:
    simulation = Simulation()
    simulation.flood(2.0, 60)
    waits = {
        name: retry_after_us
        for name, retry_after_us in simulation.rejected.items()
        if 300_000 < retry_after_us < 3_000_000
    }
    name, retry_after_us = list(waits.items())[-1]
    client = int(name.partition("-")[2]) % 5 + 1
    key = abs(hash(name)) % 2**40
    simulation.arrive("early", 0, client, key)
    assert simulation.rejected["early"] == pytest.approx(retry_after_us, rel=0.35)
    assert simulation.balancer.admission.reservations.ignored[0] == 1  # type: ignore[union-attr]
    rejected_at_us = simulation.now_us
    while simulation.now_us < rejected_at_us + retry_after_us:
        simulation.flood(0.1, 60)
    simulation.arrive("kept", 0, client, key)
    simulation.run_until(simulation.now_us + 2 * SECOND_US)
    assert "kept" in simulation.sent


def test_a_queued_request_that_cannot_be_served_in_time_is_rejected_before_its_deadline() -> None:
    simulation = Simulation(servers=1)
    for n in range(3):
        simulation.arrive(f"stuck{n}", 0, n)
    # The server never responds: only the timers remain pending.
    simulation.pending = [event for event in simulation.pending if isinstance(event[2], TimerFired)]
    simulation.arrive("waits", 1)
    assert "waits" not in simulation.rejected
    simulation.run_until(simulation.now_us + 600_000)
    assert "waits" in simulation.rejected


def test_ten_thousand_clients_stay_within_the_memory_bound_and_no_queued_request_is_dropped() -> None:
    bound = 256 * 1024
    simulation = Simulation(
        replace(BASE, admission=AdmissionSettings(memory_bytes=bound, client_rate=Rate(5.0, 2.0)))
    )
    controller = simulation.balancer.admission
    assert controller is not None
    rng = random.Random(1)
    for n in range(10_000):
        if n % 20 == 0:
            simulation.run_until(simulation.now_us + 20_000)
        simulation.arrive(f"c{n}", 0, rng.getrandbits(60))
        assert controller.memory_used() <= bound
    simulation.run_until(simulation.now_us + 10 * SECOND_US)
    assert len(simulation.sent) + len(simulation.rejected) == 10_000 and not simulation.balancer.requests


def test_a_client_rate_limit_is_enforced_and_its_retry_after_is_accurate() -> None:
    simulation = Simulation(replace(BASE, admission=AdmissionSettings(client_rate=Rate(2.0, 1.0))))
    simulation.arrive("one", 0, 4)
    simulation.arrive("two", 0, 4)
    simulation.arrive("other", 0, 5)
    assert simulation.sent == ["one", "other"] and 400_000 < simulation.rejected["two"] <= 500_000
    simulation.run_until(simulation.now_us + simulation.rejected["two"])
    simulation.arrive("again", 0, 4)
    assert "again" in simulation.sent


def test_tenant_shares_change_under_load_and_a_clock_jump_loses_no_request() -> None:
    simulation = Simulation()

    def share_of_first_tenant(seconds: float) -> float:
        """Apply the same load for both tenants; return the first one's share of the sent attempts."""
        before = len(simulation.sent)
        for n in range(int(seconds * 30)):
            simulation.run_until(simulation.now_us + SECOND_US // 30)
            simulation.arrive(f"a{simulation.now_us}", 0, n % 5)
            simulation.arrive(f"b{simulation.now_us}", 1, n % 5)
        names = simulation.sent[before:]
        return sum(name[0] == "a" for name in names) / len(names)

    share_before = share_of_first_tenant(6.0)
    simulation.handle(TenantSharesChanged((0.9, 0.1)))
    simulation.run_until(simulation.now_us + SECOND_US)
    simulation.now_us += SECOND_US  # the clock jumps by a second
    share_after = share_of_first_tenant(6.0)
    assert share_before == pytest.approx(0.5, abs=0.06) and share_after > share_before + 0.15
    simulation.handle(PeerDemands(3, (5e6, 0.0)))
    simulation.handle(TenantSharesChanged((0.5,)))  # ignored: there are two tenants
    simulation.run_until(simulation.now_us + 9 * SECOND_US)
    assert not simulation.balancer.requests


def test_marked_retries_are_bounded_only_while_requests_are_queued() -> None:
    controller: AdmissionController[str] = AdmissionController(AdmissionSettings(retry_ratio=0.0), [1.0])
    assert all(controller.check_arrival(0, Requester(0, n, n), 0, 1.0, True) == ADMITTED for n in range(50))
    controller.enqueue("waits", Requester(0, 1, 0), 1.0, 1.0, 9)
    decisions = [controller.check_arrival(0, Requester(0, n, n), 0, 1.0, True) for n in range(100, 150)]
    assert (
        decisions[-1] == AdmissionDecision(AdmissionDenial.RETRY_BUDGET)
        and sum(v == ADMITTED for v in decisions) <= 20
    )
