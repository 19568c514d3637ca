"""Drain phases of a process: active, on standby, and shutting down."""

from __future__ import annotations

from sagetrack.core.drain import SHUTDOWN_IDLE_DELAY_S, STANDBY_IDLE_DELAY_S, Drain, DrainPhase
from sagetrack.core.send_rules import FIRST_REQUEST_TIMEOUT_S


def test_standby_begins_and_ends_and_repeated_calls_change_nothing() -> None:
    drain = Drain(1.0)
    assert not drain.is_draining and drain.end_standby(0.0)
    assert drain.begin_standby(1.0) and drain.begin_standby(2.0)
    assert drain.is_draining and drain.since_s == 1.0  # a second call does not extend the drain
    assert drain.end_standby(3.0) and drain.end_standby(4.0)
    assert not drain.is_draining


def test_a_shutdown_is_final() -> None:
    drain = Drain(1.0)
    drain.begin_standby(1.0)
    drain.begin_shutdown(2.0)
    drain.begin_shutdown(3.0)
    assert drain.phase is DrainPhase.SHUTTING_DOWN and drain.since_s == 2.0
    assert not drain.begin_standby(4.0) and not drain.end_standby(4.0) and drain.is_draining


def test_idle_connections_close_after_their_delay_and_soon_enough_for_the_platform() -> None:
    drain = Drain(1.0)
    assert not drain.may_close_idle(60.0, 0.0, True)
    drain.begin_standby(100.0)
    assert not drain.may_close_idle(100.0 + STANDBY_IDLE_DELAY_S / 2, 0.0, True)
    assert drain.may_close_idle(100.0 + STANDBY_IDLE_DELAY_S, 0.0, True)
    # A request on a connection that is idle at `standby` arrives within 2 s, before the connection is closed.
    # It is therefore at least 2 s old when 4 s have passed since `standby`.
    assert STANDBY_IDLE_DELAY_S + FIRST_REQUEST_TIMEOUT_S < 2.0
    drain.begin_shutdown(200.0)
    assert not drain.may_close_idle(200.0, 0.0, True)
    assert drain.may_close_idle(200.0 + SHUTDOWN_IDLE_DELAY_S, 0.0, True)


def test_a_new_connection_has_time_for_its_first_request() -> None:
    drain = Drain(1.0)
    drain.begin_shutdown(100.0)
    assert not drain.may_close_idle(101.0, 101.0 - FIRST_REQUEST_TIMEOUT_S / 2, False)
    assert drain.may_close_idle(101.0, 101.0 - FIRST_REQUEST_TIMEOUT_S, False)


def test_the_response_cutoff_precedes_the_kill_and_follows_the_settings() -> None:
    for longest_s, kill_s in ((0.4, 1.1), (1.67, 2.37), (5.0, 3.7)):
        drain = Drain(longest_s)
        drain.begin_shutdown(10.0)
        assert (
            kill_s - 0.2 <= drain.response_cutoff_s - 10.0 + 1e-9 and drain.response_cutoff_s - 10.0 < kill_s
        )
        assert not drain.is_past_response_cutoff(
            drain.response_cutoff_s - 0.001
        ) and drain.is_past_response_cutoff(drain.response_cutoff_s)
