"""Which responses of servers go wrong: errors, invalid responses and resets."""

from __future__ import annotations

import random

from sagetrack.lab.model.server import Result


class ResponseFaults:
    """Owns the shares of responses that are spoilt at present, and draws each response's result."""

    def __init__(self, error_share: float, draw: random.Random) -> None:
        self.invalid_share = 0.0
        self.reset_share = 0.0
        self._error_share = error_share
        self._draw = draw

    def draw_result(self) -> Result:
        """Draw how a server will respond to an attempt that it accepted."""
        if not (self._error_share or self.invalid_share or self.reset_share):
            return Result.SERVED
        point = self._draw.random()
        for share, result in (
            (self._error_share, Result.ERROR),
            (self.invalid_share, Result.SPOILT),
            (self.reset_share, Result.RESET),
        ):
            if point < share:
                return result
            point -= share
        return Result.SERVED
