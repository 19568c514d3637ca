"""Admission control settings from the operator's file: fair queues, rate limits and tenant shares."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sagetrack.config.platform import Config, ConfigError
from sagetrack.policy.admission import AdmissionSettings
from sagetrack.policy.rate_limit import Rate

if TYPE_CHECKING:
    from sagetrack.config.operator import Operator


def with_admission(config: Config, operator: Operator | None) -> Config:
    """Return the configuration with admission control added if the operator's file enables it.

    Raises:
        ConfigError: The operator's file names a class or tenant that is not in the configuration.
    """
    if operator is None or not operator.queues.use:
        return config
    queues = operator.queues
    _validate_class_names(config, operator)
    settings = replace(config.settings, admission=_admission_settings(config, operator))
    header = queues.client_header.lower().encode()
    return replace(config, settings=settings, client_header=header, whole_seconds=queues.whole_seconds)


def _validate_class_names(config: Config, operator: Operator) -> None:
    classes = {name.decode() for name in config.names.classes}
    for name in operator.limits.class_per_s:
        if name not in classes:
            class_list = ", ".join(sorted(classes))
            raise ConfigError(f"limits.class_per_s: no class {name!r}; there are {class_list}")


def _admission_settings(config: Config, operator: Operator) -> AdmissionSettings:
    queues = operator.queues
    limits = operator.limits
    return AdmissionSettings(
        shares=tenant_shares(config, operator),
        flows=queues.flows,
        max_wait_fraction=queues.patience,
        memory_bytes=int(queues.memory_mb * 1024 * 1024),
        adaptive=limits.adaptive,
        retry_ratio=limits.repeats,
        tenant_rate=_rate_limit(limits.member_per_s, limits.member_burst),
        client_rate=_rate_limit(limits.client_per_s, limits.client_burst),
        class_rates=tuple(
            _rate_limit(limits.class_per_s.get(name.decode(), 0.0), limits.class_burst)
            for name in config.names.classes
        ),
    )


def _rate_limit(per_s: float, burst: float) -> Rate | None:
    """Return a rate limit, or None for a rate of 0, which means unlimited."""
    return Rate(per_s, max(1.0, burst)) if per_s > 0 else None


def tenant_shares(config: Config, operator: Operator) -> tuple[float, ...]:
    """Return the share of each tenant, in the order of tenant indices; tenants not in the file keep theirs.

    Raises:
        ConfigError: The operator's file names a tenant that is not in the configuration.
    """
    shares_by_name = operator.queues.shares
    tenants = {name.decode(): number for name, number in config.names.tenants.items()}
    for name in shares_by_name:
        if name not in tenants:
            raise ConfigError(f"queues.shares: no member {name!r}; there are {', '.join(sorted(tenants))}")
    shares = [tenant.share for tenant in config.settings.tenants]
    for name, share in shares_by_name.items():
        shares[tenants[name]] = share
    return tuple(shares)
