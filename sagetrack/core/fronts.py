"""What the fronts of a process have in common: each holds connections of clients of one protocol.

All fronts share the descriptors and the memory of the process. The owners of those two budgets ask the fronts
to give up what they can spare.
"""

from __future__ import annotations

from typing import Protocol

from sagetrack.core.memory_budget import OverloadAction


class Front(Protocol):
    """The client connections of one protocol."""

    def count_connections(self) -> int:
        """Return the number of client connections that are open or being set up."""
        ...

    def reclaim_idle(self, min_idle_s: float) -> bool:
        """Close the connection that has been idle for longest; False if none was idle for that long."""
        ...

    def sweep(self, action: OverloadAction) -> None:
        """Check the connections, and carry out an overload action; called several times a second."""
        ...


class ClientAdmission(Protocol):
    """Decides for all fronts whether one more client is accepted."""

    def admit(self) -> bool:
        """Ensure that one more client can be accepted, if necessary by closing another; False if not."""
        ...

    def reclaim_idle_client(self) -> bool:
        """Close a client connection that is idle, as the system has no descriptor left; False if none is."""
        ...

    def add(self, front: Front) -> None:
        """Take a front into account from now on."""
        ...


class UnlimitedAdmission:
    """Admits every client; for a front that shares its process with no other."""

    def admit(self) -> bool:
        """Return True."""
        return True

    def reclaim_idle_client(self) -> bool:
        """Return False, as no client is known here."""
        return False

    def add(self, front: Front) -> None:
        """Ignore the front."""
