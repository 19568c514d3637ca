"""A file in $TMPDIR in which a process leaves its endpoint list for its successor.

The successor starts with this list if it is newer than the one in the platform's configuration. The file is
written under a temporary name and then renamed, so that readers never see an incomplete list.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable
from typing import Any

from sagetrack.config.platform import Address
from sagetrack.core.files import StrPath, replace_file
from sagetrack.core.log import log
from sagetrack.discovery.endpoint_list_json import encode_endpoint_list

FILE_NAME = "sagetrack-list.json"
MAX_BYTES = 1024 * 1024  # files in $TMPDIR count towards the memory limit
WRITE_INTERVAL_S = 1.0  # minimum interval between writes: 200 entries may change within a second

# Returns the list as it is at the time of the call, in the format of discovery.
EndpointListSource = Callable[[], dict[str, Any]]


class EndpointListFile:
    """Writes the endpoint list at a limited rate, and reads the list of the predecessor.

    Without a folder, all methods do nothing. Only `schedule_write` requires a running event loop.
    """

    def __init__(self, folder: StrPath | None) -> None:
        self.folder = folder
        self._pending: tuple[Address, EndpointListSource] | None = None
        self._rate_limit_timer: asyncio.TimerHandle | None = None  # no write is made while it is set

    @property
    def is_rate_limited(self) -> bool:
        """True if the last write was less than WRITE_INTERVAL_S ago, so that a change has to wait."""
        return self._rate_limit_timer is not None

    def disable(self) -> None:
        """Stop reading and writing, as the folder is not usable."""
        self.folder = None

    def schedule_write(self, discovery: Address, source: EndpointListSource) -> None:
        """Write the changed list, but not before WRITE_INTERVAL_S have passed since the last write.

        Args:
            discovery: Address of the discovery service that the list comes from.
            source: Called at the time of the write, so that one write covers several changes.
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
        """Write a list immediately, unless it exceeds MAX_BYTES; file system errors are logged."""
        if self.folder is None:
            return
        data = b'{"discovery":%s,"known":%s}' % (
            json.dumps(list(discovery)).encode(),
            encode_endpoint_list(endpoints),
        )
        if len(data) > MAX_BYTES:
            return
        try:
            replace_file(os.path.join(self.folder, FILE_NAME), data)
        except OSError as error:
            log(f"endpoint list not passed to the successor process: {error.strerror}")

    def select_newest(
        self,
        discovery: Address,
        configured: dict[str, Any],
        is_usable: Callable[[dict[str, Any]], bool] = lambda endpoints: True,
    ) -> dict[str, Any]:
        """Return the list of the predecessor or the configured one, whichever is newer.

        Args:
            discovery: Address of the discovery service; a list from another service is ignored.
            configured: The list in the platform's configuration.
            is_usable: Returns whether at least one entry of the predecessor's list can be parsed.

        Returns:
            The predecessor's list if it is complete, usable, from the same discovery service and has a
            higher version; `configured` otherwise. An unusable file is logged.
        """
        if self.folder is None:
            return configured
        try:
            with open(os.path.join(self.folder, FILE_NAME), "rb") as file:
                content = json.loads(file.read(MAX_BYTES + 1))
            inherited: dict[str, Any] = content["known"]
            is_same_service = content["discovery"] == list(discovery)
            if not is_usable(inherited):
                raise ValueError("none of its entries can be parsed")
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
            write_pending: True to write a change first that is delayed by the rate limit.
        """
        if self._rate_limit_timer is not None:
            self._rate_limit_timer.cancel()
            self._rate_limit_timer = None
        if self._pending is not None and write_pending:
            discovery, source = self._pending
            self.write(discovery, source())
        self._pending = None
