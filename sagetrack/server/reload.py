"""SIGHUP: the configuration is read again while requests go on, and discovery may move."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from sagetrack.config.platform import Config, ConfigError, load
from sagetrack.core.log import log
from sagetrack.discovery.client import Discovery

if TYPE_CHECKING:
    from sagetrack.config.operator import Operator

READINGS = 8  # of a file that cannot be used, for one signal
AGAIN_S = 0.1  # after the first of them; the pause grows by this with each: 2.8 s in all

OnOperator = Callable[[Config, "Operator"], None]


def read_operator(path: str) -> Operator:
    """The operator's file as it is now; ConfigError if it cannot be read."""
    from sagetrack.config.operator import load as load_operator
    from sagetrack.config.validation import FileError

    try:
        return load_operator(path)
    except FileError as error:
        raise ConfigError(str(error.faults[0])) from None


class ConfigReloader:
    """Reads LB_CONFIG once for each time that is asked, or once for several that come together."""

    def __init__(
        self,
        discovery: Discovery,
        operator: str | None = None,
        on_operator: OnOperator | None = None,
        on_keys: Callable[[], None] | None = None,
    ) -> None:
        self.discovery, self.operator, self.on_operator = discovery, operator, on_operator
        self.on_keys = on_keys
        self.asked = False
        self.reading: asyncio.Task[None] | None = None
        self.failed = 0  # readings in a row
        self.again: asyncio.TimerHandle | None = None  # the next one, after a failure

    def ask(self) -> None:
        """Read it: there is word that it has changed."""
        self.failed = 0
        self._ask()

    def _ask(self) -> None:
        self.asked = True
        if self.again is not None:
            self.again.cancel()
            self.again = None
        if self.reading is None:
            self.reading = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        try:
            while self.asked:
                self.asked = False
                # Off the loop: the disk may be slow, and the file long.
                config = await asyncio.to_thread(load)
                self.take(config)
                if self.on_keys is not None:
                    self.on_keys()
                if self.operator is not None and self.on_operator is not None:
                    self.on_operator(config, await asyncio.to_thread(read_operator, self.operator))
                self.failed = 0
        except (ConfigError, OSError, RuntimeError) as error:  # RuntimeError: there is no thread to be had
            self.fail(error)
        finally:
            self.reading = None
            if self.asked:
                self._ask()

    def fail(self, error: Exception) -> None:
        """Read it again soon, some times: the signal may have come before the file was whole.

        Guards against a change of discovery that is never heard of, as a disk, a descriptor or a thread was
        wanting for a moment. What it has to tell counts seconds after the signal.
        """
        if not self.failed:
            log(f"all stays as it is: {error}")
        self.failed += 1
        if self.failed < READINGS and not self.asked:
            loop = asyncio.get_running_loop()
            self.again = loop.call_later(AGAIN_S * self.failed, self._ask)

    def take(self, config: Config) -> None:
        """Apply what may change while the program runs: the address of discovery."""
        if config.discovery != self.discovery.address:
            log(f"discovery moves to {config.discovery[0]}:{config.discovery[1]}")
            self.discovery.move(config.discovery)
