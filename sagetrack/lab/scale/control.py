"""The machines set aside for control: nothing of the program runs on them. What a change of configuration
would put on them is reckoned from the texts that a gateway reads.
"""

from __future__ import annotations

import json

from sagetrack.lab.scale.agent import listed
from sagetrack.lab.scale.probe import Meter, Probe, Values
from sagetrack.lab.scale.target import CHANGES_PER_DAY, DAY_S, IN_FORCE_S, MACHINES
from sagetrack.lab.scale.world import FleetAhead


def change_to_gateways(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    """Each change as the whole text, as a gateway reads it today, sent to each of so many gateways."""
    text = len(json.dumps(fleet.platform(fleet.sizes.tenants)))
    return {
        "bytes": float(text * size),
        "bytes_per_s": text * size * CHANGES_PER_DAY / DAY_S,
        "machine_bytes_per_s": text * size / IN_FORCE_S / MACHINES,
        "messages": float(size),
    }


def lists_to_gateways(fleet: FleetAhead, size: int, meter: Meter) -> Values:
    """Whole lists to so many gateways that start, and one changed entry to as many."""
    whole = len(json.dumps(listed(fleet, fleet.sizes.servers)))
    one = len(json.dumps({"index": 2, "snapshot": False, "endpoints": [fleet.endpoint(0)]}))
    return {"bytes": float(whole * size), "change_bytes": float(one * size), "messages": float(size)}


PROBES = (
    Probe(
        "change-to-gateways",
        "control",
        "a changed configuration goes to all",
        "gateways",
        "all tenants in the text",
        "none: a file and SIGHUP on each machine",
        change_to_gateways,
        least=3,
    ),
    Probe(
        "lists-to-gateways",
        "control",
        "the whole list goes to all, and one changed entry",
        "gateways",
        "all servers in the list",
        "none of ours: discovery serves them",
        lists_to_gateways,
        least=3,
    ),
)
