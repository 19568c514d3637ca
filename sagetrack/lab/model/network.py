"""Network conditions between the parties of a world: partitions, and clocks that are off."""

from __future__ import annotations

from dataclasses import dataclass

from sagetrack.lab.model.endpoint_entry import EndpointEntry


@dataclass(frozen=True, slots=True, eq=False)
class Partition:
    """Gateways that cannot reach some servers."""

    gateways: frozenset[int]
    servers: frozenset[int]


class NetworkConditions:
    """Owns the partitions in force, and how far each gateway's clock is off."""

    def __init__(self) -> None:
        self._partitions: list[Partition] = []
        self._clock_skew_us: dict[int, int] = {}  # by gateway: how far its clock is behind

    def add_partitions(self, partitions: list[Partition]) -> None:
        """Put partitions in force."""
        self._partitions += partitions

    def remove_partitions(self, partitions: list[Partition]) -> None:
        """End partitions that are in force."""
        for partition in partitions:
            self._partitions.remove(partition)

    def can_reach(self, gateway: int, server: int) -> bool:
        """Whether messages pass between a gateway and a server."""
        return not any(gateway in cut.gateways and server in cut.servers for cut in self._partitions)

    def can_peers_reach(self, one: int, other: int) -> bool:
        """Whether datagrams pass between two gateways."""
        return not any((one in cut.gateways) != (other in cut.gateways) for cut in self._partitions)

    def skew_clock(self, gateway: int, behind_us: int) -> None:
        """Set a gateway's clock back, or with a negative number ahead."""
        self._clock_skew_us[gateway] = behind_us

    def reset_clocks(self) -> None:
        """Set all clocks right."""
        self._clock_skew_us.clear()

    def start_time_us(self, gateway: int, entry: EndpointEntry) -> int:
        """When a server started, by the clock of this gateway; 0 for long ago."""
        if not entry.started_us:
            return 0
        return max(1, entry.started_us + self._clock_skew_us.get(gateway, 0))
