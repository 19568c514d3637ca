"""A scripted discovery service for one gateway."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from contextlib import suppress
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from sagetrack.lab.errors import LabError
from sagetrack.lab.scale.target_fleet import TargetFleet
from sagetrack.lab.stand_ins.scripted import Exchange, http_response

LIST_TIMEOUT_S = 30.0  # for the gateway to apply a full list
FULL_LIST = -1  # index that stands for a poll of the full list


class Change(NamedTuple):
    """The changed entries of one version of the list."""

    list_index: int
    entries: list[bytes]


class ScriptedDiscovery:
    """The current endpoint list, its history of changes, and the pending long polls.

    The JSON of all entries is encoded in advance, so that it does not block the event loop, on which the load
    generator runs, too.
    """

    def __init__(self, fleet: TargetFleet, addresses: Sequence[str]) -> None:
        self.index = 1
        self.sent_bytes = 0
        self._entries_by_status = {
            status: [
                json.dumps(fleet.discovery_entry(number, status, addresses[number % len(addresses)])).encode()
                for number in range(fleet.sizes.servers)
            ]
            for status in ("SERVING", "DRAINING", "DELETED")
        }
        self._entries: dict[int, bytes] = {}
        self._changes: list[Change] = []
        self._changed = asyncio.Event()  # set at the next change, and then replaced
        self._polls: asyncio.Queue[int] = asyncio.Queue()  # start index of each poll

    def change(self, numbers: Sequence[int], status: str = "SERVING") -> None:
        """Set the status of these servers, and release the pending polls."""
        self.index += 1
        changed_entries = [self._entries_by_status[status][number] for number in numbers]
        self._changes.append(Change(self.index, changed_entries))
        for number, text in zip(numbers, changed_entries, strict=True):
            if status == "DELETED":
                self._entries.pop(number, None)
            else:
                self._entries[number] = text
        self._changed.set()
        self._changed = asyncio.Event()

    def list_json(self, since: int = FULL_LIST) -> bytes:
        """Return the changes after an index, or the full list, as JSON."""
        is_full = since == FULL_LIST
        newer = (entry for change in self._changes if change.list_index > since for entry in change.entries)
        entries = b", ".join(self._entries.values() if is_full else newer)
        return b'{"index": %d, "snapshot": %s, "endpoints": [%s]}' % (
            self.index,
            b"true" if is_full else b"false",
            entries,
        )

    async def serve(self, exchange: Exchange) -> None:
        """Respond to a poll once there is a newer list or the poll's timeout has passed."""
        query = parse_qs(urlsplit(exchange.message.start_line.split(" ")[1]).query)
        since = int(query["from"][0]) if "from" in query else FULL_LIST
        self._polls.put_nowait(since)
        if since >= self.index:
            with suppress(TimeoutError):
                async with asyncio.timeout(int(query["hold_ms"][0]) / 1000):
                    await self._changed.wait()
        data = http_response(200, self.list_json(since))
        self.sent_bytes += len(data)
        exchange.respond(data)

    async def wait_until_applied(self) -> None:
        """Wait until the gateway has applied the current list, which shows in its next poll.

        Raises:
            LabError: The gateway has not polled from the current index within 30 s.
        """
        index = self.index
        try:
            async with asyncio.timeout(LIST_TIMEOUT_S):
                while await self._polls.get() < index:
                    pass
        except TimeoutError:
            raise LabError(f"the gateway did not apply its list within {LIST_TIMEOUT_S:g} s") from None

    def discard_polls(self) -> None:
        """Discard the recorded polls, which are from a process that has ended."""
        while not self._polls.empty():
            self._polls.get_nowait()
