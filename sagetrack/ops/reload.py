"""SIGHUP: the configuration is read again while requests go on, and discovery may move."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from sagetrack.config.platform import Config, ConfigError, load
from sagetrack.roster.discovery import Discovery
from sagetrack.core.log import log


if TYPE_CHECKING:
    from sagetrack.config.operator import Operator

OnOperator = Callable[[Config, "Operator"], None]


def read_again(path: str) -> Operator:
    """The operator's file as it is now; ConfigError if it cannot be read."""
    from sagetrack.config.checked import FileError
    from sagetrack.config.operator import load as load_operator

    try:
        return load_operator(path)
    except FileError as error:
        raise ConfigError(str(error.faults[0])) from None


class Reloader:
    """Reads LB_CONFIG once for each time that is asked, or once for several that come together."""

    def __init__(
        self, discovery: Discovery, operator: str | None = None, on_operator: OnOperator | None = None,
        on_keys: Callable[[], None] | None = None,
    ) -> None:  # fmt: skip
        self.discovery, self.operator, self.on_operator = discovery, operator, on_operator
        self.on_keys = on_keys
        self.asked = False
        self.reading: asyncio.Task[None] | None = None

    def ask(self) -> None:
        self.asked = True
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
                    self.on_operator(config, await asyncio.to_thread(read_again, self.operator))
        except ConfigError as error:
            log(f"all stays as it is: {error}")
        finally:
            self.reading = None
            if self.asked:
                self.ask()

    def take(self, config: Config) -> None:
        """Apply what may change while the program runs: the address of discovery."""
        if config.discovery != self.discovery.address:
            log(f"discovery moves to {config.discovery[0]}:{config.discovery[1]}")
            self.discovery.move(config.discovery)
