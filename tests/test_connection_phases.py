"""Unit tests of the time limits of client connections: which are closed, in which order, and why."""

from __future__ import annotations

import asyncio

import pytest

from sagetrack.core.send_rules import CloseReason, DenialReason
from sagetrack.http1.connection_phases import (
    FIRST_BYTE_TIMEOUT_S,
    KEEPALIVE_MANY_CLIENTS_S,
    KEEPALIVE_S,
    REQUEST_TIMEOUT_S,
    WRITE_STALL_TIMEOUT_S,
    ConnectionPhases,
    PhaseTracker,
)
from sagetrack.http1.write_progress import WriteProgress
from tests.sockets import on_event_loop


class Progress(WriteProgress):
    """Reports the progress that a test sets."""

    def __init__(self, advances: bool = False) -> None:
        self.advances = advances

    def has_advanced(self) -> bool:
        return self.advances


class Connection:
    """A connection that records the calls on it together with its name."""

    def __init__(self, events: list[str], name: str, denial: DenialReason | None = None) -> None:
        self.events, self.name, self.denial = events, name, denial
        self.is_closing = False
        self.write_progress = Progress()

    def may_close(self, reason: CloseReason) -> DenialReason | None:
        return self.denial

    def close(self, reason: str = "answered") -> None:
        self.events.append(f"{self.name} closed: {reason}")

    def abort(self, reason: str = "aborted") -> None:
        self.events.append(f"{self.name} {reason}")

    def abandon_request(self) -> None:
        self.events.append(f"{self.name} abandoned")

    def check_body_rate(self, now_s: float, since_s: float) -> None:
        self.events.append(f"{self.name} body since {now_s - since_s:g}")


@pytest.mark.parametrize(
    ("phase", "limit_s", "has_many_clients", "event"),
    [
        ("awaiting_first_byte", FIRST_BYTE_TIMEOUT_S, False, "one closed: idle"),
        ("idle", KEEPALIVE_S, False, "one closed: idle"),
        ("idle", KEEPALIVE_MANY_CLIENTS_S, True, "one closed: idle"),
        ("receiving_request", REQUEST_TIMEOUT_S, False, "one abandoned"),
        ("closing", 0.0, False, "one aborted"),
    ],
)
def test_each_phase_has_a_time_limit(phase: str, limit_s: float, has_many_clients: bool, event: str) -> None:
    events: list[str] = []
    phases = ConnectionPhases()
    getattr(phases, phase)[Connection(events, "one")] = 100.0
    phases.close_expired(100.0 + limit_s - 0.01, has_many_clients)
    assert events == []
    phases.close_expired(100.0 + limit_s + 0.01, has_many_clients)
    assert events == [event]


def test_body_rates_are_checked_and_connections_that_may_not_be_closed_stay() -> None:
    events: list[str] = []
    phases = ConnectionPhases()
    phases.receiving_body[Connection(events, "body")] = 99.0
    phases.idle[Connection(events, "unread", DenialReason.UNREAD_DATA)] = 1.0
    phases.idle[Connection(events, "idle")] = 2.0
    phases.close_expired(100.0, False)
    assert events == ["idle closed: idle", "body body since 1"]


def test_only_a_client_that_has_stopped_reading_is_aborted() -> None:
    events: list[str] = []
    phases = ConnectionPhases()
    reading, stopped = Connection(events, "reading"), Connection(events, "stopped")
    reading.write_progress = Progress(advances=True)
    phases.sending |= {reading: 100.0, stopped: 100.0}
    phases.close_expired(100.0 + WRITE_STALL_TIMEOUT_S - 0.01, False)
    assert events == []
    phases.close_expired(100.0 + WRITE_STALL_TIMEOUT_S + 0.01, False)
    assert events == ["stopped aborted"]
    del phases.sending[stopped]
    reading.write_progress = Progress(advances=False)
    phases.close_expired(100.0 + 2 * WRITE_STALL_TIMEOUT_S, False)
    assert events == ["stopped aborted"]  # the limit has begun again when the client was found to read
    phases.close_expired(100.0 + 2 * WRITE_STALL_TIMEOUT_S + 0.02, False)
    assert events == ["stopped aborted", "reading aborted"]


@on_event_loop
async def test_descriptors_are_reclaimed_from_overdue_clients_first() -> None:
    now_s = asyncio.get_running_loop().time()
    events: list[str] = []
    phases = ConnectionPhases()
    names = ("late", "silent", "kept", "new", "writing", "body")
    late, silent, kept, new, writing, body = (Connection(events, name) for name in names)
    phases.receiving_request |= {late: now_s - FIRST_BYTE_TIMEOUT_S, writing: now_s}
    phases.awaiting_first_byte |= {silent: now_s - 1.0, new: now_s}
    phases.idle[kept] = now_s
    phases.receiving_body[body] = now_s
    order = []
    while phases.reclaim(CloseReason.RECLAIM_DESCRIPTOR):
        order.append(events[-1])
        name = events[-1].split()[0]
        for phase in (phases.receiving_request, phases.awaiting_first_byte, phases.idle):
            for connection in [one for one in phase if isinstance(one, Connection) and one.name == name]:
                del phase[connection]
    assert order == ["late closed: room", "silent closed: room", "kept closed: room"]
    assert phases.reclaim(CloseReason.DESCRIPTORS_EXHAUSTED) and events[-1] == "new closed: exhausted"
    phases.awaiting_first_byte.clear()
    assert phases.reclaim(CloseReason.DESCRIPTORS_EXHAUSTED) and events[-1] == "writing closed: exhausted"
    phases.receiving_request.clear()
    assert phases.reclaim(CloseReason.DESCRIPTORS_EXHAUSTED) and events[-1] == "body closed: exhausted"
    phases.receiving_body.clear()
    assert not phases.reclaim(CloseReason.DESCRIPTORS_EXHAUSTED)


@on_event_loop
async def test_an_idle_connection_is_reclaimed_only_after_the_given_idle_time() -> None:
    now_s = asyncio.get_running_loop().time()
    phases = ConnectionPhases()
    phases.idle[Connection([], "one")] = now_s - 0.2
    assert not phases.reclaim(CloseReason.RECLAIM_DESCRIPTOR, idle_s=60.0)
    assert phases.reclaim(CloseReason.RECLAIM_DESCRIPTOR, idle_s=0.1)


@on_event_loop
async def test_a_connection_is_in_one_phase_and_keeps_its_entry_time() -> None:
    phases = ConnectionPhases()
    connection = Connection([], "one")
    tracker = PhaseTracker(connection, phases)
    assert tracker.since_s(7.0) == 7.0
    tracker.enter(phases.awaiting_first_byte, 5.0)
    tracker.await_request(False, False, False, 5.0)  # nothing received: still in the same phase
    assert phases.awaiting_first_byte == {connection: 5.0}
    tracker.await_request(False, True, False, 5.0)  # the first request counts from the accept
    assert not phases.awaiting_first_byte and phases.receiving_request == {connection: 5.0}
    tracker.await_request(True, True, False, 5.0)
    assert not phases.receiving_request and connection in phases.receiving_body
    before_s = tracker.since_s(0.0)
    tracker.exclude_pause(3.0)
    assert tracker.since_s(0.0) == before_s + 3.0
    tracker.await_request(False, False, True, 5.0)
    tracker.exclude_pause(3.0)  # has an effect only while a body is received
    since_s = tracker.since_s(0.0)
    assert phases.idle == {connection: since_s} and since_s <= asyncio.get_running_loop().time()
    tracker.await_request(False, True, True, 5.0)  # a later request counts from its first byte
    assert phases.receiving_request[connection] >= since_s
    connection.is_closing = True
    tracker.enter_closing(2.0)
    assert phases.count_closing() == 1 and not phases.receiving_request
    tracker.enter(None)
    assert phases.count_closing() == 0
