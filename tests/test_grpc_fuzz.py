"""Fuzzing of downstream and upstream connections with mutated HTTP/2 frames."""

from __future__ import annotations

from sagetrack.grpc.fuzz import fuzz_downstream, fuzz_upstream


def test_mutated_frames_cause_no_failures() -> None:
    result = fuzz_upstream(3000, 3)
    assert not result.failures and result.closed > 100 and result.answered > 100
    result = fuzz_downstream(3000, 3)
    assert not result.failures and result.closed > 10 and result.answered > 50
