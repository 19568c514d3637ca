"""Network partitions and clock skew in a world."""

from __future__ import annotations

from dataclasses import dataclass

from sagetrack.lab.model.endpoint_entry import EndpointEntry


@dataclass(frozen=True, slots=True, eq=False)
class Partition:
    """A set of gateways and a set of servers that cannot reach each other."""

    gateways: frozenset[int]
    servers: frozenset[int]


class NetworkConditions:
    """Owns the active partitions and the clock skew of each gateway."""

    def __init__(self) -> None:
        self._partitions: list[Partition] = []
        self._clock_skew_us: dict[int, int] = {}  # by gateway; positive if its clock is behind

    def add_partitions(self, partitions: list[Partition]) -> None:
        """Activate partitions."""
        self._partitions += partitions

    def remove_partitions(self, partitions: list[Partition]) -> None:
        """End active partitions."""
        for partition in partitions:
            self._partitions.remove(partition)

    def can_reach(self, gateway: int, server: int) -> bool:
        """Whether messages pass between a gateway and a server."""
        return not any(
            gateway in partition.gateways and server in partition.servers for partition in self._partitions
        )

    def can_peers_reach(self, first: int, second: int) -> bool:
        """Whether datagrams pass between two gateways."""
        return not any(
            (first in partition.gateways) != (second in partition.gateways) for partition in self._partitions
        )

    def skew_clock(self, gateway: int, behind_us: int) -> None:
        """Set the clock of a gateway behind, or ahead if the value is negative."""
        self._clock_skew_us[gateway] = behind_us

    def reset_clocks(self) -> None:
        """Remove the skew of all clocks."""
        self._clock_skew_us.clear()

    def start_time_us(self, gateway: int, entry: EndpointEntry) -> int:
        """Return the start time of a server on the skewed clock of a gateway; 0: before the run."""
        if not entry.started_us:
            return 0
        return max(1, entry.started_us + self._clock_skew_us.get(gateway, 0))
