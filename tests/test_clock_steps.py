"""A wall clock that was stepped, here or where discovery has its own: slow start goes by real time."""

from __future__ import annotations

from dataclasses import replace

from sagetrack.decide.interface import ListedServer, ListKind, Send, ServerList
from tests.helpers import SETTINGS, Driver

WARM_S = 20
COLD = replace(
    SETTINGS, start_capacity=0.1, warm_after_us=WARM_S * 1_000_000, fall_multiple=4.0, fall_us=3_000_000
)
RESTARTED = 0
STEPS_S = (0, 30, 3_600, -30, -3_600)  # of the clock that stamps


def restarted(step_s: int) -> tuple[Driver, int]:
    """Four servers have run for long; one starts anew, and its stamp is off by this much."""
    driver = Driver(COLD, servers=0)
    driver.list_servers(*(ListedServer(number) for number in range(4)))
    driver.now_us += 60_000_000
    stamp_us = driver.now_us - 500_000 + step_s * 1_000_000
    driver.handle(ServerList(ListKind.DELTA, (ListedServer(RESTARTED, started_us=stamp_us),)))
    return driver, driver.now_us


def share_of_restarted(driver: Driver, seconds: float) -> float:
    """Its part of what is sent, against a quarter, over so many seconds at 20 requests each."""
    sent = [0] * 4
    for _ in range(int(seconds * 20)):
        driver.now_us += 50_000
        name, actions = driver.arrive()
        for action in actions:
            if isinstance(action, Send):
                sent[action.server] += 1
                driver.end(name, action.server)
    return sent[RESTARTED] / sum(sent) * 4


def test_a_server_that_has_just_started_is_slowly_given_its_share() -> None:
    for step_s in STEPS_S:
        driver, _ = restarted(step_s)
        assert share_of_restarted(driver, 3.0) < 0.5, step_s  # a warm one gets 1
        share_of_restarted(driver, WARM_S - 3.0)
        assert share_of_restarted(driver, 10.0) > 0.7, step_s


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
    driver.handle(ServerList(ListKind.DELTA, (ListedServer(RESTARTED, started_us=began_us),)))
    assert share_of_restarted(driver, 10.0) > 0.7
