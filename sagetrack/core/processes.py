"""Processes of one gateway that run side by side, as they do during a hot restart."""

from __future__ import annotations

from typing import Protocol


class SiblingProcesses(Protocol):
    """Other processes of the same gateway on this machine.

    Attributes:
        sibling_count: How many of them run.
        serving_sibling_count: How many of those accept clients.
    """

    sibling_count: int
    serving_sibling_count: int

    def refresh(self) -> None:
        """Count the other processes again."""
        ...

    def mark_serving(self) -> None:
        """Announce that this process accepts clients."""
        ...

    def mark_draining(self) -> None:
        """Announce that this process no longer accepts clients."""
        ...

    def release(self) -> None:
        """Announce that this process ends."""
        ...


class NoSiblings:
    """The implementation for a gateway whose processes never overlap: there is no other process."""

    sibling_count = 0
    serving_sibling_count = 0

    def refresh(self) -> None:
        """Do nothing: the counts stay 0."""

    def mark_serving(self) -> None:
        """Do nothing: no other process reads the mark."""

    def mark_draining(self) -> None:
        """Do nothing: no other process reads the mark."""

    def release(self) -> None:
        """Do nothing: there is no mark to remove."""
