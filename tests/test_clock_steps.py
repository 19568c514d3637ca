"""A wall clock that was stepped, here or where discovery has its own: slow start goes by real time."""

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

WARM_S = 20
COLD = replace(
    SETTINGS,
    start_capacity=0.1,
    warm_after_us=WARM_S * 1_000_000,
    overload_multiple=4.0,
    overload_window_us=3_000_000,
)
RESTARTED = 0
STEPS_S = (0, 30, 3_600, -30, -3_600)  # of the clock that stamps


def restarted(step_s: int) -> tuple[Driver, int]:
    """Four servers have run for long; one starts anew, and its stamp is off by this much."""
    driver = Driver(COLD, servers=0)
    driver.list_servers(*(ListedServer(number) for number in range(4)))
    driver.now_us += 60_000_000
    stamp_us = driver.now_us - 500_000 + step_s * 1_000_000
    driver.handle(EndpointList(ListKind.DELTA, (ListedServer(RESTARTED, started_us=stamp_us),)))
    return driver, driver.now_us


def share_of_restarted(driver: Driver, seconds: float) -> float:
    """Its part of what is sent, against a quarter, over so many seconds at 20 requests each."""
    sent = [0] * 4
    for _ in range(int(seconds * 20)):
        driver.now_us += 50_000
        name, actions = driver.arrive()
        for action in actions:
            if isinstance(action, SendAttempt):
                sent[action.server] += 1
                driver.end(name, action.server)
    return sent[RESTARTED] / sum(sent) * 4


def test_a_server_that_has_just_started_is_slowly_given_its_share() -> None:
    for step_s in STEPS_S:
        driver, _ = restarted(step_s)
        assert share_of_restarted(driver, 3.0) < 0.5, step_s  # a warm one gets 1
        share_of_restarted(driver, WARM_S - 3.0)
        assert share_of_restarted(driver, 10.0) > 0.7, step_s


def test_a_whole_list_tells_as_much_where_one_was_heard_a_moment_ago() -> None:
    for step_s in STEPS_S:
        driver = Driver(COLD, servers=0)
        others = [ListedServer(number) for number in range(1, 4)]
        driver.list_servers(ListedServer(RESTARTED), *others)
        driver.now_us += 2_000_000
        stamp_us = driver.now_us - 500_000 + step_s * 1_000_000
        driver.list_servers(ListedServer(RESTARTED, started_us=stamp_us), *others)
        assert share_of_restarted(driver, 3.0) < 0.5, step_s


def test_every_stamp_leads_to_the_same_start() -> None:
    """Both by stamps that are right and by ones that are off, it is taken to have started about now."""
    shares = [share_of_restarted(restarted(step_s)[0], 8.0) for step_s in STEPS_S]
    assert max(shares) - min(shares) < 0.25


def test_a_server_that_comes_back_to_the_list_in_the_same_life_is_as_warm_as_before() -> None:
    driver = Driver(COLD, servers=0)
    began_us = driver.now_us - 40_000_000
    others = [ListedServer(number) for number in range(1, 4)]
    driver.list_servers(ListedServer(RESTARTED, started_us=began_us), *others)
    driver.now_us += 1_000_000
    driver.list_servers(*others)
    driver.now_us += 5_000_000
    driver.handle(EndpointList(ListKind.DELTA, (ListedServer(RESTARTED, started_us=began_us),)))
    assert share_of_restarted(driver, 10.0) > 0.7


@pytest.mark.parametrize("step_s", [3_600, -3_600])
@on_event_loop
async def test_what_a_process_hands_on_is_as_old_as_it_is_after_a_step(
    step_s: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each process begins its own line at its start, with the wall clock as it is then."""
    async with scripted_server(no_response) as upstream, running_gateway(configuration(upstream)) as run:
        overlap = HotRestart(str(tmp_path))
        overlap.join()
        old = HealthHandover(overlap, run.assembly.config, run.gateway)
        client = await run.connect()
        client.send(request())
        await wait_until(lambda: upstream.exchanges)
        upstream.exchanges[0].respond(http_response())
        await client.read_response()
        old.save()
        learned: list[ObservationsReceived] = []
        handle = run.gateway.balancer.handle

        def listen(now_us: int, event: object) -> object:
            if isinstance(event, ObservationsReceived):
                learned.append(event)
            return handle(now_us, event)  # type: ignore[arg-type]

        run.gateway.balancer.handle = listen  # type: ignore[method-assign,assignment]
        later = clock.now_us
        monkeypatch.setattr(health_handover, "now_us", lambda: later() + step_s * 1_000_000)
        new = HealthHandover(overlap, run.assembly.config, run.gateway)
        new.restore()
        (event,) = learned
        age_us = later() + step_s * 1_000_000 - event.observations[0].seen_us
        assert 0 <= age_us < 5_000_000
        for handover in (old, new):
            handover.close()
        overlap.release()
        client.close()
