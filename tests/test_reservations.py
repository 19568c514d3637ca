"""Tests of reservations: the service that is reserved for retries at their Retry-After."""

from __future__ import annotations

import pytest

from sagetrack.policy.reservations import Requester, Reservations, RetryAfterLimits

SECOND_US = 1_000_000


def test_reservations_are_booked_one_after_the_other_and_an_early_claim_has_to_wait() -> None:
    reservations = Reservations(1, 100)
    limits = RetryAfterLimits(0.0, 8 * SECOND_US, 8 * SECOND_US)
    waits = [reservations.reserve(0, Requester(0, n, n), 0.0, 200_000, limits) for n in range(1, 4)]
    assert [round(w, -5) for w in waits] == [0, 200_000, 400_000]
    assert reservations.claim(Requester(0, 3, 3), 100_000) == pytest.approx(300_000, abs=1000)
    assert (
        reservations.claim(Requester(0, 3, 3), 390_000) == 0
        and reservations.claim(Requester(0, 3, 3), 390_000) is None
    )
    assert reservations.claim(Requester(0, 9, 9), 390_000) is None
    impatient = RetryAfterLimits(0.0, 8 * SECOND_US, 10)
    booked_until_us = reservations.booked_until_us[0]
    assert reservations.reserve(0, Requester(0, 5, 5), 9 * SECOND_US, 1, limits) == 8 * SECOND_US
    # The client gives up before that time, so nothing is reserved.
    assert reservations.reserve(0, Requester(0, 5, 5), SECOND_US, 1, impatient) >= SECOND_US
    # Neither of the two calls reserved any time.
    assert reservations.booked_until_us[0] == booked_until_us and reservations.count == 2
    for n in range(200):
        reservations.reserve(0, Requester(0, 5, n), 0.0, 1, limits)
    assert reservations.count_by_client[0, 5] == 64  # the number of reservations of one client is bounded
    reservations.claim(Requester(0, 77, 0), 60 * SECOND_US)
    assert reservations.count < 66  # unclaimed reservations expire
