"""Mutated frames against both sides."""

from __future__ import annotations

from sagetrack.grpc.fuzz import fuzz_downstream, fuzz_upstream


def test_mutated_frames_of_a_fixed_seed_break_nothing() -> None:
    result = fuzz_upstream(3000, 3)
    assert not result.failures and result.closed > 100 and result.answered > 100
    result = fuzz_downstream(3000, 3)
    assert not result.failures and result.closed > 10 and result.answered > 50
