"""Cache of answers: bounds, expiry, stale answers, prefetch."""

from __future__ import annotations

from sagetrack.dns.answer import parse_answer
from sagetrack.dns.cache import ENTRY_OVERHEAD_BYTES, AnswerCache
from sagetrack.dns.message import encode_upstream_query, parse_query
from tests.dns_helpers import (
    query,
    response_to,
)


def test_the_cache_keeps_within_its_bytes_and_drops_the_least_used() -> None:
    cache = AnswerCache(5 * ENTRY_OVERHEAD_BYTES)
    for number in range(20):
        asked = parse_query(query(f"n{number}.example."))
        answer = parse_answer(response_to(encode_upstream_query(asked, 1)), asked, 1)
        assert answer is not None
        cache.put(asked.cache_key, answer, number)
        assert cache.bytes <= cache.limit
    assert cache.get(asked.cache_key, 20) is not None
    assert 0 < len(cache.entries) < 6 and cache.counts.evicted == 20 - len(cache.entries)


def test_answers_run_out_go_stale_and_are_prefetched_when_popular() -> None:
    cache = AnswerCache(10**6, stale_s=100)
    asked = parse_query(query())
    answer = parse_answer(response_to(encode_upstream_query(asked, 1), ttl=10), asked, 1)
    assert answer is not None
    cache.put(asked.cache_key, answer, 0)
    assert [cache.get(asked.cache_key, t * 10**6) is not None for t in (0, 5, 9)] == [True, True, True]
    hit = cache.get(asked.cache_key, 9_500_000)
    again = cache.get(asked.cache_key, 9_600_000)
    assert (
        cache.counts.prefetched == 1 and again is not None and not again.should_prefetch and hit is not None
    )
    assert cache.get(asked.cache_key, 10_000_000) is None
    assert cache.get_stale(asked.cache_key, 10_000_000) is not None
    assert cache.get_stale(asked.cache_key, 111_000_000) is None
