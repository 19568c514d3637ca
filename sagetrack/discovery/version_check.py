"""Whether a response of discovery is older than the newest list that was taken."""

from __future__ import annotations


class VersionCheck:
    """Rejects outdated responses of one discovery service.

    A response with an older version may be one that the response to another call has overtaken; taken, it
    would undo a withdrawal. A service that has restarted and counts anew says an older version again, in a
    complete list: that second one is accepted. Changes since an older version never are.
    """

    def __init__(self) -> None:
        self._newest: int | None = None
        self._last_was_older = False

    @property
    def newest(self) -> int | None:
        """The version that was taken last; None: none yet."""
        return self._newest

    def accepts(self, version: int, is_complete: bool) -> bool:
        """Whether the response may be taken; the next answer depends on this one."""
        if self._newest is None or version >= self._newest:
            self._last_was_older = False
            return True
        repeated = self._last_was_older
        self._last_was_older = True
        return repeated and is_complete

    def taken(self, version: int) -> None:
        """The response with this version has been taken."""
        self._newest = version

    def reset(self) -> None:
        """Forget all: versions of two services need not be comparable."""
        self._newest = None
        self._last_was_older = False
