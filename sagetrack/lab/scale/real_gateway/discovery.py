"""A discovery service whose list the lab changes, for one gateway that polls it."""

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

LIST_TIMEOUT_S = 30.0  # for the gateway to take a full list
FULL_LIST = -1  # a poll's index if it asks for the full list


class Change(NamedTuple):
    """Entries that changed with one index of the list."""

    list_index: int
    entries: list[bytes]


class ScriptedDiscovery:
    """The current list, its changes, and the polls that wait for the next one.

    All texts are made beforehand: the load runs on the same event loop, which must not be blocked.
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
        self._changed = asyncio.Event()  # replaced at each change
        self._polls: asyncio.Queue[int] = asyncio.Queue()  # the index that each asks from

    def change(self, numbers: Sequence[int], status: str = "SERVING") -> None:
        """Set the status of these servers from now on, and answer the polls that wait."""
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
        """Return the changes after an index, or the full list."""
        is_full = since == FULL_LIST
        newer = (entry for change in self._changes if change.list_index > since for entry in change.entries)
        entries = b", ".join(self._entries.values() if is_full else newer)
        return b'{"index": %d, "snapshot": %s, "endpoints": [%s]}' % (
            self.index,
            b"true" if is_full else b"false",
            entries,
        )

    async def serve(self, exchange: Exchange) -> None:
        """Answer a poll as soon as there is a newer list, or when its long-poll timeout is over."""
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
        """Wait until the gateway polls for what comes after the current index, so has taken all before it.

        Raises:
            LabError: It has not within 30 s.
        """
        index = self.index
        try:
            async with asyncio.timeout(LIST_TIMEOUT_S):
                while await self._polls.get() < index:
                    pass
        except TimeoutError:
            raise LabError(f"the gateway has not taken its list within {LIST_TIMEOUT_S:g} s") from None

    def discard_polls(self) -> None:
        """Forget the polls so far, those of a process that has ended."""
        while not self._polls.empty():
            self._polls.get_nowait()
