"""An entry of the endpoint list, and its states as discovery spells them."""

from __future__ import annotations

from dataclasses import dataclass

READY, DRAINING, GONE = "SERVING", "DRAINING", "DELETED"


@dataclass(slots=True)
class EndpointEntry:
    """One server as the endpoint list shows it."""

    server: int
    zone: int
    rack: int
    status: str = READY
    started_us: int = 0  # when it started; 0: long ago
