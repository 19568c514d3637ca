"""An entry of the endpoint list, and its status values as discovery spells them."""

from __future__ import annotations

from dataclasses import dataclass

READY, DRAINING, GONE = "SERVING", "DRAINING", "DELETED"


@dataclass(slots=True)
class EndpointEntry:
    """One server in the endpoint list."""

    server: int
    zone: int
    rack: int
    status: str = READY
    started_us: int = 0  # start time of the server; 0: before the run
