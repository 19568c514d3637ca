"""Detects discovery responses that are older than the list that was accepted last."""

from __future__ import annotations


class VersionCheck:
    """Rejects outdated responses of one discovery service.

    A response with an older version may have been overtaken by the response to a later call. Accepting it
    would bring back a server that has been withdrawn since. A service that has restarted and numbers its
    versions from the beginning sends older versions repeatedly, so a complete list is accepted if the
    previous response was older, too. Incremental changes with an older version are never accepted.
    """

    def __init__(self) -> None:
        self._newest: int | None = None
        self._last_was_older = False

    @property
    def newest(self) -> int | None:
        """The version that was accepted last; None before the first one."""
        return self._newest

    def accepts(self, version: int, is_complete: bool) -> bool:
        """Return whether the response may be used. Each call affects the result of the next one."""
        if self._newest is None or version >= self._newest:
            self._last_was_older = False
            return True
        repeated = self._last_was_older
        self._last_was_older = True
        return repeated and is_complete

    def record(self, version: int) -> None:
        """Record that the response with this version was used."""
        self._newest = version

    def reset(self) -> None:
        """Discard the recorded version: versions of different services are not comparable."""
        self._newest = None
        self._last_was_older = False
