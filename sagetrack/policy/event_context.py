"""State shared by all components while an event is handled: time, random numbers and resulting actions."""

from __future__ import annotations

import random

from sagetrack.policy.actions import Action, Log

MIN_LOG_INTERVAL_US = 100_000  # minimum time between two log lines


class EventContext:
    """The time and actions of the current event, and the gateway's seeded random number generator.

    One instance is reused for all events; `begin` resets it for the next event. Components receive it on
    construction.
    """

    __slots__ = ("_logged_us", "actions", "now_us", "random")

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_us = 0
        self.actions: list[Action] = []
        self._logged_us = -MIN_LOG_INTERVAL_US

    def begin(self, now_us: int) -> None:
        """Start handling an event. If the clock has stepped back, `now_us` keeps its value."""
        if now_us > self.now_us:
            self.now_us = now_us
        self.actions = []

    def log(self, line: str, server: int | None = None) -> None:
        """Log a line, unless another was logged less than `MIN_LOG_INTERVAL_US` ago.

        The limit prevents a flood of equal lines when many servers fail at once.
        """
        if self.now_us - self._logged_us >= MIN_LOG_INTERVAL_US:
            self._logged_us = self.now_us
            self.actions.append(Log(line if server is None else f"server {server}: {line}", server))
