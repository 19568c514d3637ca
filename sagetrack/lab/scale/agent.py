"""A gateway's agent for lists: the text of a whole list and of one changed entry, read and handed on."""

from __future__ import annotations

import json
from typing import Any

from sagetrack.lab.scale.probe import Meter, Probe, Values, held_bytes
from sagetrack.lab.scale.world import FleetAhead


def listed(fleet: FleetAhead, size: int) -> dict[str, Any]:
    """A whole list in discovery's form."""
    endpoints = [fleet.endpoint(number) for number in range(size)]
    return {"index": 1, "snapshot": True, "endpoints": endpoints}


def text_by_servers(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    """The JSON alone; that the entries are then checked one by one shows at the real gateway."""
    text = json.dumps(listed(fleet, size))
    changed = json.dumps({"index": 2, "snapshot": False, "endpoints": [fleet.endpoint(0, "DELETED")]})
    held = held_bytes(lambda: json.loads(text))
    values = meter.event(lambda: json.loads(text), few=1)
    values |= {"bytes": float(len(text)), "change_bytes": float(len(changed))}
    return values | {"held_bytes": held, "each_bytes": held / size}


def handing_on_by_servers(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    """The list as it stands becomes a text again, for the process that comes next."""
    known = listed(fleet, size)
    values = meter.event(lambda: json.dumps({"discovery": [], "known": known}).encode(), few=1)
    return values | {"bytes": float(len(json.dumps({"discovery": [], "known": known})))}


PROBES = (
    Probe(
        "text-by-servers",
        "agent",
        "the text of a whole list is read",
        "servers",
        "names of 16 bytes",
        "sagetrack/discovery/client.py: _call",
        text_by_servers,
        least=25,
    ),
    Probe(
        "handing-on-by-servers",
        "agent",
        "the list is written for the next process, at each change",
        "servers",
        "names of 16 bytes",
        "sagetrack/server/endpoint_list_file.py: write",
        handing_on_by_servers,
        least=25,
    ),
)
