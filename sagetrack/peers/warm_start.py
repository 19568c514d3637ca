"""A warm start: a gateway that begins asks others what they know, and folds in what comes, when it comes.

It is ready without waiting. It asks a few; a question that is not answered whole is asked again, later and
later, at times that are spread, since many may start at once. Answers are split over datagrams that stand
alone: each part is worth something without the others.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from sagetrack.peers.codec import LIMIT, Ask, ClassFact, ServerFact, Tell, size
from sagetrack.policy.peer_observations import CLOSED, ClassLatency, Observation

ASKED = 3  # peers that are asked
TRIES = 5
FIRST_WAIT_US = 200_000  # until a question is asked again; doubles
MOST_PARTS = 32  # of one answer: about 350 servers, the worst first
TELLS_PER_S, TELL_BURST = 60.0, 120.0  # datagrams of answers, whoever asks
LIFE = 2**24


def life_of(started_us: int) -> int:
    """What tells lives at one id apart on the wire."""
    return started_us // 1000 % LIFE


@dataclass(slots=True)
class Taken:
    """What came in answer."""

    parts: int = 0
    sights: int = 0
    peers: int = 0  # that answered whole
    youngest_us: int = -1  # age of the youngest sight when it came
    oldest_us: int = -1
    done_us: int = 0  # after the start


class Asker:
    """Asks on behalf of a gateway that has just started."""

    def __init__(
        self, me: int, peers: Sequence[int], seed: int, now_us: int, send: Callable[[int, Ask], None]
    ) -> None:
        self.random = random.Random(seed)
        self.send = send
        self.start_us = now_us
        chosen = self.random.sample(list(peers), min(ASKED, len(peers)))
        self.numbers = {self.random.getrandbits(40): peer for peer in chosen}
        self.others = [peer for peer in peers if peer not in chosen]
        self.parts: dict[int, set[int]] = {number: set() for number in self.numbers}
        self.whole: set[int] = set()
        self.tries = 0
        self.due_us = now_us
        self.taken = Taken()

    @property
    def is_over(self) -> bool:
        """Whether no more is asked: all have answered, or it has been tried often enough."""
        return len(self.whole) == len(self.numbers) or self.tries >= TRIES

    def tick(self, now_us: int) -> None:
        """Ask again whoever has not answered whole; from the third time on someone else in its place."""
        if self.is_over or now_us < self.due_us:
            return
        for number, peer in list(self.numbers.items()):
            if number in self.whole:
                continue
            if self.tries >= 2 and not self.parts[number] and self.others:
                peer = self.numbers[number] = self.others.pop(self.random.randrange(len(self.others)))
            self.send(peer, Ask(number))
        wait = FIRST_WAIT_US * 2**self.tries
        self.due_us = now_us + int(wait * self.random.uniform(0.5, 1.5))
        self.tries += 1

    def handle(self, now_us: int, sender: int, tell: Tell, lives: dict[int, int]) -> list[Observation]:
        """Sights in one part of an answer; none for one that was not asked for. Doubles do no harm."""
        if self.numbers.get(tell.number) != sender:
            return []
        seen = self.parts[tell.number]
        if tell.part not in seen:
            seen.add(tell.part)
            self.taken.parts += 1
            if len(seen) >= tell.parts and tell.number not in self.whole:
                self.whole.add(tell.number)
                self.taken.peers += 1
                self.taken.done_us = now_us - self.start_us
        sights = sights_from(sender, tell.servers, lives, now_us)
        self.taken.sights += len(sights)
        for sight in sights:
            age = now_us - sight.seen_us
            self.taken.oldest_us = max(self.taken.oldest_us, age)
            self.taken.youngest_us = age if self.taken.youngest_us < 0 else min(self.taken.youngest_us, age)
        return sights


class Teller:
    """Answers questions, within a bound whoever asks and however often."""

    def __init__(self, now_us: int) -> None:
        self.tokens, self.tokens_us = TELL_BURST, now_us
        self.held_back = 0

    def answer(
        self, now_us: int, ask: Ask, sights: Iterable[Observation], latencies: Sequence[ClassLatency]
    ) -> list[Tell]:
        """The parts of an answer; none of them beyond the bound."""
        gained = (now_us - self.tokens_us) / 1e6 * TELLS_PER_S
        self.tokens, self.tokens_us = min(TELL_BURST, self.tokens + gained), now_us
        parts = split(ask.number, sights, latencies, now_us)
        if self.tokens < len(parts):
            self.held_back += len(parts)
            return []
        self.tokens -= len(parts)
        return parts


def split(
    number: int, sights: Iterable[Observation], latencies: Sequence[ClassLatency], now_us: int
) -> list[Tell]:
    """An answer in parts that each fit a datagram; what is worth most comes first."""
    order = sorted(sights, key=lambda s: (s.state == CLOSED and not s.jammed, s.weight, s.server))
    classes = [class_fact(latency) for latency in latencies][:16]
    room = LIMIT - size([Tell(number, 255, 255, [], [])]) - 8
    groups: list[tuple[list[ClassFact], list[ServerFact]]] = [([], [])]
    used = 0
    facts: list[ClassFact | ServerFact] = [*classes, *(server_fact(sight, now_us) for sight in order)]
    for fact in facts:
        length = fact_size(fact)
        if used + length > room:
            groups.append(([], []))
            used = 0
        used += length
        if isinstance(fact, ClassFact):
            groups[-1][0].append(fact)
        else:
            groups[-1][1].append(fact)
    groups = groups[:MOST_PARTS]
    return [Tell(number, part, len(groups), *group) for part, group in enumerate(groups)]


def fact_size(fact: ClassFact | ServerFact) -> int:
    """Bytes of a fact in a datagram."""
    import msgspec

    return len(msgspec.msgpack.encode(fact))


def class_fact(latency: ClassLatency) -> ClassFact:
    def tenths(time_us: float) -> int:
        return min(2**32 - 1, max(1, round(time_us / 100)))

    return ClassFact(latency.klass, tenths(latency.smoothed_us), tenths(latency.unhindered_us))


def server_fact(sight: Observation, now_us: int) -> ServerFact:
    """A sight in the wire's units; rounded so that a cooldown is never told as shorter than it is."""
    cooldown = -(-max(0, sight.open_until_us - now_us) // 100_000)
    return ServerFact(
        sight.server,
        life_of(sight.started_us),
        sight.state,
        sight.jammed,
        round(100 * sight.weight),
        min(255, cooldown),
        min(65_535, max(0, now_us - sight.seen_us) // 10_000),
        min(65_535, max(0, sight.spent_us) // 1000),
    )


def sights_from(
    by: int, facts: Iterable[ServerFact], lives: dict[int, int], now_us: int
) -> list[Observation]:
    """Sights by a peer, of servers that this gateway lists in the same life; the ages are taken as told."""
    found = []
    for fact in facts:
        started_us = lives.get(fact.server)
        if started_us is None or life_of(started_us) != fact.life:
            continue
        found.append(
            Observation(
                fact.server,
                started_us,
                by,
                now_us - fact.age * 10_000,
                fact.state,
                now_us + fact.cooldown * 100_000,
                fact.weight / 100,
                fact.jammed,
                fact.spent * 1000,
            )
        )
    return found


def latencies_from(facts: Iterable[ClassFact]) -> tuple[ClassLatency, ...]:
    return tuple(ClassLatency(f.klass, f.smoothed * 100.0, f.unhindered * 100.0) for f in facts)
