"""The endpoint list that a process leaves in $TMPDIR for its successor.

The successor starts with it where it is newer than the one in the platform's configuration. The file is
written under another name and renamed, so that a reader finds a complete list or none.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from sagetrack.config.platform import Address
from sagetrack.core.log import log
from sagetrack.discovery.endpoint_list_json import encode_endpoint_list

FILE_NAME = "sagetrack-list.json"
MAX_BYTES = 1024 * 1024  # files in $TMPDIR count as memory
WRITE_INTERVAL_S = 1.0  # the least time between two writes: 200 entries may change within a second

EndpointListSource = Callable[
    [], dict[str, Any]
]  # the list as it stands when it is called, in discovery's form


class EndpointListFile:
    """Writes the endpoint list at a limited rate, and reads what a predecessor left.

    Does nothing without a folder. `schedule_write` needs a running loop; the other methods do not.
    """

    def __init__(self, folder: Path | None) -> None:
        self.folder = folder
        self._pending: tuple[Address, EndpointListSource] | None = None
        self._rate_limit_timer: asyncio.TimerHandle | None = None  # while it is set, nothing is written

    @property
    def is_rate_limited(self) -> bool:
        """Whether a change is written only later, as a write was made less than WRITE_INTERVAL_S ago."""
        return self._rate_limit_timer is not None

    def disable(self) -> None:
        """Neither read nor write from here on: the folder cannot be used."""
        self.folder = None

    def schedule_write(self, discovery: Address, source: EndpointListSource) -> None:
        """Write the changed list: at once, or once WRITE_INTERVAL_S have passed since the last write.

        Args:
            discovery: the address of the discovery service that the list is from.
            source: called at the time of the write, so that several changes are written together.
        """
        if self.folder is None:
            return
        self._pending = discovery, source
        if self._rate_limit_timer is None:
            self._write_pending()

    def _write_pending(self) -> None:
        self._rate_limit_timer = None
        if self._pending is not None:
            loop = asyncio.get_running_loop()
            self._rate_limit_timer = loop.call_later(WRITE_INTERVAL_S, self._write_pending)
            discovery, source = self._pending
            self._pending = None
            self.write(discovery, source())

    def write(self, discovery: Address, endpoints: dict[str, Any]) -> None:
        """Write a list now; one over MAX_BYTES is not written, and an error of the disk is logged."""
        if self.folder is None:
            return
        data = b'{"discovery":%s,"known":%s}' % (
            json.dumps(list(discovery)).encode(),
            encode_endpoint_list(endpoints),
        )
        if len(data) > MAX_BYTES:
            return
        temporary = self.folder / f"{FILE_NAME}.{os.getpid()}"
        try:
            temporary.write_bytes(data)
            os.replace(temporary, self.folder / FILE_NAME)
        except OSError as error:
            log(f"endpoint list not passed to the successor process: {error.strerror}")

    def select_newest(
        self,
        discovery: Address,
        configured: dict[str, Any],
        is_usable: Callable[[dict[str, Any]], bool] = lambda endpoints: True,
    ) -> dict[str, Any]:
        """The predecessor's list or the configured one, whichever is newer.

        Args:
            discovery: the discovery service; a list from another one is not used.
            configured: the list in the platform's configuration.
            is_usable: whether at least one entry of the predecessor's list can be read.

        Returns:
            The predecessor's list if it is complete, usable, of the same discovery service and of a higher
            index; `configured` otherwise. A file that cannot be used is logged.
        """
        if self.folder is None:
            return configured
        try:
            with open(self.folder / FILE_NAME, "rb") as file:
                content = json.loads(file.read(MAX_BYTES + 1))
            inherited: dict[str, Any] = content["known"]
            is_same_service = content["discovery"] == list(discovery)
            if not is_usable(inherited):
                raise ValueError("none of its entries can be read")
            is_newer = is_same_service and int(inherited["index"]) > int(configured.get("index", -1))
            return inherited if is_newer else configured
        except FileNotFoundError:
            return configured
        except (OSError, ValueError, TypeError, KeyError, AttributeError) as error:
            log(f"endpoint list of the previous process ignored, it cannot be used: {error!r}")
            return configured

    def close(self, write_pending: bool) -> None:
        """Stop writing.

        Args:
            write_pending: whether a change that is held back by the rate limit is written first.
        """
        if self._rate_limit_timer is not None:
            self._rate_limit_timer.cancel()
            self._rate_limit_timer = None
        if self._pending is not None and write_pending:
            discovery, source = self._pending
            self.write(discovery, source())
        self._pending = None
