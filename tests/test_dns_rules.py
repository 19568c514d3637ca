"""Rules of DNS that need no socket: message ids, outcomes of attempts, labels of the zone."""

from __future__ import annotations

from typing import Any

import pytest

from sagetrack.core.send_rules import ServerState
from sagetrack.core.upstream_server import UpstreamServerRecord
from sagetrack.dns.answer import parse_answer
from sagetrack.dns.errors import DnsError
from sagetrack.dns.message import MessageError, Rcode, encode_upstream_query, parse_query
from sagetrack.dns.upstream_attempt import DnsAttempt, unused_message_id
from sagetrack.dns.zone_records import ZoneError, label
from sagetrack.policy.events import Outcome
from tests.dns_helpers import query, response_to


class Observer:
    """Records the end of an attempt."""

    def __init__(self) -> None:
        self.ends: list[tuple[Outcome, bool]] = []

    def on_attempt_ended(self, attempt: Any, outcome: Outcome, answer: Any, load: Any) -> None:
        self.ends.append((outcome, answer is not None))


def test_a_message_id_is_none_that_waits() -> None:
    free = 40_000
    assert unused_message_id(set(range(65_536)) - {free}) == free


@pytest.mark.parametrize(
    ("rcode", "end"),
    [
        (Rcode.NOERROR, (Outcome.OK, True)),
        (Rcode.NXDOMAIN, (Outcome.OK, True)),
        (Rcode.SERVFAIL, (Outcome.ERROR, False)),
        (Rcode.REFUSED, (Outcome.ERROR, False)),
    ],
)
def test_an_attempt_ends_once_by_its_rcode(rcode: Rcode, end: tuple[Outcome, bool]) -> None:
    asked = parse_query(query())
    answer = parse_answer(response_to(encode_upstream_query(asked, 1), rcode=int(rcode)), asked, 1)
    assert answer is not None
    observer: Any = Observer()
    attempt = DnsAttempt(UpstreamServerRecord(1, "n", ("127.0.0.1", 53)), asked, observer, 0)
    attempt.complete(answer)
    attempt.finish(Outcome.TIMEOUT)
    assert observer.ends == [end]


def test_a_server_is_withdrawn_from_when_it_drains() -> None:
    states = [
        UpstreamServerRecord(1, "n", ("127.0.0.1", 53), 0, drained_us).state for drained_us in (None, 0)
    ]
    assert states == [ServerState.SERVING, ServerState.WITHDRAWN]


@pytest.mark.parametrize(
    ("name", "expected"), [("S_2", "s-2"), ("-a.b-", "a-b"), ("\u00e9", "server"), ("x" * 70, "x" * 63)]
)
def test_a_label_has_letters_digits_and_hyphens(name: str, expected: str) -> None:
    assert label(name) == expected


def test_errors_have_one_base_class() -> None:
    assert issubclass(MessageError, DnsError) and issubclass(ZoneError, DnsError)
