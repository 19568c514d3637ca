"""Requirements of the gateway itself at the target's sizes."""

from __future__ import annotations

from sagetrack.lab.scale.page.figures import FigureReader, change_cpu_us
from sagetrack.lab.scale.page.requirement import (
    LIST_CHANGES_PER_S,
    MIB,
    READY_S,
    Requirement,
    probe_figure,
    probe_sum,
    real_figure,
)
from sagetrack.lab.scale.real_gateway.trial import CHANGED_SERVERS
from sagetrack.lab.scale.target import ADDED_P99_MS, CHANGES_PER_DAY, CONTROL_BYTES, CONTROL_CORES, DAY_S


def _requests_per_s(figures: FigureReader) -> float:
    """Return the request rate of one gateway."""
    return figures.sizes.requests_per_s / figures.sizes.gateways


def _retained_mib(figures: FigureReader) -> float:
    """Return the memory of tenants and servers in the policy, the settings, and the stored endpoint list."""
    parts = (
        ("decision-by-tenants", "held_bytes"),
        ("decision-by-servers", "held_bytes"),
        ("configuration-by-tenants", "held_bytes"),
        ("text-by-servers", "held_bytes"),
    )
    return sum(figures.at_target(*part) for part in parts) / MIB


GATEWAY_REQUIREMENTS = (
    Requirement(
        role="gateway",
        description="one call, all tenants",
        unit="ms",
        allowed=ADDED_P99_MS,
        needed=probe_figure("decision-by-tenants", "cpu_us", 1e3),
    ),
    Requirement(
        role="gateway",
        description="deciding its part of the load, all tenants",
        unit="cores",
        allowed=1.0,
        needed=lambda figures: figures.at_target("decision-by-tenants", "cpu_us")
        * _requests_per_s(figures)
        / 1e6,
        basis="hollow; one core assumed",
    ),
    Requirement(
        role="gateway",
        description="a keyed call with one repeat",
        unit="ms",
        allowed=ADDED_P99_MS,
        needed=probe_figure("repeat-by-servers", "cpu_us", 1e3),
    ),
    Requirement(
        role="gateway",
        description="a refusal",
        unit="ms",
        allowed=ADDED_P99_MS,
        needed=probe_figure("refusal-by-servers", "cpu_us", 1e3),
    ),
    Requirement(
        role="gateway",
        description="the loop is held by a whole list",
        unit="ms",
        allowed=ADDED_P99_MS,
        needed=probe_sum("list-by-servers", "text-by-servers", measure="longest_ms"),
    ),
    Requirement(
        role="gateway",
        description="the loop is held by one changed entry",
        unit="ms",
        allowed=ADDED_P99_MS,
        needed=probe_sum("change-by-servers", "handing-on-by-servers", measure="longest_ms"),
    ),
    Requirement(
        role="gateway",
        description="changed entries of an ordinary day",
        unit="cores",
        allowed=CONTROL_CORES,
        needed=lambda figures: change_cpu_us(figures) * LIST_CHANGES_PER_S / 1e6,
        basis="hollow; 3 entries a restart assumed",
    ),
    Requirement(
        role="gateway",
        description=f"{CHANGED_SERVERS} changed entries in one second",
        unit="cores",
        allowed=CONTROL_CORES,
        needed=lambda figures: change_cpu_us(figures) * CHANGED_SERVERS / 1e6,
    ),
    Requirement(
        role="gateway",
        description="the loop is held as a zone goes",
        unit="ms",
        allowed=ADDED_P99_MS,
        needed=probe_figure("zone-by-servers", "longest_ms"),
    ),
    Requirement(
        role="gateway",
        description="gathering what it has seen, each second",
        unit="cores",
        allowed=CONTROL_CORES,
        needed=probe_figure("sights-by-servers", "cpu_us", 1e6),
    ),
    Requirement(
        role="gateway",
        description="the loop is held by a configuration read again",
        unit="ms",
        allowed=ADDED_P99_MS,
        needed=probe_figure("configuration-by-tenants", "longest_ms"),
    ),
    Requirement(
        role="gateway",
        description="configurations read again, on an ordinary day",
        unit="cores",
        allowed=CONTROL_CORES,
        needed=lambda figures: figures.at_target("configuration-by-tenants", "cpu_us")
        * CHANGES_PER_DAY
        / DAY_S
        / 1e6,
    ),
    Requirement(
        role="gateway",
        description="tenants, servers, settings and list in memory",
        unit="MiB",
        allowed=CONTROL_BYTES / MIB,
        needed=_retained_mib,
    ),
    Requirement(
        role="gateway",
        description="a module for each service",
        unit="MiB",
        allowed=CONTROL_BYTES / MIB,
        needed=probe_figure("decision-by-services", "held_bytes", MIB),
    ),
    Requirement(
        role="gateway",
        description="99 in 100, added while 9,600 are listed",
        unit="ms",
        allowed=ADDED_P99_MS,
        needed=real_figure("listing_added_p99_ms"),
        basis="real",
    ),
    Requirement(
        role="gateway",
        description=f"99 in 100, added while {CHANGED_SERVERS} change in a second",
        unit="ms",
        allowed=ADDED_P99_MS,
        needed=real_figure("changes_added_p99_ms"),
        basis="real",
    ),
    Requirement(
        role="gateway",
        description="99 in 100, added while a zone goes",
        unit="ms",
        allowed=ADDED_P99_MS,
        needed=real_figure("zone_added_p99_ms"),
        basis="real",
    ),
    Requirement(
        role="gateway",
        description="refused in these three, 15 s each (5 s with `--quick`)",
        unit="requests",
        allowed=None,
        needed=lambda figures: sum(
            figures.real(f"{phase}_refused") for phase in ("listing", "changes", "zone")
        ),
        basis="real",
    ),
    Requirement(
        role="gateway",
        description="start to ready, whole list and all tenants",
        unit="s",
        allowed=READY_S,
        needed=real_figure("ready_full_list_s"),
        basis="real, one core free",
    ),
    Requirement(
        role="gateway",
        description="the whole process in memory",
        unit="MiB",
        allowed=CONTROL_BYTES / MIB,
        needed=lambda figures: figures.real("ready_memory_mb") * 1e6 / MIB,
        basis="real; the allowance is for control alone",
    ),
)
