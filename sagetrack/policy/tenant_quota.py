"""How far a tenant's recent tries exceed its quota: the excess is shed first."""

from __future__ import annotations

from collections.abc import Sequence

from sagetrack.policy.decayed_sums import DecayingSums
from sagetrack.policy.settings import Tenant

TENANT_DECAY = 0.98  # of the tries by tenant, left after each try
EXCESS_THRESHOLD = 1.5  # times its share: a tenant's tries beyond are more than chance


class TenantQuota:
    """Decayed counts of tries by tenant, compared with the tenants' shares."""

    def __init__(self, tenants: Sequence[Tenant], over_quota_priority: float) -> None:
        self._tenants = tenants
        self._over_quota_priority = over_quota_priority
        self._request_counts = DecayingSums(TENANT_DECAY, [t.share / (1.0 - TENANT_DECAY) for t in tenants])

    def count_request(self, tenant: int) -> float:
        """Count a try; returns the part of the tenant's tries beyond its share, weighed by the settings.

        Zero or less within the share, and for a tenant without one. A tenant whose clients retry without
        limit goes beyond its share.
        """
        if not 0 <= tenant < len(self._request_counts):
            return 0.0
        count = self._request_counts.add(tenant)
        threshold = EXCESS_THRESHOLD * self._tenants[tenant].share * self._request_counts.total
        return (1.0 - self._over_quota_priority) * (1.0 - threshold / count)
