"""Configuration reload on SIGHUP, without interrupting requests.

A reload applies the discovery address of the platform's configuration, the traffic and tenant shares of the
operator's file, and the TLS keys. All other changes take effect at the next start.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from sagetrack.config.platform import Config, ConfigError, load
from sagetrack.core.log import log
from sagetrack.discovery.client import DiscoveryClient

if TYPE_CHECKING:
    from sagetrack.config.operator import Operator

MAX_ATTEMPTS = 8  # reload attempts per signal while the files are unusable
BACKOFF_STEP_S = 0.1  # the backoff after the n-th failure is n times this, 2.8 s in total

ApplyOperator = Callable[[Config, "Operator"], None]


def read_operator(path: str) -> Operator:
    """Read the operator's file; raises ConfigError with the first fault if it is invalid."""
    from sagetrack.config.errors import FileError
    from sagetrack.config.operator import load as load_operator

    try:
        return load_operator(path)
    except FileError as error:
        raise ConfigError(str(error.faults[0])) from None


class ConfigReloader:
    """Reloads the configuration on request; several requests during a reload cause only one more reload."""

    def __init__(
        self,
        discovery: DiscoveryClient,
        operator_path: str | None,
        apply_operator: ApplyOperator,
        reload_tls_keys: Callable[[], None] | None,
    ) -> None:
        """Create a reloader that reads nothing before `request`.

        Args:
            discovery: The discovery client, whose address is updated from the platform's configuration.
            operator_path: Path of the operator's file; None if there is none.
            apply_operator: Applies the content of both files; it may raise ConfigError.
            reload_tls_keys: Reloads the TLS keys; None if there are none.
        """
        self.discovery = discovery
        self.operator_path = operator_path
        self.apply_operator = apply_operator
        self.reload_tls_keys = reload_tls_keys
        self._is_requested = False
        self._read_task: asyncio.Task[None] | None = None
        self._failure_count = 0  # number of consecutive failures
        self._retry_timer: asyncio.TimerHandle | None = None

    def request(self) -> None:
        """Reload the configuration; has to be called on the event loop."""
        self._failure_count = 0
        self._start_reading()

    def _start_reading(self) -> None:
        self._is_requested = True
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        if self._read_task is None:
            self._read_task = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        try:
            while self._is_requested:
                self._is_requested = False
                # Read in a thread, as the disk may be slow and the file long.
                config = await asyncio.to_thread(load)
                self._apply_discovery_address(config)
                if self.reload_tls_keys is not None:
                    self.reload_tls_keys()
                if self.operator_path is not None:
                    self.apply_operator(config, await asyncio.to_thread(read_operator, self.operator_path))
                self._failure_count = 0
        except (ConfigError, OSError, RuntimeError) as error:  # RuntimeError: the thread cannot be started
            self._schedule_retry(error)
        finally:
            self._read_task = None
            if self._is_requested:
                self._start_reading()

    def _schedule_retry(self, error: Exception) -> None:
        """Schedule another attempt after a backoff, up to MAX_ATTEMPTS in total.

        The signal may arrive before the file is complete, and there may be a temporary disk error or lack of
        descriptors or threads. A change of the discovery address must not be missed because of that. Only the
        first failure is logged.
        """
        if not self._failure_count:
            log(f"configuration reload failed, keeping the previous one: {error}")
        self._failure_count += 1
        if self._failure_count < MAX_ATTEMPTS and not self._is_requested:
            loop = asyncio.get_running_loop()
            self._retry_timer = loop.call_later(BACKOFF_STEP_S * self._failure_count, self._start_reading)

    def _apply_discovery_address(self, config: Config) -> None:
        if config.discovery != self.discovery.address:
            log(f"discovery address changed to {config.discovery[0]}:{config.discovery[1]}")
            self.discovery.change_address(config.discovery)
