"""Crossings of the lab's own doings in real time, forced with real gateway processes."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import pytest

from sagetrack.lab.analysis.judges import judge
from sagetrack.lab.analysis.records import Records
from sagetrack.lab.model.scenario import Scenario, load_scenario, with_overrides
from sagetrack.lab.model.world import World
from sagetrack.lab.processes.clock import RealClock
from sagetrack.lab.processes.gateway_fleet import GatewayFleet
from sagetrack.lab.processes.gateway_process import GatewayProcess
from sagetrack.lab.processes.gateway_supervisor import GatewaySupervisor


def test_a_death_overtakes_an_upgrade(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The new process is stopped, so it is not ready at the death: that it was killed fails no run."""
    scenario = with_overrides(load_scenario("scenarios/upgrade.toml"), {"fleet.gateways": 1})

    async def play() -> None:
        waits = asyncio.Event()
        wait_until_ready = GatewaySupervisor.wait_until_ready

        async def seen(self: GatewaySupervisor, gateway: int, process: GatewayProcess) -> None:
            waits.set()
            await wait_until_ready(self, gateway, process)

        world = World(scenario, 1, RealClock(), Records())
        gateways = world.gateway_fleet.driver = GatewayFleet(world, tmp_path, 0)
        try:
            world.prepare()
            gateways.start()
            await gateways.start_all()
            monkeypatch.setattr(GatewaySupervisor, "wait_until_ready", seen)
            gateways.upgrade(0)
            while len(gateways.supervisor.processes[0]) < 2:
                await asyncio.sleep(0)
            gateways.supervisor.processes[0][1].process.send_signal(signal.SIGSTOP)
            await waits.wait()
            world.gateway_fleet.alive[0] = False
            gateways.kill(0)
            await asyncio.wait(gateways.background.tasks)
            assert gateways.background.failure is None
            waits.clear()
            gateways.restart(0)
            await waits.wait()
            await asyncio.wait(gateways.background.tasks)
            assert gateways.background.failure is None and world.gateway_fleet.alive[0]
            ended = [one.process.poll() for one in gateways.supervisor.processes[0]]
            assert ended == [-signal.SIGKILL, -signal.SIGKILL, None]
        finally:
            gateways.stop()

    asyncio.run(play())


def test_what_fails_as_a_run_ends_is_not_tried_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A try that is made again once the sockets are closed would be a task that nobody awaits."""
    scenario = with_overrides(load_scenario("scenarios/upgrade.toml"), {"fleet.gateways": 1})

    async def play() -> None:
        world = World(scenario, 1, RealClock(), Records())
        gateways = world.gateway_fleet.driver = GatewayFleet(world, tmp_path, 0)
        world.prepare()
        gateways.start()
        asked = asyncio.Event()

        def spawn(work: Coroutine[Any, Any, None]) -> None:
            work.close()
            asked.set()

        monkeypatch.setattr(gateways.background, "spawn", spawn)
        world.start()
        await asked.wait()
        gateways.stop()
        asked.clear()
        (this, *_) = world.clients.pending.values()
        gateways.clients.send_now(this)
        assert not asked.is_set()

    asyncio.run(play())


def test_a_call_to_a_gateway_that_is_down_is_held_by_nobody() -> None:
    """It waits in the listening socket; from when the next process is up, the rule holds as for any call."""
    ask = ("ask", 1_500_000, "c", 0, 0, 0, 3_000_000, None, "1", 1)
    down, up = ("gateway", 1_000_000, 0, "down"), ("gateway", 3_400_000, 0, "up")
    other, before = ("gateway", 1_000_000, 1, "down"), ("gateway", 1_400_000, 0, "up")
    for states, answered_us, broken in (
        ((down, up), 3_500_000, False),
        ((down, up), 6_000_000, True),  # held after it was up
        ((down, before), 3_500_000, True),  # asked when it was up again
        ((down,), 3_500_000, True),  # an answer, yet nothing tells that it came back
        ((other, up), 3_500_000, True),  # another gateway's death excuses nothing
        ((), 3_500_000, True),
    ):
        records = Records()
        records.rows = [*states, ask, ("answer", answered_us, "c", 0, "refused", 0)]
        found = [violation.rule for violation in judge(records, Scenario(name="k"))]
        assert found == (["late_refusals"] if broken else []), (states, answered_us)
