"""What the load balancer knows of each server, attempt and request."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from sagetrack.policy.circuit_breaker import Breaker
from sagetrack.policy.endpoint_ring import ExactSum
from sagetrack.policy.events import ListedServer

CLASS_MIN_OUTCOMES = 2  # outcomes before a verdict on one class at one server: a gateway sees a few a minute
MIN_WEIGHT, MAX_WEIGHT = 0.05, 1.0  # of the feedback controller
HASH_FACTOR, HASH_MASK = 0x9E3779B97F4A7C15, 2**64 - 1  # golden ratio in 64 bits: spreads close numbers apart


@dataclass(slots=True, eq=False)
class ClassHealth:
    """Circuit breaker and weight of one class at one server, for failures of that class alone.

    Ejecting the whole server would waste its capacity for the classes that it serves well.
    """

    breaker: Breaker
    weight: float = MAX_WEIGHT
    last_succeeded: bool = False


@dataclass(slots=True, eq=False)
class Server:
    """What this gateway knows of one incarnation of a server."""

    entry: ListedServer
    feedback_weight: float  # the feedback controller's weight: see `weight`
    rank: float  # a hash: the position in the ring, the same at every gateway
    zone_factor: float  # 1 in this gateway's zone; in others less, by the price of crossing zones
    warm_at_us: int  # at the latest, on this gateway's clock
    breaker: Breaker = field(default_factory=Breaker)
    classes: dict[int, ClassHealth] = field(default_factory=dict)
    in_flight: dict[Attempt, int] = field(default_factory=dict)  # and when each was sent, oldest first
    last_success_us: int = 0  # the last answer, if it was good; else 0
    last_outcome_us: int = 0  # the last outcome that said something of its health
    slow_start_used_us: float = 0.0  # work sent while warming up that has not drained: see SlowStart
    slow_start_used_at_us: int = 0
    weights: ExactSum | None = None  # of all that are listed

    @property
    def weight(self) -> float:
        """The feedback controller's weight; to set it keeps the sum of all."""
        return self.feedback_weight

    @weight.setter
    def weight(self, weight: float) -> None:
        if self.weights is not None and weight != self.feedback_weight:
            self.weights.change(self.feedback_weight, weight)
        self.feedback_weight = weight

    def class_health(self, class_index: int) -> ClassHealth:
        """The health of one class here, made at the first use."""
        if class_index not in self.classes:
            self.classes[class_index] = ClassHealth(Breaker(CLASS_MIN_OUTCOMES))
        return self.classes[class_index]


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to a server."""

    server: Server
    sent_at_us: int
    half_open_period: int  # of the server's breaker: see Breaker.take_trial
    class_half_open_period: int  # the same of the class's breaker there
    ended: bool = False
    may_have_run: bool = True
    stalled: bool = False  # in flight for longer than an answer usually takes


@dataclass(slots=True, eq=False)
class Request:
    """One request from its arrival until its last attempt has ended."""

    id: str
    class_index: int
    key: int | None
    deadline_us: int
    objective_at_us: int  # the time of its latency objective
    relative_work: float  # expected work over the class's mean
    is_first_try: bool
    quota_excess: float  # part of its tenant's tries that is beyond the tenant's share
    attempts: list[Attempt] = field(default_factory=list)
    in_flight: int = 0
    finished: bool = False  # finally, or its client has cancelled it
    streaming: bool = False
    response_began_us: int = 0  # if it streams
    uploading: bool = False  # its body has not come completely
    single_use_body: bool = False  # its body can't be sent again
    admission_tenant: int = 0  # the number that admission control has for its tenant
    client: int = 0
    has_reservation: bool = False  # a retry at the time that a Retry-After named
    retry_after_us: int = -1  # as admission control set it; -1: not set
    tenant: int = 0
    mirror_target: int = -1  # mirrored, for gRPC servers (1) or for the others (0) alone; -1: not mirrored
    key_cooldown_until_us: int = 0  # in order: an attempt may still be running until then


def rendezvous(key: int, server: int, weight: float) -> float:
    """Lowest at the server that a key belongs to: weighted rendezvous hashing.

    Every gateway ranks alike without a message, and a server that comes or goes moves only the keys that
    rank it first (Thaler, Ravishankar, 1998).
    """
    mixed = (key ^ (server * HASH_FACTOR)) * HASH_FACTOR & HASH_MASK
    mixed = (mixed ^ (mixed >> 29)) * HASH_FACTOR & HASH_MASK
    return -math.log((mixed + 1) / (HASH_MASK + 1)) / weight
