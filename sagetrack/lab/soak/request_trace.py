"""Groups the events of one run by request. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from sagetrack.lab.soak.events import (
    AnyEvent,
    AttemptReceived,
    AttemptStarted,
    ClientDisconnected,
    DuplicateResponseSent,
    IdRepeated,
    MalformedRequestIgnored,
    RequestRejected,
    RequestSent,
    ResponseMissing,
    ResponseReceived,
    ResponseUnfinished,
)


@dataclass(slots=True)
class RequestTrace:
    """The events of one request. Each list is in chronological order."""

    sent: list[RequestSent] = field(default_factory=list)  # more than one event if the client has resent it
    responses: list[ResponseReceived] = field(default_factory=list)
    missing_responses: list[ResponseMissing] = field(default_factory=list)
    unfinished: ResponseUnfinished | None = None
    disconnect: ClientDisconnected | None = None
    repeated: IdRepeated | None = None
    attempts_started: list[AttemptStarted] = field(default_factory=list)
    attempts_received: list[AttemptReceived] = field(default_factory=list)
    rejections: list[RequestRejected] = field(default_factory=list)

    def last_sent_before(self, at_us: int) -> RequestSent | None:
        """Return the last event at or before a time in which the client sent the request, if any."""
        sent = [event for event in self.sent if event.at_us <= at_us]
        return sent[-1] if sent else None

    def rejected_by(self, server: int) -> bool:
        """Return True if a server has rejected the request without processing it."""
        return any(rejection.server == server for rejection in self.rejections)


def trace_requests(events: Sequence[AnyEvent]) -> dict[str, RequestTrace]:
    """Build the trace of each request by its ID. The events must be in chronological order."""
    traces: dict[str, RequestTrace] = defaultdict(RequestTrace)
    for event in events:
        match event:
            case AttemptStarted():
                traces[event.request_id].attempts_started.append(event)
            case AttemptReceived():
                traces[event.request_id].attempts_received.append(event)
            case RequestRejected():
                traces[event.request_id].rejections.append(event)
            case MalformedRequestIgnored() | DuplicateResponseSent():
                pass
            case _:
                _add_client_event(traces[event.request_id], event)
    return traces


ClientEvent = (
    RequestSent | ResponseReceived | ResponseMissing | ResponseUnfinished | ClientDisconnected | IdRepeated
)


def _add_client_event(trace: RequestTrace, event: ClientEvent) -> None:
    match event:
        case RequestSent():
            trace.sent.append(event)
        case ResponseReceived():
            trace.responses.append(event)
        case ResponseMissing():
            trace.missing_responses.append(event)
        case ResponseUnfinished():
            trace.unfinished = event
        case ClientDisconnected():
            trace.disconnect = event
        case IdRepeated():
            trace.repeated = event
