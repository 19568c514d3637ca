"""Ids of requests that may have run, kept beyond the end of the request.

A request whose client has disconnected may still run at its server, although nobody waits for it here. If its
id comes again, it must not be sent a second time, neither by this process nor by a sibling process.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Protocol

from sagetrack.core.clock import system_monotonic_us
from sagetrack.policy.settings import Effect, RequestClass

KEY_BYTES = 16  # length of the hash that stands for an id
MAX_ENTRIES = 16_384  # the oldest entry is dropped for a new one beyond this
ENTRY_BYTES = 256  # memory of an entry
FORGOTTEN_US = 0  # time of an entry whose request never ran


class SharedEntries(Protocol):
    """Entries that are exchanged with the sibling processes of this gateway."""

    def publish(self, key: bytes, until_us: int) -> None:
        """Make an entry known to sibling processes."""

    def poll(self) -> list[tuple[bytes, int]]:
        """Return the entries that sibling processes have published since the last call."""


# An unsafe class has no window; its request may still run after its timeout, as not every server stops it.
UNSAFE_WINDOW_US = 10_000_000


def retention_us(request_class: RequestClass) -> int:
    """Return how long an attempt is remembered, from its first byte.

    It may run until the request times out, and its effect has to be protected for the window of its class.
    """
    window_us = request_class.window_us
    if request_class.effect is Effect.UNSAFE:
        window_us = max(window_us, UNSAFE_WINDOW_US)
    return request_class.request_timeout_us + window_us


class RecentRequests:
    """Remembers the requests that may have run and may not run twice, until their window ends.

    Attributes:
        shared: Exchanges entries with sibling processes; None if there can be none.
        rejected: Number of requests that were rejected because their id was remembered.
    """

    def __init__(self) -> None:
        self.shared: SharedEntries | None = None
        self.rejected = 0
        self._until_us: dict[bytes, int] = {}  # by hash of the id, in order of insertion

    @property
    def memory_bytes(self) -> int:
        """Estimated memory of all entries."""
        return len(self._until_us) * ENTRY_BYTES

    def metric_values(self) -> dict[str, float]:
        """Return the exported metrics."""
        return {"recent_requests": len(self._until_us), "repeated_ids_total": self.rejected}

    def remember(self, id_: str, request_class: RequestClass) -> None:
        """Remember a request whose first byte is sent now, unless it may safely run twice."""
        if request_class.effect is Effect.SAFE:
            return
        key = _key_of(id_)
        until_us = system_monotonic_us() + retention_us(request_class)
        self._add(key, until_us)
        if self.shared is not None:
            self.shared.publish(key, until_us)

    def forget(self, id_: str) -> None:
        """Forget a request of which no attempt has run."""
        key = _key_of(id_)
        if self._until_us.pop(key, None) is not None and self.shared is not None:
            self.shared.publish(key, FORGOTTEN_US)

    def may_run(self, id_: str, request_class: RequestClass) -> bool:
        """Return whether a new request with this id may run; False if an earlier one may have run."""
        if request_class.effect is Effect.SAFE:
            return True
        self.merge_shared()
        if self._until_us.get(_key_of(id_), FORGOTTEN_US) <= system_monotonic_us():
            return True
        self.rejected += 1
        return False

    def merge_shared(self) -> None:
        """Add what sibling processes have published."""
        if self.shared is None:
            return
        for key, until_us in self.shared.poll():
            if until_us == FORGOTTEN_US:
                self._until_us.pop(key, None)
            else:
                self._add(key, until_us)

    def live_entries(self) -> list[tuple[bytes, int]]:
        """Return the entries whose time has not passed."""
        now = system_monotonic_us()
        return [(key, until_us) for key, until_us in self._until_us.items() if until_us > now]

    def _add(self, key: bytes, until_us: int) -> None:
        self._until_us.pop(key, None)
        self._until_us[key] = until_us
        self._drop_expired()

    def _drop_expired(self) -> None:
        """Drop expired entries from the front, and the oldest ones beyond `MAX_ENTRIES`."""
        now = system_monotonic_us()
        while self._until_us:
            oldest = next(iter(self._until_us))
            if self._until_us[oldest] > now and len(self._until_us) <= MAX_ENTRIES:
                return
            del self._until_us[oldest]


def _key_of(id_: str) -> bytes:
    return blake2b(id_.encode("latin-1", "replace"), digest_size=KEY_BYTES).digest()
