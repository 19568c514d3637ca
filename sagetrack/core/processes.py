"""Processes of the same gateway that run concurrently, as during a hot restart."""

from __future__ import annotations

from typing import Protocol


class SiblingProcesses(Protocol):
    """The other processes of the same gateway on this machine.

    Attributes:
        sibling_count: Number of other processes that are running.
        serving_sibling_count: Number of those that accept clients.
    """

    sibling_count: int
    serving_sibling_count: int

    def refresh(self) -> None:
        """Update the counts of the other processes."""
        ...

    def mark_serving(self) -> None:
        """Announce that this process accepts clients."""
        ...

    def mark_draining(self) -> None:
        """Announce that this process no longer accepts clients."""
        ...

    def release(self) -> None:
        """Announce that this process is exiting."""
        ...


class NoSiblings:
    """Implementation for a gateway without hot restart, where no other process exists."""

    sibling_count = 0
    serving_sibling_count = 0

    def refresh(self) -> None:
        """Do nothing; the counts are always 0."""

    def mark_serving(self) -> None:
        """Do nothing; there is no other process to inform."""

    def mark_draining(self) -> None:
        """Do nothing; there is no other process to inform."""

    def release(self) -> None:
        """Do nothing; there is no marker to remove."""
