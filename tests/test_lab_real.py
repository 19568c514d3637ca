"""Tests of concurrent events in real-time runs, with real gateway processes."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import pytest

from sagetrack.lab.analysis.judges import find_violations
from sagetrack.lab.analysis.records import Records
from sagetrack.lab.model.scenario import Scenario, load_scenario, with_overrides
from sagetrack.lab.model.world import World
from sagetrack.lab.processes.clock import RealClock
from sagetrack.lab.processes.gateway_fleet import GatewayFleet
from sagetrack.lab.processes.gateway_process import GatewayProcess
from sagetrack.lab.processes.gateway_supervisor import GatewaySupervisor


def test_gateway_killed_during_an_upgrade_does_not_fail_the_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against reporting the upgrade's new process as failed when it is killed before it is ready.

    The new process is stopped with SIGSTOP, so that it cannot be ready when the gateway is killed.
    """
    scenario = with_overrides(load_scenario("scenarios/upgrade.toml"), {"fleet.gateways": 1})

    async def play() -> None:
        wait_started = asyncio.Event()
        wait_until_ready = GatewaySupervisor.wait_until_ready

        async def observed_wait(self: GatewaySupervisor, gateway: int, process: GatewayProcess) -> None:
            wait_started.set()
            await wait_until_ready(self, gateway, process)

        world = World(scenario, 1, RealClock(), Records())
        gateways = world.gateway_fleet.driver = GatewayFleet(world, tmp_path, 0)
        try:
            world.prepare()
            gateways.start()
            await gateways.start_all()
            monkeypatch.setattr(GatewaySupervisor, "wait_until_ready", observed_wait)
            gateways.upgrade(0)
            while len(gateways.supervisor.processes[0]) < 2:
                await asyncio.sleep(0)
            gateways.supervisor.processes[0][1].process.send_signal(signal.SIGSTOP)
            await wait_started.wait()
            world.gateway_fleet.alive[0] = False
            gateways.kill(0)
            await asyncio.wait(gateways.background.tasks)
            assert gateways.background.failure is None
            wait_started.clear()
            gateways.restart(0)
            await wait_started.wait()
            await asyncio.wait(gateways.background.tasks)
            assert gateways.background.failure is None and world.gateway_fleet.alive[0]
            ended = [process.process.poll() for process in gateways.supervisor.processes[0]]
            assert ended == [-signal.SIGKILL, -signal.SIGKILL, None]
        finally:
            gateways.stop()

    asyncio.run(play())


def test_attempt_that_fails_as_the_run_ends_is_not_retried(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a retry after the sockets are closed, which would be a task that nothing awaits."""
    scenario = with_overrides(load_scenario("scenarios/upgrade.toml"), {"fleet.gateways": 1})

    async def play() -> None:
        world = World(scenario, 1, RealClock(), Records())
        gateways = world.gateway_fleet.driver = GatewayFleet(world, tmp_path, 0)
        world.prepare()
        gateways.start()
        spawned = asyncio.Event()

        def spawn(coroutine: Coroutine[Any, Any, None]) -> None:
            coroutine.close()
            spawned.set()

        monkeypatch.setattr(gateways.background, "spawn", spawn)
        world.start()
        await spawned.wait()
        gateways.stop()
        spawned.clear()
        (attempt, *_) = world.clients.pending.values()
        gateways.clients.send_now(attempt)
        assert not spawned.is_set()

    asyncio.run(play())


def test_late_refusal_is_excused_while_the_gateway_is_down() -> None:
    """A request to a gateway that is down waits in the accept queue, which is no fault of the gateway.

    Once the next process is up, the rule for late refusals applies to the request as to any other.
    """
    request = ("ask", 1_500_000, "c", 0, 0, 0, 3_000_000, None, "1", 1)
    down, up_again = ("gateway", 1_000_000, 0, "down"), ("gateway", 3_400_000, 0, "up")
    other_down, up_before_response = ("gateway", 1_000_000, 1, "down"), ("gateway", 1_400_000, 0, "up")
    for states, response_us, is_violated in (
        ((down, up_again), 3_500_000, False),
        ((down, up_again), 6_000_000, True),  # the refusal is late even from the restart on
        ((down, up_before_response), 3_500_000, True),  # the gateway was up again before the request came
        ((down,), 3_500_000, True),  # no record that the gateway was up again
        ((other_down, up_again), 3_500_000, True),  # only another gateway was down
        ((), 3_500_000, True),
    ):
        records = Records()
        records.rows = [*states, request, ("answer", response_us, "c", 0, "refused", 0)]
        violated_rules = [violation.rule for violation in find_violations(records, Scenario(name="k"))]
        assert violated_rules == (["late_refusals"] if is_violated else []), (states, response_us)
