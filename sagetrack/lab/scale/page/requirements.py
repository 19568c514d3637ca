"""What a gateway's agent and its peers, the servers and the control plane need at the target."""

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
    CHANGE_IN_FORCE_S,
    CONTROL_BYTES,
    CONTROL_BYTES_PER_S,
    CONTROL_CORES,
)

DEATH_KNOWN_S = 5.0  # assumed: the target says "within seconds"
DEMANDS_READ_PER_S = 6  # datagrams of peers
WARM_START_PEERS = 3  # that answer a gateway which has started

REQUIREMENTS = (
    *GATEWAY_REQUIREMENTS,
    Requirement(
        "agent",
        "a whole list at a start, within 10 s",
        "B/s",
        CONTROL_BYTES_PER_S,
        probe_figure("text-by-servers", "bytes", READY_S),
    ),
    Requirement(
        "agent",
        "changed entries of an ordinary day",
        "B/s",
        CONTROL_BYTES_PER_S,
        lambda figures: figures.at_target("text-by-servers", "change_bytes") * LIST_CHANGES_PER_S,
    ),
    Requirement(
        "agent",
        "the list is written anew, on an ordinary day",
        "B/s to disk",
        None,
        lambda figures: figures.at_target("handing-on-by-servers", "bytes") * LIST_CHANGES_PER_S,
    ),
    Requirement(
        "peers",
        "membership",
        "B/s",
        CONTROL_BYTES_PER_S,
        probe_figure("membership-by-gateways", "bytes_per_s"),
        "hollow, simulated time",
    ),
    Requirement(
        "peers",
        "membership, messages",
        "1/s",
        None,
        probe_figure("membership-by-gateways", "messages_per_s"),
        "hollow, simulated time",
    ),
    Requirement(
        "peers",
        "membership",
        "cores",
        CONTROL_CORES,
        probe_figure("membership-by-gateways", "cpu_us_per_s", 1e6),
        "hollow, the simulator's included",
    ),
    Requirement(
        "peers",
        "membership in memory",
        "MiB",
        CONTROL_BYTES / MIB,
        probe_figure("membership-by-gateways", "held_bytes", MIB),
    ),
    Requirement(
        "peers",
        "a death is known to 99 in 100",
        "s",
        DEATH_KNOWN_S,
        probe_figure("membership-by-gateways", "known_p99_s"),
        f"hollow, simulated time; {DEATH_KNOWN_S:g} s assumed",
    ),
    Requirement(
        "peers",
        "all views equal after a cut",
        "s",
        None,
        probe_figure("healing-by-gateways", "healed_s"),
        "hollow, simulated time",
    ),
    Requirement(
        "peers",
        "demands told",
        "B/s",
        CONTROL_BYTES_PER_S,
        probe_figure("demands-by-tenants", "bytes_per_s"),
    ),
    Requirement(
        "peers",
        "demands told once and read six times a second",
        "cores",
        CONTROL_CORES,
        lambda figures: DEMANDS_READ_PER_S * figures.at_target("demands-by-tenants", "cpu_us") / 1e6,
        "hollow, from above: six tellings too",
    ),
    Requirement(
        "peers",
        "a warm start's answers, within 10 s",
        "B/s",
        CONTROL_BYTES_PER_S,
        probe_figure("warm-start-by-servers", "bytes", READY_S),
    ),
    Requirement(
        "peers",
        "a warm start's answers taken up, within 10 s",
        "cores",
        CONTROL_CORES,
        lambda figures: WARM_START_PEERS
        * figures.at_target("warm-start-by-servers", "messages")
        * figures.at_target("learned-by-servers", "cpu_us")
        / READY_S
        / 1e6,
    ),
    Requirement(
        "servers",
        "connections held to one server, mean",
        "open",
        None,
        probe_figure("connections-by-gateways", "open_each"),
        "hollow; 10 s idle assumed",
    ),
    Requirement(
        "servers",
        "connections held to one server, most",
        "open",
        None,
        probe_figure("connections-by-gateways", "open_most"),
        "hollow; 10 s idle assumed",
    ),
    Requirement(
        "servers",
        "connections held by one gateway",
        "open",
        None,
        lambda figures: figures.at_target("connections-by-gateways", "open_each")
        * figures.sizes.servers
        / figures.sizes.gateways,
        "hollow; every gateway serves every service",
    ),
    Requirement(
        "servers",
        "handshakes for a call",
        "share",
        None,
        probe_figure("connections-by-gateways", "handshakes_per_call"),
        "hollow; 10 s idle assumed",
    ),
    Requirement(
        "servers",
        "handshakes at one server",
        "1/s",
        None,
        probe_figure("connections-by-gateways", "messages_per_s"),
        "hollow; 10 s idle assumed",
    ),
    Requirement(
        "control",
        "a changed configuration, whole, to each gateway within 18 s",
        "B/s",
        CONTROL_BYTES_PER_S,
        lambda figures: figures.at_target("change-to-gateways", "bytes")
        / figures.sizes.gateways
        / CHANGE_IN_FORCE_S,
        "reckoned",
    ),
    Requirement(
        "control",
        "changes of an ordinary day, whole, to each gateway",
        "B/s",
        CONTROL_BYTES_PER_S,
        lambda figures: figures.at_target("change-to-gateways", "bytes_per_s") / figures.sizes.gateways,
        "reckoned",
    ),
    Requirement(
        "control",
        "one change, sent by each of the 5 machines",
        "B/s",
        None,
        probe_figure("change-to-gateways", "machine_bytes_per_s"),
        "reckoned",
    ),
)
