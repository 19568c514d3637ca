"""Admission control: the controller by itself, and the load balancer with it."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest

from sagetrack.policy.actions import Action, Reject, SendAttempt, SetTimer
from sagetrack.policy.admission import (
    ADMITTED,
    AdmissionController,
    AdmissionDenial,
    AdmissionSettings,
    Verdict,
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
from sagetrack.policy.reservations import Requester, RetryTerms
from sagetrack.policy.settings import Effect, RequestClass, Settings, Tenant

SECOND = 1_000_000


def test_an_address_is_not_taken_for_one_client_that_retries_too_early() -> None:
    controller: AdmissionController[str] = AdmissionController(AdmissionSettings(), [1.0])
    for client, key, repeat, early in ((-5, 0, False, False), (5, 0, False, True), (-5, 7, False, True)):
        requester = Requester(0, client, key)
        told = controller.retry_after_us(0, requester, 400_000.0, RetryTerms(0.0, 8 * SECOND, 8 * SECOND))
        verdict = controller.check_arrival(told // 10, requester, 0, 1000.0, repeat)
        assert (verdict != ADMITTED) == early, (client, verdict)


@pytest.mark.parametrize(
    ("setting", "message"),
    [
        ({"max_wait_fraction": 0.6}, "max_wait_fraction is 0.6, allowed are 0 to 0.5"),
        ({"flows": 0}, "flows is 0, allowed are 1 and more"),
        ({"memory_bytes": 1000}, "memory_bytes is 1000, allowed are 65536 and more"),
    ],
)
def test_settings_out_of_range_are_named_with_what_is_allowed(setting: dict[str, Any], message: str) -> None:
    with pytest.raises(ValueError, match=message):
        AdmissionSettings(**setting)


# The load balancer with admission control

KINDS = (RequestClass(1_000_000, 4_000_000, late_priority_weight=0.5, effect=Effect.SAFE),)
BASE = Settings(
    classes=KINDS,
    tenants=(Tenant(0.5), Tenant(0.5)),
    max_attempts=2,
    max_retry_after_us=4_000_000,
    admission=AdmissionSettings(adaptive=False),
)


class Fleet:
    """The module round servers that each take 100 ms and hold three."""

    def __init__(self, settings: Settings = BASE, servers: int = 2) -> None:
        self.balancer = LoadBalancer(settings, 1)
        self.now = SECOND
        self.count = 0
        self.due: list[tuple[int, int, Event]] = []
        self.sent: list[str] = []
        self.refused: dict[str, int] = {}
        self.free = [0] * servers
        self.handle(EndpointList(ListKind.FULL, tuple(ListedServer(n) for n in range(servers))))

    def handle(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.count += 1
            if isinstance(action, SendAttempt):
                self.sent.append(action.request)
                self.free[action.server] = ends = max(self.now, self.free[action.server]) + 100_000
                over = AttemptEnded(action.request, 0, action.server, Outcome.OK, ends - self.now, True)
                self.due.append((ends, self.count, over))
            elif isinstance(action, SetTimer):
                self.due.append((action.due_us, self.count, TimerFired(action.token)))
            elif isinstance(action, Reject):
                assert action.request not in self.refused and action.request not in self.sent
                self.refused[action.request] = action.retry_after_us
        return actions

    def ask(self, name: str, member: int, client: int = 1, key: int | None = None, **more: Any) -> None:
        key = key if key is not None else abs(hash(name)) % 2**40
        self.handle(RequestArrived(name, 0, 4_000_000, key, tenant=member, client=client, **more))

    def run_until(self, time_us: int) -> None:
        while self.due and min(self.due)[0] <= time_us:
            first = min(self.due)
            self.due.remove(first)
            self.now = max(self.now, first[0])
            self.handle(first[2])
        self.now = time_us

    def flood(self, seconds: float, rate: int, member: int = 0, clients: int = 5) -> None:
        for n in range(int(seconds * rate)):
            self.run_until(self.now + SECOND // rate)
            self.ask(f"f{self.now}-{n}", member, n % clients + 1)


def test_a_small_tenant_is_served_while_a_large_one_floods() -> None:
    fleet = Fleet()
    for n in range(20):
        fleet.flood(0.25, 80)
        fleet.ask(f"small{n}", 1)
    fleet.run_until(fleet.now + 5 * SECOND)
    assert sum(name.startswith("small") for name in fleet.sent) == 20
    assert len(fleet.refused) > 100 and not len(fleet.balancer.admission.queues)  # type: ignore[union-attr]
    rows = fleet.balancer.admission.counters  # type: ignore[union-attr]
    assert rows[1].served == rows[1].requested == 20 and rows[0].waiting == 0
    assert rows[0].served + rows[0].rejected == rows[0].requested


def test_a_retry_at_its_retry_after_is_admitted_and_an_immediate_one_is_not() -> None:
    fleet = Fleet()
    fleet.flood(2.0, 60)
    told = {name: wait for name, wait in fleet.refused.items() if 300_000 < wait < 3_000_000}
    name, wait = list(told.items())[-1]
    client = int(name.partition("-")[2]) % 5 + 1
    key = abs(hash(name)) % 2**40
    fleet.ask("early", 0, client, key)
    assert fleet.refused["early"] == pytest.approx(wait, rel=0.35)
    assert fleet.balancer.admission.reservations.ignored[0] == 1  # type: ignore[union-attr]
    began = fleet.now
    while fleet.now < began + wait:
        fleet.flood(0.1, 60)
    fleet.ask("kept", 0, client, key)
    fleet.run_until(fleet.now + 2 * SECOND)
    assert "kept" in fleet.sent


def test_a_queued_request_without_a_chance_is_rejected_before_its_deadline() -> None:
    fleet = Fleet(servers=1)
    for n in range(3):
        fleet.ask(f"stuck{n}", 0, n)
    fleet.due = [due for due in fleet.due if isinstance(due[2], TimerFired)]  # the server is dumb
    fleet.ask("waits", 1)
    assert "waits" not in fleet.refused
    fleet.run_until(fleet.now + 600_000)
    assert "waits" in fleet.refused


def test_ten_thousand_clients_stay_within_the_memory_bound_and_no_queued_request_is_dropped() -> None:
    bound = 256 * 1024
    fleet = Fleet(replace(BASE, admission=AdmissionSettings(memory_bytes=bound, client_rate=Rate(5.0, 2.0))))
    controller = fleet.balancer.admission
    assert controller is not None
    draw = random.Random(1)
    for n in range(10_000):
        if n % 20 == 0:
            fleet.run_until(fleet.now + 20_000)
        fleet.ask(f"c{n}", 0, draw.getrandbits(60))
        assert controller.memory_used() <= bound
    fleet.run_until(fleet.now + 10 * SECOND)
    assert len(fleet.sent) + len(fleet.refused) == 10_000 and not fleet.balancer.requests


def test_a_rate_limit_holds_by_itself_and_its_retry_after_is_right() -> None:
    fleet = Fleet(replace(BASE, admission=AdmissionSettings(client_rate=Rate(2.0, 1.0))))
    fleet.ask("one", 0, 4)
    fleet.ask("two", 0, 4)
    fleet.ask("other", 0, 5)
    assert fleet.sent == ["one", "other"] and 400_000 < fleet.refused["two"] <= 500_000
    fleet.run_until(fleet.now + fleet.refused["two"])
    fleet.ask("again", 0, 4)
    assert "again" in fleet.sent


def test_shares_change_under_load_and_a_clock_jump_breaks_nothing() -> None:
    fleet = Fleet()

    def both(seconds: float) -> float:
        before = len(fleet.sent)
        for n in range(int(seconds * 30)):
            fleet.run_until(fleet.now + SECOND // 30)
            fleet.ask(f"a{fleet.now}", 0, n % 5)
            fleet.ask(f"b{fleet.now}", 1, n % 5)
        names = fleet.sent[before:]
        return sum(name[0] == "a" for name in names) / len(names)

    even = both(6.0)
    fleet.handle(TenantSharesChanged((0.9, 0.1)))
    fleet.run_until(fleet.now + SECOND)
    fleet.now += SECOND  # the clock goes on by a second at once
    uneven = both(6.0)
    assert even == pytest.approx(0.5, abs=0.06) and uneven > even + 0.15
    fleet.handle(PeerDemands(3, (5e6, 0.0)))
    fleet.handle(TenantSharesChanged((0.5,)))  # of another installation: passed over
    fleet.run_until(fleet.now + 9 * SECOND)
    assert not fleet.balancer.requests


def test_marked_retries_are_bounded_only_while_requests_are_queued() -> None:
    controller: AdmissionController[str] = AdmissionController(AdmissionSettings(retry_ratio=0.0), [1.0])
    assert all(controller.check_arrival(0, Requester(0, n, n), 0, 1.0, True) == ADMITTED for n in range(50))
    controller.enqueue("waits", Requester(0, 1, 0), 1.0, 1.0, 9)
    verdicts = [controller.check_arrival(0, Requester(0, n, n), 0, 1.0, True) for n in range(100, 150)]
    assert (
        verdicts[-1] == Verdict(AdmissionDenial.RETRY_BUDGET) and sum(v == ADMITTED for v in verdicts) <= 20
    )
