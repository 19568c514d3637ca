"""Estimates of the bytes that a control plane would send to the gateways.

No part of this program runs on the control plane's machines. The estimates are computed from the sizes of the
configuration and endpoint lists that a gateway reads.
"""

from __future__ import annotations

import json

from sagetrack.lab.scale.meter import Meter, Values
from sagetrack.lab.scale.probe import Probe
from sagetrack.lab.scale.target import CHANGE_PROPAGATION_S, CHANGES_PER_DAY, CONTROL_MACHINES, DAY_S
from sagetrack.lab.scale.target_fleet import TargetFleet


def change_to_gateways(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Estimate the traffic if each change is sent to each gateway as a complete configuration.

    A gateway reads only complete configurations today.
    """
    configuration_bytes = len(json.dumps(fleet.platform_settings(fleet.sizes.tenants)))
    return {
        "bytes": float(configuration_bytes * size),
        "bytes_per_s": configuration_bytes * size * CHANGES_PER_DAY / DAY_S,
        "machine_bytes_per_s": configuration_bytes * size / CHANGE_PROPAGATION_S / CONTROL_MACHINES,
        "messages": float(size),
    }


def lists_to_gateways(fleet: TargetFleet, size: int, meter: Meter) -> Values:
    """Estimate the bytes of a full list, and of one changed entry, sent to each of `size` gateways."""
    full_bytes = len(json.dumps(fleet.full_list(fleet.sizes.servers)))
    delta = len(json.dumps(fleet.delta()))
    return {"bytes": float(full_bytes * size), "change_bytes": float(delta * size), "messages": float(size)}


PROBES = (
    Probe(
        name="change-to-gateways",
        role="control",
        event="a changed configuration goes to all",
        axis="gateways",
        fixed="all tenants in the text",
        mechanism="none: a file and SIGHUP on each machine",
        run=change_to_gateways,
        smallest=3,
    ),
    Probe(
        name="lists-to-gateways",
        role="control",
        event="the whole list goes to all, and one changed entry",
        axis="gateways",
        fixed="all servers in the list",
        mechanism="none of ours: discovery serves them",
        run=lists_to_gateways,
        smallest=3,
    ),
)
