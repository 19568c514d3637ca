"""Counts the bytes of HTTP/2 frames that have arrived and cannot be handled yet (RFC 9113, section 4.1).

`h2` buffers a frame until it is complete, and the frames of a header block until the last one, and does not
tell how much it holds.
"""

from __future__ import annotations

FRAME_HEADER_BYTES = 9
PREFACE_BYTES = 24  # the client's connection preface (RFC 9113, section 3.4)
LENGTH_BYTES = 3
TYPE_OFFSET = 3
FLAGS_OFFSET = 4
HEADER_BLOCK_TYPES = frozenset({0x1, 0x9})  # HEADERS and CONTINUATION
END_HEADERS = 0x4


class FrameTracker:
    """Follows the frames of one direction of a connection, without their content.

    Attributes:
        block_bytes: Payload of the header block in progress, in the frames whose header has arrived.
    """

    __slots__ = ("_block_ends", "_header", "_payload_held", "_payload_left", "block_bytes")

    def __init__(self, preface_bytes: int = PREFACE_BYTES) -> None:
        """Create a tracker for a direction that begins with a preface of this length."""
        self._header = bytearray()
        self._payload_left = preface_bytes
        self._payload_held = 0
        self._block_ends = True
        self.block_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes of the frame, or of the header block, that is not complete yet."""
        return len(self._header) + max(self._payload_held, self.block_bytes - self._payload_left)

    def feed(self, data: bytes) -> None:
        """Follow received bytes."""
        position = 0
        while position < len(data):
            if self._payload_left:
                taken = min(self._payload_left, len(data) - position)
                self._payload_left -= taken
                self._payload_held += taken
            else:
                taken = min(FRAME_HEADER_BYTES - len(self._header), len(data) - position)
                self._header += data[position : position + taken]
                if len(self._header) == FRAME_HEADER_BYTES:
                    self._start_frame()
            position += taken
            if not self._payload_left and not self._header:
                self._end_frame()

    def _start_frame(self) -> None:
        self._payload_left = int.from_bytes(self._header[:LENGTH_BYTES])
        if self._header[TYPE_OFFSET] in HEADER_BLOCK_TYPES:
            self.block_bytes += self._payload_left
            self._block_ends = bool(self._header[FLAGS_OFFSET] & END_HEADERS)
        self._header.clear()

    def _end_frame(self) -> None:
        self._payload_held = 0
        if self._block_ends:
            self.block_bytes = 0
