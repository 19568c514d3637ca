"""Creates request state for arriving requests, and counts them by class and tenant."""

from __future__ import annotations

from sagetrack.policy.admission import AdmissionController
from sagetrack.policy.class_priorities import ClassPriorities
from sagetrack.policy.client_timeouts import ClientTimeouts
from sagetrack.policy.events import RequestArrived
from sagetrack.policy.retry import RetryBudget
from sagetrack.policy.settings import Settings
from sagetrack.policy.state import Request
from sagetrack.policy.tenant_quota import TenantQuota

WORK_SMOOTHING = 0.05  # weight of the newest request in the mean expected work of a class


class RequestFactory:
    """Creates and counts requests; maintains the mean expected work of each class."""

    def __init__(
        self,
        settings: Settings,
        client_timeouts: ClientTimeouts,
        priorities: ClassPriorities,
        retry_budget: RetryBudget,
        tenant_quota: TenantQuota,
        admission: AdmissionController[Request] | None,
    ) -> None:
        self._classes = settings.classes
        self._client_timeouts = client_timeouts
        self._priorities = priorities
        self._retry_budget = retry_budget
        self._admission = admission
        self._tenant_quota = tenant_quota
        self._mean_work_us = [0.0] * len(settings.classes)

    def make(self, event: RequestArrived, now_us: int, latest_us: int) -> Request:
        """Create the request of an arrival event. Its deadline is at most `latest_us`."""
        request_class = self._classes[event.class_index]
        mirrored = event.mirror_target >= 0
        time_used_us = self._client_timeouts.time_used_us(event)
        is_first_try = not event.is_retry and time_used_us == 0
        relative_work = self._relative_work(event)
        if is_first_try:
            self._retry_budget.add_first_try()
            self._priorities.count_first_try(event.class_index)
        return Request(
            event.request,
            event.class_index,
            event.key,
            min(now_us + event.client_timeout_us - event.waited_us, latest_us),
            now_us + max(0, request_class.latency_objective_us - time_used_us - event.waited_us),
            relative_work,
            is_first_try,
            self._tenant_quota.count_request(event.tenant),
            uploading=event.uploading,
            single_use_body=event.uploading or mirrored,
            client=event.client,
            admission_tenant=self._admission.tenant_index(event.tenant) if self._admission is not None else 0,
            tenant=event.tenant,
            mirror_target=event.mirror_target,
            retry_after_us=0 if mirrored else -1,
        )

    def _relative_work(self, event: RequestArrived) -> float:
        """Return the expected work relative to the updated mean of the class; 1 if the event has none."""
        if not event.work_us:
            return 1.0
        mean_us = self._mean_work_us[event.class_index] or float(event.work_us)
        self._mean_work_us[event.class_index] = mean_us + WORK_SMOOTHING * (event.work_us - mean_us)
        return event.work_us / mean_us
