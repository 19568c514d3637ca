"""The life of a gateway process on its event loop: bind, assemble, serve, drain, shut down."""

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
    """Run the process to its end on a uvloop event loop; returns its exit status."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(process.run())


class _StartFailedError(Exception):
    """The start was given up and logged; `status` is the exit status."""

    def __init__(self, status: int) -> None:
        super().__init__(f"the start failed, exit status {status}")
        self.status = status


class GatewayProcess:
    """One gateway, its signals and its admin address."""

    def __init__(
        self,
        config: Config,
        operator: Operator | None,
        operator_path: str | None,
        timing: StartupTiming,
        early_reloads: list[int],
    ) -> None:
        """Nothing is opened here.

        Args:
            config: the platform's configuration.
            operator: the content of the operator's file, if there is one.
            operator_path: its path, to read it again on SIGHUP.
            timing: the record of this start.
            early_reloads: a list that is not empty if SIGHUP came before `run` handles it.
        """
        self.config = config
        self.operator = operator
        self.operator_path = operator_path
        self.timing = timing
        self.early_reloads = early_reloads

    async def run(self) -> int:
        """Serve until SIGTERM or SIGINT, then drain and shut down; returns the exit status."""
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
        gc.freeze()  # what the start has made is never garbage
        await stop_requested.wait()
        await assembly.drain()
        log(f"shutdown complete; upstream connections: {assembly.pools.counts}")
        admin.close()
        assembly.close_drained()
        return SUCCESS

    @staticmethod
    def _handle_stop_signals() -> asyncio.Event:
        """An event that is set by SIGTERM and SIGINT; a second signal changes nothing."""
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
        """Read the configuration again on SIGHUP."""
        on_keys = assembly.reload_tls_keys if assembly.tls_keys is not None else None
        reloader = ConfigReloader(assembly.discovery, self.operator_path, assembly.apply_operator, on_keys)
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reloader.request)
        return reloader

    async def _listen(self, assembly: GatewayAssembly, admin: AdminServer) -> None:
        """Listen at the admin address, then start the gateway.

        The admin address answers first, and says that no clients are accepted until the gateway is up.
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
