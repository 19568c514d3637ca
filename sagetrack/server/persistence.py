"""What a gateway keeps in its store: observations of server health, and a record of each second."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from sagetrack.config.platform import Config
from sagetrack.core.clock import now_us
from sagetrack.core.gateway import Gateway
from sagetrack.core.log import log
from sagetrack.peers.stored_observations import HandoverRecord, decode_record, encode_record
from sagetrack.policy.events import ObservationsReceived
from sagetrack.store.directory import DiskDirectory
from sagetrack.store.errors import CorruptionError, StoreOpenError
from sagetrack.store.format import Record
from sagetrack.store.options import RetentionPolicy, StoreOptions
from sagetrack.store.recorder import Recorder
from sagetrack.store.writer import BackgroundWriter

if TYPE_CHECKING:
    from sagetrack.config.operator import StoreSettings

OBSERVATIONS_SPACE = "known"  # names of the store's spaces, which are stored
RECORDER_SPACE = "seconds"
MAX_READ_WAIT_S = 0.25  # how long clients wait for the store; from a longer one observations come later
MAX_CLOCK_AHEAD_US = 1_000_000  # an observation that is further ahead is of a clock that was set back
SAVE_INTERVAL_S = 1.0


class Persistence:
    """The store of one gateway: restored once at the start, written once a second."""

    def __init__(self, config: Config, settings: StoreSettings, gateway: Gateway) -> None:
        """Begin to read the store in its thread; made on a running loop.

        A store that cannot be opened, as the previous process holds it or its disk fails, is tried again.

        Args:
            config: the platform's configuration.
            settings: the operator's `store` table, with a folder.
            gateway: where observations are from, and where restored ones go.
        """
        self.config = config
        self.settings = settings
        self.gateway = gateway
        max_age_ms = int(settings.keep_hours * 3_600_000)
        options = StoreOptions(
            max_bytes=int(settings.most_mb * 1_000_000),
            spaces={RECORDER_SPACE: RetentionPolicy(max_age_ms, evictable=True)},
        )
        self.folder = Path(settings.folder.replace("{gateway}", config.name))
        self.writer = BackgroundWriter(
            partial(DiskDirectory, self.folder),
            options,
            lambda line: log(line, "warning"),
            settings.sync,
            settings.every_s,
        )
        self._loop = asyncio.get_running_loop()
        self.was_read = asyncio.Event()
        self.stored: HandoverRecord | None = None  # what the store had when it was opened
        self._has_endpoint_list = False
        self.writer.start(self._loop, self._open)
        gateway.metrics.extra_figures.append(self.writer.metric_values)
        self._recorder: Recorder | None = None
        if settings.recorder:
            self._recorder = gateway.recorder = Recorder(len(config.settings.classes))
        self._timer = self._loop.call_later(SAVE_INTERVAL_S, self._save_periodically)

    def _open(self) -> None:
        """Open the store and read its observations, in its thread and before anything is written to it."""
        stored = None
        try:
            for line in self.writer.open().quarantined:
                log(f"store: {line}", "warning")
            stored = self._read_observations()
        except StoreOpenError as error:
            self.writer.record_failure(f"store.folder {self.folder}: {error}")
        finally:
            with suppress(RuntimeError):  # the loop may have been closed
                self._loop.call_soon_threadsafe(self._on_read, stored)

    def _read_observations(self) -> HandoverRecord | None:
        store = self.writer.store
        if not self.settings.knowledge or store is None:
            return None
        try:
            value = store.get(OBSERVATIONS_SPACE, self.config.name.encode())
            return None if value is None else decode_record(value)
        except (OSError, CorruptionError, msgspec.DecodeError) as error:
            log(f"stored health of servers cannot be read: {error}", "warning")
            return None

    def _on_read(self, stored: HandoverRecord | None) -> None:
        self.stored = stored
        self.was_read.set()
        if self._has_endpoint_list:
            self.restore()

    async def wait_until_read(self) -> None:
        """Wait until the store has been read, for MAX_READ_WAIT_S at the most."""
        with suppress(TimeoutError):
            async with asyncio.timeout(MAX_READ_WAIT_S):
                await self.was_read.wait()

    def restore(self) -> None:
        """Give the gateway the stored observations, at once or when they have been read.

        Called once there is an endpoint list. The policy trusts an observation by its age.
        """
        self._has_endpoint_list = True
        stored = self.stored
        if stored is None:
            return
        now = now_us()
        observations = tuple(seen for seen in stored.observations if seen.seen_us <= now + MAX_CLOCK_AHEAD_US)
        age_s = (now - stored.written_us) / 1e6
        log(f"restored health of {len(observations)} servers, stored {age_s:.1f} s ago")
        event = ObservationsReceived(observations, tuple(stored.latencies))
        self.gateway.post(lambda: event)

    def _save_periodically(self) -> None:
        self._timer = self._loop.call_later(SAVE_INTERVAL_S, self._save_periodically)
        self.save()

    def save(self) -> None:
        """Hand the writer the current observations and the record of the last second."""
        at_ms = int(time.time() * 1000)
        ops = []
        if self.settings.knowledge and self.was_read.is_set():  # stored observations are read before
            ops.append(self._observations(at_ms))
        second = self._record_of_second(at_ms)
        if second is not None:
            ops.append(second)
        if ops:
            self.writer.submit(ops)

    def _observations(self, at_ms: int) -> Record:
        observations, latencies = self.gateway.balancer.own_observations()
        note = HandoverRecord(self.config.name, now_us(), observations, latencies)
        return Record(OBSERVATIONS_SPACE, self.config.name.encode(), encode_record(note), at_ms)

    def _record_of_second(self, at_ms: int) -> Record | None:
        if self._recorder is None:
            return None
        metrics = self.gateway.metrics
        counters = (
            metrics.answered.by_class,
            metrics.deferred.by_class,
            metrics.errored.by_class,
            metrics.sends.by_class,
        )
        record = self._recorder.end_second(at_ms // 1000, counters)
        if record is None:
            return None
        key = f"{at_ms:015d} {self.config.name}".encode()
        return Record(RECORDER_SPACE, key, record, at_ms)

    def close(self) -> None:
        """Write the current state and close the store; blocks until the disk has it."""
        self._timer.cancel()
        self.save()
        self.writer.close()
