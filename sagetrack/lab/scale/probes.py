"""The probes of all roles."""

from __future__ import annotations

from sagetrack.lab.scale import agent, control, gateway, peers, servers
from sagetrack.lab.scale.probe import Probe

PROBES: tuple[Probe, ...] = (*gateway.PROBES, *agent.PROBES, *peers.PROBES, *servers.PROBES, *control.PROBES)
PROBES_BY_NAME = {probe.name: probe for probe in PROBES}
