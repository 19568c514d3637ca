"""Outcomes of attempts, by how their streams end."""

from __future__ import annotations

from sagetrack.grpc import outcomes
from sagetrack.grpc.outcomes import Http2ErrorCode, StatusCode
from sagetrack.policy.events import Outcome


def test_outcomes_by_how_a_stream_ends() -> None:
    for status in [*StatusCode, None, 99]:
        for complete in (True, False):
            for rejected in (True, False):
                expected = Outcome.ERROR
                if status == StatusCode.OK and complete:
                    expected = Outcome.OK
                elif status in (8, 14) and rejected and not complete:
                    expected = Outcome.REJECTED
                assert outcomes.of_status(status, complete, rejected) is expected
    for code in [*Http2ErrorCode, 99]:
        refused = code == Http2ErrorCode.REFUSED_STREAM
        assert outcomes.of_reset(code, True) is (Outcome.REJECTED if refused else Outcome.RESET)
        assert outcomes.of_reset(code, False) is (Outcome.REJECTED if refused else Outcome.ERROR)
    assert outcomes.of_goaway(5, 3) is Outcome.NOT_SENT and outcomes.of_goaway(3, 3) is None
    assert (outcomes.of_loss(True), outcomes.of_loss(False)) == (Outcome.RESET, Outcome.CONNECT_FAILED)
    assert (outcomes.of_deadline(True), outcomes.of_deadline(False)) == (
        Outcome.TIMEOUT,
        Outcome.CONNECT_FAILED,
    )
