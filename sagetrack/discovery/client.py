"""Polls discovery for the endpoint list, and watches it by long polls.

When to poll is decided elsewhere: the load balancer asks for a watch or a complete list, and asks again after
a failure, with a backoff of its own. Only where lists are pushed does the client restart its watch by itself.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

from sagetrack.config.platform import Address, Names
from sagetrack.core.deadlines import DiscoveryTimeouts
from sagetrack.core.endpoints import Endpoint, OnEndpointList
from sagetrack.core.log import log
from sagetrack.core.responses import Response
from sagetrack.discovery.call_history import CallHistory
from sagetrack.discovery.connection import DiscoveryConnection, OpenConnection
from sagetrack.discovery.endpoint_list_json import EndpointListSnapshot
from sagetrack.discovery.endpoint_parsing import EndpointListUpdate, parse_endpoint_list
from sagetrack.discovery.errors import DiscoveryCallError
from sagetrack.discovery.version_check import VersionCheck
from sagetrack.policy.events import ListKind

LIST_PATH = b"/registry/instances"
STATUS_OK = 200
SHORTEST_JITTER = 0.5  # part of a wait that is not random


OnListChanged = Callable[[Address, Callable[[], dict[str, Any]]], None]


class DiscoveryClient:
    """Calls discovery when asked to, and reports each list, change and failure to `on_list`.

    At most one watch and one fetch are under way at a time.

    Attributes:
        history: How the calls have ended.
        address: Where discovery is called.
        version: The version that a watch continues from; None: the complete list is needed.
        watch_task: The watch under way.
        on_list_changed: Called with the address and a function that returns the list for
            `encode_endpoint_list`: as it stands when the function is called, which may be later.
    """

    def __init__(
        self,
        address: Address,
        names: Names,
        on_list: OnEndpointList,
        pushed: bool,
        connect: OpenConnection,
        limits: DiscoveryTimeouts,
    ) -> None:
        """Prepare a client; nothing is called yet.

        Args:
            address: Where discovery is called.
            names: The names that entries may use, as configured.
            on_list: Called with each list, change and failure.
            pushed: Whether an agent on this machine has the list pushed to it: it is watched from the start,
                and again after each failure, without a request to do so.
            connect: Opens a connection.
            limits: Timeouts and waits.
        """
        self.names = names
        self.on_list = on_list
        self.connect = connect
        self.pushed = pushed
        self.limits = limits
        self.address = address
        self.history = CallHistory()
        self.version: int | None = None
        self.watch_task: asyncio.Task[None] | None = None
        self.on_list_changed: OnListChanged = lambda address, known: None
        self._fetch_task: asyncio.Task[None] | None = None
        self._rewatch_timer: asyncio.TimerHandle | None = None  # starts the watch after a failure
        self._first_call_ended = asyncio.Event()  # successful or not
        self._closed = False
        self._versions = VersionCheck()
        self._snapshot = EndpointListSnapshot()

    @property
    def time_without_contact_us(self) -> int | None:
        """Time without a response before the list that is being reported; None: there was none before."""
        return self.history.time_without_contact_us

    def record_changes(self, raw: dict[str, Any], is_complete: bool) -> None:
        """Keep the list for a successor process up to date, and report that it has changed."""
        self._snapshot.apply(raw, self.version, is_complete)
        self.on_list_changed(self.address, self._snapshot.fields)

    def restore_known_endpoints(self, raw: dict[str, Any]) -> None:
        """Begin with the list that this gateway had before it was restarted; an unusable one is as none."""
        endpoints: list[Endpoint] = []
        try:
            update = parse_endpoint_list(raw, self.names)
            self.version = update.version
            endpoints = update.endpoints
            self.record_changes(raw, True)
        except (KeyError, TypeError, ValueError) as error:
            if raw:
                log(f"endpoint list from before the restart unusable: {error!r}")
        self.on_list(ListKind.DISK, endpoints)
        if self.pushed:
            self.version = None  # the agent's list counts from our first moment on: all of it comes first
            self.watch(True)

    async def wait_for_first_call(self) -> None:
        """Wait until the first call has ended, or for as long as that may delay the start."""
        if self.limits.initial_list_timeout_s > 0.0:
            with suppress(TimeoutError):
                async with asyncio.timeout(self.limits.initial_list_timeout_s):
                    await self._first_call_ended.wait()

    def watch(self, on: bool) -> None:
        """Start to watch, or stop; a watch that is under way continues as it is."""
        if self._closed:
            return
        if self._rewatch_timer is not None:
            self._rewatch_timer.cancel()
        if not on and self.watch_task is not None:
            self.watch_task.cancel()
            self.watch_task = None
        elif on and self.watch_task is None:
            self.watch_task = asyncio.get_running_loop().create_task(self._reporting_failure(self._watch))

    def fetch(self) -> None:
        """Call for the complete list once; a fetch that is under way continues as it is."""
        if self._fetch_task is None and not self._closed:
            self._fetch_task = asyncio.get_running_loop().create_task(self._reporting_failure(self._fetch))

    def change_address(self, address: Address) -> None:
        """Call another address from now on; a response from the old one is not taken any more.

        The complete list comes first: versions of two services need not be comparable.
        """
        if self._closed:
            return
        fetching = self._fetch_task is not None
        self._cancel()
        self.address = address
        self.version = None
        self.history.on_address_changed()
        self._versions.reset()
        self.watch(True)
        if fetching:
            self.fetch()

    def close(self) -> None:
        """Cancel calls under way, and make no more."""
        self._closed = True
        self._cancel()

    def _cancel(self) -> None:
        if self._rewatch_timer is not None:
            self._rewatch_timer.cancel()
        for task in (self.watch_task, self._fetch_task):
            if task is not None:
                task.cancel()
        self.watch_task = None
        self._fetch_task = None

    # Failures

    async def _reporting_failure(self, call: Callable[[], Coroutine[Any, Any, None]]) -> None:
        try:
            await call()
        except Exception as error:  # noqa: BLE001 - a call that ends unreported is never made again
            # Forgotten first: `on_list` may call again while the failure is reported to it.
            self._forget(asyncio.current_task())
            self._schedule_rewatch()
            self.history.on_failure(error)
            self.on_list(ListKind.ERROR, [])
        finally:
            self._forget(asyncio.current_task())
            self._first_call_ended.set()

    def _schedule_rewatch(self) -> None:
        """Where lists are pushed; before anything else is done about a failure, as that might fail too."""
        if self.pushed and not self._closed:
            # The complete list next, which costs nothing here and has whatever was missed.
            self.version = None
            wait_s = self.limits.first_backoff_s * random.uniform(SHORTEST_JITTER, 1.0)
            if self._rewatch_timer is not None:
                self._rewatch_timer.cancel()
            self._rewatch_timer = asyncio.get_running_loop().call_later(wait_s, self.watch, True)

    def _forget(self, task: asyncio.Task[Any] | None) -> None:
        if self.watch_task is task:
            self.watch_task = None
        if self._fetch_task is task:
            self._fetch_task = None

    # Calls

    async def _fetch(self) -> None:
        connection = await self._open()
        try:
            await self._call(connection, LIST_PATH, 0.0)
        finally:
            connection.close()

    async def _watch(self) -> None:
        if self.history.is_overloaded and not self.pushed:
            # Gateways that call an overloaded service too often would keep it overloaded.
            await asyncio.sleep(self.limits.rejection_backoff_s * random.uniform(SHORTEST_JITTER, 1.0))
        connection = await self._open()
        try:
            while True:
                if not connection.is_open:
                    connection = await self._open()
                if self.version is None:
                    await self._call(connection, LIST_PATH, 0.0)
                else:
                    await self._poll(connection, self.version)
        finally:
            connection.close()

    async def _poll(self, connection: DiscoveryConnection, version: int) -> None:
        """Make a long poll for the changes since a version."""
        poll_wait_s = self.limits.poll_wait_s
        if self.history.last_failed:
            # After a failure a long poll that is not answered would take what is left of the time.
            poll_wait_s = self.limits.retry_poll_wait_s
        target = LIST_PATH + b"?from=%d&hold_ms=%d" % (version, round(poll_wait_s * 1000))
        await self._call(connection, target, poll_wait_s)

    async def _open(self) -> DiscoveryConnection:
        async with asyncio.timeout(self.limits.connect_timeout_s):
            return await self.connect(self.address)

    async def _call(self, connection: DiscoveryConnection, target: bytes, poll_wait_s: float) -> None:
        """Make one call, whose response may be held back for so long, and take in the list."""
        host, port = self.address
        head = b"GET %s HTTP/1.1\r\nHost: %s:%d\r\n\r\n" % (target, host.encode(), port)
        async with asyncio.timeout(poll_wait_s + self.limits.response_timeout_s):
            reply = await connection.request(head)
        self.history.on_status(reply.status)
        if reply.status != STATUS_OK:
            raise DiscoveryCallError(f"answered {reply.status}")
        if not reply.keep_alive:
            connection.close()
        self._take(reply)

    def _take(self, reply: Response) -> None:
        raw = json.loads(reply.body)
        update = parse_endpoint_list(raw, self.names)
        self._check_version(update)
        self.history.on_success(update)
        changed = update.is_complete or bool(update.endpoints) or update.version != self.version
        self.version = update.version
        self._versions.taken(update.version)
        if changed:
            self.record_changes(raw, update.is_complete)
        # A watch that ends unchanged is reported after a failure only.
        if changed or self.history.no_list_since_failure:
            self.history.on_reporting()
            self.on_list(ListKind.FULL if update.is_complete else ListKind.DELTA, update.endpoints)
        self.history.on_list_reported()
        self._first_call_ended.set()

    def _check_version(self, update: EndpointListUpdate) -> None:
        """Reject a response that is older than the newest list; the complete list is called for next.

        Raises:
            DiscoveryCallError: It is older.
        """
        if not self._versions.accepts(update.version, update.is_complete):
            self.version = None
            newest = self._versions.newest
            raise DiscoveryCallError(f"answered with version {update.version}, which is older than {newest}")
