"""The limit on descriptors, without a socket: what is closed, in which order, when one is needed."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sagetrack.config.platform import parse
from sagetrack.core.send_rules import CloseReason
from sagetrack.http1 import descriptors as module
from sagetrack.http1.descriptors import RECLAIM_IDLE_S, RESERVE, DescriptorBudget
from tests.sockets import configuration

LIMIT = 132


class Side:
    """Clients and servers as far as the budget sees them, and what it closes."""

    def __init__(self, willing: set[str]) -> None:
        self.willing = willing  # who has a connection to give up
        self.events: list[str] = []
        self.open_connections = self.clients = self.closing = 0

    def reclaim(self, purpose: CloseReason, idle_s: float = 0.0) -> bool:
        name = purpose.value + (f" {idle_s}" if idle_s else "")
        self.events.append(name)
        return name in self.willing

    def reclaim_idle(self) -> bool:
        self.events.append("server")
        return "server" in self.willing

    def count_closing(self) -> int:
        return self.closing


def budget(
    monkeypatch: pytest.MonkeyPatch, processes: int = 1, *willing: str
) -> tuple[DescriptorBudget, Side]:
    monkeypatch.setattr(module, "descriptor_limit", lambda wanted: wanted)
    side = Side(set(willing))
    config = replace(parse(configuration()), sockets=LIMIT)
    made = DescriptorBudget(config, side, side, lambda: side.clients, lambda: processes)  # type: ignore[arg-type]
    return made, side


def test_the_limit_is_for_all_processes_together(monkeypatch: pytest.MonkeyPatch) -> None:
    alone, _ = budget(monkeypatch)
    both, _ = budget(monkeypatch, 2)
    assert (alone.limit, both.limit) == (LIMIT, LIMIT // 2)
    assert alone.max_clients == int((LIMIT - RESERVE) * 0.65) == 65


def test_a_client_is_accepted_while_servers_keep_their_part(monkeypatch: pytest.MonkeyPatch) -> None:
    made, side = budget(monkeypatch)
    side.clients = made.max_clients - 1
    assert made.has_capacity() and made.reclaim_for_client() and not side.events
    side.clients += 1
    assert not made.has_capacity() and not made.is_full
    assert made.reclaim_for_client()  # no idle client, and yet there are descriptors
    assert side.events == [f"room {RECLAIM_IDLE_S}"]
    side.open_connections = LIMIT - RESERVE - side.clients
    assert made.is_full and not made.reclaim_for_client()
    assert side.events[1:] == [f"room {RECLAIM_IDLE_S}", "exhausted"]


@pytest.mark.parametrize(
    ("willing", "events"),
    [
        (["room"], ["room"]),
        (["server"], ["room", "server"]),
        (["exhausted"], ["room", "server", "exhausted"]),
        ([], ["room", "server", "exhausted"]),
    ],
)
def test_idle_clients_go_before_idle_connections_to_servers(
    willing: list[str], events: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    made, side = budget(monkeypatch, 1, *willing)
    made.reclaim_for_upstream()
    assert not side.events  # nothing is closed while there are descriptors
    side.clients = LIMIT - RESERVE
    made.reclaim_for_upstream()
    assert side.events == events


def test_a_lower_limit_closes_as_many_as_are_over_it(monkeypatch: pytest.MonkeyPatch) -> None:
    made, side = budget(monkeypatch, 2, "room")
    side.clients = LIMIT // 2 - RESERVE
    made.shrink_to_limit()
    assert not side.events
    side.clients += 5
    side.closing = 2  # whose descriptors are free soon
    made.shrink_to_limit()
    assert side.events == ["room"] * 3
    side.willing.clear()
    made.shrink_to_limit()  # nobody has one to give: it ends at the first
    assert side.events[3:] == ["room", "server", "exhausted"]


def test_many_clients_make_it_crowded(monkeypatch: pytest.MonkeyPatch) -> None:
    made, side = budget(monkeypatch)
    side.clients = made.max_clients // 3
    assert not made.has_many_clients
    side.clients += 1
    assert made.has_many_clients
