"""Unit tests of the descriptor budget: which connections are closed, and in which order."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sagetrack.config.platform import parse
from sagetrack.core.send_rules import CloseReason
from sagetrack.http1 import descriptors as module
from sagetrack.http1.descriptors import RECLAIM_IDLE_S, RESERVE, DescriptorBudget
from tests.sockets import configuration

LIMIT = 132


class ReclaimStub:
    """Stands in for the connection phases and the connection pools, and records what is reclaimed."""

    def __init__(self, reclaimable: set[str]) -> None:
        self.reclaimable = reclaimable  # the kinds of connections of which one can be closed
        self.events: list[str] = []
        self.open_connections = self.clients = self.closing = 0

    def reclaim(self, reason: CloseReason, idle_s: float = 0.0) -> bool:
        name = reason.value + (f" {idle_s}" if idle_s else "")
        self.events.append(name)
        return name in self.reclaimable

    def reclaim_idle(self) -> bool:
        self.events.append("server")
        return "server" in self.reclaimable

    def count_closing(self) -> int:
        return self.closing


def budget(
    monkeypatch: pytest.MonkeyPatch, processes: int = 1, *reclaimable: str
) -> tuple[DescriptorBudget, ReclaimStub]:
    monkeypatch.setattr(module, "descriptor_limit", lambda wanted: wanted)
    stub = ReclaimStub(set(reclaimable))
    config = replace(parse(configuration()), sockets=LIMIT)
    descriptors = DescriptorBudget(config, stub, stub, lambda: stub.clients, lambda: processes)  # type: ignore[arg-type]
    return descriptors, stub


def test_the_limit_is_shared_by_all_processes(monkeypatch: pytest.MonkeyPatch) -> None:
    alone, _ = budget(monkeypatch)
    both, _ = budget(monkeypatch, 2)
    assert (alone.limit, both.limit) == (LIMIT, LIMIT // 2)
    assert alone.max_clients == int((LIMIT - RESERVE) * 0.65) == 65


def test_a_client_is_accepted_while_upstream_connections_keep_their_share(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    descriptors, stub = budget(monkeypatch)
    stub.clients = descriptors.max_clients - 1
    assert descriptors.has_capacity() and descriptors.reclaim_for_client() and not stub.events
    stub.clients += 1
    assert not descriptors.has_capacity() and not descriptors.is_full
    assert descriptors.reclaim_for_client()  # no client is idle, but descriptors are left
    assert stub.events == [f"room {RECLAIM_IDLE_S}"]
    stub.open_connections = LIMIT - RESERVE - stub.clients
    assert descriptors.is_full and not descriptors.reclaim_for_client()
    assert stub.events[1:] == [f"room {RECLAIM_IDLE_S}", "exhausted"]


@pytest.mark.parametrize(
    ("reclaimable", "events"),
    [
        (["room"], ["room"]),
        (["server"], ["room", "server"]),
        (["exhausted"], ["room", "server", "exhausted"]),
        ([], ["room", "server", "exhausted"]),
    ],
)
def test_idle_clients_are_closed_before_idle_upstream_connections(
    reclaimable: list[str], events: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    descriptors, stub = budget(monkeypatch, 1, *reclaimable)
    descriptors.reclaim_for_upstream()
    assert not stub.events  # nothing is closed while descriptors are left
    stub.clients = LIMIT - RESERVE
    descriptors.reclaim_for_upstream()
    assert stub.events == events


def test_a_lower_limit_closes_the_excess_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    descriptors, stub = budget(monkeypatch, 2, "room")
    stub.clients = LIMIT // 2 - RESERVE
    descriptors.shrink_to_limit()
    assert not stub.events
    stub.clients += 5
    stub.closing = 2  # connections whose descriptors will be free soon
    descriptors.shrink_to_limit()
    assert stub.events == ["room"] * 3
    stub.reclaimable.clear()
    descriptors.shrink_to_limit()  # stops at the first descriptor that cannot be reclaimed
    assert stub.events[3:] == ["room", "server", "exhausted"]


def test_many_clients_are_more_than_a_third_of_the_client_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    descriptors, stub = budget(monkeypatch)
    stub.clients = descriptors.max_clients // 3
    assert not descriptors.has_many_clients
    stub.clients += 1
    assert descriptors.has_many_clients
