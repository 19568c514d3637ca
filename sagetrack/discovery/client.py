"""The list of hosts: single calls, and a watch that goes on from answer to answer."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from typing import Any, Protocol

from sagetrack.config.platform import Address, Names, parse_address, stable_id
from sagetrack.core.clock import now_us
from sagetrack.core.deadlines import Watching
from sagetrack.core.endpoints import Endpoint, OnEndpointList, Reply
from sagetrack.core.log import log
from sagetrack.core.metrics import Reasons
from sagetrack.policy.events import ListedServer, ListKind, ServerStatus

LIST = b"/registry/instances"
REFUSED_TWICE = 2  # in a row, whatever else failed between: it has too many calls, and cannot be reached yet
BUSY = (429, 503)  # it could be reached, and has too many calls
SERVING = "SERVING"
NOWHERE: Address = ("", 0)  # the address of a server that is gone
STATUSES = {
    SERVING: ServerStatus.READY,
    "DRAINING": ServerStatus.DRAINING,
    "DELETED": ServerStatus.GONE,
}


class CallError(Exception):
    """A call to discovery has failed."""


class Line(Protocol):
    """A connection to discovery: one call at a time."""

    @property
    def is_open(self) -> bool: ...

    async def ask(self, head: bytes) -> Reply:
        """The whole answer; CallError if there is none."""
        ...

    def close(self) -> None: ...


Connect = Callable[[Address], Awaitable[Line]]


def name_of(raw: dict[str, Any]) -> str:
    """The name of an entry; ValueError if it has none."""
    name = raw["name"]
    if not isinstance(name, str) or not name:
        raise ValueError("no name")
    return name


def withdrawal(raw: dict[str, Any]) -> Endpoint | None:
    """An entry that takes a server back, by its name alone; None where it says that the server serves.

    Guards against sending on to a server whose entry is no use for sending: one that drains may have a weight
    of 0, one that is gone no address. A status that is not known here is no word that it serves.
    """
    status = raw.get("status")
    if status == SERVING:
        return None
    return Endpoint(name_of(raw), NOWHERE, ListedServer(stable_id(name_of(raw), 4), ServerStatus.GONE))


def parse_entry(raw: dict[str, Any], names: Names) -> Endpoint:
    name = name_of(raw)
    zone, kind, group = raw.get("zone", ""), raw.get("type", ""), raw.get("group", 0)
    return Endpoint(
        name,
        parse_address(raw["address"], "address"),
        ListedServer(
            server=stable_id(name, 4),
            status=STATUSES[raw["status"]],
            weight=_weight(raw.get("weight", 1.0)),
            zone=number_of(zone, names.zones),
            group=group if isinstance(group, int) else stable_id(str(group), 4),
            kind=number_of(kind, names.kinds),
            started_us=int(raw.get("since_ms") or 0) * 1000,
        ),
    )


def usable_entry(raw: Any, names: Names) -> Endpoint | None:
    """An entry, or at least the withdrawal that is in it; None, and a line in the log, for neither."""
    unusable = (KeyError, TypeError, ValueError, AttributeError, OverflowError)
    try:
        return parse_entry(raw, names)
    except unusable as error:
        try:
            withdrawn = withdrawal(raw)
        except unusable:
            withdrawn = None
        kept = "skipped" if withdrawn is None else "taken as a withdrawal"
        log(f"an entry of the list of hosts is {kept} ({error!r}): {str(raw)[:200]}")
        return withdrawn


def _weight(value: object) -> float:
    weight = float(value)  # type: ignore[arg-type]
    if not 0.0 < weight < 1e9:
        raise ValueError("weight is out of range")
    return weight


def number_of(name: object, known: dict[str, int]) -> int:
    """The place in the settings; a name that is not there gets a number beyond them, the same everywhere."""
    number = known.get(str(name))
    return number if number is not None else len(known) + stable_id(str(name), 4)


def parse_list(raw: object, names: Names) -> tuple[int, bool, list[Endpoint]]:
    """A list in discovery's form: its version, whether it is whole, and the entries that can be used."""
    if not isinstance(raw, dict):
        raise ValueError("not a list of hosts")
    endpoints = raw.get("endpoints")
    endpoints = [] if endpoints is None else endpoints  # some encoders write an empty list as null
    if not isinstance(endpoints, list):
        raise ValueError("not a list of hosts")
    entries: dict[int, Endpoint] = {}
    for item in endpoints:
        entry = usable_entry(item, names)
        if entry is None:
            continue
        other = entries.get(entry.listed.server)
        if other is not None and other.name != entry.name:
            log(f"{entry.name} is skipped: its number is that of {other.name}")
            continue
        entries[entry.listed.server] = entry
    return int(raw["index"]), bool(raw.get("snapshot", False)), list(entries.values())


def as_json(item: dict[str, Any]) -> bytes:
    return json.dumps(item).encode()


def list_as_json(known: dict[str, Any]) -> bytes:
    """A list in discovery's form, of which entries may be JSON already: those are not put so again."""
    fields = {name: json.dumps(value).encode() for name, value in known.items() if name != "endpoints"}
    if "endpoints" in known:
        entries = (e if isinstance(e, bytes) else as_json(e) for e in known["endpoints"])
        fields["endpoints"] = b"[" + b",".join(entries) + b"]"
    return b"{" + b",".join(json.dumps(n).encode() + b":" + value for n, value in fields.items()) + b"}"


class Discovery:
    """Asks for the list when told to, and tells `on_list` what came; failures too."""

    def __init__(
        self,
        address: Address,
        names: Names,
        on_list: OnEndpointList,
        pushed: bool,
        connect: Connect,
        limits: Watching,
    ) -> None:
        self.names, self.on_list, self.connect = names, on_list, connect
        self.pushed = pushed  # nobody asks for changes: they are watched for from the start, whatever fails
        self.limits = limits
        self.calls = Reasons("discovery_calls_total", "outcome", ())
        self.away_since_us: int | None = None  # the first of the calls in a row that have failed
        self.heard_us: int | None = None  # the last answer but the one that is being told
        self.failed = True  # no list has come since the last failure
        self.retries = False  # the last call has failed: the next is only to tell whether discovery is back
        self.refused = 0  # calls that it was too busy for, since the last list
        self.went_back = False  # the last answer was of an older version than ours
        self.again: asyncio.TimerHandle | None = None  # the next watch, after a failure
        self.first = asyncio.Event()  # the first call has ended, well or not
        self.closed = False
        self.index: int | None = None  # the version that a watch goes on from; None: the whole list is needed
        self.newest: int | None = None  # the last version taken, of this address
        self.watching: asyncio.Task[None] | None = None
        self.fetching: asyncio.Task[None] | None = None
        self.address = address
        self.raw: dict[str, bytes] = {}  # the list as it stands, by name: entries as JSON
        self.noted: dict[str, dict[str, Any]] = {}  # entries that are still to be put so
        self.noted_index: int | None = None  # the version of the list as it stands
        # What `known` gives is the list as it stands when it is called, which may be later.
        self.on_news: Callable[[Address, Callable[[], dict[str, Any]]], None] = lambda address, known: None

    def note(self, raw: dict[str, Any], whole: bool) -> None:
        """Keep the list as it stands, in discovery's form, and say that there is news of it."""
        if whole:
            self.raw, self.noted = {}, {}
        for item in raw.get("endpoints") or []:
            if not isinstance(item, dict) or not isinstance(item.get("name"), str):
                continue
            if item.get("status") == "DELETED":
                self.raw.pop(item["name"], None)
                self.noted.pop(item["name"], None)
            else:
                self.noted[item["name"]] = item
        self.noted_index = self.index
        self.on_news(self.address, self.known)

    def known(self) -> dict[str, Any]:
        """The list as it stands, entries as JSON (see `list_as_json`); only what has changed anew."""
        for name, item in self.noted.items():
            self.raw[name] = as_json(item)
        self.noted = {}
        return {"index": self.noted_index, "snapshot": True, "endpoints": list(self.raw.values())}

    def take_known(self, raw: dict[str, Any]) -> None:
        """Begin with the list that this gateway had before it was restarted."""
        entries: list[Endpoint] = []
        try:
            self.index, _, entries = parse_list(raw, self.names)
            self.note(raw, True)
        except (KeyError, TypeError, ValueError) as error:
            if raw:
                log(f"the list known from before cannot be used: {error!r}")
        self.on_list(ListKind.DISK, entries)
        if self.pushed:
            self.index = None  # what the agent has counts from our first moment on: all of it comes first
            self.watch(True)

    async def has_asked(self) -> None:
        """Wait until the first call has ended, or for as long as that may keep clients waiting."""
        if self.limits.first_s > 0.0:
            with suppress(TimeoutError):
                async with asyncio.timeout(self.limits.first_s):
                    await self.first.wait()

    def watch(self, on: bool) -> None:
        """Begin to watch, or stop; a watch that is on goes on as it is."""
        if self.closed:
            return
        if self.again is not None:
            self.again.cancel()
        if not on and self.watching is not None:
            self.watching.cancel()
            self.watching = None
        elif on and self.watching is None:
            self.watching = asyncio.get_running_loop().create_task(self._guard(self._watch))

    def move(self, address: Address) -> None:
        """Ask at another address from now on; nothing that the old one may still say is heard.

        The whole list comes first: versions of two services need not be comparable.
        """
        if self.closed:
            return
        fetching = self.fetching is not None
        self._cancel()
        self.address, self.index, self.failed = address, None, True
        self.newest, self.went_back, self.refused = None, False, 0
        self.watch(True)
        if fetching:
            self.fetch()

    def fetch(self) -> None:
        """Ask for the whole list once."""
        if self.fetching is None and not self.closed:
            self.fetching = asyncio.get_running_loop().create_task(self._guard(self._fetch))

    def close(self) -> None:
        self.closed = True
        self._cancel()

    def _cancel(self) -> None:
        if self.again is not None:
            self.again.cancel()
        for task in (self.watching, self.fetching):
            if task is not None:
                task.cancel()
        self.watching = self.fetching = None

    async def _guard(self, call: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Turn a failure of a call into word of it; the module decides when to ask again."""
        try:
            await call()
        except Exception as error:
            # Whatever it is: a call that ends without a word would never be made again.
            # Cleared first: the module may ask again while it hears of this.
            self._forget(asyncio.current_task())
            self._watch_again_soon()
            self._note_failure(error)
            self.failed = self.retries = True
            self.on_list(ListKind.ERROR, [])
        finally:
            self._forget(asyncio.current_task())
            self.first.set()

    def _watch_again_soon(self) -> None:
        """Where lists are pushed: set before anything else is done about a failure, which could fail too."""
        if self.pushed and not self.closed:
            # The whole list next, which costs nothing here: whatever was missed, it is in there.
            self.index = None
            wait_s = self.limits.pause_s * random.uniform(0.5, 1.0)
            if self.again is not None:
                self.again.cancel()
            self.again = asyncio.get_running_loop().call_later(wait_s, self.watch, True)

    def _note_failure(self, error: Exception) -> None:
        late = isinstance(error, TimeoutError)
        self.calls.add("late" if late else "failed")
        if self.away_since_us is None:
            self.away_since_us = now_us()
        log(f"discovery: {'no answer in time' if late else error or type(error).__name__}")

    def _forget(self, task: asyncio.Task[Any] | None) -> None:
        if self.watching is task:
            self.watching = None
        if self.fetching is task:
            self.fetching = None

    async def _connect(self) -> Line:
        async with asyncio.timeout(self.limits.connect_s):
            return await self.connect(self.address)

    async def _ask(self, call: Line, target: bytes, wait_s: float) -> None:
        head = b"GET %s HTTP/1.1\r\nHost: %s:%d\r\n\r\n" % (target, self.address[0].encode(), self.address[1])
        async with asyncio.timeout(wait_s + self.limits.answer_s):
            reply = await call.ask(head)
        self.refused += reply.status in BUSY
        if reply.status != 200:
            raise CallError(f"answered {reply.status}")
        if not reply.keep_alive:
            call.close()
        raw = json.loads(reply.body)
        index, whole, entries = parse_list(raw, self.names)
        self._check_version(index, whole)
        self.calls.add("whole" if whole else "changes" if entries else "no_news")
        if self.away_since_us is not None:
            log(f"discovery: answers again, after {(now_us() - self.away_since_us) / 1e6:.2f} s")
            self.away_since_us = None
        changed = whole or bool(entries) or index != self.index
        self.index, self.newest, self.retries, self.refused = index, index, False, 0
        if changed:
            self.note(raw, whole)
        if changed or self.failed:  # a watch that ends with no news is word only after a failure
            self.failed = False
            self.on_list(ListKind.FULL if whole else ListKind.DELTA, entries)
        self.heard_us = now_us()
        self.first.set()

    @property
    def unheard_us(self) -> int | None:
        """How long before the list that is being told there was no word of it; None: there was none yet."""
        return None if self.heard_us is None else now_us() - self.heard_us

    def _check_version(self, index: int, whole: bool) -> None:
        """CallError for an answer older than what is known here already, unless that is said twice.

        Once it may be an answer that another call's has overtaken, and would take back a withdrawal; a
        service that has begun to count anew says it again. Changes since an older version are never taken.
        """
        if self.newest is None or index >= self.newest:
            self.went_back = False
            return
        again, self.went_back = self.went_back, True
        if not (again and whole):
            known, self.index = self.newest, None
            raise CallError(f"answered with version {index}, which is older than {known}")

    async def _fetch(self) -> None:
        call = await self._connect()
        try:
            await self._ask(call, LIST, 0.0)
        finally:
            call.close()

    async def _watch(self) -> None:
        if self.refused >= REFUSED_TWICE and not self.pushed:
            # Guards against a crowd that feeds itself: calls that come too often keep each other waiting.
            await asyncio.sleep(self.limits.busy_s * random.uniform(0.5, 1.0))
        call = await self._connect()
        try:
            while True:
                if not call.is_open:
                    call = await self._connect()
                if self.index is None:
                    await self._ask(call, LIST, 0.0)
                else:
                    # Waited for in vain, a long wait for news would take what is left of the time.
                    hold_s = self.limits.retry_hold_s if self.retries else self.limits.hold_s
                    target = LIST + b"?from=%d&hold_ms=%d" % (self.index, round(hold_s * 1000))
                    await self._ask(call, target, hold_s)
        finally:
            call.close()
