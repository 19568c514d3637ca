"""Mutated DNS messages against the reader: whatever the bytes, it ends, and takes nothing for what it is not.

Queries and answers are made by `dnspython` and then spoilt: bytes changed, cut, doubled, lengths and pointers
turned.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import dns.message

from sagetrack.dns.answer import encode_reply, parse_answer
from sagetrack.dns.message import MessageError, Query, encode_error, encode_upstream_query, parse_query
from sagetrack.dns.message import Rcode as Code
from sagetrack.lab.stand_ins.dns_server import Nameserver, NameserverBehaviour

SLOW_S = 0.05  # for one message: a hang
EVIL = (b"\xc0\x0c", b"\xff\xff", b"\0\0", b"\x3f", b"\xc0\xff", b"\0\x29", b"\x80", b"\0\xff\0\xff")


@dataclass(slots=True)
class Found:
    """What came of it."""

    messages: int = 0
    queries_read: int = 0
    answers_taken: int = 0
    wrong: list[str] = field(default_factory=list)  # what must not be
    slowest_ms: float = 0.0


def seeds() -> list[tuple[bytes, Query, int]]:
    """True messages to begin with: an answer, the query that it answers, and its id."""
    made = []
    for number, (kind, behaviour) in enumerate(
        (
            ("A", NameserverBehaviour()),
            ("A", NameserverBehaviour(records=20)),
            ("A", NameserverBehaviour(is_nxdomain=True)),
            ("AAAA", NameserverBehaviour()),
            ("A", NameserverBehaviour(truncates=True)),
            ("A", NameserverBehaviour(rcode=2)),
        )
    ):
        wire = dns.message.make_query(f"n{number}.a-long-label.example.", kind, use_edns=0).to_wire()
        query = parse_query(wire)
        made.append(
            (
                Nameserver(behaviour).responses(encode_upstream_query(query, 1000 + number), True)[-1],
                query,
                1000 + number,
            )
        )
    return made


def mutated(data: bytes, draw: random.Random) -> bytes:
    """The message with one to four things wrong with it."""
    spoilt = bytearray(data)
    for _ in range(draw.randint(1, 4)):
        at = draw.randrange(max(1, len(spoilt)))
        match draw.randrange(7):
            case 0:
                spoilt[at : at + 1] = bytes([draw.randrange(256)])
            case 1:
                del spoilt[at:]
            case 2:
                spoilt[at:at] = spoilt[at : at + draw.randrange(40)]
            case 3:
                piece = draw.choice(EVIL)
                spoilt[at : at + len(piece)] = piece
            case 4:
                count = 4 + 2 * draw.randrange(4)
                spoilt[count : count + 2] = draw.choice((0, 1, 2, 255, 65_535)).to_bytes(2)
            case 5:
                spoilt += draw.randbytes(draw.randrange(20))
            case _:
                del spoilt[at : at + draw.randrange(1, 9)]
    return bytes(spoilt)


def messages(count: int, seed: int) -> Iterator[tuple[bytes, Query, int]]:
    draw = random.Random(seed)
    known = seeds()
    for _ in range(count):
        wire, query, id_ = draw.choice(known)
        if draw.random() < 0.4:
            wire = encode_upstream_query(query, id_)
        yield mutated(wire, draw), query, id_


def examine(data: bytes, query: Query, id_: int, found: Found) -> None:
    """One message, taken for a query and for an answer."""
    began = time.perf_counter()
    found.messages += 1
    try:
        read = parse_query(data)
        found.queries_read += 1
        if encode_error(read, Code.SERVFAIL)[:2] != data[:2]:
            found.wrong.append(f"answered under another id: {data.hex()}")
    except MessageError:
        pass
    try:
        answer = parse_answer(data, query, id_)
    except MessageError:
        answer = None
    if answer is not None:
        found.answers_taken += 1
        end = 12 + len(query.question)
        same = data[12 : end - 4].lower() == query.name and data[end - 4 : end] == query.question[-4:]
        if int.from_bytes(data[:2]) != id_ or not same:
            found.wrong.append(f"took an answer to another question: {data.hex()}")
        if len(encode_reply(query, answer, 512)) > 512:
            found.wrong.append(f"an answer over its limit: {data.hex()}")
        encode_reply(query, answer, 65_535, 10)
    took = time.perf_counter() - began
    found.slowest_ms = max(found.slowest_ms, took * 1000)


def fuzz(count: int, seed: int, progress: Callable[[float], None] = lambda share: None) -> Found:
    """So many messages; an exception of any other kind than MessageError ends it and names the message."""
    found = Found()
    for number, (data, query, id_) in enumerate(messages(count, seed)):
        try:
            examine(data, query, id_, found)
        except Exception as fault:
            found.wrong.append(f"{fault!r}: {data.hex()}")
        if number % 10_000 == 0:
            progress(number / count)
    return found
