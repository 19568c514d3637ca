"""Warm start: a gateway that starts asks others for their observations, and takes them in as they come.

It serves without waiting for them. It asks a few; a request that is not answered completely is repeated, with
an exponential backoff and jitter, since many may start at once. A response is divided over datagrams that are
of use without each other.
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
ATTEMPTS_PER_PEER = 2  # after so many in vain, another peer is asked in its place
INITIAL_BACKOFF_US = 200_000  # doubles with each attempt
MIN_JITTER, MAX_JITTER = 0.5, 1.5  # times the backoff
REQUEST_ID_BITS = 40
MAX_PARTS = 32  # of one response: about 350 servers, the worst first
MAX_CLASSES = 16  # of one response
ARRAY_BYTES = 8  # at most, that the two arrays of a response grow by
RESPONSES_PER_S, RESPONSE_BURST = 60.0, 120.0  # datagrams, to all peers together


@dataclass(slots=True)
class WarmStartResult:
    """What was received in response.

    Attributes:
        parts: Parts of responses, each counted once.
        observations: Observations in them.
        peers: Peers whose response is complete.
        youngest_us: Age of the youngest observation when it came; -1: there was none.
        oldest_us: Age of the oldest one.
        completed_us: When the last response was complete, after the start.
    """

    parts: int = 0
    observations: int = 0
    peers: int = 0
    youngest_us: int = -1
    oldest_us: int = -1
    completed_us: int = 0


class WarmStartClient:
    """Asks for observations on behalf of a gateway that has just started.

    Attributes:
        requests: The peer that each request goes to, by the request's id.
        completed: Ids of requests whose response is complete.
        due_us: When to call `tick`.
        result: What was received.
    """

    def __init__(
        self,
        peers: Sequence[int],
        seed: int,
        now_us: int,
        send: Callable[[int, WarmStartRequest], None],
    ) -> None:
        """Choose the peers that are asked at first.

        Args:
            peers: The other gateways.
            seed: Of the randomness.
            now_us: The time.
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
        """Whether no more is asked: all responses are complete, or there were attempts enough."""
        return len(self.completed) == len(self.requests) or self._attempts >= MAX_ATTEMPTS

    def tick(self, now_us: int) -> None:
        """Repeat requests whose response is not complete, if it is time to."""
        if self.is_finished or now_us < self.due_us:
            return
        for request_id in list(self.requests):
            if request_id not in self.completed:
                self._send(self._peer_for(request_id), WarmStartRequest(request_id))
        backoff_us = INITIAL_BACKOFF_US * 2**self._attempts
        self.due_us = now_us + int(backoff_us * self._random.uniform(MIN_JITTER, MAX_JITTER))
        self._attempts += 1

    def _peer_for(self, request_id: int) -> int:
        """Return whom to ask: another peer in place of one that has not answered at all for long."""
        silent = self._attempts >= ATTEMPTS_PER_PEER and not self._parts[request_id]
        if silent and self._others:
            self.requests[request_id] = self._others.pop(self._random.randrange(len(self._others)))
        return self.requests[request_id]

    def handle(
        self, now_us: int, sender: int, response: WarmStartResponse, start_times: dict[int, int]
    ) -> list[Observation]:
        """Take in one part of a response; duplicates do no harm.

        Args:
            now_us: The time.
            sender: The peer that it comes from.
            response: The part.
            start_times: When each listed server started, in microseconds, by its id.

        Returns:
            The observations in it; none if it was not asked of this peer.
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
    """Answers requests, within a limit for all peers together.

    Attributes:
        rate_limited: Datagrams that the limit held back.
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
        """Return the parts of a response; none if they exceed the limit."""
        parts = divide_response(request.request_id, observations, latencies, now_us)
        if not self._bucket.take(now_us, len(parts)):
            self.rate_limited += len(parts)
            return []
        return parts


def divide_response(
    request_id: int, observations: Iterable[Observation], latencies: Sequence[ClassLatency], now_us: int
) -> list[WarmStartResponse]:
    """Return a response in parts that each fit a datagram; what matters most comes first.

    Latencies come before observations, and of these the servers that are not in order, with the lowest
    weights.
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
