"""Answers queries: from zones of the installation, from the cache, or from an upstream server.

Each query is answered once at most. Equal questions in flight share one request. A request that is rejected
or fails is answered at once, from a stale answer (RFC 8767) if there is one, else with SERVFAIL and an
extended error (RFC 8914), so that no client waits for its timeout.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from sagetrack.core.clock import now_us
from sagetrack.core.gateway import Gateway
from sagetrack.core.requests import Request, ResponseSource
from sagetrack.dns.answer import Answer, encode_reply
from sagetrack.dns.cache import STALE_TTL_S, AnswerCache, CacheKey
from sagetrack.dns.limits import AccessRules, QueriesInFlight, RateVerdict, ResponseRateLimiter
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
    encode_error_for_unreadable,
    parse_query,
)

WriteResponse = Callable[[bytes], None]
LocalAnswers = Callable[[Query], Answer | None]
"""The answer of a zone of the installation; None if the question is about no such zone."""


@dataclass(slots=True)
class QueryCounts:
    """Totals since the start. Every query taken ends as just one of answered, refused and failed."""

    queries: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    joined: int = 0  # repeats of a query in flight
    shared: int = 0  # that had the same question as another
    denied: int = 0
    unreadable: int = 0
    truncated: int = 0  # to fit a datagram


@dataclass(slots=True, eq=False)
class WaitingQuery:
    """One query of one client."""

    query: Query
    host: str
    key: tuple[Any, ...]  # client, message id and question
    limit: int  # bytes of its response
    write: WriteResponse
    is_udp: bool


@dataclass(slots=True, eq=False)
class SharedRequest:
    """One question on its way upstream, and the queries that wait for it."""

    cache_key: CacheKey
    queries: list[WaitingQuery] = field(default_factory=list)


class QueryHandler:
    """Takes the queries of all clients, and is the `Client` of the requests that they lead to.

    Args:
        gateway: Sends requests upstream.
        cache: Answers from before.
        access: Who may ask.
        rate_limiter: Limits responses over UDP.
        in_flight: Limits queries in flight.
        client_timeout_us: How long clients are expected to wait.
        local_answers: Zones of the installation.
        forwards: Whether there are upstream servers at all.
    """

    def __init__(
        self,
        gateway: Gateway,
        cache: AnswerCache,
        access: AccessRules,
        rate_limiter: ResponseRateLimiter,
        in_flight: QueriesInFlight,
        client_timeout_us: int,
        local_answers: LocalAnswers = lambda query: None,
        forwards: bool = True,
    ) -> None:
        self.gateway = gateway
        self.cache = cache
        self.access = access
        self.rate_limiter = rate_limiter
        self.in_flight = in_flight
        self.client_timeout_us = client_timeout_us
        self.local_answers = local_answers
        self.forwards = forwards
        self.counts = QueryCounts()
        self.waiting: dict[tuple[Any, ...], WaitingQuery] = {}
        self.shared: dict[CacheKey, SharedRequest] = {}
        self.requests: dict[str, SharedRequest] = {}  # by id of the request
        self.last_number = 0

    # Queries

    def handle(self, data: bytes, host: str, client: Any, is_udp: bool, write: WriteResponse) -> bool:
        """Take one message of a client.

        Args:
            data: The message.
            host: Address of the client.
            client: Tells clients apart: address and port, or the connection.
            is_udp: Whether it came over UDP.
            write: Called once at most with the response.

        Returns:
            Whether it is a query that is answered, now or later.
        """
        if not self.access.allows(host):
            self.counts.denied += 1
            self.answer_denied(data, host, is_udp, write)
            return False
        try:
            query = parse_query(data)
        except MessageError as error:
            self.counts.unreadable += 1
            if error.rcode is not None:
                self.answer_unreadable(encode_error_for_unreadable(data, error.rcode), host, is_udp, write)
            return False
        key = (client, query.id, query.question)
        if key in self.waiting:
            self.counts.joined += 1  # a repeat by the client: the response to the first is due
            return False
        self.counts.queries += 1
        limit = MAX_MESSAGE_BYTES
        if is_udp:
            limit = min(max(query.size, MIN_UDP_PAYLOAD_BYTES), EDNS_UDP_PAYLOAD_BYTES)
        waiting = WaitingQuery(query, host, key, limit, write, is_udp)
        if not self.answer_at_once(waiting):
            self.forward(waiting)
        return True

    def answer_denied(self, data: bytes, host: str, is_udp: bool, write: WriteResponse) -> None:
        """Refuse a message of a client that may not ask."""
        try:
            response: bytes | None = encode_error(parse_query(data), Rcode.REFUSED, ExtendedError.PROHIBITED)
        except MessageError:
            response = encode_error_for_unreadable(data, Rcode.REFUSED)
        self.answer_unreadable(response, host, is_udp, write)

    def answer_unreadable(
        self, response: bytes | None, host: str, is_udp: bool, write: WriteResponse
    ) -> None:
        """Send an error that counts as no answer to a query, if the rate limit allows it."""
        if response is not None and self.judge_rate(host, is_udp) is RateVerdict.ANSWER:
            write(response)

    def answer_at_once(self, waiting: WaitingQuery) -> bool:
        """Answer a query from a local zone or the cache, or refuse it while not serving.

        Returns:
            False if it has to be forwarded.
        """
        query = waiting.query
        local = self.local_answers(query)
        if local is not None:
            self.counts.answered += 1
            self.respond(waiting, encode_reply(query, local, waiting.limit))
            return True
        if not self.gateway.can_serve:
            self.counts.refused += 1
            self.respond(waiting, self.encode_not_serving(query))
            return True
        hit = self.cache.get(query.cache_key, now_us())
        if hit is None:
            return False
        self.counts.answered += 1
        self.respond(waiting, encode_reply(query, hit.answer, waiting.limit, hit.age_s))
        if hit.should_prefetch:
            self.start_request(query)
        return True

    def encode_not_serving(self, query: Query) -> bytes:
        """Encode the error for a query that only an upstream server could answer, while there is none."""
        if self.forwards:
            return encode_error(query, Rcode.SERVFAIL, ExtendedError.NOT_READY)
        return encode_error(query, Rcode.REFUSED, ExtendedError.NOT_AUTHORITATIVE)

    def forward(self, waiting: WaitingQuery) -> None:
        """Wait for an upstream server, together with equal questions, unless too many queries do."""
        query = waiting.query
        if not self.in_flight.try_add(waiting.host):
            self.counts.refused += 1
            text = "too many queries in work"
            self.respond(waiting, encode_error(query, Rcode.SERVFAIL, ExtendedError.OTHER, text))
            return
        self.waiting[waiting.key] = waiting
        shared = self.shared.get(query.cache_key)
        if shared is not None:
            self.counts.shared += 1
            shared.queries.append(waiting)
            return
        self.start_request(query, waiting)

    def start_request(self, query: Query, waiting: WaitingQuery | None = None) -> None:
        """Send a question upstream; without a waiting query it only refreshes the cache."""
        shared = SharedRequest(query.cache_key, [waiting] if waiting else [])
        self.shared[query.cache_key] = shared
        self.last_number += 1
        request = Request(
            id=f"q{self.last_number:x}",
            class_index=0,
            client_timeout_us=self.client_timeout_us,
            key=None,
            work_us=None,
            is_retry=False,
            tenant=0,
            message=query,
            client=self,
        )
        self.requests[request.id] = shared
        self.gateway.submit(request)

    def end_request(self, request: Request) -> list[WaitingQuery]:
        """Forget a request that has ended; the queries that are to be answered now."""
        shared = self.requests.pop(request.id, None)
        if shared is None:
            return []
        if self.shared.get(shared.cache_key) is shared:
            del self.shared[shared.cache_key]
        for waiting in shared.queries:
            self.in_flight.remove(waiting.host)
            self.waiting.pop(waiting.key, None)
        return shared.queries

    # The response, as the gateway gives it

    def on_response(self, request: Request, answer: Answer) -> None:
        """Response from upstream."""
        self.cache.put(request.message.cache_key, answer, now_us())
        for waiting in self.end_request(request):
            self.counts.answered += 1
            self.respond(waiting, encode_reply(waiting.query, answer, waiting.limit))

    def on_rejected(self, request: Request, retry_after_us: int) -> None:
        """The request is rejected."""
        text = f"come back in {retry_after_us / 1e6:.1f} s" if retry_after_us else "busy"
        self.answer_failure(request, ExtendedError.NOT_READY, text, rejected=True)

    def on_failed(self, request: Request, timed_out: bool) -> None:
        """The request failed, or its deadline has passed."""
        code = ExtendedError.NO_REACHABLE_AUTHORITY if timed_out else ExtendedError.NETWORK_ERROR
        self.answer_failure(request, code, "", rejected=False)

    def answer_failure(self, request: Request, code: ExtendedError, text: str, rejected: bool) -> None:
        """Answer the queries of a request without response, from a stale answer if there is one."""
        key = request.message.cache_key
        self.cache.prefetch_failed(key)
        stale = self.cache.get_stale(key, now_us())
        for waiting in self.end_request(request):
            if stale is not None:
                self.counts.answered += 1
                self.respond(waiting, encode_stale_reply(waiting, stale.answer))
                continue
            if rejected:
                self.counts.refused += 1
            else:
                self.counts.failed += 1
            self.respond(waiting, encode_error(waiting.query, Rcode.SERVFAIL, code, text))

    def judge_rate(self, host: str, is_udp: bool) -> RateVerdict:
        """What the rate limit says to one response; over TCP there is none."""
        return self.rate_limiter.judge(host, now_us()) if is_udp else RateVerdict.ANSWER

    def respond(self, waiting: WaitingQuery, data: bytes) -> None:
        """Send the one response to a query, or what the rate limit leaves of it."""
        verdict = self.judge_rate(waiting.host, waiting.is_udp)
        if verdict is RateVerdict.DROP:
            return
        if verdict is RateVerdict.TRUNCATE:
            data = encode_error(waiting.query, Rcode.NOERROR, flags=TC)
        self.counts.truncated += waiting.is_udp and bool(data[2] & 0x02)
        waiting.write(data)

    # Never called: DNS responses are not streamed

    def on_response_started(self, request: Request, head: Any, source: ResponseSource) -> None:
        """Never called."""
        raise AssertionError("DNS responses are not streamed")

    def on_response_data(self, request: Request, data: bytes) -> None:
        """Never called."""
        raise AssertionError("DNS responses are not streamed")

    def on_response_ended(self, request: Request, answer: Any) -> None:
        """Never called."""
        raise AssertionError("DNS responses are not streamed")

    def on_response_aborted(self, request: Request) -> None:
        """Never called."""
        raise AssertionError("DNS responses are not streamed")


def encode_stale_reply(waiting: WaitingQuery, answer: Answer) -> bytes:
    """Encode a stale answer, marked as such (RFC 8914, 4.4 and 4.20)."""
    is_negative = answer.rcode == Rcode.NXDOMAIN
    extended = ExtendedError.STALE_NXDOMAIN if is_negative else ExtendedError.STALE_ANSWER
    return encode_reply(waiting.query, answer, waiting.limit, 0, STALE_TTL_S, extended)
