"""Client of the discovery service: fetches the endpoint list and watches it by long polling.

The load balancer decides when to poll: it requests a watch or a complete list, and requests it again after a
failure, with its own backoff. Only when lists are pushed does the client restart its watch by itself.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

from sagetrack.config.platform import Address, NameIndices
from sagetrack.core.deadlines import DiscoveryTimeouts
from sagetrack.core.endpoints import Endpoint, OnEndpointList
from sagetrack.core.log import log
from sagetrack.core.responses import Response
from sagetrack.discovery.call_history import CallHistory
from sagetrack.discovery.connection import DiscoveryConnection, OpenConnection
from sagetrack.discovery.endpoint_list_json import EndpointListSnapshot
from sagetrack.discovery.endpoint_parsing import EndpointListUpdate, parse_endpoint_list
from sagetrack.discovery.errors import DiscoveryCallError
from sagetrack.discovery.late_calls import LateCall, LateCalls
from sagetrack.discovery.version_check import VersionCheck
from sagetrack.policy.events import ListKind

LIST_PATH = b"/registry/instances"
STATUS_OK = 200
MIN_JITTER_FACTOR = 0.5  # a wait is multiplied by a random factor between this and 1


OnListChanged = Callable[[Address, Callable[[], dict[str, Any]]], None]


class DiscoveryClient:
    """Calls discovery on request and reports each list, change and failure to `on_list`.

    At most one watch and one fetch run at a time.

    Attributes:
        history: The outcomes of the calls.
        address: Address of the discovery service.
        version: The version from which a watch continues; None if the complete list is needed.
        watch_task: The running watch, if any.
        on_list_changed: Called after each change with the address and a function that returns the fields for
            `encode_endpoint_list`. The function may be called later and returns the list as it is then.
    """

    def __init__(
        self,
        address: Address,
        names: NameIndices,
        on_list: OnEndpointList,
        is_pushed: bool,
        connect: OpenConnection,
        limits: DiscoveryTimeouts,
    ) -> None:
        """Create a client that makes no call yet.

        Args:
            address: Address of the discovery service.
            names: The configured names of zones and server types that entries may refer to.
            on_list: Called with each list, change and failure.
            is_pushed: True if an agent on this machine receives the list by push. The client then watches the
                agent's list from the start and restarts the watch after each failure, without being asked to.
            connect: Opens a connection.
            limits: Timeouts and waits.
        """
        self.names = names
        self.on_list = on_list
        self.connect = connect
        self.is_pushed = is_pushed
        self.limits = limits
        self.address = address
        self.history = CallHistory()
        self.version: int | None = None
        self.watch_task: asyncio.Task[None] | None = None
        self.on_list_changed: OnListChanged = lambda address, get_fields: None
        self._fetch_task: asyncio.Task[None] | None = None
        self._rewatch_timer: asyncio.TimerHandle | None = None  # restarts the watch after a failure
        self._first_call_ended = asyncio.Event()  # set after success as well as failure
        self._closed = False
        self._late_calls = LateCalls(self._on_late_response)
        self._version_check = VersionCheck()
        self._snapshot = EndpointListSnapshot()

    @property
    def time_without_contact_us(self) -> int | None:
        """Time since the response before the list that is being reported; None if there was none before."""
        return self.history.time_without_contact_us

    def record_changes(self, raw: dict[str, Any], is_complete: bool) -> None:
        """Update the list that is kept for a successor process, and call `on_list_changed`."""
        self._snapshot.apply(raw, self.version, is_complete)
        self.on_list_changed(self.address, self._snapshot.fields)

    def restore_known_endpoints(self, raw: dict[str, Any]) -> None:
        """Start with the list that this gateway had before its restart; an unusable one counts as empty."""
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
        if self.is_pushed:
            self.version = None  # the agent's versions are unrelated to the restored one
            self.watch(True)

    async def wait_for_first_call(self) -> None:
        """Wait for the end of the first call, up to the configured limit."""
        if self.limits.initial_list_timeout_s > 0.0:
            with suppress(TimeoutError):
                async with asyncio.timeout(self.limits.initial_list_timeout_s):
                    await self._first_call_ended.wait()

    def watch(self, enabled: bool) -> None:
        """Start or stop the watch; starting has no effect on a watch that is already running."""
        if self._closed:
            return
        if self._rewatch_timer is not None:
            self._rewatch_timer.cancel()
        if not enabled and self.watch_task is not None:
            self.watch_task.cancel()
            self.watch_task = None
        elif enabled and self.watch_task is None:
            self.watch_task = asyncio.get_running_loop().create_task(
                self._run_and_report_failure(self._watch)
            )

    def fetch(self) -> None:
        """Fetch the complete list once; has no effect while another fetch is running."""
        if self._fetch_task is None and not self._closed:
            self._fetch_task = asyncio.get_running_loop().create_task(
                self._run_and_report_failure(self._fetch)
            )

    def change_address(self, address: Address) -> None:
        """Use another address from now on, and discard responses from the old one.

        The first call requests the complete list, as versions of different services are not comparable.
        """
        if self._closed:
            return
        was_fetching = self._fetch_task is not None
        self._cancel()
        self.address = address
        self.version = None
        self.history.on_address_changed()
        self._version_check.reset()
        self.watch(True)
        if was_fetching:
            self.fetch()

    def close(self) -> None:
        """Cancel running calls and make no further ones."""
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
        self._late_calls.close()

    # Failures

    async def _run_and_report_failure(self, call: Callable[[], Coroutine[Any, Any, None]]) -> None:
        try:
            await call()
        except Exception as error:  # noqa: BLE001 - without a report, the load balancer never repeats the call
            # Cleared before the report, as `on_list` may start a new call while it handles the failure.
            self._clear_task(asyncio.current_task())
            self._schedule_rewatch()
            self.history.on_failure(error)
            self.on_list(ListKind.ERROR, [])
        finally:
            self._clear_task(asyncio.current_task())
            self._first_call_ended.set()

    def _schedule_rewatch(self) -> None:
        """Restart the watch after a wait if lists are pushed.

        Called before any other handling of a failure, which may raise an exception itself.
        """
        if self.is_pushed and not self._closed:
            # The complete list includes all missed changes and is cheap to get from a local agent.
            self.version = None
            wait_s = self.limits.first_backoff_s * random.uniform(MIN_JITTER_FACTOR, 1.0)
            if self._rewatch_timer is not None:
                self._rewatch_timer.cancel()
            self._rewatch_timer = asyncio.get_running_loop().call_later(wait_s, self.watch, True)

    def _clear_task(self, task: asyncio.Task[Any] | None) -> None:
        if self.watch_task is task:
            self.watch_task = None
        if self._fetch_task is task:
            self._fetch_task = None

    # Calls

    async def _fetch(self) -> None:
        connection = await self._open_connection()
        try:
            await self._call(connection, LIST_PATH, 0.0)
        finally:
            if not self._late_calls.holds(connection):
                connection.close()

    async def _watch(self) -> None:
        if self.history.is_overloaded and not self.is_pushed:
            # Frequent calls from many gateways would keep an overloaded service overloaded.
            await asyncio.sleep(self.limits.rejection_backoff_s * random.uniform(MIN_JITTER_FACTOR, 1.0))
        connection = await self._open_connection()
        try:
            while True:
                if not connection.is_open:
                    connection = await self._open_connection()
                if self.version is None:
                    await self._call(connection, LIST_PATH, 0.0)
                else:
                    await self._poll(connection, self.version)
        finally:
            if not self._late_calls.holds(connection):
                connection.close()

    async def _poll(self, connection: DiscoveryConnection, version: int) -> None:
        """Request the changes since a version by a long poll."""
        poll_wait_s = self.limits.poll_wait_s
        if self.history.last_failed:
            # After a failure, a long poll without a response would use up the time allowed for a change.
            poll_wait_s = self.limits.retry_poll_wait_s
        target = LIST_PATH + b"?from=%d&hold_ms=%d" % (version, round(poll_wait_s * 1000))
        await self._call(connection, target, poll_wait_s)

    async def _open_connection(self) -> DiscoveryConnection:
        async with asyncio.timeout(self.limits.connect_timeout_s):
            return await self.connect(self.address)

    async def _call(self, connection: DiscoveryConnection, target: bytes, poll_wait_s: float) -> None:
        """Make one call and process the list in its response.

        Args:
            connection: An open connection.
            target: The request target.
            poll_wait_s: Time for which discovery may hold back the response.
        """
        host, port = self.address
        head = b"GET %s HTTP/1.1\r\nHost: %s:%d\r\n\r\n" % (target, host.encode(), port)
        response = await self._await_response(connection, head, poll_wait_s + self.limits.response_timeout_s)
        self.history.on_status(response.status)
        if response.status != STATUS_OK:
            raise DiscoveryCallError(f"unexpected HTTP status {response.status}")
        if not response.keep_alive:
            connection.close()
        self._apply_response(response)

    async def _await_response(
        self, connection: DiscoveryConnection, head: bytes, timeout_s: float
    ) -> Response:
        """Send a request and return its response.

        Raises:
            TimeoutError: There is none in time. If lists are polled, it is still used if it comes later.
        """
        task = asyncio.get_running_loop().create_task(connection.request(head))
        try:
            done, _ = await asyncio.wait({task}, timeout=timeout_s)
        except asyncio.CancelledError:
            task.cancel()
            raise
        if done:
            return task.result()
        if self.is_pushed or not self._late_calls.keep(LateCall(connection, task, self.version)):
            task.cancel()
            connection.close()
        raise TimeoutError

    def _on_late_response(self, call: LateCall, response: Response) -> None:
        """Use the response of a call that had exceeded its time limit, unless a newer one was used before."""
        self.history.on_status(response.status)
        newest = self._version_check.newest
        if response.status != STATUS_OK or self._closed:
            return
        try:
            update = parse_endpoint_list(json.loads(response.body), self.names)
            is_applicable = update.is_complete or call.since_version == self.version
            if is_applicable and (newest is None or update.version >= newest):
                self._apply_response(response)
        except (DiscoveryCallError, KeyError, TypeError, ValueError) as error:
            log(f"late discovery response unusable: {error!r}")

    def _apply_response(self, response: Response) -> None:
        raw = json.loads(response.body)
        update = parse_endpoint_list(raw, self.names)
        self._check_version(update)
        self.history.on_success(update)
        changed = update.is_complete or bool(update.endpoints) or update.version != self.version
        self.version = update.version
        self._version_check.record(update.version)
        if changed:
            self.record_changes(raw, update.is_complete)
        # A long poll that returns no changes is reported only after a failure.
        if changed or self.history.no_list_since_failure:
            self.history.before_list_reported()
            self.on_list(ListKind.FULL if update.is_complete else ListKind.DELTA, update.endpoints)
        self.history.on_list_reported()
        self._first_call_ended.set()

    def _check_version(self, update: EndpointListUpdate) -> None:
        """Reject a response that is older than the last accepted list, and request the complete list next.

        Raises:
            DiscoveryCallError: The response is older.
        """
        if not self._version_check.accepts(update.version, update.is_complete):
            self.version = None
            newest = self._version_check.newest
            raise DiscoveryCallError(
                f"response with version {update.version} is older than the accepted version {newest}"
            )
