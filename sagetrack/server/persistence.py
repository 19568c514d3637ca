"""Saves observations of server health and per-second traffic records, and restores the observations."""

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

OBSERVATIONS_SPACE = "known"  # the names of the spaces are part of the stored data
RECORDER_SPACE = "seconds"
MAX_READ_WAIT_S = 0.25  # clients wait no longer; a slower store is restored later
MAX_CLOCK_AHEAD_US = 1_000_000  # observations further ahead are ignored: the clock was set back
SAVE_INTERVAL_S = 1.0


class Persistence:
    """The store of a gateway: read once at the start, written once a second."""

    def __init__(self, config: Config, settings: StoreSettings, gateway: Gateway) -> None:
        """Start to read the store in the thread of the writer; requires a running event loop.

        If the store cannot be opened, because the previous process holds its lock or the disk fails, the
        writer tries again.

        Args:
            config: The platform's configuration.
            settings: The operator's `store` table, in which a folder is set.
            gateway: Provides observations and receives the restored ones.
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
        self.read_finished = asyncio.Event()
        self.stored: HandoverRecord | None = None  # the content of the store at the start
        self._has_endpoint_list = False
        self.writer.start(self._loop, self._open)
        gateway.metrics.metric_sources.append(self.writer.metric_values)
        self._recorder: Recorder | None = None
        if settings.recorder:
            self._recorder = gateway.recorder = Recorder(len(config.settings.classes))
        self._timer = self._loop.call_later(SAVE_INTERVAL_S, self._save_periodically)

    def _open(self) -> None:
        """Open the store and read its observations, in the thread of the writer and before any write."""
        stored = None
        try:
            for line in self.writer.open().quarantined:
                log(f"store: {line}", "warning")
            stored = self._read_observations()
        except StoreOpenError as error:
            self.writer.record_failure(f"store.folder {self.folder}: {error}")
        finally:
            with suppress(RuntimeError):  # the event loop may be closed already
                self._loop.call_soon_threadsafe(self._on_read_finished, stored)

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

    def _on_read_finished(self, stored: HandoverRecord | None) -> None:
        self.stored = stored
        self.read_finished.set()
        if self._has_endpoint_list:
            self.restore()

    async def wait_until_read(self) -> None:
        """Wait until the store has been read, up to MAX_READ_WAIT_S."""
        with suppress(TimeoutError):
            async with asyncio.timeout(MAX_READ_WAIT_S):
                await self.read_finished.wait()

    def restore(self) -> None:
        """Pass the stored observations to the gateway, immediately or once they have been read.

        Called when there is an endpoint list. The load-balancing policy weights observations by their age.
        """
        self._has_endpoint_list = True
        stored = self.stored
        if stored is None:
            return
        now = now_us()
        observations = tuple(o for o in stored.observations if o.seen_us <= now + MAX_CLOCK_AHEAD_US)
        age_s = (now - stored.written_us) / 1e6
        log(f"restored health of {len(observations)} servers, stored {age_s:.1f} s ago")
        event = ObservationsReceived(observations, tuple(stored.latencies))
        self.gateway.post(lambda: event)

    def _save_periodically(self) -> None:
        self._timer = self._loop.call_later(SAVE_INTERVAL_S, self._save_periodically)
        self.save()

    def save(self) -> None:
        """Pass the current observations and the record of the last second to the writer."""
        now_ms = int(time.time() * 1000)
        records = []
        # Stored observations must not be overwritten before they have been read.
        if self.settings.knowledge and self.read_finished.is_set():
            records.append(self._observations_record(now_ms))
        second = self._recorder_record(now_ms)
        if second is not None:
            records.append(second)
        if records:
            self.writer.submit(records)

    def _observations_record(self, now_ms: int) -> Record:
        observations, latencies = self.gateway.balancer.own_observations()
        record = HandoverRecord(self.config.name, now_us(), observations, latencies)
        return Record(OBSERVATIONS_SPACE, self.config.name.encode(), encode_record(record), now_ms)

    def _recorder_record(self, now_ms: int) -> Record | None:
        if self._recorder is None:
            return None
        metrics = self.gateway.metrics
        counters = (
            metrics.answered.by_class,
            metrics.deferred.by_class,
            metrics.errored.by_class,
            metrics.sends.by_class,
        )
        record = self._recorder.end_second(now_ms // 1000, counters)
        if record is None:
            return None
        key = f"{now_ms:015d} {self.config.name}".encode()
        return Record(RECORDER_SPACE, key, record, now_ms)

    def close(self) -> None:
        """Save the current state and close the store; blocks until the data is on disk."""
        self._timer.cancel()
        self.save()
        self.writer.close()
