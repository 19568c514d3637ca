"""Life cycle of the gateway process on its event loop: assemble, bind, serve, drain, shut down."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
from typing import TYPE_CHECKING

import uvloop

from sagetrack.config.platform import Address, Config, ConfigError
from sagetrack.core.log import log
from sagetrack.server.admin import AdminServer
from sagetrack.server.exit_status import ADDRESS_UNAVAILABLE, CONFIGURATION_UNUSABLE, SUCCESS
from sagetrack.server.gateway_assembly import GatewayAssembly
from sagetrack.server.reload import ConfigReloader

if TYPE_CHECKING:
    from sagetrack.config.operator import Operator
    from sagetrack.server.startup_timing import StartupTiming


def run_on_event_loop(process: GatewayProcess) -> int:
    """Run the process on a uvloop event loop until it ends, and return its exit status."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(process.run())


class _StartFailedError(Exception):
    """The start failed and the reason has been logged; `status` is the exit status."""

    def __init__(self, status: int) -> None:
        super().__init__(f"start failed with exit status {status}")
        self.status = status


class GatewayProcess:
    """A gateway with its signal handlers and its admin address."""

    def __init__(
        self,
        config: Config,
        operator: Operator | None,
        operator_path: str | None,
        timing: StartupTiming,
        early_reloads: list[int],
    ) -> None:
        """Store the arguments; `run` opens sockets and files.

        Args:
            config: The platform's configuration.
            operator: The content of the operator's file, if there is one.
            operator_path: Its path, from which it is reloaded on SIGHUP.
            timing: Records how long the phases of the start take.
            early_reloads: Contains an element for each SIGHUP that arrived before `run` handles the signal.
        """
        self.config = config
        self.operator = operator
        self.operator_path = operator_path
        self.timing = timing
        self.early_reloads = early_reloads

    async def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then drain and shut down, and return the exit status."""
        stop_requested = self._handle_stop_signals()
        try:
            assembly = self._assemble()
            reloader = self._handle_reload_signal(assembly)
            admin = AdminServer(assembly.http_listener)
            await self._listen(assembly, admin)
        except _StartFailedError as error:
            return error.status
        self.timing.log()
        if self.early_reloads:
            reloader.request()
        gc.collect()
        gc.freeze()  # objects created by the start live until the process ends
        assembly.http_listener.memory_budget.measure_rest()
        await stop_requested.wait()
        await assembly.drain()
        log(f"shutdown complete; upstream connections: {assembly.pools.counts}")
        admin.close()
        assembly.close_drained()
        return SUCCESS

    @staticmethod
    def _handle_stop_signals() -> asyncio.Event:
        """Return an event that SIGTERM and SIGINT set; a second signal has no effect."""
        loop = asyncio.get_running_loop()
        stop_requested = asyncio.Event()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop_requested.set)
        return stop_requested

    def _assemble(self) -> GatewayAssembly:
        try:
            return GatewayAssembly(self.config, self.operator, self.timing)
        except ConfigError as error:
            log(str(error), "error")
            raise _StartFailedError(CONFIGURATION_UNUSABLE) from None

    def _handle_reload_signal(self, assembly: GatewayAssembly) -> ConfigReloader:
        """Reload the configuration on SIGHUP."""
        reload_tls_keys = assembly.reload_tls_keys if assembly.tls_keys is not None else None
        reloader = ConfigReloader(
            assembly.discovery, self.operator_path, assembly.apply_operator, reload_tls_keys
        )
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reloader.request)
        return reloader

    async def _listen(self, assembly: GatewayAssembly, admin: AdminServer) -> None:
        """Listen on the admin address, then start the gateway.

        The admin address responds first; until the start ends, it reports that no clients are accepted.
        """
        address: Address | None = self.config.admin
        try:
            if address is not None:
                await admin.start(address)
            address = self.config.listen
            await assembly.start()
        except ConfigError as error:
            log(str(error), "error")
            raise _StartFailedError(CONFIGURATION_UNUSABLE) from None
        except OSError as error:
            assert address is not None
            reason = os.strerror(error.errno) if error.errno else str(error)
            log(f"cannot listen on {address[0]}:{address[1]}: {reason}", "error")
            assembly.hot_restart.release()
            raise _StartFailedError(ADDRESS_UNAVAILABLE) from None
