"""Injected faults in the responses of servers: errors, malformed responses and resets."""

from __future__ import annotations

import random

from sagetrack.lab.model.server import Result


class ResponseFaults:
    """Owns the share of responses with each kind of fault, and draws the result of each response."""

    def __init__(self, error_share: float, draw: random.Random) -> None:
        # The order must not change: it determines the results of a seed.
        self._shares = {Result.ERROR: error_share, Result.MALFORMED: 0.0, Result.RESET: 0.0}
        self._draw = draw

    def set_share(self, result: Result, share: float) -> None:
        """Set the share (0 to 1) of responses that end with this result."""
        self._shares[result] = share

    def draw_result(self) -> Result:
        """Draw the result of an attempt that a server has accepted."""
        if not any(self._shares.values()):
            return Result.SERVED
        point = self._draw.random()
        for result, share in self._shares.items():
            if point < share:
                return result
            point -= share
        return Result.SERVED
