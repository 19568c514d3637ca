"""Reservations behind Retry-After."""

from __future__ import annotations

import pytest

from sagetrack.policy.reservations import Requester, Reservations, RetryTerms

SECOND = 1_000_000


def test_reservations_follow_one_another_and_an_early_client_still_has_to_wait() -> None:
    reservations = Reservations(1, 100)
    terms = RetryTerms(0.0, 8 * SECOND, 8 * SECOND)
    waits = [reservations.reserve(0, Requester(0, n, n), 0.0, 200_000, terms) for n in range(1, 4)]
    assert [round(w, -5) for w in waits] == [0, 200_000, 400_000]
    assert reservations.claim(Requester(0, 3, 3), 100_000) == pytest.approx(300_000, abs=1000)
    assert (
        reservations.claim(Requester(0, 3, 3), 390_000) == 0
        and reservations.claim(Requester(0, 3, 3), 390_000) is None
    )
    assert reservations.claim(Requester(0, 9, 9), 390_000) is None
    hasty = RetryTerms(0.0, 8 * SECOND, 10)
    line = reservations.booked_until_us[0]
    assert reservations.reserve(0, Requester(0, 5, 5), 9 * SECOND, 1, terms) == 8 * SECOND
    assert reservations.reserve(0, Requester(0, 5, 5), SECOND, 1, hasty) >= SECOND  # it will have given up
    assert reservations.booked_until_us[0] == line and reservations.count == 2  # neither lengthens the line
    for n in range(200):
        reservations.reserve(0, Requester(0, 5, n), 0.0, 1, terms)
    assert (
        reservations.count_by_client[0, 5] == 64
    )  # one client's haste does not lengthen the line without end
    reservations.claim(Requester(0, 77, 0), 60 * SECOND)
    assert reservations.count < 66  # what nobody came for is void
