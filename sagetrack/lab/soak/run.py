"""One soak: its processes, its troubles as they were drawn, and the verdict on it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from sagetrack.lab.processes.child_process import die_with_parent
from sagetrack.lab.processes.resource_usage import free_port
from sagetrack.lab.repository import ROOT
from sagetrack.lab.soak import events
from sagetrack.lab.soak.client import Plan
from sagetrack.lab.soak.discovery import GROUPS, Agent, Listed, Registry
from sagetrack.lab.soak.events import now_us
from sagetrack.lab.soak.fault_schedule import Kind, Trouble, drawn
from sagetrack.lab.soak.oracle import (
    MULTIPLE,
    START_CAPACITY,
    WARM_S,
    Break,
    History,
    Restart,
    Withdrawal,
    judge,
)
from sagetrack.lab.soak.proxy import Order, Route
from sagetrack.lab.soak.server import Behaviour
from sagetrack.lab.soak.shim import NONE, Control, Faults, ShimError, build

READY_S = 15.0
LEAVE_S = 3.7  # after SIGTERM, until the platform kills
WEIGHTS = {"plain": 60.0, "leave": 12.0, "pipeline": 8.0, "slow": 8.0, "upload": 5.0, "rest": 8.0, "bad": 4.0}
TERM_TAKES_US = 700_000  # after SIGTERM a process takes what comes for so long
DRAINED_S = 3.0  # after the last client: until then long bodies and late connections have ended
DESCRIPTORS = 40  # of a gateway that serves nobody, beside kept connections to servers
HOLD_S = 0.12  # a gateway is stopped for
STATUS = b"status\n"


@dataclass(slots=True)
class Size:
    gateways: int = 4
    servers: int = 6
    clients: int = 3
    seconds: float = 12.0


@dataclass(slots=True)
class Report:
    """What one seed has shown."""

    seed: int
    breaks: list[Break]
    troubles: list[Trouble]
    sent: int
    served: int
    failed_calls: int  # system calls that were made to fail
    folder: str
    without: list[str] = field(default_factory=list)  # what this machine lacks


class Gateway:
    """One gateway of the soak: its listening socket, its processes, its system's faults."""

    def __init__(self, number: int, folder: Path, agent: Agent, size: Size, library: Path | None) -> None:
        self.number, self.agent, self.size, self.library = number, agent, size, library
        self.folder = folder / f"g{number}"
        self.shared = self.folder / "tmp"
        self.shared.mkdir(parents=True)
        self.control = Control(self.folder / "control", number)
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port: int = self.listener.getsockname()[1]
        self.processes: list[asyncio.subprocess.Process] = []  # the newest last
        self.admins: list[int] = []
        self.peer_port = free_port(socket.SOCK_DGRAM)
        self.peers: list[str] = []  # of all gateways, by their numbers
        self.file = self.folder / "config.json"
        self.operator = self.folder / "operator.toml"
        self.operator.write_text(f'[store]\nfolder = "{self.folder / "store"}"\nsync = "batch"\n')
        self.log = (self.folder / "log").open("ab")
        self.expected: set[int] = set()  # processes that were told to end, or killed

    def configuration(self) -> dict[str, Any]:
        lane = {"aimUs": 400_000, "giveUpUs": 2_500_000, "lateValue": 0.3, "value": 1.0}
        keyed = lane | {"effect": "guarded", "windowUs": 2_000_000}
        return {
            "name": f"g{self.number}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": self.agent.address,
            "seed": f"{self.number}/{time.monotonic_ns()}",
            "limits": {"sockets": 512, "memory_mb": 128},
            "known": self.agent.whole(),
            "peer_listen": f"127.0.0.1:{self.peer_port}",
            "peers": self.peers,
            "settings": {
                "balancers": self.size.gateways,
                "index": self.number,
                "zones": ["a"],
                "shapes": ["m"],
                "tenants": [{"name": "acme"}],
                "membershipMode": "pushed",
                "caps": {
                    "maxAttempts": 4,
                    "mayCancel": True,
                    "peers": True,
                    "connectTimeoutUs": 1_600_000,
                    "keepaliveUs": 10_000_000,
                    "secondCopies": True,
                    "maxRetryAfterUs": 1_000_000,
                },
                "contract": {
                    "stopSendingWithinUs": 2_000_000,
                    "mustAskInUs": 10_000_000,
                    "startCapacity": START_CAPACITY,
                    "warmAfterUs": int(WARM_S * 1e6),
                    "tipMultiple": MULTIPLE,
                    "fallUs": 3_000_000,
                },
                "lanes": [
                    lane | {"name": "search", "effect": "free"},
                    keyed | {"name": "hold", "group": "all"},
                    keyed | {"name": "reserve", "group": "cell"},
                    lane | {"name": "transfer", "effect": "single_shot"},
                ],
            },
        }

    def write(self) -> bytes:
        data = json.dumps(self.configuration()).encode()
        self.file.write_bytes(data)
        return data

    async def start(self) -> asyncio.subprocess.Process:
        """A further process; it has its own second address."""
        self.write()
        admin = free_port()
        names = {
            "LB_CONFIG": str(self.file),
            "LB_ACCEPT_FD": str(self.listener.fileno()),
            "LB_ADMIN": f"127.0.0.1:{admin}",
            "LB_OPERATOR": str(self.operator),
            "TMPDIR": str(self.shared),
            "PYTHONPATH": str(ROOT),
        }
        if self.library is not None:
            names |= self.control.environment(self.library)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sagetrack",
            cwd=ROOT,
            env=os.environ | names,
            stdout=self.log,
            stderr=self.log,
            pass_fds=[self.listener.fileno()],
            preexec_fn=die_with_parent,
        )
        self.processes.append(process)
        self.admins.append(admin)
        return process

    async def ask(self, line: bytes) -> str:
        """What the newest process answers at its second address; empty if it does not."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.admins[-1])
                writer.write(line)
                answer = await reader.read(1 << 20)
                writer.close()
        except OSError:
            return ""
        return answer.decode()

    async def until_ready(self, process: asyncio.subprocess.Process) -> bool:
        end_s = time.monotonic() + READY_S
        while process.returncode is None and time.monotonic() < end_s:
            if (await self.ask(STATUS)).startswith("SUCCESS"):
                return True
            await asyncio.sleep(0.02)
        return False

    def signal(self, process: asyncio.subprocess.Process, number: signal.Signals) -> None:
        if process.returncode is None:
            if number in (signal.SIGTERM, signal.SIGKILL):
                self.expected.add(process.pid)
            process.send_signal(number)


class Soak:
    """One run."""

    def __init__(self, seed: int, size: Size, folder: Path, library: Path | None) -> None:
        self.seed, self.size, self.folder, self.library = seed, size, folder, library
        self.troubles = drawn(seed, size.seconds, size.gateways, size.servers)
        self.registry = Registry({number: Listed(number) for number in range(size.servers)})
        self.history = History(groups={number: number % GROUPS for number in range(size.servers)})
        self.ports = [free_port() for _ in range(size.servers)]
        self.agents: list[Agent] = []
        self.gateways: list[Gateway] = []
        self.servers: dict[int, asyncio.subprocess.Process] = {}
        self.others: list[asyncio.subprocess.Process] = []
        self.proxy: asyncio.subprocess.Process | None = None
        self.ended_us: dict[int, int] = {}  # when a gateway's last process took nothing any more
        self.busy: set[int] = set()  # servers that are withdrawn or down

    async def party(self, name: str, *arguments: str) -> asyncio.subprocess.Process:
        errors = (self.folder / f"{name}.log").open("ab")
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"sagetrack.lab.soak.{name.split('-')[0]}",
            *arguments,
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=errors,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
            preexec_fn=die_with_parent,
        )

    async def start_server(self, number: int) -> None:
        file = self.folder / f"server-{number}.events"
        self.servers[number] = await self.party(
            f"server-{number}", str(number), str(self.ports[number]), str(file), str(self.seed + number)
        )

    async def start(self) -> None:
        size = self.size
        await asyncio.gather(*(self.start_server(number) for number in range(size.servers)))
        routes = [Route(g, s, self.ports[s]) for g in range(size.gateways) for s in range(size.servers)]
        plan = self.folder / "routes.json"
        plan.write_bytes(msgspec.json.encode(routes))
        self.proxy = await self.party("proxy", str(plan), str(self.folder / "proxy.events"))
        assert self.proxy.stdout is not None
        addresses = json.loads(await self.proxy.stdout.readline())
        for number in range(size.gateways):
            mine = addresses[number * size.servers : (number + 1) * size.servers]
            agent = Agent(number, self.registry, dict(enumerate(mine)))
            await agent.listen()
            self.agents.append(agent)
            self.gateways.append(Gateway(number, self.folder, agent, size, self.library))
        peers = [f"127.0.0.1:{gateway.peer_port}" for gateway in self.gateways]
        for gateway in self.gateways:
            gateway.peers = peers
        started = [(gateway, await gateway.start()) for gateway in self.gateways]
        for gateway, process in started:
            if not await gateway.until_ready(process):
                self.history.crashes.append(f"gateway {gateway.number} was not ready at the start")
        clients = self.folder / "clients.json"
        clients.write_bytes(msgspec.json.encode(Plan([g.port for g in self.gateways], WEIGHTS)))
        for number in range(size.clients):
            file = self.folder / f"client-{number}.events"
            arguments = (str(number), str(self.seed), str(file), str(clients))
            self.others.append(await self.party(f"client-{number}", *arguments))

    async def play(self) -> Report:
        try:
            await self.start()
            async with asyncio.TaskGroup() as group:
                for trouble in self.troubles:
                    group.create_task(self.befall(trouble))
                group.create_task(asyncio.sleep(self.size.seconds))
            for agent in self.agents:
                agent.fail(False, False)
            await self.finish()
        finally:
            self.end()
        return self.report()

    async def finish(self) -> None:
        """Clients end first; then every gateway is told to end, and does."""
        await asyncio.sleep(0.5)
        for client in self.others:
            if client.returncode is not None:
                raise RuntimeError(f"a client of seed {self.seed} has ended: see {self.folder}")
            assert client.stdin is not None
            client.stdin.close()
        await asyncio.gather(*(client.wait() for client in self.others))
        await asyncio.sleep(DRAINED_S)
        for gateway in self.gateways:
            await self.count(gateway)
            await self.check_drained(gateway)
        await asyncio.gather(*(self.leave(gateway, gateway.processes[-1]) for gateway in self.gateways))

    async def check_drained(self, gateway: Gateway) -> None:
        """Whoever serves nobody holds no request, and few descriptors."""
        stats = await gateway.ask(b"stats\n")
        held = [line for line in stats.splitlines() if line.startswith("svc_current ")]
        if held != ["svc_current 0"]:
            self.history.leaks.append(f"gateway {gateway.number} without clients: {held or 'no stats'}")
        process = gateway.processes[-1]
        if process.returncode is None:
            count = len(os.listdir(f"/proc/{process.pid}/fd"))
            if count > DESCRIPTORS + 2 * self.size.servers:
                self.history.leaks.append(f"gateway {gateway.number} without clients: {count} descriptors")

    async def count(self, gateway: Gateway) -> None:
        """Take up what a gateway has counted as violations of its own."""
        for line in (await gateway.ask(b"stats\n")).splitlines():
            name, _, value = line.rpartition(" ")
            if name.startswith("svc_violations_total") and float(value) > 0:
                self.history.violations.append(f"gateway {gateway.number}: {line}")

    def end(self) -> None:
        for process in [*self.servers.values(), *self.others, *([self.proxy] if self.proxy else [])]:
            if process.returncode is None:
                process.kill()
        for gateway in self.gateways:
            gateway.listener.close()
            for process in gateway.processes:
                if process.returncode is None:
                    process.kill()

    def report(self) -> Report:
        history = self.history
        for agent in self.agents:
            history.unreachable += [(agent.gateway, *span) for span in agent.unreachable]
        for gateway in self.gateways:
            for process in gateway.processes:
                if process.pid not in gateway.expected and process.returncode is not None:
                    history.crashes.append(f"gateway {gateway.number} ended with {process.returncode}")
        told = events.read(self.folder)
        served = sum(isinstance(event, events.Answered) and event.status == 200 for event in told)
        sent = sum(isinstance(event, events.Sent) and not event.again for event in told)
        failed = sum(gateway.control.failed for gateway in self.gateways)
        without = [] if self.library else ["failing system calls: there is no C compiler"]
        breaks = judge(told, history)
        if served < sent * 0.2:
            breaks.append(Break("service", f"{served} of {sent} served: the run shows too little"))
        return Report(self.seed, breaks, self.troubles, sent, served, failed, str(self.folder), without)

    # Troubles

    async def befall(self, trouble: Trouble) -> None:
        await asyncio.sleep(trouble.at_s)
        gateway, agent = self.gateways[trouble.gateway], self.agents[trouble.gateway]
        match trouble.kind:
            case Kind.KILL:
                await self.kill(gateway)
            case Kind.TERM:
                await self.term(gateway)
            case Kind.UPGRADE:
                await self.upgrade(gateway, crossed=False)
            case Kind.CROSSED_UPGRADE:
                await self.upgrade(gateway, crossed=True)
            case Kind.HOLD:
                await self.hold(gateway, trouble.length_s)
            case Kind.RELOAD:
                await self.move(gateway, half=False)
            case Kind.HALF_RELOAD:
                await self.move(gateway, half=True)
            case Kind.SYSTEM:
                await self.system(gateway, trouble.faults, trouble.length_s)
            case Kind.STEP:
                await self.system(gateway, Faults(wall_step_us=trouble.step_s * 1_000_000), trouble.length_s)
            case Kind.DISCOVERY_DOWN | Kind.DISCOVERY_SILENT:
                down = trouble.kind is Kind.DISCOVERY_DOWN
                agent.fail(down, not down)
                await asyncio.sleep(trouble.length_s)
                agent.fail(False, False)
            case Kind.DISCOVERY_RESET:
                agent.reset()
            case Kind.DRAIN:
                await self.withdraw(trouble.server, "DRAINING", trouble.length_s)
            case Kind.CRASH:
                await self.withdraw(trouble.server, "DELETED", trouble.length_s)
            case Kind.BEHAVE:
                await self.behave(trouble)
            case Kind.MUTE:
                await self.between(trouble, "mute", "unmute")
            case Kind.RESET:
                self.order("reset", trouble)
            case Kind.STALL:
                await self.between(trouble, "stall", "flow")

    async def kill(self, gateway: Gateway) -> None:
        self.ended_us[gateway.number] = now_us()
        for process in gateway.processes:
            self.history.kills.append((gateway.number, now_us()))
            gateway.signal(process, signal.SIGKILL)
            await process.wait()
        self.history.kills.append((gateway.number, now_us()))
        await self.restart(gateway)

    async def restart(self, gateway: Gateway, beside: bool = False) -> None:
        """Start a process, beside another one that serves or in place of it."""
        since_us = now_us()
        process = await gateway.start()
        ready = await gateway.until_ready(process)
        if not beside:
            ended_us = self.ended_us.get(gateway.number, since_us)
            self.history.down.append((gateway.number, ended_us, now_us()))
        if not ready and process.pid not in gateway.expected:
            self.history.crashes.append(f"gateway {gateway.number} was not ready after a restart")

    async def leave(self, gateway: Gateway, process: asyncio.subprocess.Process) -> None:
        """Tell a process to end, and kill it when the platform would."""
        gateway.signal(process, signal.SIGTERM)
        try:
            async with asyncio.timeout(LEAVE_S):
                await process.wait()
        except TimeoutError:
            self.history.kills.append((gateway.number, now_us()))
            self.history.crashes.append(f"gateway {gateway.number} had not ended {LEAVE_S:g} s after SIGTERM")
            gateway.signal(process, signal.SIGKILL)

    async def term(self, gateway: Gateway) -> None:
        await self.count(gateway)
        self.history.terms.append((gateway.number, now_us()))
        self.ended_us[gateway.number] = now_us() + TERM_TAKES_US
        await self.leave(gateway, gateway.processes[-1])
        await self.restart(gateway)

    async def upgrade(self, gateway: Gateway, crossed: bool) -> None:
        """A second process; where it crosses, that one is told to end too, and a third one follows."""
        await self.count(gateway)
        old = gateway.processes[-1]
        await self.restart(gateway, beside=True)
        new = gateway.processes[-1]
        leaving = asyncio.create_task(self.leave(gateway, old))
        if crossed:
            await asyncio.sleep(0.2)
            self.history.terms.append((gateway.number, now_us()))
            self.ended_us[gateway.number] = now_us() + TERM_TAKES_US
            await asyncio.gather(leaving, self.leave(gateway, new))
            await self.restart(gateway)
        await leaving

    async def hold(self, gateway: Gateway, seconds: float) -> None:
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            process = gateway.processes[-1]
            gateway.signal(process, signal.SIGSTOP)
            await asyncio.sleep(HOLD_S)
            gateway.signal(process, signal.SIGCONT)
            await asyncio.sleep(0.15)

    async def move(self, gateway: Gateway, half: bool) -> None:
        """Discovery moves; what it has to tell counts 4 s later."""
        old = list(gateway.agent.servers)
        await gateway.agent.listen()
        self.history.unreachable.append((gateway.number, now_us(), now_us() + 4_000_000))
        data = gateway.write()
        if half:
            gateway.file.write_bytes(data[: len(data) // 2])
        gateway.signal(gateway.processes[-1], signal.SIGHUP)
        if half:
            await asyncio.sleep(0.2)
            gateway.file.write_bytes(data)
        await asyncio.sleep(1.5)
        for server in old:
            server.close()
        gateway.agent.reset()

    async def system(self, gateway: Gateway, faults: Faults, seconds: float) -> None:
        since_us = now_us()
        gateway.control.set(faults)
        await asyncio.sleep(seconds)
        gateway.control.set(NONE)
        self.history.failing.append((gateway.number, since_us, now_us()))

    async def withdraw(self, number: int, status: str, seconds: float) -> None:
        """A server leaves the list, by a drain or a crash, and comes back in another life."""
        if number in self.busy or len(self.busy) > self.size.servers // 3:
            return
        self.busy.add(number)
        if status == "DELETED":
            self.servers[number].kill()
            await asyncio.sleep(0.3)
        one = Withdrawal(number, now_us())
        self.history.withdrawals.append(one)
        self.registry.change(number, status)
        await asyncio.sleep(seconds)
        if status != "DELETED":
            self.registry.change(number, "DELETED")
            self.servers[number].kill()
        await self.servers[number].wait()
        await self.start_server(number)
        await asyncio.sleep(0.4)
        one.until_us = now_us()
        self.history.restarts.append(Restart(number, now_us()))
        self.registry.change(number, "SERVING", restarted=True)
        self.busy.discard(number)

    async def behave(self, trouble: Trouble) -> None:
        process = self.servers[trouble.server]
        for behaviour, seconds in ((trouble.behaviour, trouble.length_s), (Behaviour.NORMAL, 0.0)):
            if process.returncode is None and process.stdin is not None:
                process.stdin.write(f"{behaviour.value}\n".encode())
            await asyncio.sleep(seconds)

    def order(self, fault: Any, trouble: Trouble) -> None:
        assert self.proxy is not None and self.proxy.stdin is not None
        order = Order(fault, trouble.gateway, trouble.server)
        self.proxy.stdin.write(msgspec.json.encode(order) + b"\n")

    async def between(self, trouble: Trouble, first: str, last: str) -> None:
        self.order(first, trouble)
        await asyncio.sleep(trouble.length_s)
        self.order(last, trouble)


def soak(seed: int, size: Size, folder: Path) -> Report:
    """Play one seed; its folder keeps every party's events and log."""
    folder.mkdir(parents=True, exist_ok=True)
    try:
        library: Path | None = build(folder)
    except ShimError:
        library = None

    async def play() -> Report:
        return await Soak(seed, size, folder, library).play()

    return asyncio.run(play())


def fresh_folder() -> Path:
    return Path(tempfile.mkdtemp(prefix="sagetrack-soak-"))
