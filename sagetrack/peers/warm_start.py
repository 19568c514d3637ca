"""Warm start: a gateway requests observations of servers from a few peers when it starts.

It serves requests of clients without waiting for the responses. A request without a complete response is
repeated with exponential backoff and jitter, since many gateways may start at once. A response is split into
datagrams, each of which can be used without the others.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from sagetrack.peers.codec import (
    DATAGRAM_LIMIT,
    LatencyEntry,
    ServerEntry,
    WarmStartRequest,
    WarmStartResponse,
    encoded_entry_size,
    encoded_size,
)
from sagetrack.peers.observation_codec import decode_observations, encode_latency, encode_observation
from sagetrack.peers.token_bucket import TokenBucket
from sagetrack.policy.peer_observations import CLOSED, ClassLatency, Observation

INITIAL_PEERS = 3
MAX_ATTEMPTS = 5
ATTEMPTS_PER_PEER = 2  # without any response, the next attempt goes to another peer
INITIAL_BACKOFF_US = 200_000  # doubled after each attempt
MIN_JITTER, MAX_JITTER = 0.5, 1.5  # bounds of the factor applied to the backoff
REQUEST_ID_BITS = 40
MAX_PARTS = 32  # parts of one response: about 350 servers, the least healthy first
MAX_CLASSES = 16  # request classes in one response
ARRAY_BYTES = 8  # upper bound for the larger headers of the two arrays when they are filled
RESPONSES_PER_S, RESPONSE_BURST = 60.0, 120.0  # rate limit in datagrams, shared by all peers


@dataclass(slots=True)
class WarmStartResult:
    """Totals of the received responses.

    Attributes:
        parts: Number of parts of responses, without duplicates.
        observations: Number of observations in the parts.
        peers: Number of complete responses.
        youngest_us: Age of the most recent observation at its receipt; -1 if there is none.
        oldest_us: Age of the oldest observation at its receipt; -1 if there is none.
        completed_us: Time from the start until the last response was complete.
    """

    parts: int = 0
    observations: int = 0
    peers: int = 0
    youngest_us: int = -1
    oldest_us: int = -1
    completed_us: int = 0


class WarmStartClient:
    """Requests observations from peers for a gateway that has just started.

    Attributes:
        requests: The peer that receives each request, by request id.
        completed: Ids of the requests whose response is complete.
        due_us: Time at which `tick` is due.
        result: Totals of the received responses.
    """

    def __init__(
        self,
        peers: Sequence[int],
        seed: int,
        now_us: int,
        send: Callable[[int, WarmStartRequest], None],
    ) -> None:
        """Select the first peers at random.

        Args:
            peers: Numbers of the other gateways.
            seed: Seed of the random number generator.
            now_us: Current time.
            send: Sends a request to a peer.
        """
        self._random = random.Random(seed)
        self._send = send
        self._start_us = now_us
        chosen = self._random.sample(list(peers), min(INITIAL_PEERS, len(peers)))
        self.requests = {self._random.getrandbits(REQUEST_ID_BITS): peer for peer in chosen}
        self.completed: set[int] = set()
        self.due_us = now_us
        self.result = WarmStartResult()
        self._others = [peer for peer in peers if peer not in chosen]
        self._parts: dict[int, set[int]] = {request_id: set() for request_id in self.requests}
        self._attempts = 0

    @property
    def is_finished(self) -> bool:
        """True if all responses are complete or the limit of attempts is reached."""
        return len(self.completed) == len(self.requests) or self._attempts >= MAX_ATTEMPTS

    def tick(self, now_us: int) -> None:
        """Send the requests without a complete response, if the next attempt is due."""
        if self.is_finished or now_us < self.due_us:
            return
        for request_id in list(self.requests):
            if request_id not in self.completed:
                self._send(self._peer_for(request_id), WarmStartRequest(request_id))
        backoff_us = INITIAL_BACKOFF_US * 2**self._attempts
        self.due_us = now_us + int(backoff_us * self._random.uniform(MIN_JITTER, MAX_JITTER))
        self._attempts += 1

    def _peer_for(self, request_id: int) -> int:
        """Return the target of a request; a peer that has not responded at all is replaced by another one."""
        unresponsive = self._attempts >= ATTEMPTS_PER_PEER and not self._parts[request_id]
        if unresponsive and self._others:
            self.requests[request_id] = self._others.pop(self._random.randrange(len(self._others)))
        return self.requests[request_id]

    def handle(
        self, now_us: int, sender: int, response: WarmStartResponse, start_times: dict[int, int]
    ) -> list[Observation]:
        """Process one part of a response; duplicates are harmless.

        Args:
            now_us: Current time.
            sender: The peer that sent the part.
            response: The part.
            start_times: Start time in microseconds of each listed server, by server id.

        Returns:
            The observations in the part; empty if the request was not sent to this peer.
        """
        if self.requests.get(response.request_id) != sender:
            return []
        self._count_part(now_us, response)
        observations = decode_observations(sender, response.servers, start_times, now_us)
        result = self.result
        result.observations += len(observations)
        for observation in observations:
            age_us = now_us - observation.seen_us
            result.oldest_us = max(result.oldest_us, age_us)
            result.youngest_us = age_us if result.youngest_us < 0 else min(result.youngest_us, age_us)
        return observations

    def _count_part(self, now_us: int, response: WarmStartResponse) -> None:
        received = self._parts[response.request_id]
        if response.part in received:
            return
        received.add(response.part)
        self.result.parts += 1
        if len(received) >= response.parts and response.request_id not in self.completed:
            self.completed.add(response.request_id)
            self.result.peers += 1
            self.result.completed_us = now_us - self._start_us


class WarmStartServer:
    """Responds to requests, within a rate limit shared by all peers.

    Attributes:
        rate_limited: Number of parts that were not sent because of the rate limit.
    """

    def __init__(self, now_us: int) -> None:
        self.rate_limited = 0
        self._bucket = TokenBucket(RESPONSES_PER_S, RESPONSE_BURST, now_us)

    def respond(
        self,
        now_us: int,
        request: WarmStartRequest,
        observations: Iterable[Observation],
        latencies: Sequence[ClassLatency],
    ) -> list[WarmStartResponse]:
        """Return the parts of a response; empty if they exceed the rate limit."""
        parts = divide_response(request.request_id, observations, latencies, now_us)
        if not self._bucket.take(now_us, len(parts)):
            self.rate_limited += len(parts)
            return []
        return parts


def divide_response(
    request_id: int, observations: Iterable[Observation], latencies: Sequence[ClassLatency], now_us: int
) -> list[WarmStartResponse]:
    """Split a response into parts that each fit into a datagram, the most important entries first.

    Latencies come first, then servers that are overloaded or whose breaker is not closed, then the other
    servers; both groups are sorted by ascending weight.
    """
    order = sorted(observations, key=lambda o: (o.state == CLOSED and not o.overloaded, o.weight, o.server))
    entries: list[LatencyEntry | ServerEntry] = [
        encode_latency(latency) for latency in latencies[:MAX_CLASSES]
    ]
    entries += [encode_observation(observation, now_us) for observation in order]
    empty = WarmStartResponse(request_id, 255, 255, [], [])
    capacity = DATAGRAM_LIMIT - encoded_size([empty]) - ARRAY_BYTES
    groups: list[tuple[list[LatencyEntry], list[ServerEntry]]] = [([], [])]
    used = 0
    for entry in entries:
        length = encoded_entry_size(entry)
        if used + length > capacity:
            groups.append(([], []))
            used = 0
        used += length
        classes, servers = groups[-1]
        if isinstance(entry, LatencyEntry):
            classes.append(entry)
        else:
            servers.append(entry)
    groups = groups[:MAX_PARTS]
    return [WarmStartResponse(request_id, part, len(groups), *group) for part, group in enumerate(groups)]
