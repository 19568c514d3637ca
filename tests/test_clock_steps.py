"""Steps of the wall clock, here or at service discovery, do not disturb slow start or stored health."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from sagetrack.core import clock
from sagetrack.policy.actions import SendAttempt
from sagetrack.policy.events import EndpointList, ListedServer, ListKind, ObservationsReceived
from sagetrack.server import health_handover
from sagetrack.server.health_handover import HealthHandover
from sagetrack.server.hot_restart import HotRestart
from tests.helpers import SETTINGS, Driver
from tests.sockets import (
    configuration,
    http_response,
    no_response,
    on_event_loop,
    request,
    running_gateway,
    scripted_server,
    wait_until,
)

SLOW_START_S = 20
SLOW_START_SETTINGS = replace(
    SETTINGS,
    start_capacity=0.1,
    warm_after_us=SLOW_START_S * 1_000_000,
    overload_multiple=4.0,
    overload_window_us=3_000_000,
)
RESTARTED = 0
STEPS_S = (0, 30, 3_600, -30, -3_600)  # steps of the clock that reports start times


def driver_with_restarted_server(step_s: int) -> tuple[Driver, int]:
    """Restart one of four long-running servers, with a reported start time that is off by `step_s`."""
    driver = Driver(SLOW_START_SETTINGS, servers=0)
    driver.list_servers(*(ListedServer(number) for number in range(4)))
    driver.now_us += 60_000_000
    reported_start_us = driver.now_us - 500_000 + step_s * 1_000_000
    driver.handle(EndpointList(ListKind.DELTA, (ListedServer(RESTARTED, started_us=reported_start_us),)))
    return driver, driver.now_us


def share_of_restarted(driver: Driver, seconds: float) -> float:
    """Return the server's share of the requests relative to a quarter, at 20 requests per second."""
    sent = [0] * 4
    for _ in range(int(seconds * 20)):
        driver.now_us += 50_000
        name, actions = driver.arrive()
        for action in actions:
            if isinstance(action, SendAttempt):
                sent[action.server] += 1
                driver.end(name, action.server)
    return sent[RESTARTED] / sum(sent) * 4


def test_a_restarted_server_is_given_its_share_slowly() -> None:
    for step_s in STEPS_S:
        driver, _ = driver_with_restarted_server(step_s)
        assert share_of_restarted(driver, 3.0) < 0.5, step_s  # a server past slow start gets 1
        share_of_restarted(driver, SLOW_START_S - 3.0)
        assert share_of_restarted(driver, 10.0) > 0.7, step_s


def test_a_complete_list_shows_a_restart_if_the_last_list_is_recent() -> None:
    for step_s in STEPS_S:
        driver = Driver(SLOW_START_SETTINGS, servers=0)
        others = [ListedServer(number) for number in range(1, 4)]
        driver.list_servers(ListedServer(RESTARTED), *others)
        driver.now_us += 2_000_000
        reported_start_us = driver.now_us - 500_000 + step_s * 1_000_000
        driver.list_servers(ListedServer(RESTARTED, started_us=reported_start_us), *others)
        assert share_of_restarted(driver, 3.0) < 0.5, step_s


def test_every_reported_start_time_leads_to_the_same_slow_start() -> None:
    """A restarted server is treated as started just now, whether its reported time is right or wrong."""
    shares = [share_of_restarted(driver_with_restarted_server(step_s)[0], 8.0) for step_s in STEPS_S]
    assert max(shares) - min(shares) < 0.25


def test_a_server_listed_again_in_the_same_incarnation_keeps_its_full_share() -> None:
    driver = Driver(SLOW_START_SETTINGS, servers=0)
    started_us = driver.now_us - 40_000_000
    others = [ListedServer(number) for number in range(1, 4)]
    driver.list_servers(ListedServer(RESTARTED, started_us=started_us), *others)
    driver.now_us += 1_000_000
    driver.list_servers(*others)
    driver.now_us += 5_000_000
    driver.handle(EndpointList(ListKind.DELTA, (ListedServer(RESTARTED, started_us=started_us),)))
    assert share_of_restarted(driver, 10.0) > 0.7


@pytest.mark.parametrize("step_s", [3_600, -3_600])
@on_event_loop
async def test_handed_over_observations_keep_their_age_after_a_clock_step(
    step_s: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each process sets its monotonic clock to the wall clock at its start, so that their clocks differ."""
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        hot_restart = HotRestart(str(tmp_path))
        hot_restart.join()
        predecessor = HealthHandover(hot_restart, run.assembly.config, run.gateway)
        client = await run.connect()
        client.send(request())
        await wait_until(lambda: upstream.exchanges)
        upstream.exchanges[0].respond(http_response())
        await client.read_response()
        predecessor.save()
        received: list[ObservationsReceived] = []
        handle = run.gateway.balancer.handle

        def record_event(now_us: int, event: object) -> object:
            if isinstance(event, ObservationsReceived):
                received.append(event)
            return handle(now_us, event)  # type: ignore[arg-type]

        run.gateway.balancer.handle = record_event  # type: ignore[method-assign,assignment]
        original_now_us = clock.now_us
        monkeypatch.setattr(health_handover, "now_us", lambda: original_now_us() + step_s * 1_000_000)
        successor = HealthHandover(hot_restart, run.assembly.config, run.gateway)
        successor.restore()
        (event,) = received
        age_us = original_now_us() + step_s * 1_000_000 - event.observations[0].seen_us
        assert 0 <= age_us < 5_000_000
        for handover in (predecessor, successor):
            handover.close()
        hot_restart.release()
        client.close()
