"""Applies the scheduled faults to the fleet and records in the history what the oracle needs to know."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

from sagetrack.lab.soak.discovery import AgentFault, EndpointStatus
from sagetrack.lab.soak.events import now_us
from sagetrack.lab.soak.fault_schedule import FaultKind, ScheduledFault
from sagetrack.lab.soak.fleet import Fleet, set_behaviour
from sagetrack.lab.soak.gateway import Gateway
from sagetrack.lab.soak.gateway_lifecycle import GatewayLifecycle
from sagetrack.lab.soak.history import (
    US_PER_S,
    GatewaySpan,
    History,
    Replacement,
    Restart,
    Withdrawal,
)
from sagetrack.lab.soak.proxy import FaultCommand, RouteFault
from sagetrack.lab.soak.server import Behaviour
from sagetrack.lab.soak.shim import NO_FAULTS, SystemCallFaults
from sagetrack.lab.stand_ins.slow_clients import SlowClients
from sagetrack.lab.stand_ins.slow_front_clients import GrpcHabit, SlowDnsClients, SlowGrpcClients

CROWD_CLIENTS = 120  # slow clients of one crowd
HALF_REQUEST_CLIENTS = 20  # clients that send halves of requests, which cost the soak as much as the gateway
PAUSE_S = 0.12  # duration of each SIGSTOP of a gateway
PAUSE_GAP_S = 0.15  # time between SIGCONT and the next SIGSTOP
HALF_WRITTEN_CONFIGURATION_S = 0.2  # time from SIGHUP until the configuration file is complete
OLD_DISCOVERY_ADDRESS_S = 1.5  # time from SIGHUP until the old discovery address is closed
RELOAD_GRACE_US = 4_000_000  # time after a reload during which discovery counts as unreachable
CRASH_DETECTION_S = 0.3  # time from a server's crash until discovery lists it as deleted
SERVER_LISTING_DELAY_S = 0.4  # time from a server's restart until discovery lists it again


class FaultInjector:
    """Applies faults to the processes of one run; several faults may be active at once."""

    def __init__(
        self, fleet: Fleet, lifecycle: GatewayLifecycle, server_count: int, history: History
    ) -> None:
        self._fleet = fleet
        self._lifecycle = lifecycle
        self._server_count = server_count
        self._history = history
        self._withdrawn_servers: set[int] = set()
        self._appliers: dict[FaultKind, Callable[[ScheduledFault], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.SIGTERM: self._sigterm,
            FaultKind.UPGRADE: self._upgrade,
            FaultKind.CROSSED_UPGRADE: self._upgrade,
            FaultKind.PAUSE: self._pause,
            FaultKind.RELOAD: self._reload,
            FaultKind.HALF_WRITTEN_RELOAD: self._reload,
            FaultKind.SYSTEM_CALLS: self._fail_system_calls,
            FaultKind.CLOCK_STEP: self._step_clock,
            FaultKind.DISCOVERY_DOWN: self._fail_discovery,
            FaultKind.DISCOVERY_SILENT: self._fail_discovery,
            FaultKind.DISCOVERY_RESET: self._reset_discovery,
            FaultKind.DRAIN: self._drain_server,
            FaultKind.CRASH: self._crash_server,
            FaultKind.MISBEHAVE: self._misbehave,
            FaultKind.MUTE: self._mute_route,
            FaultKind.RESET: self._reset_route,
            FaultKind.STALL: self._stall_route,
            FaultKind.CROWD: self._send_crowd,
            FaultKind.FRONT_CROWD: self._send_front_crowd,
            FaultKind.STREAM: self._misbehave,
        }

    async def apply_when_due(self, fault: ScheduledFault) -> None:
        """Wait until a fault is due and apply it.

        Returns when the fault is over and the processes that it ended are running again.
        """
        await asyncio.sleep(fault.at_s)
        await self._appliers[fault.kind](fault)

    # Faults of gateways

    async def _kill(self, fault: ScheduledFault) -> None:
        await self._lifecycle.kill_and_restart(self._gateway(fault))

    async def _sigterm(self, fault: ScheduledFault) -> None:
        await self._lifecycle.shut_down_and_restart(self._gateway(fault))

    async def _upgrade(self, fault: ScheduledFault) -> None:
        crossed = fault.kind is FaultKind.CROSSED_UPGRADE
        await self._lifecycle.upgrade(self._gateway(fault), crossed)

    async def _pause(self, fault: ScheduledFault) -> None:
        """Repeatedly stop the newest process for a short time."""
        gateway = self._gateway(fault)
        end_s = time.monotonic() + fault.duration_s
        while time.monotonic() < end_s:
            process = gateway.newest_process
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(PAUSE_S)
            process.send_signal(signal.SIGCONT)
            await asyncio.sleep(PAUSE_GAP_S)

    async def _reload(self, fault: ScheduledFault) -> None:
        """Move discovery to a new address, write it to the configuration, and send SIGHUP."""
        gateway = self._gateway(fault)
        half_written = fault.kind is FaultKind.HALF_WRITTEN_RELOAD
        old_listeners = await gateway.agent.listen()
        reloaded_us = now_us()
        self._history.discovery_unreachable.append(
            GatewaySpan(gateway.number, reloaded_us, reloaded_us + RELOAD_GRACE_US)
        )
        configuration = gateway.configuration()
        written = configuration[: len(configuration) // 2] if half_written else configuration
        gateway.write_configuration(written)
        gateway.newest_process.send_signal(signal.SIGHUP)
        if half_written:
            await asyncio.sleep(HALF_WRITTEN_CONFIGURATION_S)
            gateway.write_configuration(configuration)
        await asyncio.sleep(OLD_DISCOVERY_ADDRESS_S)
        gateway.agent.close(old_listeners)

    async def _fail_system_calls(self, fault: ScheduledFault) -> None:
        await self._apply_system_call_faults(fault, fault.system_call_faults)

    async def _step_clock(self, fault: ScheduledFault) -> None:
        step = SystemCallFaults(wall_step_us=fault.clock_step_s * US_PER_S)
        await self._apply_system_call_faults(fault, step)

    async def _apply_system_call_faults(self, fault: ScheduledFault, faults: SystemCallFaults) -> None:
        gateway = self._gateway(fault)
        since_us = now_us()
        gateway.system_calls.set(faults)
        await asyncio.sleep(fault.duration_s)
        gateway.system_calls.set(NO_FAULTS)
        self._history.system_call_faults.append(GatewaySpan(gateway.number, since_us, now_us()))

    async def _send_crowd(self, fault: ScheduledFault) -> None:
        """Let a crowd of slow clients connect to a gateway."""
        clients = SlowClients(("127.0.0.1", self._gateway(fault).port))
        clients.start(fault.habit, CROWD_CLIENTS)
        await asyncio.sleep(fault.duration_s)
        await clients.stop()

    async def _send_front_crowd(self, fault: ScheduledFault) -> None:
        """Let a crowd of bad clients connect to the gRPC or DNS front of a gateway, if it has them."""
        fronts = self._gateway(fault).fronts
        if fronts is None:
            return
        clients: SlowGrpcClients | SlowDnsClients
        if isinstance(fault.front_habit, GrpcHabit):
            clients = SlowGrpcClients(("127.0.0.1", fronts.grpc_port))
            count = HALF_REQUEST_CLIENTS if fault.front_habit is GrpcHabit.HALF_REQUESTS else CROWD_CLIENTS
            clients.start(fault.front_habit, count)
        else:
            clients = SlowDnsClients(("127.0.0.1", fronts.dns_port))
            clients.start(fault.front_habit, CROWD_CLIENTS)
        await asyncio.sleep(fault.duration_s)
        await clients.stop()

    # Faults of discovery

    async def _fail_discovery(self, fault: ScheduledFault) -> None:
        agent = self._gateway(fault).agent
        down = fault.kind is FaultKind.DISCOVERY_DOWN
        agent.fail(AgentFault.DOWN if down else AgentFault.SILENT)
        await asyncio.sleep(fault.duration_s)
        agent.recover()

    async def _reset_discovery(self, fault: ScheduledFault) -> None:
        self._gateway(fault).agent.reset_connections()

    # Faults of servers

    async def _drain_server(self, fault: ScheduledFault) -> None:
        """List a server as draining, kill it after the fault's duration, and start it again."""
        server = fault.server
        if not self._may_withdraw(server):
            return
        self._withdrawn_servers.add(server)
        withdrawal = self._withdraw(server, EndpointStatus.DRAINING)
        await asyncio.sleep(fault.duration_s)
        self._fleet.endpoint_list.set_status(server, EndpointStatus.DELETED)
        self._fleet.kill_server(server)
        await self._start_server_again(withdrawal)

    async def _crash_server(self, fault: ScheduledFault) -> None:
        """Kill a server, delete it from the list shortly afterwards, and start it again."""
        server = fault.server
        if not self._may_withdraw(server):
            return
        self._withdrawn_servers.add(server)
        self._fleet.kill_server(server)
        await asyncio.sleep(CRASH_DETECTION_S)
        withdrawal = self._withdraw(server, EndpointStatus.DELETED)
        await asyncio.sleep(fault.duration_s)
        await self._start_server_again(withdrawal)

    def _may_withdraw(self, server: int) -> bool:
        """Return True if the server is not withdrawn and enough other servers are serving."""
        withdrawn = self._withdrawn_servers
        return server not in withdrawn and len(withdrawn) <= self._server_count // 3

    def _withdraw(self, server: int, status: EndpointStatus) -> Withdrawal:
        """List a server with a status under which it must get no new attempts."""
        withdrawal = Withdrawal(server, now_us())
        self._history.withdrawals.append(withdrawal)
        self._fleet.endpoint_list.set_status(server, status)
        return withdrawal

    async def _start_server_again(self, withdrawal: Withdrawal) -> None:
        """Start a withdrawn server again once its process has ended, and list it as serving."""
        server = withdrawal.server
        await self._fleet.wait_for_server(server)
        await self._fleet.start_server(server)
        await asyncio.sleep(SERVER_LISTING_DELAY_S)
        withdrawal.until_us = now_us()
        self._history.restarts.append(Restart(server, now_us()))
        endpoints = self._fleet.endpoint_list
        deleted = endpoints.endpoints[server].status is EndpointStatus.DELETED
        replaced = deleted and server % 2 == 0
        endpoints.set_status(server, EndpointStatus.SERVING, restarted=True, renamed=replaced)
        if replaced:
            group = endpoints.endpoints[server].group
            self._history.replacements.append(Replacement(server, now_us(), group))
        self._withdrawn_servers.discard(server)

    async def _misbehave(self, fault: ScheduledFault) -> None:
        """Make a server's current process misbehave; a process that replaces it behaves normally."""
        process = self._fleet.server_process(fault.server)
        set_behaviour(process, fault.behaviour)
        await asyncio.sleep(fault.duration_s)
        set_behaviour(process, Behaviour.NORMAL)

    # Faults of routes

    async def _mute_route(self, fault: ScheduledFault) -> None:
        await self._apply_to_route(fault, RouteFault.MUTE, RouteFault.UNMUTE)

    async def _stall_route(self, fault: ScheduledFault) -> None:
        await self._apply_to_route(fault, RouteFault.STALL, RouteFault.RESUME)

    async def _apply_to_route(self, fault: ScheduledFault, start: RouteFault, end: RouteFault) -> None:
        self._send_command(start, fault)
        await asyncio.sleep(fault.duration_s)
        self._send_command(end, fault)

    async def _reset_route(self, fault: ScheduledFault) -> None:
        self._send_command(RouteFault.RESET, fault)

    def _send_command(self, route_fault: RouteFault, fault: ScheduledFault) -> None:
        self._fleet.send_fault_command(FaultCommand(route_fault, fault.gateway, fault.server))

    def _gateway(self, fault: ScheduledFault) -> Gateway:
        return self._fleet.gateways[fault.gateway]
