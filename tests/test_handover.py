"""The file by which a process hands its observations over to its successor."""

from __future__ import annotations

from pathlib import Path

from sagetrack.peers import handover
from sagetrack.policy.peer_observations import ClassLatency
from tests.observations import NOW, observations


def test_a_file_that_is_damaged_stale_or_of_another_gateway_is_ignored(tmp_path: Path) -> None:
    server_observations, latencies = observations(9), [ClassLatency(1, 5.0, 4.0)]
    assert handover.write(tmp_path, "g1", NOW, server_observations, latencies)
    record = handover.read(tmp_path, "g1", NOW + 1)
    assert record is not None and record.observations == server_observations and record.latencies == latencies
    assert handover.read(tmp_path, "g2", NOW + 1) is None
    assert handover.read(tmp_path, "g1", NOW + handover.STALE_US + 1) is None
    assert handover.read(tmp_path, "g1", NOW - 1) is None
    data = (tmp_path / handover.FILE_NAME).read_bytes()
    for position in range(len(data)):
        assert handover.parse(data[:position], "g1", NOW) is None
        damaged = data[:position] + bytes([data[position] ^ 0x40]) + data[position + 1 :]
        assert handover.parse(damaged, "g1", NOW) is None
    assert [path.name for path in tmp_path.iterdir()] == [handover.FILE_NAME]
    assert not handover.write(tmp_path / "none", "g1", NOW, server_observations, latencies)
