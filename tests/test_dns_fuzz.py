"""Mutated messages and the corpus of messages that once did harm."""

from __future__ import annotations

from pathlib import Path

import pytest

from sagetrack.lab.fault_injection.dns_fuzz import Found, examine, fuzz, seeds


def test_mutated_messages_of_a_fixed_seed_break_nothing() -> None:
    found = fuzz(20_000, 5)
    assert not found.wrong and found.queries_read > 500 and found.answers_taken > 500


@pytest.mark.parametrize("line", (Path(__file__).parent / "corpus" / "dns.txt").read_text().split())
def test_the_corpus_is_read_without_harm(line: str) -> None:
    found = Found()
    for _, known, id_ in seeds():
        examine(bytes.fromhex(line), known, id_, found)
    assert not found.wrong
