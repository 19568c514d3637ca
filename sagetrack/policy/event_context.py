"""What all components share while one event is handled: the time, the random draws and the actions so far."""

from __future__ import annotations

import random

from sagetrack.policy.actions import Action, Log

MIN_LOG_INTERVAL_US = 100_000  # between two log lines


class EventContext:
    """The present event's time and actions, and the gateway's seeded random numbers.

    One object serves all events in turn; `begin` starts the next. Components are given it when they are made.
    """

    __slots__ = ("_logged_us", "actions", "now_us", "random")

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_us = 0
        self.actions: list[Action] = []
        self._logged_us = -MIN_LOG_INTERVAL_US

    def begin(self, now_us: int) -> None:
        """Start an event. Where the clock steps back, time stands still instead."""
        if now_us > self.now_us:
            self.now_us = now_us
        self.actions = []

    def log(self, line: str, server: int | None = None) -> None:
        """Log a line, unless one was logged less than `MIN_LOG_INTERVAL_US` ago."""
        if self.now_us - self._logged_us >= MIN_LOG_INTERVAL_US:
            self._logged_us = self.now_us
            self.actions.append(Log(line if server is None else f"server {server}: {line}", server))
