"""Mutated messages and the corpus of messages that once did harm."""

from __future__ import annotations

from pathlib import Path

import pytest

from sagetrack.lab.fault_injection.dns_fuzz import DnsFuzzReport, check_message, fuzz, valid_responses


def test_mutated_messages_cause_no_failures() -> None:
    report = fuzz(20_000, 5)
    assert not report.failures and report.queries_parsed > 500 and report.responses_accepted > 500


@pytest.mark.parametrize("line", (Path(__file__).parent / "corpus" / "dns.txt").read_text().split())
def test_corpus_causes_no_failures(line: str) -> None:
    report = DnsFuzzReport()
    for sample in valid_responses():
        check_message(sample._replace(data=bytes.fromhex(line)), report)
    assert not report.failures
