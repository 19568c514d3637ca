"""Which requests are shed, and how much after which answers."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sagetrack.policy.class_priorities import ClassPriorities
from sagetrack.policy.client_timeouts import ClientTimeouts
from sagetrack.policy.event_context import EventContext
from sagetrack.policy.events import Outcome, RequestCancelled
from sagetrack.policy.latency import LatencyEstimator
from sagetrack.policy.load_shedding import MAX_SHED, SHED_STEP, LoadShedder
from sagetrack.policy.settings import Settings, Tenant
from sagetrack.policy.state import Request
from sagetrack.policy.tenant_quota import TenantQuota
from tests.helpers import SAFE, SETTINGS, Driver, finals, sends


def test_silence_sheds_as_a_slow_answer_does_but_less_where_it_was_cut_at_the_aim() -> None:
    """Dropped connections were shed for, and the idler connections that followed were dropped too."""
    moved = []
    cut = replace(SAFE, late_priority_weight=0.0)
    for class_index, outcome, latency_us in (
        (SAFE, Outcome.TIMEOUT, 390_000),
        (SAFE, Outcome.OK, 390_000),
        (cut, Outcome.TIMEOUT, 190_000),
        (cut, Outcome.OK, 10_000),
    ):
        driver = Driver(replace(SETTINGS, classes=(class_index,)))
        name, actions = driver.arrive()
        driver.balancer.latency.smoothed_us[0] = driver.balancer.latency.baseline_us[0] = 50_000.0
        driver.balancer.shedder.adjusted_at_us = driver.now_us
        driver.end(name, sends(actions)[0].server, outcome, latency_us=latency_us)
        moved.append(driver.balancer.shedder.shed_fraction_high_priority)
    assert moved[0] == moved[1] > moved[2] > moved[3] == 0.0


def test_a_tenant_beyond_its_share_yields_first_while_anything_is_shed() -> None:
    """One tenant's clients repeated without limit, and all tenants were refused alike."""
    tenants = (Tenant(0.5, 10.0), Tenant(0.5, 10.0))
    driver = Driver(replace(SETTINGS, tenants=tenants, over_quota_priority=0.1), servers=9)
    refused = [0, 0]
    for n in range(600):
        driver.balancer.shedder.shed_fraction = driver.balancer.shedder.shed_fraction_high_priority = 0.1 * (
            n > 200
        )
        tenant = int(n % 10 == 0)
        name, actions = driver.arrive(class_index=0, tenant=tenant)
        refused[tenant] += bool(finals(actions))
        for send in sends(actions):
            driver.end(name, send.server)
    assert refused[0] > 60 and refused[1] <= 20
    assert driver.balancer.tenant_quota.excess(1) <= 0.0 < driver.balancer.tenant_quota.excess(0)
    assert driver.balancer.tenant_quota.excess(7) == 0.0


def test_a_proxy_with_few_answers_sheds_as_soon_as_a_busy_one() -> None:
    """Of 850 gateways each saw three answers in the five seconds in which the fleet jammed."""
    shed = []
    for gap_us in (100_000, 1_500_000):
        driver = Driver()
        name, actions = driver.arrive(class_index=2)
        driver.balancer.shedder.adjusted_at_us = driver.now_us
        driver.now_us += gap_us
        driver.end(name, sends(actions)[0].server, latency_us=290_000)
        shed.append(driver.balancer.shedder.shed_fraction)
    assert shed[1] >= 2 * shed[0] > 0


def test_long_waits_shed_the_least_worth_first_and_prompt_answers_end_it() -> None:
    cheap = replace(SAFE, priority_weight=1.0)
    dear = replace(SAFE, priority_weight=10.0)
    driver = Driver(Settings(classes=(cheap, dear)))
    for number in range(100):
        driver.balancer.priorities.first_tries[number % 2] += 1
        driver.balancer.priorities.served[number % 2] += 1
    for latency_us, shed in ((390_000, [True, False]), (5_000, [False, False])):
        for _ in range(round(0.3 / SHED_STEP)):
            name, actions = driver.arrive(class_index=1)
            driver.balancer.shedder.adjusted_at_us = driver.now_us - 200_000
            driver.end(name, sends(actions)[0].server, latency_us=latency_us)
            driver.now_us += 4_000_000
        refused = []
        for class_index in (0, 1):
            name, actions = driver.arrive(class_index=class_index)
            refused.append(bool(finals(actions)))
            if sends(actions):
                driver.handle(RequestCancelled(name))
                driver.end(name, sends(actions)[0].server, Outcome.CANCELLED)
        assert refused == shed


def test_where_many_answers_come_a_few_that_waited_shed_little_and_a_second_of_them_nearly_all() -> None:
    """A restarted gateway refused nine in ten: its first answers had waited for new connections."""
    driver = Driver(Settings(classes=(replace(SAFE, priority_weight=10.0),)))
    name, actions = driver.arrive()
    driver.end(name, sends(actions)[0].server, latency_us=5_000)
    sheds = []
    for _ in range(300):
        driver.now_us += 3_300
        driver.balancer.shedder.shed_fraction_high_priority = (
            0.0  # each is let through, whatever is shed by now
        )
        shed, driver.balancer.shedder.shed_fraction = driver.balancer.shedder.shed_fraction, 0.0
        name, actions = driver.arrive()
        driver.balancer.shedder.shed_fraction = shed
        driver.end(name, sends(actions)[0].server, latency_us=390_000)
        sheds.append(driver.balancer.shedder.shed_fraction)
    assert sheds[9] <= 0.3 and sheds[-1] >= 0.9


# The rules, by call


def a_shedder() -> tuple[LoadShedder, ClassPriorities, EventContext]:
    """A shedder for a class of low priority and one of high, equally asked for."""
    settings = Settings(classes=(replace(SAFE, priority_weight=1.0), replace(SAFE, priority_weight=10.0)))
    latency = LatencyEstimator(settings.classes)
    priorities = ClassPriorities(settings, latency)
    for class_index in (0, 1) * 20:
        priorities.count_first_try(class_index)
        priorities.count_served(class_index)
    timeouts = ClientTimeouts(settings.classes, clients_mark_retries=False)
    return LoadShedder(settings, latency, timeouts, priorities), priorities, EventContext(1)


def a_request(class_index: int = 0, deadline_us: int = 400_000, excess: float = 0.0) -> Request:
    return Request("r", class_index, None, deadline_us, 200_000, 1.0, True, excess)


def test_what_gains_more_is_asked_for_less_of_its_work() -> None:
    _, priorities, _ = a_shedder()
    low, high = priorities.gains()
    assert high == pytest.approx(10 * low)


def test_a_request_whose_deadline_is_over_is_hopeless() -> None:
    shedder, _, context = a_shedder()
    assert shedder.is_hopeless(400_000, a_request()) and not shedder.is_hopeless(399_999, a_request())
    context.begin(400_000)
    assert shedder.should_reject(context, a_request())


def test_nothing_is_shed_and_nothing_drawn_without_overload() -> None:
    shedder, _, context = a_shedder()
    state = context.random.getstate()
    assert not any(shedder.should_reject(context, a_request(class_index)) for class_index in (0, 1) * 50)
    assert not shedder.is_active and context.random.getstate() == state


def test_the_low_priority_fraction_is_shed_of_the_low_class_alone() -> None:
    shedder, _, context = a_shedder()
    shedder.shed_fraction = 0.25  # of all work, half of which is the low class's
    low = sum(shedder.should_reject(context, a_request(0)) for _ in range(2000))
    assert 900 < low < 1100
    assert not any(shedder.should_reject(context, a_request(1)) for _ in range(200))


def test_a_reservation_is_never_shed_and_a_tenants_excess_first() -> None:
    shedder, _, context = a_shedder()
    shedder.shed_fraction = shedder.shed_fraction_high_priority = MAX_SHED
    reserved = a_request()
    reserved.has_reservation = True
    assert not any(shedder.should_reject(context, reserved) for _ in range(100))
    shedder.shed_fraction = shedder.shed_fraction_high_priority = 0.01
    beyond = sum(shedder.should_reject(context, a_request(1, excess=0.8)) for _ in range(1000))
    assert 740 < beyond < 860


@pytest.mark.parametrize(
    ("latency_us", "low", "high"),
    [(60_000, -1, -1), (160_000, 1, -1), (260_000, 1, 1)],  # prompt, late, overloaded: 50 ms is the baseline
)
def test_an_answer_moves_both_fractions_by_how_long_it_queued(latency_us: int, low: int, high: int) -> None:
    shedder, _, _ = a_shedder()
    shedder.shed_fraction = shedder.shed_fraction_high_priority = 0.5
    shedder.adjust(200_000, a_request(), Outcome.OK, latency_us)
    assert shedder.shed_fraction == pytest.approx(0.5 + low * SHED_STEP)
    assert shedder.shed_fraction_high_priority == pytest.approx(0.5 + high * SHED_STEP)


def test_fractions_stay_within_their_bounds() -> None:
    shedder, _, _ = a_shedder()
    for outcome, bound in ((Outcome.TIMEOUT, MAX_SHED), (Outcome.OK, 0.0)):
        for number in range(60):
            shedder.adjust(number * SHED_GAP_US, a_request(), outcome, 10_000)
        assert shedder.shed_fraction == shedder.shed_fraction_high_priority == bound


SHED_GAP_US = 200_000


def test_a_tenant_within_its_share_has_no_excess() -> None:
    quota = TenantQuota((Tenant(0.5), Tenant(0.5)), over_quota_priority=0.25)
    assert quota.excess(0) <= 0.0  # of equal counts, a try more is within 1.5 times the share
    assert max(quota.excess(0) for _ in range(400)) == pytest.approx(
        0.75 * 0.25, abs=0.01
    )  # all tries its own
    assert quota.excess(7) == 0.0  # a tenant without a share
