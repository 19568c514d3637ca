"""Cache of answers: bounds, expiry, stale answers, prefetch."""

from __future__ import annotations

from sagetrack.dns.answer import parse_response
from sagetrack.dns.cache import ENTRY_OVERHEAD_BYTES, ResponseCache
from sagetrack.dns.message import encode_upstream_query, parse_query
from tests.dns_helpers import (
    query,
    response_to,
)


def test_cache_stays_within_its_size_and_evicts_least_recently_used() -> None:
    cache = ResponseCache(5 * ENTRY_OVERHEAD_BYTES)
    for number in range(20):
        parsed_query = parse_query(query(f"n{number}.example."))
        response = parse_response(response_to(encode_upstream_query(parsed_query, 1)), parsed_query, 1)
        assert response is not None
        cache.put(parsed_query.cache_key, response, number)
        assert cache.size_bytes <= cache.max_bytes
    assert cache.get(parsed_query.cache_key, 20) is not None
    assert 0 < len(cache.entries) < 6 and cache.counts.evicted == 20 - len(cache.entries)


def test_responses_expire_are_served_stale_and_prefetched_if_popular() -> None:
    cache = ResponseCache(10**6, stale_s=100)
    parsed_query = parse_query(query())
    response = parse_response(response_to(encode_upstream_query(parsed_query, 1), ttl=10), parsed_query, 1)
    assert response is not None
    cache.put(parsed_query.cache_key, response, 0)
    assert [cache.get(parsed_query.cache_key, t * 10**6) is not None for t in (0, 5, 9)] == [True, True, True]
    hit = cache.get(parsed_query.cache_key, 9_500_000)
    again = cache.get(parsed_query.cache_key, 9_600_000)
    assert (
        cache.counts.prefetched == 1 and again is not None and not again.should_prefetch and hit is not None
    )
    assert cache.get(parsed_query.cache_key, 10_000_000) is None
    assert cache.get_stale(parsed_query.cache_key, 10_000_000) is not None
    assert cache.get_stale(parsed_query.cache_key, 111_000_000) is None
