"""Access rules, response rate, queries in flight."""

from __future__ import annotations

from sagetrack.dns.limits import AccessRules, QueriesInFlight, RateVerdict, ResponseRateLimiter


def test_access_is_decided_by_the_longest_prefix() -> None:
    access = AccessRules(["10.0.0.0/8", "::1/128"], ["10.1.0.0/16"])
    assert access.allows("10.2.0.1") and access.allows("::1")
    assert not access.allows("10.1.0.1") and not access.allows("192.0.2.1")


def test_answers_to_one_prefix_are_bounded_and_half_of_the_rest_is_cut_short() -> None:
    rate = ResponseRateLimiter(10, burst=10)
    verdicts = [rate.judge(f"192.0.2.{n % 250}", 0) for n in range(100)]
    assert verdicts.count(RateVerdict.ANSWER) == 10 and verdicts.count(RateVerdict.TRUNCATE) == 45
    assert rate.judge("198.51.100.1", 0) is RateVerdict.ANSWER
    assert rate.judge("192.0.2.9", 10**6) is RateVerdict.ANSWER


def test_queries_in_work_are_bounded_for_each_and_in_all() -> None:
    work = QueriesInFlight(2, 3)
    assert [work.try_add(host) for host in "aaabb"] == [True, True, False, True, False]
    work.remove("a")
    assert work.try_add("b") and not work.try_add("c")
