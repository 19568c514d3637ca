"""Handles client queries: responds from local zones, from the cache, or from an upstream server.

Each query gets at most one response. Queries with equal questions share one upstream request. If a request
is rejected or fails, its queries get a response immediately, so that no client has to wait for its timeout:
a stale response (RFC 8767) if one is cached, otherwise SERVFAIL with an extended error (RFC 8914).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from sagetrack.config.platform import DEFAULT_MEMORY_MB
from sagetrack.core.clock import now_us
from sagetrack.core.gateway import Gateway
from sagetrack.core.memory_budget import MemoryBudget, OverloadAction
from sagetrack.core.requests import Request, ResponseSource, never_disconnected
from sagetrack.dns.answer import DnsResponse, encode_response
from sagetrack.dns.cache import STALE_TTL_S, CacheKey, ResponseCache
from sagetrack.dns.limits import AccessRules, QueriesInFlight, RateLimitAction, ResponseRateLimiter
from sagetrack.dns.message import (
    EDNS_UDP_PAYLOAD_BYTES,
    MAX_MESSAGE_BYTES,
    MIN_UDP_PAYLOAD_BYTES,
    TC,
    ExtendedError,
    MessageError,
    Query,
    Rcode,
    encode_error,
    encode_error_for_invalid,
    parse_query,
)

WriteResponse = Callable[[bytes], None]
LocalResolver = Callable[[Query], DnsResponse | None]
"""Returns the response from a local zone; None if the queried name is in no local zone."""


@dataclass(slots=True)
class QueryCounts:
    """Counters since the start of the process.

    Every query in `queries` ends in exactly one of `answered`, `refused` and `failed`.
    """

    queries: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    retransmitted: int = 0  # retransmissions of a query in flight
    shared: int = 0  # queries that joined the upstream request of another query
    denied: int = 0  # messages from clients that the access rules deny
    invalid: int = 0  # malformed or unsupported messages
    truncated: int = 0  # UDP responses sent with TC set


@dataclass(slots=True, eq=False)
class WaitingQuery:
    """A query that waits for its response."""

    query: Query
    host: str
    key: tuple[Any, ...]  # client, message id and question
    max_bytes: int  # size limit of the response
    write: WriteResponse
    is_udp: bool
    has_disconnected: Callable[[], bool] = never_disconnected


@dataclass(slots=True, eq=False)
class SharedRequest:
    """An upstream request, and the queries that wait for its response."""

    cache_key: CacheKey
    queries: list[WaitingQuery] = field(default_factory=list)

    def has_disconnected(self) -> bool:
        """Return whether all clients that wait have disconnected; False if it only refreshes the cache."""
        return bool(self.queries) and all(waiting.has_disconnected() for waiting in self.queries)


class QueryHandler:
    """Handles the queries of all clients, and implements the `Client` interface for the upstream requests.

    Args:
        gateway: Sends requests upstream.
        cache: The response cache.
        access: Decides which clients may send queries.
        rate_limiter: Limits the rate of responses over UDP.
        in_flight: Limits the number of queries in flight.
        client_timeout_us: Time for which clients are expected to wait for a response.
        resolve_locally: Resolves queries from the local zones.
        has_upstreams: True if the configuration has any source of upstream servers.
        memory_budget: Memory budget of the process; by default one for the default memory limit.
    """

    def __init__(
        self,
        gateway: Gateway,
        cache: ResponseCache,
        access: AccessRules,
        rate_limiter: ResponseRateLimiter,
        in_flight: QueriesInFlight,
        client_timeout_us: int,
        resolve_locally: LocalResolver = lambda query: None,
        has_upstreams: bool = True,
        memory_budget: MemoryBudget | None = None,
    ) -> None:
        self.gateway = gateway
        self.cache = cache
        self.access = access
        self.rate_limiter = rate_limiter
        self.in_flight = in_flight
        self.client_timeout_us = client_timeout_us
        self.resolve_locally = resolve_locally
        self.has_upstreams = has_upstreams
        self.memory_budget = memory_budget or MemoryBudget(DEFAULT_MEMORY_MB)
        self.counts = QueryCounts()
        self.waiting: dict[tuple[Any, ...], WaitingQuery] = {}
        self.shared_by_question: dict[CacheKey, SharedRequest] = {}
        self.shared_by_request_id: dict[str, SharedRequest] = {}
        self.last_request_number = 0

    # Queries

    def handle(
        self,
        data: bytes,
        host: str,
        client: Any,
        is_udp: bool,
        write: WriteResponse,
        has_disconnected: Callable[[], bool] = never_disconnected,
    ) -> bool:
        """Handle a message of a client.

        Args:
            data: The message.
            host: IP address of the client.
            client: Identifies the client: its address and port, or its connection.
            is_udp: True if the message was received over UDP.
            write: Sends the response; called at most once.
            has_disconnected: Returns whether the client has closed its connection.

        Returns:
            True if the message is a new valid query, which is answered now or later.
        """
        if not self.access.allows(host):
            self.counts.denied += 1
            self.refuse(data, host, is_udp, write)
            return False
        query = self._parse(data, host, is_udp, write)
        if query is None:
            return False
        key = (client, query.id, query.question)
        if key in self.waiting:
            self.counts.retransmitted += 1  # not handled again; the response to the first copy is due
            return False
        self.counts.queries += 1
        max_bytes = _max_response_bytes(query, is_udp)
        waiting = WaitingQuery(query, host, key, max_bytes, write, is_udp, has_disconnected)
        if not self.try_answer_locally(waiting):
            self.forward(waiting)
        return True

    def _parse(self, data: bytes, host: str, is_udp: bool, write: WriteResponse) -> Query | None:
        """Parse a message; one that is no valid query gets an error if possible, and None is returned."""
        try:
            return parse_query(data)
        except MessageError as error:
            self.counts.invalid += 1
            if error.rcode is not None:
                self.send_error(encode_error_for_invalid(data, error.rcode), host, is_udp, write)
            return None

    def refuse(self, data: bytes, host: str, is_udp: bool, write: WriteResponse) -> None:
        """Send REFUSED to a client that the access rules deny."""
        try:
            response: bytes | None = encode_error(parse_query(data), Rcode.REFUSED, ExtendedError.PROHIBITED)
        except MessageError:
            response = encode_error_for_invalid(data, Rcode.REFUSED)
        self.send_error(response, host, is_udp, write)

    def send_error(self, response: bytes | None, host: str, is_udp: bool, write: WriteResponse) -> None:
        """Send an error response, if there is one and the rate limit allows it.

        It is not counted as the response to a query.
        """
        if response is not None and self.check_rate_limit(host, is_udp) is RateLimitAction.SEND:
            write(response)

    def try_answer_locally(self, waiting: WaitingQuery) -> bool:
        """Respond from a local zone or the cache, or with an error if the gateway cannot serve.

        Returns:
            True if a response was sent; if not, the query has to be forwarded.
        """
        query = waiting.query
        local = self.resolve_locally(query)
        if local is not None:
            self.counts.answered += 1
            self.respond(waiting, encode_response(query, local, waiting.max_bytes))
            return True
        if not self.gateway.can_serve:
            self.counts.refused += 1
            self.respond(waiting, self.encode_not_serving(query))
            return True
        hit = self.cache.get(query.cache_key, now_us())
        if hit is None:
            return False
        self.counts.answered += 1
        self.respond(waiting, encode_response(query, hit.response, waiting.max_bytes, hit.age_s))
        if hit.should_prefetch:
            self.start_request(query)
        return True

    def encode_not_serving(self, query: Query) -> bytes:
        """Encode the error for a query that needs an upstream server while none is available."""
        if self.has_upstreams:
            return encode_error(query, Rcode.SERVFAIL, ExtendedError.NOT_READY)
        return encode_error(query, Rcode.REFUSED, ExtendedError.NOT_AUTHORITATIVE)

    def forward(self, waiting: WaitingQuery) -> None:
        """Forward a query upstream, or add it to the request in flight that has the same question.

        If too many queries are in flight, or memory is short, it is refused with SERVFAIL.
        """
        query = waiting.query
        is_short = self.memory_budget.action >= OverloadAction.REJECT_CONNECTIONS
        if is_short or not self.in_flight.try_add(waiting.host):
            self.counts.refused += 1
            text = "too many queries in work"
            self.respond(waiting, encode_error(query, Rcode.SERVFAIL, ExtendedError.OTHER, text))
            return
        self.waiting[waiting.key] = waiting
        shared = self.shared_by_question.get(query.cache_key)
        if shared is not None:
            self.counts.shared += 1
            shared.queries.append(waiting)
            return
        self.start_request(query, waiting)

    def start_request(self, query: Query, waiting: WaitingQuery | None = None) -> None:
        """Send a request upstream; if no query waits for it, its response only refreshes the cache."""
        shared = SharedRequest(query.cache_key, [waiting] if waiting else [])
        self.shared_by_question[query.cache_key] = shared
        self.last_request_number += 1
        request = Request(
            id=f"q{self.last_request_number:x}",
            class_index=0,
            client_timeout_us=self.client_timeout_us,
            key=None,
            work_us=None,
            is_retry=False,
            tenant=0,
            message=query,
            client=self,
            has_disconnected=shared.has_disconnected,
        )
        self.shared_by_request_id[request.id] = shared
        self.gateway.submit(request)

    def cancel_queries(self, client: Any) -> None:
        """Drop the queries of a client that has closed its connection.

        Requests that no other client waits for are cancelled.
        """
        gone = {key for key in self.waiting if key[0] is client}
        for request_id, shared in list(self.shared_by_request_id.items()):
            kept = [waiting for waiting in shared.queries if waiting.key not in gone]
            if len(kept) == len(shared.queries):
                continue
            for waiting in shared.queries:
                if waiting.key in gone:
                    self.in_flight.remove(waiting.host)
                    del self.waiting[waiting.key]
            shared.queries = kept
            if not kept:
                self._forget(request_id, shared)
                self.gateway.cancel_request(request_id)

    def _forget(self, request_id: str, shared: SharedRequest) -> None:
        """Remove a request, so that later queries do not wait for it."""
        del self.shared_by_request_id[request_id]
        if self.shared_by_question.get(shared.cache_key) is shared:
            del self.shared_by_question[shared.cache_key]

    def end_request(self, request: Request) -> list[WaitingQuery]:
        """Remove a request that has ended, and return the queries that waited for it."""
        shared = self.shared_by_request_id.get(request.id)
        if shared is None:
            return []
        self._forget(request.id, shared)
        for waiting in shared.queries:
            self.in_flight.remove(waiting.host)
            self.waiting.pop(waiting.key, None)
        return shared.queries

    # Implementation of the gateway's `Client` interface

    def on_response(self, request: Request, response: DnsResponse) -> None:
        """Cache a response from upstream, and send it to the waiting clients."""
        self.cache.put(request.message.cache_key, response, now_us())
        for waiting in self.end_request(request):
            self.counts.answered += 1
            self.respond(waiting, encode_response(waiting.query, response, waiting.max_bytes))

    def on_rejected(self, request: Request, retry_after_us: int) -> None:
        """Respond to the waiting clients after the gateway rejected the request."""
        text = f"come back in {retry_after_us / 1e6:.1f} s" if retry_after_us else "busy"
        self.respond_with_failure(request, ExtendedError.NOT_READY, text, rejected=True)

    def on_failed(self, request: Request, timed_out: bool) -> None:
        """Respond to the waiting clients after the request failed or exceeded its deadline."""
        code = ExtendedError.NO_REACHABLE_AUTHORITY if timed_out else ExtendedError.NETWORK_ERROR
        self.respond_with_failure(request, code, "", rejected=False)

    def respond_with_failure(self, request: Request, code: ExtendedError, text: str, rejected: bool) -> None:
        """Respond to the queries of a request that got no response: stale if possible, else SERVFAIL."""
        key = request.message.cache_key
        self.cache.prefetch_failed(key)
        stale = self.cache.get_stale(key, now_us())
        for waiting in self.end_request(request):
            if stale is not None:
                self.counts.answered += 1
                self.respond(waiting, encode_stale_response(waiting, stale.response))
                continue
            if rejected:
                self.counts.refused += 1
            else:
                self.counts.failed += 1
            self.respond(waiting, encode_error(waiting.query, Rcode.SERVFAIL, code, text))

    def check_rate_limit(self, host: str, is_udp: bool) -> RateLimitAction:
        """Apply the rate limit to a response; responses over TCP are not limited."""
        return self.rate_limiter.decide(host, now_us()) if is_udp else RateLimitAction.SEND

    def respond(self, waiting: WaitingQuery, data: bytes) -> None:
        """Send the response to a query, unless the rate limit drops or truncates it."""
        action = self.check_rate_limit(waiting.host, waiting.is_udp)
        if action is RateLimitAction.DROP:
            return
        if action is RateLimitAction.TRUNCATE:
            data = encode_error(waiting.query, Rcode.NOERROR, flags=TC)
        self.counts.truncated += waiting.is_udp and bool(data[2] & 0x02)
        waiting.write(data)

    # The rest of the interface is for streamed responses. DNS responses are never streamed.

    def on_response_started(self, request: Request, head: Any, source: ResponseSource) -> None:
        """Never called."""
        raise AssertionError("DNS responses are not streamed")

    def on_response_data(self, request: Request, data: bytes) -> None:
        """Never called."""
        raise AssertionError("DNS responses are not streamed")

    def on_response_ended(self, request: Request, response: Any) -> None:
        """Never called."""
        raise AssertionError("DNS responses are not streamed")

    def on_response_aborted(self, request: Request) -> None:
        """Never called."""
        raise AssertionError("DNS responses are not streamed")


def _max_response_bytes(query: Query, is_udp: bool) -> int:
    """Return the size limit of the response to a query."""
    if not is_udp:
        return MAX_MESSAGE_BYTES
    return min(max(query.udp_payload_bytes, MIN_UDP_PAYLOAD_BYTES), EDNS_UDP_PAYLOAD_BYTES)


def encode_stale_response(waiting: WaitingQuery, response: DnsResponse) -> bytes:
    """Encode a stale response with the extended error that marks it as stale (RFC 8914, 4.4 and 4.20)."""
    is_negative = response.rcode == Rcode.NXDOMAIN
    extended_error = ExtendedError.STALE_NXDOMAIN if is_negative else ExtendedError.STALE_ANSWER
    return encode_response(waiting.query, response, waiting.max_bytes, 0, STALE_TTL_S, extended_error)
