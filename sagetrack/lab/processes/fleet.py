"""The world in real time: gateway processes that are started, killed, upgraded and reloaded, over loopback
sockets.

Whatever ends a run, nothing that it started stays behind: gateways are ended by id, and the kernel ends them
should this process be killed.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import uvloop

from sagetrack.lab.analysis.records import Records
from sagetrack.lab.errors import LabError
from sagetrack.lab.model.client_requests import ClientAttempt
from sagetrack.lab.model.endpoint_entry import EndpointEntry
from sagetrack.lab.model.platform_settings import platform_settings
from sagetrack.lab.model.scenario import Scenario, ScheduledFault
from sagetrack.lab.model.server import Server
from sagetrack.lab.model.world import World
from sagetrack.lab.processes.resource_usage import cpu_s, free_port, memory_mb
from sagetrack.lab.repository import ROOT
from sagetrack.lab.stand_ins.dns_clients import DnsSide
from sagetrack.lab.stand_ins.grpc_server import NewServerConnection
from sagetrack.lab.stand_ins.sockets import Agent, ClientConnection, ServerHost, Way

READY_S = 15.0  # for a gateway to say that it is ready
SETTLE_S = 0.3  # between an upgrade's new process being ready and the old one's SIGTERM
LEAVE_S = 4.0  # for a gateway to end after SIGTERM
SPARE_FILES = 200
PR_SET_PDEATHSIG = 1


class RealClock:
    """Microseconds of the event loop since the run began."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.start_s = self.loop.time()

    def now_us(self) -> int:
        return int((self.loop.time() - self.start_s) * 1e6)

    def at(self, time_us: int, call: Callable[[], None]) -> asyncio.TimerHandle:
        return self.loop.call_at(self.start_s + time_us / 1e6, call)


def _die_with_parent() -> None:
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def need_files(count: int) -> None:
    """See that this process may hold so many descriptors; LabError if it may not."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count:
        if hard != resource.RLIM_INFINITY and hard < count:
            raise LabError(f"{count} descriptors are needed and {hard} allowed; raise `ulimit -Hn`")
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


def door_operator(scenario: Scenario) -> str:
    """What the operator's file of a gateway says of fair queues, limits and newer servers."""
    admission = scenario.admission
    newer = scenario.fleet.new_share > 0 or scenario.fleet.roll_new
    text = '[newer]\ntypes = ["v2"]\n' if newer else ""
    if not admission.use:
        return text
    return text + (
        f"[queues]\nuse = true\npatience = {admission.max_wait_fraction:g}\n"
        f"memory_mb = {admission.memory_mb:g}\n"
        f"[limits]\nadaptive = {str(admission.adaptive).lower()}\nclient_per_s = {admission.client_per_s:g}\n"
        f"member_per_s = {admission.tenant_per_s:g}\n"
    )


class GatewayProcess:
    """One process of a gateway."""

    def __init__(
        self,
        folder: Path,
        config: dict[str, Any],
        listener: socket.socket | None,
        life: int,
        operator: str = "",
    ) -> None:
        self.file = folder / f"config-{life}.json"
        self.file.write_text(json.dumps(config))
        self.log = folder / f"log-{life}.txt"
        shared = folder / "tmp"
        shared.mkdir(exist_ok=True)
        environment = os.environ | {
            "LB_CONFIG": str(self.file),
            "TMPDIR": str(shared),
            "PYTHONPATH": str(ROOT),
        }
        for inherited in ("LB_ACCEPT_FD", "LB_OPERATOR", "LB_ADMIN"):
            environment.pop(inherited, None)
        if operator:
            file = folder / f"operator-{life}.toml"
            file.write_text(operator)
            environment["LB_OPERATOR"] = str(file)
        descriptors = []
        if listener is not None:
            descriptors = [listener.fileno()]
            environment["LB_ACCEPT_FD"] = str(listener.fileno())
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "sagetrack"],
                cwd=ROOT,
                env=environment,
                pass_fds=descriptors,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=_die_with_parent,
            )
        self.admin = config["admin"]

    def last_words(self) -> str:
        lines = self.log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "it said nothing"

    def usage(self) -> tuple[float, float]:
        """CPU seconds so far, and resident megabytes."""
        try:
            return cpu_s(self.process.pid), memory_mb(self.process.pid)
        except OSError:
            return 0.0, 0.0


class RealGateways:
    """All gateways of a run as processes, and members' connections to them."""

    def __init__(self, world: World, folder: Path, base_ms: int) -> None:
        self.world, self.folder, self.base_ms = world, folder, base_ms
        self.loop = asyncio.get_running_loop()
        self.hosts: dict[int, ServerHost] = {}
        self.calls: dict[str, ClientAttempt] = {}
        self.draw = random.Random(f"{world.seed}/net")
        self.agents: dict[int, Agent] = {}
        self.processes: dict[int, list[GatewayProcess]] = {}  # the newest last
        self.listeners: dict[int, socket.socket] = {}
        self.ports: dict[int, int] = {}
        self.dns: DnsSide | None = None
        if world.scenario.dns.rate:
            self.dns = DnsSide(world)
        self.ways: dict[tuple[int, int], Way] = {}  # by sender and receiver
        self.lives = 0
        self.idle: dict[int, list[ClientConnection]] = {}
        self.open: dict[int, set[ClientConnection]] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.failure: str | None = None
        self.trouble_tasks: dict[str, list[asyncio.Task[Any]]] = {}
        self.upgrades: dict[int, set[asyncio.Task[Any]]] = {}  # under way, by gateway
        self.ended = False
        self.cpu_s = 0.0  # of processes that have ended
        self.inherits = any(t.kind == "gateway-upgrade" for t in world.scenario.faults)
        world.server_fleet.observer.started = self.add_server
        world.server_fleet.observer.ended = self.server_gone

    # Servers

    def add_server(self, server: Server) -> None:
        self.hosts[server.number] = ServerHost(self.world, server, self.calls, self.distance_us)

    def server_gone(self, number: int) -> None:
        host = self.hosts.get(number)
        if host is None:
            return
        if number in self.world.server_fleet.vanished:
            host.silence()
        else:
            host.close()

    def address(self, gateway: int, server: int) -> str:
        host = self.hosts.get(server)
        return host.doors[gateway].address if host is not None else f"127.20.{gateway + 1}.254:9"

    def distance_us(self, gateway: int, server: int) -> int:
        network = self.world.scenario.network
        there = self.world.registry.entries.get(server)
        near = there is None or there.zone == gateway % len(self.world.scenario.fleet.zones)
        base = network.same_zone_ms if near else network.cross_zone_ms
        return int(base * 1000 * (1.0 + network.jitter * self.draw.random()))

    # Processes

    def config(self, gateway: int) -> dict[str, Any]:
        scenario = self.world.scenario
        agent = self.agents[gateway]
        admin = free_port()
        peers: dict[str, Any] = {}
        if self.ways:
            host, port = self.ways[gateway, gateway].gateway
            known = [self.ways[gateway, other].address for other in self.world.gateway_fleet.alive]
            peers = {"peer_listen": f"{host}:{port}", "peers": known}
        return peers | {
            "name": f"g{gateway}",
            "listen": f"127.10.{gateway + 1}.1:{self.ports[gateway]}",
            "discovery": agent.door.address,
            "admin": f"127.0.0.1:{admin}",
            "seed": f"{self.world.seed}/{gateway}/{self.lives}",
            "limits": {
                "cores": 1.0,
                "memory_mb": scenario.gateways.memory_mb,
                "sockets": scenario.gateways.sockets,
            },
            "known": agent.known(),
            "settings": platform_settings(scenario, gateway),
        }

    def listen(self, gateway: int) -> None:
        """Hold the gateway's listening socket, or find it a port that is free."""
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            holder.bind((f"127.10.{gateway + 1}.1", self.ports.get(gateway, 0)))
        except OSError as error:
            holder.close()
            raise LabError(f"no address for gateway {gateway}: {error.strerror}") from None
        self.ports[gateway] = holder.getsockname()[1]
        if self.inherits:
            holder.listen(1024)
            self.listeners[gateway] = holder
        else:
            holder.close()

    def launch(self, gateway: int) -> GatewayProcess:
        self.lives += 1
        folder = self.folder / f"g{gateway}"
        folder.mkdir(exist_ok=True)
        operator = self.dns.operator(gateway) if self.dns is not None else ""
        operator += door_operator(self.world.scenario)
        if self.world.scenario.store.use:
            sync = self.world.scenario.store.sync
            operator += f'[store]\nfolder = "{folder / "store"}"\nsync = "{sync}"\n'
        listener = self.listeners.get(gateway)
        process = GatewayProcess(folder, self.config(gateway), listener, self.lives, operator)
        self.processes.setdefault(gateway, []).append(process)
        return process

    async def until_ready(self, gateway: int, process: GatewayProcess) -> None:
        """Wait until a process says that it takes clients; LabError if it ends or never does."""
        host, _, port = process.admin.rpartition(":")
        end = self.loop.time() + READY_S
        while self.loop.time() < end:
            if process.process.poll() is not None:
                raise LabError(
                    f"gateway {gateway} ended with status {process.process.returncode}: "
                    + process.last_words()
                )
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"status\n")
                line = await reader.readline()
                writer.close()
                if line.startswith(b"SUCCESS"):
                    return
            except OSError:
                pass
            await asyncio.sleep(0.01)
        raise LabError(f"gateway {gateway} was not ready within {READY_S:g} s: {process.last_words()}")

    def start(self) -> None:
        """Agents and sockets first; processes come with `start_all`."""
        for gateway in self.world.gateway_fleet.alive:
            agent = self.agents[gateway] = Agent(self.world, gateway, self.address, self.base_ms)
            for entry in self.world.registry.known():
                agent.entries[entry.server] = EndpointEntry(entry.server, entry.zone, entry.rack)
            self.idle[gateway], self.open[gateway] = [], set()
            self.listen(gateway)

    async def open_ways(self) -> None:
        """Addresses for datagrams between gateways: one for each pair, and one at which each listens."""
        everyone = list(self.world.gateway_fleet.alive)
        for source in everyone:
            host = f"127.10.{source + 1}.1"
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                probe.bind((host, 0))
                port = probe.getsockname()[1]
            for target in everyone:
                way = Way(self.world, source, target, self.ways)
                way.gateway = (host, port)
                self.ways[source, target] = way
                here = (f"127.40.{source + 1}.{target + 1}", 0)
                await self.loop.create_datagram_endpoint(lambda w=way: w, here)  # type: ignore[misc]

    async def start_all(self) -> None:
        if self.world.scenario.peers.use:
            await self.open_ways()
        if self.dns is not None:
            await self.dns.prepare()
        processes = {gateway: self.launch(gateway) for gateway in self.world.gateway_fleet.alive}
        await asyncio.gather(*(self.until_ready(gateway, process) for gateway, process in processes.items()))

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:  # whatever it is: a run that goes on without its clients shows nothing
            self.failure = self.failure or (str(error) if isinstance(error, LabError) else repr(error))

    def kill(self, gateway: int) -> None:
        """End all processes of a gateway, and an upgrade of it that is under way.

        On a busy machine the new process may not be ready yet: that the lab killed it is no fault of it.
        """
        for task in self.upgrades.pop(gateway, set()):
            task.cancel()
        for process in self.processes[gateway]:
            self.cpu_s += process.usage()[0]
            process.process.kill()
        listener = self.listeners.pop(gateway, None)
        if listener is not None:
            listener.close()

    def restart(self, gateway: int) -> None:
        async def work() -> None:
            for process in self.processes[gateway]:
                await asyncio.to_thread(process.process.wait)
            if self.inherits:
                self.listen(gateway)
            process = self.launch(gateway)
            await self.until_ready(gateway, process)
            self.world.gateway_ready(gateway)
            self.send_endpoints(gateway, self.world.registry.known(), True)

        self.spawn(work())

    def upgrade(self, gateway: int) -> None:
        async def work() -> None:
            old = self.processes[gateway][-1]
            new = self.launch(gateway)
            await self.until_ready(gateway, new)
            await asyncio.sleep(SETTLE_S)
            old.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.to_thread(old.process.wait, LEAVE_S)
            except subprocess.TimeoutExpired:
                old.process.kill()

        self.upgrades.setdefault(gateway, set()).add(self.spawn(work()))

    def send_endpoints(self, gateway: int, entries: list[EndpointEntry], whole: bool) -> None:
        self.agents[gateway].take(entries, whole)

    # Clients

    def send(self, this: ClientAttempt) -> None:
        self.calls[this.call] = this
        delay = int(self.world.scenario.network.client_ms * 1000)
        self.world.clock.at(self.world.clock.now_us() + delay, lambda: self._ask(this))

    def _ask(self, this: ClientAttempt) -> None:
        if this.ended or self.ended:  # a try that fails as the run ends would be made again
            return
        idle = self.idle[this.gateway]
        while idle and this.request.keeps_connection:
            connection = idle.pop()
            if connection.is_open:
                self._write(this, connection)
                return
        self.spawn(self._connect(this))

    async def _connect(self, this: ClientAttempt) -> None:
        gateway = this.gateway
        try:
            async with asyncio.timeout(this.budget_us / 1e6):
                _, connection = await self.loop.create_connection(
                    lambda: ClientConnection(lambda c: self.idle[gateway].append(c)),
                    f"127.10.{gateway + 1}.1",
                    self.ports[gateway],
                )
        except (OSError, TimeoutError):
            if not this.ended:
                self.world.clients.on_response(this, "unreachable")
            return
        connection.slow = self.draw.random() < self.world.scenario.clients.slow_readers
        if this.ended or not connection.is_open:
            connection.close()
            return
        self._write(this, connection)

    def _write(self, this: ClientAttempt, connection: ClientConnection) -> None:
        kind = this.request.request_class
        spent = self.world.clock.now_us() - this.sent_us
        headers = [
            "Host: gateway",
            f"X-Call-Id: {this.call}",
            f"X-Call-Class: {kind.name}",
            f"X-Caller: {self.world.scenario.members[this.request.member].name}",
            f"X-Budget-Ms: {max(1, (this.budget_us - spent) // 1000)}",
        ]
        if this.request.client:
            headers.append(f"X-Client: {this.request.client}")
        body = b""
        method = "GET" if kind.effect == "safe" else "POST"
        if kind.effect == "keyed":
            headers.append(f"Idempotency-Key: {this.request.key:x}")
        if method == "POST":
            body = b"b" * kind.body_bytes
            headers.append(f"Content-Length: {len(body)}")
        if this.number > 1 and self.world.scenario.clients.marks_retry:
            headers.append("X-Again: 1")
        if not this.request.keeps_connection:
            headers.append("Connection: close")
        data = (
            "\r\n".join([f"{method} /{kind.name}/{this.request.id} HTTP/1.1", *headers, "", ""]).encode()
            + body
        )
        used = connection.used
        self.open[this.gateway].add(connection)

        def answered(status: int, retry_after_s: float) -> None:
            self.open[this.gateway].discard(connection)
            if status == 0 and used and not this.ended and self.world.gateway_fleet.alive[this.gateway]:
                # The end of a kept connection crossed the request: it is sent once more, on a new one.
                self.spawn(self._connect(this))
                return
            verdict = {0: "broken", 200: "served", 429: "refused", 503: "refused"}.get(status, "failed")
            delay = int(self.world.scenario.network.client_ms * 1000)
            due = self.world.clock.now_us() + delay
            self.world.clock.at(
                due, lambda: self.world.clients.on_response(this, verdict, int(retry_after_s * 1e6))
            )

        this.connection = connection
        connection.ask(data, answered)

    def disconnect(self, this: ClientAttempt) -> None:
        connection = this.connection
        if isinstance(connection, ClientConnection) and connection.waits is not None:
            connection.waits = None
            connection.close()

    # Troubles of sockets

    def set_fault(self, trouble: ScheduledFault, on: bool) -> None:
        if trouble.kind == "reload" and on:
            for gateway, processes in self.processes.items():
                if self.world.gateway_fleet.alive[gateway]:
                    processes[-1].process.send_signal(signal.SIGHUP)
        elif trouble.kind == "goaway" and on:
            for host in self.hosts.values():
                for connection in list(host.connections):
                    if isinstance(connection, NewServerConnection):
                        connection.goaway()
        elif trouble.kind == "slow-dns" and self.dns is not None:
            self.dns.slow(trouble, on)
        elif trouble.kind == "discovery-down" and not on:
            for agent in self.agents.values():
                agent.flush()
        elif trouble.kind in ("crowd", "rude") and on:
            work = self._crowd if trouble.kind == "crowd" else self._rude
            count = int(trouble.size)
            self.trouble_tasks[trouble.kind] = [self.spawn(work(number)) for number in range(count)]
        elif trouble.kind in ("crowd", "rude"):
            for task in self.trouble_tasks.pop(trouble.kind, []):
                task.cancel()

    async def _crowd(self, number: int) -> None:
        """Connect, begin a head, and never finish it; connect again when turned out."""
        gateways = list(self.world.gateway_fleet.alive)
        while True:
            gateway = gateways[number % len(gateways)]
            try:
                reader, writer = await asyncio.open_connection(f"127.10.{gateway + 1}.1", self.ports[gateway])
                writer.write(b"GET /lookup HTTP/1.1\r\nX-Half")
                try:
                    await reader.read()
                finally:
                    writer.close()
            except OSError:
                pass
            await asyncio.sleep(0.2 + self.draw.random() * 0.2)

    async def _rude(self, number: int) -> None:
        """Say what cannot be read, read the answer, and begin again."""
        nonsense = (
            b"\x00\xff\x17nonsense\r\n\r\n",
            b"GET / HTTP/9.9\r\n\r\n",
            b"POST /register HTTP/1.1\r\n\r\n",
            b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            b"GET /none HTTP/1.1\r\nX-Budget-Ms: soon\r\n\r\n",
        )
        gateways = list(self.world.gateway_fleet.alive)
        while True:
            gateway = gateways[number % len(gateways)]
            try:
                reader, writer = await asyncio.open_connection(f"127.10.{gateway + 1}.1", self.ports[gateway])
                writer.write(nonsense[number % len(nonsense)])
                async with asyncio.timeout(3):
                    await reader.read(1000)
                writer.close()
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)

    # The end

    def usage(self) -> tuple[float, float]:
        """CPU seconds of all gateways so far, and the resident megabytes of the largest."""
        usages = [p[-1].usage() for g, p in self.processes.items() if self.world.gateway_fleet.alive[g]]
        return self.cpu_s + sum(u[0] for u in usages), max((u[1] for u in usages), default=0.0)

    def crashed(self) -> list[str]:
        """Gateways that ended though nobody ended them."""
        return [
            f"gateway {gateway} ended with status {p[-1].process.returncode}: {p[-1].last_words()}"
            for gateway, p in self.processes.items()
            if self.world.gateway_fleet.alive[gateway] and p[-1].process.poll() is not None
        ]

    def stop(self) -> None:
        """End every process and close every socket."""
        self.ended = True
        for task in list(self.tasks):
            task.cancel()
        running = [p.process for processes in self.processes.values() for p in processes]
        for process in running:
            if process.poll() is None:
                process.terminate()
        end = time.monotonic() + 1.0
        for process in running:
            try:
                process.wait(max(0.0, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for host in self.hosts.values():
            host.close()
        for agent in self.agents.values():
            agent.door.close()
        for listener in self.listeners.values():
            listener.close()
        if self.dns is not None:
            self.dns.close()
        for way in self.ways.values():
            if way.transport is not None:
                way.transport.close()


async def _play(
    scenario: Scenario,
    seed: int,
    records: Records,
    progress: Callable[[float, World], None] | None,
    sample_s: float,
) -> None:
    fleet = scenario.fleet
    replaced = sum(t.kind in ("deploy", "vanish") for t in scenario.faults)
    doors = (fleet.servers * (1 + replaced) + 1) * fleet.gateways
    need_files(doors + int(scenario.rate * 4) + fleet.gateways * 20 + SPARE_FILES)
    folder = Path(tempfile.mkdtemp(prefix="sagetrack-lab-"))
    clock = RealClock()
    world = World(scenario, seed, clock, records)
    records.header["driver"] = "real"
    gateways = RealGateways(world, folder, time.time_ns() // 1_000_000)
    world.gateway_fleet.driver = gateways
    try:
        world.prepare()
        gateways.start()
        await gateways.start_all()
        # The run begins once all are ready: what came before counts as time 0.
        clock.start_s = clock.loop.time()
        base = time.time_ns() // 1_000_000
        for agent in gateways.agents.values():
            agent.base_ms = base
        for server in world.server_fleet.servers.values():
            server.now_us = server.started_us = 0
        records.rows = [(row[0], 0, *row[2:]) for row in records.rows]
        started, _ = gateways.usage()
        world.begin()
        if gateways.dns is not None:
            await gateways.dns.begin()
        whole = int(scenario.seconds * 1e6)
        longest = max(int(kind.deadline_ms * 1000) for kind in scenario.classes) + 200_000
        next_sample = 0.0
        while clock.now_us() < whole + longest:
            await asyncio.sleep(0.05)
            now = clock.now_us()
            if gateways.failure is not None:
                raise LabError(gateways.failure)
            crashed = gateways.crashed()
            if crashed:
                raise LabError(crashed[0])
            if progress is not None:
                progress(min(1.0, now / whole), world)
            if sample_s and now / 1e6 >= next_sample:
                next_sample = now / 1e6 + sample_s
                for server in world.server_fleet.servers.values():
                    jammed = server.is_degraded
                    records.add("load", now, server.number, server.request_count, len(server.running), jammed)
            asked = gateways.dns.open if gateways.dns is not None else 0
            if now > whole and world.arrivals.finished and not world.clients.waiting and not asked:
                break
        cpu_s, memory_mb = gateways.usage()
        records.header["gateway_cpu_s"] = round(cpu_s - started, 3)
        records.header["gateway_memory_mb"] = round(memory_mb, 1)
    finally:
        gateways.stop()
        shutil.rmtree(folder, ignore_errors=True)


def play(
    scenario: Scenario,
    seed: int,
    progress: Callable[[float, World], None] | None = None,
    sample_s: float = 0.0,
    records: Records | None = None,
) -> Records:
    """Play a scenario in real time.

    LabError if it cannot be; KeyboardInterrupt, once all is ended, on a signal.
    """
    made = records if records is not None else Records()

    async def main() -> None:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        for signum in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            loop.add_signal_handler(signum, task.cancel)
        await _play(scenario, seed, made, progress, sample_s)

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(main())
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None
    except OSError as error:
        raise LabError(f"no socket could be had: {error.strerror or error}") from None
    return made
