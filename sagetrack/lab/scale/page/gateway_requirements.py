"""What a gateway itself needs at the target."""

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
from sagetrack.lab.scale.real_gateway import CHANGED_SERVERS
from sagetrack.lab.scale.target import ADDED_P99_MS, CHANGES_PER_DAY, CONTROL_BYTES, CONTROL_CORES, DAY_S


def _requests_per_s(figures: FigureReader) -> float:
    """Requests of one gateway."""
    return figures.sizes.requests_per_s / figures.sizes.gateways


def _retained_mib(figures: FigureReader) -> float:
    """Tenants and servers in the policy, the settings, and the list as it is kept for the next process."""
    parts = (
        ("decision-by-tenants", "held_bytes"),
        ("decision-by-servers", "held_bytes"),
        ("configuration-by-tenants", "held_bytes"),
        ("text-by-servers", "held_bytes"),
    )
    return sum(figures.at_target(*part) for part in parts) / MIB


GATEWAY_REQUIREMENTS = (
    Requirement(
        "gateway",
        "one call, all tenants",
        "ms",
        ADDED_P99_MS,
        probe_figure("decision-by-tenants", "cpu_us", 1e3),
    ),
    Requirement(
        "gateway",
        "deciding its part of the load, all tenants",
        "cores",
        1.0,
        lambda figures: figures.at_target("decision-by-tenants", "cpu_us") * _requests_per_s(figures) / 1e6,
        "hollow; one core assumed",
    ),
    Requirement(
        "gateway",
        "a keyed call with one repeat",
        "ms",
        ADDED_P99_MS,
        probe_figure("repeat-by-servers", "cpu_us", 1e3),
    ),
    Requirement(
        "gateway", "a refusal", "ms", ADDED_P99_MS, probe_figure("refusal-by-servers", "cpu_us", 1e3)
    ),
    Requirement(
        "gateway",
        "the loop is held by a whole list",
        "ms",
        ADDED_P99_MS,
        probe_sum("list-by-servers", "text-by-servers", measure="longest_ms"),
    ),
    Requirement(
        "gateway",
        "the loop is held by one changed entry",
        "ms",
        ADDED_P99_MS,
        probe_sum("change-by-servers", "handing-on-by-servers", measure="longest_ms"),
    ),
    Requirement(
        "gateway",
        "changed entries of an ordinary day",
        "cores",
        CONTROL_CORES,
        lambda figures: change_cpu_us(figures) * LIST_CHANGES_PER_S / 1e6,
        "hollow; 3 entries a restart assumed",
    ),
    Requirement(
        "gateway",
        f"{CHANGED_SERVERS} changed entries in one second",
        "cores",
        CONTROL_CORES,
        lambda figures: change_cpu_us(figures) * CHANGED_SERVERS / 1e6,
    ),
    Requirement(
        "gateway",
        "the loop is held as a zone goes",
        "ms",
        ADDED_P99_MS,
        probe_figure("zone-by-servers", "longest_ms"),
    ),
    Requirement(
        "gateway",
        "gathering what it has seen, each second",
        "cores",
        CONTROL_CORES,
        probe_figure("sights-by-servers", "cpu_us", 1e6),
    ),
    Requirement(
        "gateway",
        "the loop is held by a configuration read again",
        "ms",
        ADDED_P99_MS,
        probe_figure("configuration-by-tenants", "longest_ms"),
    ),
    Requirement(
        "gateway",
        "configurations read again, on an ordinary day",
        "cores",
        CONTROL_CORES,
        lambda figures: figures.at_target("configuration-by-tenants", "cpu_us")
        * CHANGES_PER_DAY
        / DAY_S
        / 1e6,
    ),
    Requirement(
        "gateway",
        "tenants, servers, settings and list in memory",
        "MiB",
        CONTROL_BYTES / MIB,
        _retained_mib,
    ),
    Requirement(
        "gateway",
        "a module for each service",
        "MiB",
        CONTROL_BYTES / MIB,
        probe_figure("decision-by-services", "held_bytes", MIB),
    ),
    Requirement(
        "gateway",
        "99 in 100, added while 9,600 are listed",
        "ms",
        ADDED_P99_MS,
        real_figure("listing_added_p99_ms"),
        "real",
    ),
    Requirement(
        "gateway",
        f"99 in 100, added while {CHANGED_SERVERS} change in a second",
        "ms",
        ADDED_P99_MS,
        real_figure("changes_added_p99_ms"),
        "real",
    ),
    Requirement(
        "gateway",
        "99 in 100, added while a zone goes",
        "ms",
        ADDED_P99_MS,
        real_figure("zone_added_p99_ms"),
        "real",
    ),
    Requirement(
        "gateway",
        "refused in these three, 15 s each (5 s with `--quick`)",
        "requests",
        None,
        lambda figures: sum(figures.real(f"{phase}_refused") for phase in ("listing", "changes", "zone")),
        "real",
    ),
    Requirement(
        "gateway",
        "start to ready, whole list and all tenants",
        "s",
        READY_S,
        real_figure("ready_full_list_s"),
        "real, one core free",
    ),
    Requirement(
        "gateway",
        "the whole process in memory",
        "MiB",
        CONTROL_BYTES / MIB,
        lambda figures: figures.real("ready_memory_mb") * 1e6 / MIB,
        "real; the allowance is for control alone",
    ),
)
