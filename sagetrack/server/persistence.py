"""What the gateway keeps in its store, if the operator has one: knowledge of servers, a record a second."""

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
from sagetrack.peers.handover import Note
from sagetrack.policy.interface import ObservationsReceived
from sagetrack.store.directory import Disk
from sagetrack.store.errors import CorruptionError, StoreOpenError
from sagetrack.store.format import Record
from sagetrack.store.options import SpacePolicy, StoreOptions
from sagetrack.store.recorder import Recorder
from sagetrack.store.writer import BackgroundWriter

if TYPE_CHECKING:
    from sagetrack.config.operator import Operator

KNOWN, SECONDS = "known", "seconds"
READ_S = 0.25  # that clients wait for what was known before; from a longer store it comes when it is read
FUTURE_US = 1_000_000  # a sight that is further ahead is of a clock that was set back


class Keeping:
    """The store of one gateway and what goes into it. Made on a running loop."""

    def __init__(self, config: Config, operator: Operator, gateway: Gateway) -> None:
        """A store that cannot be opened, as the process before has it or its disk fails, is tried again."""
        asked = operator.store
        self.config, self.asked, self.gateway = config, asked, gateway
        spaces = {SECONDS: SpacePolicy(int(asked.keep_hours * 3_600_000), evictable=True)}
        options = StoreOptions(max_bytes=int(asked.most_mb * 1_000_000), spaces=spaces)
        folder = Path(asked.folder.replace("{gateway}", config.name))
        self.keeper = BackgroundWriter(
            partial(Disk, folder), options, lambda line: log(line, "warning"), asked.sync, asked.every_s
        )
        self.folder = folder
        loop = asyncio.get_running_loop()
        self.loop = loop
        self.note: Note | None = None
        self.was_read = asyncio.Event()
        self.has_list = False
        self.keeper.start(loop, self.open)
        gateway.metrics.more.append(self.keeper.metric_values)
        self.recorder: Recorder | None = None
        if asked.recorder:
            self.recorder = gateway.recorder = Recorder(len(config.settings.classes))
        self.timer = loop.call_later(1.0, self.second)

    def open(self) -> None:
        """In the store's thread: open it, and read what was known before, ahead of what is kept now."""
        note = None
        try:
            for line in self.keeper.open().quarantined:
                log(f"the store: {line}", "warning")
            note = self.read()
        except StoreOpenError as error:
            self.keeper.record_failure(f"store.folder {self.folder}: {error}")
        finally:
            with suppress(RuntimeError):  # the loop has ended meanwhile
                self.loop.call_soon_threadsafe(self.on_read, note)

    def on_read(self, note: Note | None) -> None:
        self.note = note
        self.was_read.set()
        if self.has_list:
            self.take()

    async def has_read(self) -> None:
        """Wait until the store has been read, or for as long as that may keep clients waiting."""
        with suppress(TimeoutError):
            async with asyncio.timeout(READ_S):
                await self.was_read.wait()

    def read(self) -> Note | None:
        """What was known before."""
        store = self.keeper.store
        if not self.asked.knowledge or store is None:
            return None
        try:
            value = store.get(KNOWN, self.config.name.encode())
            return None if value is None else msgspec.msgpack.decode(value, type=Note)
        except (OSError, CorruptionError, msgspec.DecodeError) as error:
            log(f"what was known of servers cannot be read: {error}", "warning")
            return None

    def take(self) -> None:
        """Once there is a list: begin with what was known before, or take it up when it has been read.

        Its age tells how much is believed.
        """
        self.has_list = True
        note = self.note
        if note is None:
            return
        now = now_us()
        sights = tuple(sight for sight in note.sights if sight.seen_us <= now + FUTURE_US)
        age_s = (now - note.written_us) / 1e6
        log(f"took up what was known of {len(sights)} servers {age_s:.1f} s ago")
        event = ObservationsReceived(sights, tuple(note.latencies))
        self.gateway.post(lambda: event)

    def second(self) -> None:
        """Once a second: what happened in it, and what is known now."""
        self.timer = self.loop.call_later(1.0, self.second)
        self.keep()

    def keep(self) -> None:
        at_ms = int(time.time() * 1000)
        ops = []
        if self.asked.knowledge and self.was_read.is_set():  # or what was known before would be lost
            sights, latencies = self.gateway.balancer.sights()
            note = Note(self.config.name, now_us(), sights, latencies)
            ops.append(Record(KNOWN, self.config.name.encode(), msgspec.msgpack.encode(note), at_ms))
        if self.recorder is not None:
            m = self.gateway.metrics
            counters = (m.answered.by_class, m.deferred.by_class, m.errored.by_class, m.sends.by_class)
            made = self.recorder.end_second(at_ms // 1000, counters)
            if made is not None:
                key = f"{at_ms:015d} {self.config.name}".encode()
                ops.append(Record(SECONDS, key, made, at_ms))
        if ops:
            self.keeper.submit(ops)

    def close(self) -> None:
        """Keep what there is. Waits for the disk."""
        self.timer.cancel()
        self.keep()
        self.keeper.close()
