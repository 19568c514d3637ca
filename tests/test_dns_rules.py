"""Message ids, outcomes of attempts, server states, labels and error classes of DNS, without sockets."""

from __future__ import annotations

from typing import Any

import pytest

from sagetrack.core.send_rules import ServerState
from sagetrack.core.upstream_server import UpstreamServerRecord
from sagetrack.dns.answer import parse_response
from sagetrack.dns.errors import DnsError
from sagetrack.dns.message import MessageError, Rcode, encode_upstream_query, parse_query
from sagetrack.dns.upstream_attempt import DnsAttempt, unused_message_id
from sagetrack.dns.zone_records import ZoneError, to_label
from sagetrack.policy.events import Outcome
from tests.dns_helpers import query, response_to


class Observer:
    """Records how an attempt ends."""

    def __init__(self) -> None:
        self.ends: list[tuple[Outcome, bool]] = []

    def on_attempt_ended(self, attempt: Any, outcome: Outcome, response: Any, load: Any) -> None:
        self.ends.append((outcome, response is not None))


def test_message_id_is_not_one_in_use() -> None:
    free_id = 40_000
    assert unused_message_id(set(range(65_536)) - {free_id}) == free_id


@pytest.mark.parametrize(
    ("rcode", "end"),
    [
        (Rcode.NOERROR, (Outcome.OK, True)),
        (Rcode.NXDOMAIN, (Outcome.OK, True)),
        (Rcode.SERVFAIL, (Outcome.ERROR, False)),
        (Rcode.REFUSED, (Outcome.ERROR, False)),
    ],
)
def test_attempt_ends_once_with_the_outcome_of_its_rcode(rcode: Rcode, end: tuple[Outcome, bool]) -> None:
    parsed_query = parse_query(query())
    response = parse_response(
        response_to(encode_upstream_query(parsed_query, 1), rcode=int(rcode)), parsed_query, 1
    )
    assert response is not None
    observer: Any = Observer()
    attempt = DnsAttempt(UpstreamServerRecord(1, "n", ("127.0.0.1", 53)), parsed_query, observer, 0)
    attempt.complete(response)
    attempt.finish(Outcome.TIMEOUT)
    assert observer.ends == [end]


def test_draining_server_is_withdrawn() -> None:
    states = [UpstreamServerRecord(1, "n", ("127.0.0.1", 53), 0, since_us).state for since_us in (None, 0)]
    assert states == [ServerState.SERVING, ServerState.WITHDRAWN]


@pytest.mark.parametrize(
    ("name", "expected"), [("S_2", "s-2"), ("-a.b-", "a-b"), ("\u00e9", "server"), ("x" * 70, "x" * 63)]
)
def test_label_has_only_letters_digits_and_hyphens(name: str, expected: str) -> None:
    assert to_label(name) == expected


def test_errors_share_a_base_class() -> None:
    assert issubclass(MessageError, DnsError) and issubclass(ZoneError, DnsError)
