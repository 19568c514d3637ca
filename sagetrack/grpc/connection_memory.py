"""Memory of one gRPC client's connection, and the flow control that keeps it within the memory budget."""

from __future__ import annotations

from collections.abc import Iterable

from sagetrack.core.memory_budget import MemoryBudget, MemoryClaim, OverloadAction
from sagetrack.grpc.downstream_stream import DownstreamStream
from sagetrack.grpc.frame_tracker import FrameTracker
from sagetrack.grpc.http2_protocol import CLOSED_STREAM_BYTES, CONNECTION_BYTES, MAX_CLOSED_STREAMS


class ConnectionMemory:
    """Counts what a connection holds, and withholds windows of requests that are not submitted yet.

    Attributes:
        budget: The memory budget of the process.
        frames: Counts the bytes of incomplete frames.
        opened_streams: Streams that the client has opened so far.
        withheld: Received bytes by stream for which no window was extended yet.
    """

    __slots__ = ("_claim", "budget", "frames", "opened_streams", "withheld")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self._claim = MemoryClaim(budget)
        self.frames = FrameTracker()
        self.opened_streams = 0
        self.withheld: dict[int, int] = {}

    def update(self, streams: Iterable[DownstreamStream], unsent_bytes: int) -> None:
        """Report what the connection holds: its streams, incomplete frames, and what it has not sent yet."""
        closed_bytes = min(self.opened_streams, MAX_CLOSED_STREAMS) * CLOSED_STREAM_BYTES
        stream_bytes = sum(stream.held_bytes for stream in streams)
        held_bytes = self.frames.held_bytes + unsent_bytes + stream_bytes
        self._claim.update(CONNECTION_BYTES + closed_bytes + held_bytes)

    def release(self) -> None:
        """Report that the connection has ended and holds nothing."""
        self._claim.update(0)

    def withholds(self, stream: DownstreamStream, size: int) -> bool:
        """Withhold the windows for received bytes while memory is short; False if they may be extended."""
        if not stream.awaits_submission or self.budget.action_with_reserve < OverloadAction.REJECT_BODIES:
            return False
        self.withheld[stream.id] = self.withheld.get(stream.id, 0) + size
        return True

    def take_withheld(self) -> list[tuple[int, int]]:
        """Return the withheld bytes as pairs of stream and size, for which the windows are extended now."""
        withheld = list(self.withheld.items())
        self.withheld.clear()
        return withheld
