"""Tests of the detection of late retries by client timeouts."""

from __future__ import annotations

from dataclasses import replace

from sagetrack.policy.settings import Tenant
from tests.helpers import SAFE, SETTINGS, Driver, send_actions


def test_a_longer_timeout_of_last_tries_does_not_make_first_tries_late() -> None:
    """Guards against rejecting first tries as late if clients give the last one a longer timeout."""
    no_late_weight = replace(SAFE, late_priority_weight=0.0)
    for clients_mark in (True, False):
        driver = Driver(replace(SETTINGS, classes=(no_late_weight,), clients_mark_retries=clients_mark))
        for n in range(30):
            client_timeout_us = 330_000 if n % 5 == 4 else 220_000
            name, actions = driver.arrive(
                client_timeout_us=client_timeout_us, is_retry=clients_mark and n % 5 == 4
            )
            (send,) = send_actions(actions)
            if n > 4:
                assert (send.timeout_us < 150_000) == (n % 5 == 4)
            driver.end(name, send.server)


def test_a_short_timeout_does_not_mark_a_retry_where_every_request_has_a_different_one() -> None:
    """Guards against rejecting first tries with short timeouts as retries past the latency objective."""
    driver = Driver(replace(SETTINGS, classes=(replace(SAFE, late_priority_weight=0.0),)), servers=5)
    driver.balancer.latency.baseline_us[0] = driver.balancer.latency.smoothed_us[0] = 10_000.0
    sent = 0
    for number in range(200):
        name, actions = driver.arrive(client_timeout_us=20_000 + number * 7919 % 60_000)
        sent += len(send_actions(actions))
        if send_actions(actions):
            driver.end(name, send_actions(actions)[0].server, latency_us=10_000)
        driver.now_us += 20_000
    assert sent > 150
    # A request with a timeout too short for any response is still not sent.
    assert not send_actions(driver.arrive(client_timeout_us=2_000)[1])


def test_timeouts_of_one_tenants_clients_do_not_affect_another_tenant() -> None:
    """Guards against taking a tenant's requests for late retries if a larger tenant has longer timeouts."""
    lookup = replace(
        SETTINGS.classes[0],
        latency_objective_us=100_000,
        request_timeout_us=400_000,
        late_priority_weight=0.0,
    )
    tenants = (Tenant(0.8), Tenant(0.2))
    driver = Driver(replace(SETTINGS, classes=(lookup, *SETTINGS.classes[1:]), tenants=tenants))
    for number in range(60):
        is_small_tenant = number % 4 == 3
        name, actions = driver.arrive(
            client_timeout_us=200_000 if is_small_tenant else 400_000, tenant=int(is_small_tenant)
        )
        assert send_actions(actions), "rejected as a retry past its latency objective"
        driver.end(name, send_actions(actions)[0].server, latency_us=10_000)
        driver.now_us += 50_000
