"""Mutated frames against both sides."""

from __future__ import annotations

from sagetrack.grpc.fuzz import fuzz_downstream, fuzz_upstream


def test_mutated_frames_of_a_fixed_seed_break_nothing() -> None:
    found = fuzz_upstream(3000, 3)
    assert not found.failures and found.closed > 100 and found.answered > 100
    found = fuzz_downstream(3000, 3)
    assert not found.failures and found.closed > 10 and found.answered > 50
