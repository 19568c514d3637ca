"""Tests of load shedding: which requests are rejected, and how responses adjust the shed fractions."""

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
from tests.helpers import SAFE, SETTINGS, Driver, final_actions, send_actions


def test_a_timeout_sheds_like_a_slow_response_but_less_when_it_ends_at_the_latency_objective() -> None:
    """Guards against load shedding caused by dropped connections.

    Such shedding left more connections idle, which were then dropped too.
    """
    fractions = []
    no_late_weight = replace(SAFE, late_priority_weight=0.0)
    for request_class, outcome, latency_us in (
        (SAFE, Outcome.TIMEOUT, 390_000),
        (SAFE, Outcome.OK, 390_000),
        (no_late_weight, Outcome.TIMEOUT, 190_000),
        (no_late_weight, Outcome.OK, 10_000),
    ):
        driver = Driver(replace(SETTINGS, classes=(request_class,)))
        name, actions = driver.arrive()
        driver.balancer.latency.smoothed_us[0] = driver.balancer.latency.baseline_us[0] = 50_000.0
        driver.balancer.shedder.adjusted_at_us = driver.now_us
        driver.end(name, send_actions(actions)[0].server, outcome, latency_us=latency_us)
        fractions.append(driver.balancer.shedder.shed_fraction_high_priority)
    assert fractions[0] == fractions[1] > fractions[2] > fractions[3] == 0.0


def test_a_tenant_over_its_quota_is_shed_first() -> None:
    """Guards against rejecting the requests of all tenants when the clients of one retry without limit."""
    tenants = (Tenant(0.5, 10.0), Tenant(0.5, 10.0))
    driver = Driver(replace(SETTINGS, tenants=tenants, over_quota_priority=0.1), servers=9)
    rejected = [0, 0]
    for n in range(600):
        driver.balancer.shedder.shed_fraction = driver.balancer.shedder.shed_fraction_high_priority = 0.1 * (
            n > 200
        )
        tenant = int(n % 10 == 0)
        name, actions = driver.arrive(class_index=0, tenant=tenant)
        rejected[tenant] += bool(final_actions(actions))
        for send in send_actions(actions):
            driver.end(name, send.server)
    assert rejected[0] > 60 and rejected[1] <= 20
    assert (
        driver.balancer.tenant_quota.count_request(1) <= 0.0 < driver.balancer.tenant_quota.count_request(0)
    )
    assert driver.balancer.tenant_quota.count_request(7) == 0.0


def test_a_gateway_with_few_responses_sheds_as_soon_as_a_busy_one() -> None:
    """Guards against slow detection of overload in a large fleet.

    Each of 850 gateways received only three responses in the five seconds in which the fleet became
    overloaded.
    """
    fractions = []
    for gap_us in (100_000, 1_500_000):
        driver = Driver()
        name, actions = driver.arrive(class_index=2)
        driver.balancer.shedder.adjusted_at_us = driver.now_us
        driver.now_us += gap_us
        driver.end(name, send_actions(actions)[0].server, latency_us=290_000)
        fractions.append(driver.balancer.shedder.shed_fraction)
    assert fractions[1] >= 2 * fractions[0] > 0


def test_late_responses_shed_the_lowest_priority_first_and_prompt_responses_end_shedding() -> None:
    low = replace(SAFE, priority_weight=1.0)
    high = replace(SAFE, priority_weight=10.0)
    driver = Driver(Settings(classes=(low, high)))
    for number in range(100):
        driver.balancer.priorities.first_tries[number % 2] += 1
        driver.balancer.priorities.served[number % 2] += 1
    for latency_us, shed in ((390_000, [True, False]), (5_000, [False, False])):
        for _ in range(round(0.3 / SHED_STEP)):
            name, actions = driver.arrive(class_index=1)
            driver.balancer.shedder.adjusted_at_us = driver.now_us - 200_000
            driver.end(name, send_actions(actions)[0].server, latency_us=latency_us)
            driver.now_us += 4_000_000
        rejected = []
        for class_index in (0, 1):
            name, actions = driver.arrive(class_index=class_index)
            rejected.append(bool(final_actions(actions)))
            if send_actions(actions):
                driver.handle(RequestCancelled(name))
                driver.end(name, send_actions(actions)[0].server, Outcome.CANCELLED)
        assert rejected == shed


def test_a_few_late_responses_shed_little_and_a_second_of_late_responses_sheds_nearly_all() -> None:
    """Guards against a restarted gateway that rejected 90% of its requests.

    Its first responses were late because they had waited for new connections.
    """
    driver = Driver(Settings(classes=(replace(SAFE, priority_weight=10.0),)))
    name, actions = driver.arrive()
    driver.end(name, send_actions(actions)[0].server, latency_us=5_000)
    fractions = []
    for _ in range(300):
        driver.now_us += 3_300
        # Reset the shed fractions so that the next request is admitted.
        driver.balancer.shedder.shed_fraction_high_priority = 0.0
        fraction, driver.balancer.shedder.shed_fraction = driver.balancer.shedder.shed_fraction, 0.0
        name, actions = driver.arrive()
        driver.balancer.shedder.shed_fraction = fraction
        driver.end(name, send_actions(actions)[0].server, latency_us=390_000)
        fractions.append(driver.balancer.shedder.shed_fraction)
    assert fractions[9] <= 0.3 and fractions[-1] >= 0.9


# Load shedder by itself


def make_shedder() -> tuple[LoadShedder, ClassPriorities, EventContext]:
    """Return a shedder with a low- and a high-priority class that have equal numbers of requests."""
    settings = Settings(classes=(replace(SAFE, priority_weight=1.0), replace(SAFE, priority_weight=10.0)))
    latency = LatencyEstimator(settings.classes)
    priorities = ClassPriorities(settings, latency)
    for class_index in (0, 1) * 20:
        priorities.count_first_try(class_index)
        priorities.count_served(class_index)
    timeouts = ClientTimeouts(settings.classes, clients_mark_retries=False)
    return LoadShedder(settings, latency, timeouts, priorities), priorities, EventContext(1)


def make_request(class_index: int = 0, deadline_us: int = 400_000, excess: float = 0.0) -> Request:
    """Return a request with the given class, deadline and excess over its tenant's quota."""
    return Request("r", class_index, None, deadline_us, 200_000, 1.0, True, excess)


def test_the_gain_of_a_class_follows_its_priority_weight() -> None:
    _, priorities, _ = make_shedder()
    low, high = priorities.gains()
    assert high == pytest.approx(10 * low)


def test_a_request_past_its_deadline_is_too_late_and_rejected() -> None:
    shedder, _, context = make_shedder()
    assert shedder.is_too_late(400_000, make_request()) and not shedder.is_too_late(399_999, make_request())
    context.begin(400_000)
    assert shedder.should_reject(context, make_request())


def test_without_overload_nothing_is_shed_and_no_random_number_is_drawn() -> None:
    shedder, _, context = make_shedder()
    state = context.random.getstate()
    assert not any(shedder.should_reject(context, make_request(class_index)) for class_index in (0, 1) * 50)
    assert not shedder.is_active and context.random.getstate() == state


def test_the_low_priority_fraction_is_shed_from_the_low_class_only() -> None:
    shedder, _, context = make_shedder()
    shedder.shed_fraction = 0.25  # of all work, half of which belongs to the low class
    low = sum(shedder.should_reject(context, make_request(0)) for _ in range(2000))
    assert 900 < low < 1100
    assert not any(shedder.should_reject(context, make_request(1)) for _ in range(200))


def test_a_reservation_is_never_shed_and_the_excess_of_a_tenant_is_shed_first() -> None:
    shedder, _, context = make_shedder()
    shedder.shed_fraction = shedder.shed_fraction_high_priority = MAX_SHED
    reserved = make_request()
    reserved.has_reservation = True
    assert not any(shedder.should_reject(context, reserved) for _ in range(100))
    shedder.shed_fraction = shedder.shed_fraction_high_priority = 0.01
    shed_over_quota = sum(shedder.should_reject(context, make_request(1, excess=0.8)) for _ in range(1000))
    assert 740 < shed_over_quota < 860


@pytest.mark.parametrize(
    ("latency_us", "low", "high"),
    [(60_000, -1, -1), (160_000, 1, -1), (260_000, 1, 1)],  # prompt, late, overloaded: 50 ms is the baseline
)
def test_a_response_adjusts_both_shed_fractions_by_its_queueing_delay(
    latency_us: int, low: int, high: int
) -> None:
    shedder, _, _ = make_shedder()
    shedder.shed_fraction = shedder.shed_fraction_high_priority = 0.5
    shedder.adjust(200_000, make_request(), Outcome.OK, latency_us)
    assert shedder.shed_fraction == pytest.approx(0.5 + low * SHED_STEP)
    assert shedder.shed_fraction_high_priority == pytest.approx(0.5 + high * SHED_STEP)


def test_shed_fractions_stay_within_their_bounds() -> None:
    shedder, _, _ = make_shedder()
    for outcome, bound in ((Outcome.TIMEOUT, MAX_SHED), (Outcome.OK, 0.0)):
        for number in range(60):
            shedder.adjust(number * SHED_GAP_US, make_request(), outcome, 10_000)
        assert shedder.shed_fraction == shedder.shed_fraction_high_priority == bound


SHED_GAP_US = 200_000


def test_a_tenant_within_its_quota_has_no_excess() -> None:
    quota = TenantQuota((Tenant(0.5), Tenant(0.5)), over_quota_priority=0.25)
    # With equal counts, one more request stays within 1.5 times the share.
    assert quota.count_request(0) <= 0.0
    # All requests come from tenant 0.
    assert max(quota.count_request(0) for _ in range(400)) == pytest.approx(0.75 * 0.25, abs=0.01)
    assert quota.count_request(7) == 0.0  # a tenant without a share
