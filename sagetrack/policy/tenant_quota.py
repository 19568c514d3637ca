"""Measures how far a tenant's recent requests exceed its quota, because the excess is shed first."""

from __future__ import annotations

from collections.abc import Sequence

from sagetrack.policy.decayed_sums import DecayingSums
from sagetrack.policy.settings import Tenant

TENANT_DECAY = 0.98  # factor applied to all request counts with each request
EXCESS_THRESHOLD = 1.5  # requests beyond this times the tenant's share are excess; fewer may be chance


class TenantQuota:
    """Compares decayed counts of requests by tenant, including client retries, with the tenants' shares."""

    def __init__(self, tenants: Sequence[Tenant], over_quota_priority: float) -> None:
        self._tenants = tenants
        self._over_quota_priority = over_quota_priority
        self._request_counts = DecayingSums(TENANT_DECAY, [t.share / (1.0 - TENANT_DECAY) for t in tenants])

    def count_request(self, tenant: int) -> float:
        """Count a request and return the fraction of the tenant's requests that is excess.

        The fraction is multiplied by 1 - over_quota_priority. It is 0 or less within the share, and 0 for an
        unknown tenant. As client retries count, a tenant whose clients retry without limit exceeds its share.
        """
        if not 0 <= tenant < len(self._request_counts):
            return 0.0
        count = self._request_counts.add(tenant)
        threshold = EXCESS_THRESHOLD * self._tenants[tenant].share * self._request_counts.total
        return (1.0 - self._over_quota_priority) * (1.0 - threshold / count)
