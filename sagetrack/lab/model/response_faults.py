"""Which responses of servers go wrong: errors, invalid responses and resets."""

from __future__ import annotations

import random

from sagetrack.lab.model.server import Result


class ResponseFaults:
    """Owns the share of responses that go wrong in each manner, and draws each response's result."""

    def __init__(self, error_share: float, draw: random.Random) -> None:
        # The order decides what is drawn.
        self._shares = {Result.ERROR: error_share, Result.MALFORMED: 0.0, Result.RESET: 0.0}
        self._draw = draw

    def set_share(self, result: Result, share: float) -> None:
        """Let a share (0 to 1) of the responses end in this manner."""
        self._shares[result] = share

    def draw_result(self) -> Result:
        """Draw how a server will respond to an attempt that it accepted."""
        if not any(self._shares.values()):
            return Result.SERVED
        point = self._draw.random()
        for result, share in self._shares.items():
            if point < share:
                return result
            point -= share
        return Result.SERVED
