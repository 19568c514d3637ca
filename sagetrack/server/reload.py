"""Configuration reload on SIGHUP, while requests go on.

Of the platform's configuration the discovery address may change, of the operator's file traffic and tenant
shares, and the TLS keys are read again. What else has changed waits for the next start.
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

MAX_ATTEMPTS = 8  # for one signal, of files that cannot be used
BACKOFF_STEP_S = 0.1  # the backoff after the n-th failure is n times this: 2.8 s in all

OnOperator = Callable[[Config, "Operator"], None]


def read_operator(path: str) -> Operator:
    """The operator's file as it is now; ConfigError with its first fault if it cannot be used."""
    from sagetrack.config.errors import FileError
    from sagetrack.config.operator import load as load_operator

    try:
        return load_operator(path)
    except FileError as error:
        raise ConfigError(str(error.faults[0])) from None


class ConfigReloader:
    """Reads the configuration once for each request, or once for several that come while it reads."""

    def __init__(
        self,
        discovery: DiscoveryClient,
        operator_path: str | None,
        on_operator: OnOperator,
        on_keys: Callable[[], None] | None,
    ) -> None:
        """Nothing is read before `request`.

        Args:
            discovery: is moved to the address in the platform's configuration.
            operator_path: the operator's file; None if there is none.
            on_operator: called with both files as read again; it may raise ConfigError.
            on_keys: called to read the TLS keys again; None where there are none.
        """
        self.discovery = discovery
        self.operator_path = operator_path
        self.on_operator = on_operator
        self.on_keys = on_keys
        self._is_requested = False
        self._reading: asyncio.Task[None] | None = None
        self._failures = 0  # in a row
        self._retry_timer: asyncio.TimerHandle | None = None

    def request(self) -> None:
        """Reload: the configuration may have changed. Call it on the event loop."""
        self._failures = 0
        self._begin()

    def _begin(self) -> None:
        self._is_requested = True
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        if self._reading is None:
            self._reading = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        try:
            while self._is_requested:
                self._is_requested = False
                # In a thread: the disk may be slow, and the file long.
                config = await asyncio.to_thread(load)
                self._apply(config)
                if self.on_keys is not None:
                    self.on_keys()
                if self.operator_path is not None:
                    self.on_operator(config, await asyncio.to_thread(read_operator, self.operator_path))
                self._failures = 0
        except (ConfigError, OSError, RuntimeError) as error:  # RuntimeError: no thread can be started
            self._retry_later(error)
        finally:
            self._reading = None
            if self._is_requested:
                self._begin()

    def _retry_later(self, error: Exception) -> None:
        """Read again after a backoff, MAX_ATTEMPTS times in all.

        The signal may have come before the file was complete, and a disk, a descriptor or a thread may be
        wanting for a moment: a change of the discovery address must not be missed for that. Only the first
        failure is logged.
        """
        if not self._failures:
            log(f"configuration reload failed, keeping the previous one: {error}")
        self._failures += 1
        if self._failures < MAX_ATTEMPTS and not self._is_requested:
            loop = asyncio.get_running_loop()
            self._retry_timer = loop.call_later(BACKOFF_STEP_S * self._failures, self._begin)

    def _apply(self, config: Config) -> None:
        if config.discovery != self.discovery.address:
            log(f"discovery address changed to {config.discovery[0]}:{config.discovery[1]}")
            self.discovery.change_address(config.discovery)
