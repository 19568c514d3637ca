"""All requirements: those of the gateway, its agent and peers, the servers and the control plane."""

from __future__ import annotations

from sagetrack.lab.scale.page.gateway_requirements import GATEWAY_REQUIREMENTS
from sagetrack.lab.scale.page.requirement import (
    LIST_CHANGES_PER_S,
    MIB,
    READY_S,
    Requirement,
    probe_figure,
)
from sagetrack.lab.scale.target import (
    CHANGE_PROPAGATION_S,
    CONTROL_BYTES,
    CONTROL_BYTES_PER_S,
    CONTROL_CORES,
)

DEATH_KNOWN_S = 5.0  # assumed, because the target only requires "within seconds"
DEMANDS_READ_PER_S = 6  # demand datagrams received from peers
WARM_START_PEERS = 3  # peers that respond to a gateway that has started

REQUIREMENTS = (
    *GATEWAY_REQUIREMENTS,
    Requirement(
        role="agent",
        description="a whole list at a start, within 10 s",
        unit="B/s",
        allowed=CONTROL_BYTES_PER_S,
        needed=probe_figure("text-by-servers", "bytes", READY_S),
    ),
    Requirement(
        role="agent",
        description="changed entries of an ordinary day",
        unit="B/s",
        allowed=CONTROL_BYTES_PER_S,
        needed=lambda figures: figures.at_target("text-by-servers", "change_bytes") * LIST_CHANGES_PER_S,
    ),
    Requirement(
        role="agent",
        description="the list is written anew, on an ordinary day",
        unit="B/s to disk",
        allowed=None,
        needed=lambda figures: figures.at_target("handing-on-by-servers", "bytes") * LIST_CHANGES_PER_S,
    ),
    Requirement(
        role="peers",
        description="membership",
        unit="B/s",
        allowed=CONTROL_BYTES_PER_S,
        needed=probe_figure("membership-by-gateways", "bytes_per_s"),
        basis="hollow, simulated time",
    ),
    Requirement(
        role="peers",
        description="membership, messages",
        unit="1/s",
        allowed=None,
        needed=probe_figure("membership-by-gateways", "messages_per_s"),
        basis="hollow, simulated time",
    ),
    Requirement(
        role="peers",
        description="membership",
        unit="cores",
        allowed=CONTROL_CORES,
        needed=probe_figure("membership-by-gateways", "cpu_us_per_s", 1e6),
        basis="hollow, the simulator's included",
    ),
    Requirement(
        role="peers",
        description="membership in memory",
        unit="MiB",
        allowed=CONTROL_BYTES / MIB,
        needed=probe_figure("membership-by-gateways", "held_bytes", MIB),
    ),
    Requirement(
        role="peers",
        description="a death is known to 99 in 100",
        unit="s",
        allowed=DEATH_KNOWN_S,
        needed=probe_figure("membership-by-gateways", "known_p99_s"),
        basis=f"hollow, simulated time; {DEATH_KNOWN_S:g} s assumed",
    ),
    Requirement(
        role="peers",
        description="all views equal after a cut",
        unit="s",
        allowed=None,
        needed=probe_figure("healing-by-gateways", "healed_s"),
        basis="hollow, simulated time",
    ),
    Requirement(
        role="peers",
        description="demands told",
        unit="B/s",
        allowed=CONTROL_BYTES_PER_S,
        needed=probe_figure("demands-by-tenants", "bytes_per_s"),
    ),
    Requirement(
        role="peers",
        description="demands told once and read six times a second",
        unit="cores",
        allowed=CONTROL_CORES,
        needed=lambda figures: DEMANDS_READ_PER_S * figures.at_target("demands-by-tenants", "cpu_us") / 1e6,
        basis="hollow, from above: six tellings too",
    ),
    Requirement(
        role="peers",
        description="a warm start's answers, within 10 s",
        unit="B/s",
        allowed=CONTROL_BYTES_PER_S,
        needed=probe_figure("warm-start-by-servers", "bytes", READY_S),
    ),
    Requirement(
        role="peers",
        description="a warm start's answers taken up, within 10 s",
        unit="cores",
        allowed=CONTROL_CORES,
        needed=lambda figures: WARM_START_PEERS
        * figures.at_target("warm-start-by-servers", "messages")
        * figures.at_target("learned-by-servers", "cpu_us")
        / READY_S
        / 1e6,
    ),
    Requirement(
        role="servers",
        description="connections held to one server, mean",
        unit="open",
        allowed=None,
        needed=probe_figure("connections-by-gateways", "open_each"),
        basis="hollow; 10 s idle assumed",
    ),
    Requirement(
        role="servers",
        description="connections held to one server, most",
        unit="open",
        allowed=None,
        needed=probe_figure("connections-by-gateways", "open_most"),
        basis="hollow; 10 s idle assumed",
    ),
    Requirement(
        role="servers",
        description="connections held by one gateway",
        unit="open",
        allowed=None,
        needed=lambda figures: figures.at_target("connections-by-gateways", "open_each")
        * figures.sizes.servers
        / figures.sizes.gateways,
        basis="hollow; every gateway serves every service",
    ),
    Requirement(
        role="servers",
        description="handshakes for a call",
        unit="share",
        allowed=None,
        needed=probe_figure("connections-by-gateways", "handshakes_per_call"),
        basis="hollow; 10 s idle assumed",
    ),
    Requirement(
        role="servers",
        description="handshakes at one server",
        unit="1/s",
        allowed=None,
        needed=probe_figure("connections-by-gateways", "messages_per_s"),
        basis="hollow; 10 s idle assumed",
    ),
    Requirement(
        role="control",
        description="a changed configuration, whole, to each gateway within 18 s",
        unit="B/s",
        allowed=CONTROL_BYTES_PER_S,
        needed=lambda figures: figures.at_target("change-to-gateways", "bytes")
        / figures.sizes.gateways
        / CHANGE_PROPAGATION_S,
        basis="reckoned",
    ),
    Requirement(
        role="control",
        description="changes of an ordinary day, whole, to each gateway",
        unit="B/s",
        allowed=CONTROL_BYTES_PER_S,
        needed=lambda figures: figures.at_target("change-to-gateways", "bytes_per_s")
        / figures.sizes.gateways,
        basis="reckoned",
    ),
    Requirement(
        role="control",
        description="one change, sent by each of the 5 machines",
        unit="B/s",
        allowed=None,
        needed=probe_figure("change-to-gateways", "machine_bytes_per_s"),
        basis="reckoned",
    ),
)
