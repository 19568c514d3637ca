"""Mutated DNS messages against the parser: it ends on any bytes, and accepts nothing for what it is not.

Queries and answers are made by `dnspython` and then damaged: bytes changed, cut, doubled, lengths and
pointers altered.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import dns.message

from sagetrack.dns.answer import encode_response, parse_response
from sagetrack.dns.message import MessageError, Query, Rcode, encode_error, encode_upstream_query, parse_query
from sagetrack.lab.fault_injection.failures import ErrorsAsFailures
from sagetrack.lab.stand_ins.dns_server import Nameserver, NameserverBehaviour

HEADER_BYTES = 12
FIRST_ID = 1000
MAX_UDP_BYTES = 512
PROGRESS_EVERY = 10_000  # messages
HOSTILE_BYTES = (  # pointers, lengths and types that parsers have fallen for
    b"\xc0\x0c",
    b"\xff\xff",
    b"\0\0",
    b"\x3f",
    b"\xc0\xff",
    b"\0\x29",
    b"\x80",
    b"\0\xff\0\xff",
)


class Sample(NamedTuple):
    """A message, the query that the gateway sent upstream, and that query's id."""

    data: bytes
    query: Query
    id: int


@dataclass(slots=True)
class DnsFuzzReport:
    """What was tried, and what failed."""

    messages: int = 0
    queries_parsed: int = 0
    responses_accepted: int = 0
    failures: list[str] = field(default_factory=list)
    slowest_ms: float = 0.0


def valid_responses() -> list[Sample]:
    """Valid answers to begin with."""
    samples = []
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
        query_id = FIRST_ID + number
        responses = Nameserver(behaviour).responses(encode_upstream_query(query, query_id), True)
        samples.append(Sample(responses[-1], query, query_id))
    return samples


def mutate(data: bytes, rng: random.Random) -> bytes:
    """The message with one to four random changes."""
    mutated = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        offset = rng.randrange(max(1, len(mutated)))
        match rng.randrange(7):
            case 0:
                mutated[offset : offset + 1] = bytes([rng.randrange(256)])
            case 1:
                del mutated[offset:]
            case 2:
                mutated[offset:offset] = mutated[offset : offset + rng.randrange(40)]
            case 3:
                hostile = rng.choice(HOSTILE_BYTES)
                mutated[offset : offset + len(hostile)] = hostile
            case 4:
                count_offset = 4 + 2 * rng.randrange(4)  # one of the header's four counts
                mutated[count_offset : count_offset + 2] = rng.choice((0, 1, 2, 255, 65_535)).to_bytes(2)
            case 5:
                mutated += rng.randbytes(rng.randrange(20))
            case _:
                del mutated[offset : offset + rng.randrange(1, 9)]
    return bytes(mutated)


def mutated_messages(count: int, seed: int) -> Iterator[Sample]:
    """So many mutated messages, four tenths of them queries; the same for the same seed."""
    rng = random.Random(seed)
    samples = valid_responses()
    for _ in range(count):
        wire, query, query_id = rng.choice(samples)
        if rng.random() < 0.4:
            wire = encode_upstream_query(query, query_id)
        yield Sample(mutate(wire, rng), query, query_id)


def check_message(sample: Sample, report: DnsFuzzReport) -> None:
    """Parse one message as a query and as an answer, and check what comes of it.

    Raises:
        Exception: whatever the parser raises, but for MessageError, by which it rejects a message.
    """
    start_s = time.perf_counter()
    report.messages += 1
    _check_as_query(sample.data, report)
    _check_as_response(sample, report)
    duration_s = time.perf_counter() - start_s
    report.slowest_ms = max(report.slowest_ms, duration_s * 1000)


def _check_as_query(data: bytes, report: DnsFuzzReport) -> None:
    try:
        query = parse_query(data)
        report.queries_parsed += 1
        if encode_error(query, Rcode.SERVFAIL)[:2] != data[:2]:
            report.failures.append(f"answered under another id: {data.hex()}")
    except MessageError:
        pass


def _check_as_response(sample: Sample, report: DnsFuzzReport) -> None:
    data, query, query_id = sample
    try:
        response = parse_response(data, query, query_id)
    except MessageError:
        return
    if response is None:
        return
    report.responses_accepted += 1
    question_end = HEADER_BYTES + len(query.question)
    same_name = data[HEADER_BYTES : question_end - 4].lower() == query.name
    same_type = data[question_end - 4 : question_end] == query.question[-4:]
    if int.from_bytes(data[:2]) != query_id or not same_name or not same_type:
        report.failures.append(f"took an answer to another question: {data.hex()}")
    if len(encode_response(query, response, MAX_UDP_BYTES)) > MAX_UDP_BYTES:
        report.failures.append(f"an answer over its limit: {data.hex()}")
    encode_response(query, response, 65_535, 10)


def fuzz(count: int, seed: int, progress: Callable[[float], None] = lambda share: None) -> DnsFuzzReport:
    """Check so many messages; an exception of any other kind than MessageError is a failure.

    Each failure names its message, in base 16.
    """
    report = DnsFuzzReport()
    for number, sample in enumerate(mutated_messages(count, seed)):
        _check_without_raising(sample, report)
        if number % PROGRESS_EVERY == 0:
            progress(number / count)
    return report


def _check_without_raising(sample: Sample, report: DnsFuzzReport) -> None:
    with ErrorsAsFailures(report.failures, lambda error: f"{error!r}: {sample.data.hex()}"):
        check_message(sample, report)
