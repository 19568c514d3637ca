"""The file of observations that a process leaves for its successor."""

from __future__ import annotations

from pathlib import Path

from sagetrack.peers import handover
from sagetrack.policy.peer_observations import ClassLatency
from tests.observations import NOW, observations


def test_a_note_that_is_torn_stale_or_foreign_is_passed_over(tmp_path: Path) -> None:
    sights, latencies = observations(9), [ClassLatency(1, 5.0, 4.0)]
    assert handover.write(tmp_path, "g1", NOW, sights, latencies)
    note = handover.read(tmp_path, "g1", NOW + 1)
    assert note is not None and note.observations == sights and note.latencies == latencies
    assert handover.read(tmp_path, "g2", NOW + 1) is None
    assert handover.read(tmp_path, "g1", NOW + handover.STALE_US + 1) is None
    assert handover.read(tmp_path, "g1", NOW - 1) is None
    data = (tmp_path / handover.FILE_NAME).read_bytes()
    for cut in range(len(data)):
        assert handover.parse(data[:cut], "g1", NOW) is None
        wrong = data[:cut] + bytes([data[cut] ^ 0x40]) + data[cut + 1 :]
        assert handover.parse(wrong, "g1", NOW) is None
    assert [path.name for path in tmp_path.iterdir()] == [handover.FILE_NAME]
    assert not handover.write(tmp_path / "none", "g1", NOW, sights, latencies)
