"""State that the load balancer keeps for each server, attempt and request."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from sagetrack.policy.circuit_breaker import Breaker
from sagetrack.policy.endpoint_ring import ExactSum
from sagetrack.policy.events import ListedServer

# Outcomes of one class at one server before its breaker may open. It is low because a gateway sees only a
# few such outcomes per minute.
CLASS_MIN_OUTCOMES = 2
MIN_WEIGHT, MAX_WEIGHT = 0.05, 1.0  # range of the feedback controller's weights
# The 64-bit golden ratio multiplier of Fibonacci hashing, which spreads nearby integers over the whole range.
HASH_FACTOR, HASH_MASK = 0x9E3779B97F4A7C15, 2**64 - 1


@dataclass(slots=True, eq=False)
class ClassHealth:
    """Circuit breaker and weight for one request class at one server.

    They react to failures of that class only: ejecting the whole server would waste its capacity for the
    classes that it serves well.
    """

    breaker: Breaker
    weight: float = MAX_WEIGHT
    last_succeeded: bool = False  # True if the last outcome of the class was a success


@dataclass(slots=True, eq=False)
class Server:
    """This gateway's state for one incarnation of a server."""

    entry: ListedServer
    feedback_weight: float  # read and set through the property `weight`
    rank: float  # position in the ring: a hash that is the same at every gateway
    zone_factor: float  # weight factor: 1 in this zone, less in others according to prices.cross_zone
    warm_at_us: int  # latest end of the warm-up, on this gateway's clock
    breaker: Breaker = field(default_factory=Breaker)
    health_by_class: dict[int, ClassHealth] = field(default_factory=dict)
    in_flight: dict[Attempt, int] = field(default_factory=dict)  # send time by attempt, oldest first
    last_success_us: int = 0  # time of the last outcome if it was a success, else 0
    last_outcome_us: int = 0  # time of the last outcome that reflects the server's health
    slow_start_used_us: float = 0.0  # level of the slow-start leaky bucket: see SlowStart
    slow_start_used_at_us: int = 0  # time at which that level was computed
    weights: ExactSum | None = None  # sum over all listed servers; None for one that is not listed

    @property
    def weight(self) -> float:
        """The feedback controller's weight. Setting it also updates the sum of all weights."""
        return self.feedback_weight

    @weight.setter
    def weight(self, weight: float) -> None:
        if self.weights is not None and weight != self.feedback_weight:
            self.weights.change(self.feedback_weight, weight)
        self.feedback_weight = weight

    def class_health(self, class_index: int) -> ClassHealth:
        """Return the health of one class at this server, created on first use."""
        if class_index not in self.health_by_class:
            self.health_by_class[class_index] = ClassHealth(Breaker(CLASS_MIN_OUTCOMES))
        return self.health_by_class[class_index]


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to send a request to a server."""

    server: Server
    sent_at_us: int
    half_open_period: int  # result of Breaker.take_trial of the server: 0 if the attempt is no trial
    class_half_open_period: int  # the same for the breaker of the request's class at the server
    ended: bool = False
    may_have_run: bool = True
    stalled: bool = False  # True if in flight for longer than a response usually takes


@dataclass(slots=True, eq=False)
class Request:
    """One request from its arrival until its last attempt has ended."""

    id: str
    class_index: int
    key: int | None
    deadline_us: int
    objective_at_us: int  # time by which a response meets the latency objective
    relative_work: float  # expected work divided by the mean of the class
    is_first_try: bool  # False if the client has sent the request before
    quota_excess: float  # excess over its tenant's quota: see TenantQuota.count_request
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0  # number of attempts in flight
    finished: bool = False  # the final response was sent, or the client has cancelled
    streaming: bool = False  # a streamed response has begun
    response_began_us: int = 0  # start time of a streamed response; 0 if there is none
    uploading: bool = False  # the body has not been received completely
    single_use_body: bool = False  # the body cannot be sent a second time
    admission_tenant: int = 0  # index of its tenant in admission control
    client: int = 0  # number of the client within its tenant; 0: unknown; see RequestArrived
    has_reservation: bool = False  # the client retries at the time that an earlier Retry-After gave it
    retry_after_us: int = -1  # set by admission control; -1: not set
    tenant: int = 0
    mirror_target: int = -1  # -1: not mirrored; mirrored to 1: gRPC servers only, 0: other servers only
    key_cooldown_until_us: int = 0  # in-order classes: an attempt may run until then


def rendezvous(key: int, server: int, weight: float) -> float:
    """Return the weighted rendezvous hashing score of a server for a key; the lowest score wins.

    All gateways compute the same ranking without communication, and adding or removing a server moves only
    the keys that rank it first (Thaler and Ravishankar, 1998).
    """
    mixed = (key ^ (server * HASH_FACTOR)) * HASH_FACTOR & HASH_MASK
    mixed = (mixed ^ (mixed >> 29)) * HASH_FACTOR & HASH_MASK
    return -math.log((mixed + 1) / (HASH_MASK + 1)) / weight
