"""Probes of the endpoint list client of a gateway: decoding a list and writing it for the next process."""

from __future__ import annotations

import json

from sagetrack.lab.scale.gateway import memory_values
from sagetrack.lab.scale.meter import Meter, Values, retained_bytes
from sagetrack.lab.scale.probe import Probe
from sagetrack.lab.scale.target_fleet import TargetFleet


def text_by_servers(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Measure the JSON decoding of a full list. Only the real gateway also validates each entry."""
    text = json.dumps(fleet.full_list(size))
    delta = json.dumps(fleet.delta("DELETED"))
    retained = retained_bytes(lambda: json.loads(text))
    values = meter.measure_event(lambda: json.loads(text), step_samples=1)
    values |= {"bytes": float(len(text)), "change_bytes": float(len(delta))}
    return values | memory_values(retained, size)


def handover_by_servers(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Measure the JSON encoding of the current list for the gateway's next process."""
    handover = {"discovery": [], "known": fleet.full_list(size)}
    values = meter.measure_event(lambda: json.dumps(handover).encode(), step_samples=1)
    return values | {"bytes": float(len(json.dumps(handover)))}


PROBES = (
    Probe(
        name="text-by-servers",
        role="agent",
        event="the text of a whole list is read",
        axis="servers",
        fixed="names of 16 bytes",
        mechanism="sagetrack/discovery/client.py: _call",
        run=text_by_servers,
        smallest=25,
    ),
    Probe(
        name="handing-on-by-servers",
        role="agent",
        event="the list is written for the next process, at each change",
        axis="servers",
        fixed="names of 16 bytes",
        mechanism="sagetrack/server/endpoint_list_file.py: write",
        run=handover_by_servers,
        smallest=25,
    ),
)
