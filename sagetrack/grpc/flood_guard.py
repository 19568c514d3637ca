"""Limits frames that cost processing time without carrying a request (RFC 9113, section 10.5)."""

from __future__ import annotations

MAX_CONTROL_FRAMES_PER_S = 1000  # counts PING, SETTINGS, empty DATA frames, and RST_STREAM from servers
WINDOW_US = 1_000_000


class FloodGuard:
    """Counts control frames and stream resets of one connection in windows of one second.

    Args:
        now_us: Start of the first window.
        max_resets_per_s: Limit of stream resets in a window; None if there is no separate limit on resets.
    """

    __slots__ = ("_control_frames", "_max_resets", "_resets", "_window_start_us")

    def __init__(self, now_us: int, max_resets_per_s: int | None = None) -> None:
        self._window_start_us = now_us
        self._max_resets = max_resets_per_s
        self._control_frames = 0
        self._resets = 0

    def record(self, now_us: int, *, control_frames: int = 0, resets: int = 0) -> bool:
        """Count received frames; returns True if the peer exceeds a limit in the current window."""
        if now_us - self._window_start_us > WINDOW_US:
            self._window_start_us = now_us
            self._control_frames = 0
            self._resets = 0
        self._control_frames += control_frames
        self._resets += resets
        if self._max_resets is not None and self._resets > self._max_resets:
            return True
        return self._control_frames > MAX_CONTROL_FRAMES_PER_S
