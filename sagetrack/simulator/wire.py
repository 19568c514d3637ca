"""The simulator's text protocol: parses lines into events and formats actions as lines.

These fields are accepted and ignored, because no decision depends on them:

- names of classes, tenants, kinds, zones and tiers, and `family`: decisions never depend on a name;
- `stage` and `familyInfo.passesDeadline`: only one tier is served;
- `lanes[].streamed`: a `streaming` message reports a streamed response;
- `isWrite`: the effect of the class is more precise;
- `prices.fleet`, `moves` and `origin`: they concern actions that are not this gateway's;
- `tickUs`, `caps.mostHeld` and `caps.cpuUsPerRequest`: they offer nothing to choose by;
- `weights`: a listed weight is a factor in weighted selection, whatever it means;
- `registry.index`: lists arrive complete and in order.

All line parsers raise KeyError for a missing field or an unknown keyword, and ValueError (or its subclass
ParseError) for a value that cannot be parsed.
"""

from __future__ import annotations

import base64
from collections.abc import Callable, Mapping
from typing import Any

from sagetrack.policy.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    FetchEndpoints,
    Log,
    Probe,
    Reject,
    SendAttempt,
    SendToPeers,
    SetTimer,
    WatchEndpoints,
)
from sagetrack.policy.events import (
    AttemptEnded,
    Event,
    ListedServer,
    ListKind,
    Outcome,
    PeerMessage,
    Probed,
    RequestArrived,
    RequestCancelled,
    ServerStatus,
    StreamStarted,
    TimerFired,
)
from sagetrack.policy.parsing import ParseError, parse_load

Fields = Mapping[str, str]

STATUSES = {"Ready": ServerStatus.READY, "Terminating": ServerStatus.DRAINING, "Gone": ServerStatus.GONE}
LIST_KINDS = {
    "diff": ListKind.DELTA,
    "snapshot": ListKind.FULL,
    "disk": ListKind.DISK,
    "error": ListKind.ERROR,
}
OUTCOMES = {
    "200": Outcome.OK,
    "502": Outcome.ERROR,
    "429": Outcome.REJECTED,
    "408": Outcome.TIMEOUT,
    "521": Outcome.CONNECT_FAILED,
    "520": Outcome.RESET,
    "444": Outcome.CANCELLED,
    "409": Outcome.NOT_SENT,
}
TEXT_FIELDS = {"launch": " bootInfo="}  # by message: the last field, whose value may contain spaces
NO_PAYLOAD = "-"


def split_line(line: str) -> tuple[str, dict[str, str]]:
    """Split a line into its message name and its fields.

    Raises:
        ParseError: a field is not of the form name=value.
    """
    name, _, rest = line.partition(" ")
    fields: dict[str, str] = {}
    text_mark = TEXT_FIELDS.get(name)
    if text_mark is not None:
        before, mark, text = (" " + rest).partition(text_mark)
        if mark:
            fields[text_mark.strip(" =")] = text
        rest = before.strip()
    for part in rest.split():
        key, mark, value = part.partition("=")
        if not mark:
            raise ParseError(f"'{part}' is not of the form name=value")
        fields[key] = value
    return name, fields


def parse_server(fields: Fields) -> ListedServer:
    """Parse an entry of an endpoint list."""
    return ListedServer(
        server=int(fields["host"]),
        status=STATUSES[fields.get("status", "Ready")],
        weight=float(fields.get("heft", "1")),
        zone=int(fields.get("campus", "0")),
        group=int(fields.get("group", "0")),
        kind=int(fields.get("classOfHost", "0")),
        started_us=int(fields.get("sinceUs", "0")),
    )


def parse_incoming(fields: Fields) -> RequestArrived:
    """Parse `incoming`: a request arrived."""
    key, work = fields.get("affinity"), fields.get("costUs")
    return RequestArrived(
        fields["requestId"],
        int(fields.get("priority", "0")),
        int(fields["graceUs"]),
        int(key, 16) if key is not None else None,
        int(work) if work is not None else None,
        fields.get("retry") == "1",
        int(fields.get("customer", "0")),
    )


def parse_outcome(fields: Fields) -> AttemptEnded:
    """Parse `outcome`: an attempt ended."""
    return AttemptEnded(
        fields["requestId"],
        int(fields["shot"]),
        int(fields["host"]),
        OUTCOMES[fields["verdict"]],
        int(fields.get("durationUs", "0")),
        fields.get("ended") == "1",
        parse_load(fields.get("pressure")),
    )


def parse_dropped(fields: Fields) -> RequestCancelled:
    """Parse `dropped`: the client cancelled its request."""
    return RequestCancelled(fields["requestId"])


def parse_streaming(fields: Fields) -> StreamStarted:
    """Parse `streaming`: a streamed response started."""
    return StreamStarted(fields["requestId"], int(fields["shot"]))


def parse_reminder(fields: Fields) -> TimerFired:
    """Parse `reminder`: a timer is due."""
    return TimerFired(int(fields["keyBack"]))


def parse_pong(fields: Fields) -> Probed:
    """Parse `pong`: a probe ended."""
    outcome, load = OUTCOMES[fields["verdict"]], parse_load(fields.get("pressure"))
    return Probed(int(fields["host"]), outcome, int(fields.get("durationUs", "0")), load)


def parse_inbox(fields: Fields) -> PeerMessage:
    """Parse `inbox`: a message from another gateway arrived."""
    text = fields["bytes"]
    return PeerMessage(
        int(fields["src"]), b"" if text == NO_PAYLOAD else base64.b64decode(text, validate=True)
    )


PARSERS: dict[str, Callable[[Fields], Event]] = {
    "incoming": parse_incoming,
    "outcome": parse_outcome,
    "dropped": parse_dropped,
    "streaming": parse_streaming,
    "reminder": parse_reminder,
    "pong": parse_pong,
    "inbox": parse_inbox,
}


def _format_send(action: SendAttempt) -> str:
    return f"pass_on requestId={action.request} maxWaitUs={action.timeout_us} host={action.server}"


def _format_peer_message(action: SendToPeers) -> str:
    payload = base64.b64encode(action.payload).decode() or NO_PAYLOAD
    return f"broadcast_to dest={action.peer} bytes={payload}"


FORMATTERS: dict[type, Callable[[Any], str]] = {
    SendAttempt: _format_send,
    SetTimer: lambda action: f"notify_me dueAtUs={action.due_us} keyBack={action.token}",
    Reject: lambda action: f"bounce requestId={action.request} comeBackUs={action.retry_after_us}",
    Fail: lambda action: f"surrender requestId={action.request}",
    Cancel: lambda action: f"retract requestId={action.request} shot={action.attempt}",
    WatchEndpoints: lambda action: f"track on={action.on:d}",
    FetchEndpoints: lambda action: "snapshot",
    Probe: lambda action: f"ask_load host={action.server}",
    CloseIdle: lambda action: f"hang_up host={action.server}",
    SendToPeers: _format_peer_message,
    Log: lambda action: f"journal_line line={action.line}",
}


def format_action(action: Action) -> str:
    """Format an action as a line, without the line terminator."""
    return FORMATTERS[type(action)](action)
