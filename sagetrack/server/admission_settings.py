"""Fair queues and limits from the operator's file: the module's settings, and new shares on SIGHUP."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sagetrack.config.platform import Config, ConfigError
from sagetrack.policy.admission import AdmissionSettings
from sagetrack.policy.concurrency_limit import Rate

if TYPE_CHECKING:
    from sagetrack.config.operator import Operator


def with_admission(config: Config, operator: Operator | None) -> Config:
    """The configuration with a door, if the operator asks for one; ConfigError for unknown names."""
    if operator is None or not operator.queues.use:
        return config
    queues, limits = operator.queues, operator.limits
    classes = {name.decode() for name in config.names.classes}
    for name in limits.class_per_s:
        if name not in classes:
            known = ", ".join(sorted(classes))
            raise ConfigError(f"limits.class_per_s: no class {name!r}; there are {known}")

    def rate(per_s: float, burst: float) -> Rate | None:
        return Rate(per_s, max(1.0, burst)) if per_s > 0 else None

    admission = AdmissionSettings(
        shares=tenant_shares(config, operator),
        flows=queues.flows,
        patience=queues.patience,
        memory_bytes=int(queues.memory_mb * 1024 * 1024),
        adaptive=limits.adaptive,
        repeats=limits.repeats,
        member_rate=rate(limits.member_per_s, limits.member_burst),
        client_rate=rate(limits.client_per_s, limits.client_burst),
        class_rates=tuple(
            rate(limits.class_per_s.get(name.decode(), 0.0), limits.class_burst)
            for name in config.names.classes
        ),
    )
    header = queues.client_header.lower().encode()
    settings = replace(config.settings, admission=admission)
    return replace(config, settings=settings, client_header=header, whole_seconds=queues.whole_seconds)


def tenant_shares(config: Config, operator: Operator) -> tuple[float, ...]:
    """Shares in the order of the members; who is not named keeps what the platform says.

    ConfigError for a member that is not known.
    """
    named = operator.queues.shares
    members = {name.decode(): number for name, number in config.names.tenants.items()}
    for name in named:
        if name not in members:
            raise ConfigError(f"queues.shares: no member {name!r}; there are {', '.join(sorted(members))}")
    shares = [tenant.share for tenant in config.settings.tenants]
    for name, share in named.items():
        shares[members[name]] = share
    return tuple(shares)
