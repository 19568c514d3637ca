"""Access rules, response rate, queries in flight."""

from __future__ import annotations

from sagetrack.dns.limits import AccessRules, QueriesInFlight, RateLimitAction, ResponseRateLimiter


def test_longest_prefix_decides_access() -> None:
    access = AccessRules(["10.0.0.0/8", "::1/128"], ["10.1.0.0/16"])
    assert access.allows("10.2.0.1") and access.allows("::1")
    assert not access.allows("10.1.0.1") and not access.allows("192.0.2.1")


def test_responses_to_a_prefix_are_limited_and_half_of_the_excess_is_truncated() -> None:
    rate = ResponseRateLimiter(10, burst=10)
    verdicts = [rate.decide(f"192.0.2.{n % 250}", 0) for n in range(100)]
    assert verdicts.count(RateLimitAction.SEND) == 10 and verdicts.count(RateLimitAction.TRUNCATE) == 45
    assert rate.decide("198.51.100.1", 0) is RateLimitAction.SEND
    assert rate.decide("192.0.2.9", 10**6) is RateLimitAction.SEND


def test_queries_in_flight_are_limited_per_client_and_in_total() -> None:
    queries_in_flight = QueriesInFlight(2, 3)
    assert [queries_in_flight.try_add(host) for host in "aaabb"] == [True, True, False, True, False]
    queries_in_flight.remove("a")
    assert queries_in_flight.try_add("b") and not queries_in_flight.try_add("c")
