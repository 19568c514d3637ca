"""Parses settings and load reports in the platform's text formats.

This is the only place that maps the platform's key names to the names of `Settings`.
"""

from __future__ import annotations

import json
from typing import Any

from sagetrack.policy.events import LoadReport
from sagetrack.policy.settings import (
    Effect,
    Goal,
    LoadReporting,
    Prices,
    RequestClass,
    Scope,
    Settings,
    Tenant,
)

EFFECTS = {"free": Effect.SAFE, "guarded": Effect.KEYED, "single_shot": Effect.UNSAFE}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.GROUP}
LOAD_REPORTING = {
    "piggyback": LoadReporting.RESPONSES,
    "pull": LoadReporting.PROBES,
    "silent": LoadReporting.NONE,
}
PRICE_KEYS = {
    "cross_zone": "crossZone",
    "handshake": "handshake",
    "waste": "waste",
    "late_fail": "lateFail",
    "connection": "connection",
    "probe": "probe",
    "peer": "peer",
    "endpoint_list": "membershipMode",
}
REPORT_FIELDS = frozenset(LoadReport.__dataclass_fields__)
NO_REPORT = "-"


class ParseError(ValueError):
    """Raised for text that cannot be parsed; the message says why."""


def parse_settings(text: str) -> Settings:
    """Parse the platform's settings object. Unknown keys are ignored; missing optional keys get defaults.

    Raises:
        ParseError: The text is not a JSON object, or contains an invalid value.
    """
    try:
        raw = json.loads(text)
    except json.JSONDecodeError as error:
        raise ParseError(f"settings are not valid JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ParseError("settings must be a JSON object")
    try:
        return _settings(raw)
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ParseError(f"settings contain an invalid value: {error}") from None


def _settings(raw: dict[str, Any]) -> Settings:
    return Settings(
        classes=tuple(_request_class(raw_class) for raw_class in raw.get("lanes", [])),
        goal=_goal(raw.get("objectiveMix", {})),
        priority_per_work=raw.get("worthBy") == "work",
        gateway_count=int(raw.get("balancers", 1)),
        gateway_index=int(raw.get("index", 0)),
        zone=int(raw.get("zone", 0)),
        prices=_prices(raw.get("prices", {})),
        tenants=tuple(
            Tenant(float(tenant.get("fraction", 0.0)), float(tenant.get("allowancePerS", "inf")))
            for tenant in raw.get("tenants", [])
        ),
        over_quota_priority=float(raw.get("overShareWorth", 1.0)),
        clients_mark_retries=bool(raw.get("clients", {}).get("marksRetry", False)),
        reports=LOAD_REPORTING.get(str(raw.get("report", {}).get("how")), LoadReporting.NONE),
        warm_keys=bool(raw.get("familyInfo", {}).get("warmKeys", False)),
        endpoints_are_pushed=raw.get("membershipMode", "pushed") == "pushed",
        **_capabilities(raw.get("caps", {})),
        **_contract(raw.get("contract", {})),
    )


def _capabilities(caps: dict[str, Any]) -> dict[str, Any]:
    """Parse the platform's `caps` object: what a gateway is allowed to do."""
    return {
        "max_attempts": int(caps.get("maxAttempts", 3)),
        "may_cancel": bool(caps.get("mayCancel", False)),
        "hedging": bool(caps.get("secondCopies", False)),
        "may_probe": bool(caps.get("probes", False)),
        "may_message_peers": bool(caps.get("peers", False)),
        "attempts_per_connection": int(caps.get("multiplex", 1)),
        "keepalive_us": int(caps.get("keepaliveUs", 60_000_000)),
        "connect_timeout_us": int(caps.get("connectTimeoutUs", 1_000_000)),
        "cpu_us_per_s": int(caps.get("cpuUsPerS", 0)),
        "max_retry_after_us": int(caps.get("maxRetryAfterUs", 1_000_000)) if caps.get("retryAfter") else 0,
    }


def _contract(contract: dict[str, Any]) -> dict[str, Any]:
    """Parse the platform's `contract` object: requirements on gateways and guarantees about servers."""
    return {
        "answer_slack_us": int(contract.get("answerSlackUs", 0)),
        "stop_sending_within_us": int(contract.get("stopSendingWithinUs", 0)),
        "max_poll_interval_us": int(contract.get("mustAskInUs", 10_000_000)),
        "start_capacity": float(contract.get("startCapacity", 1.0)),
        "warm_after_us": int(contract.get("warmAfterUs", 0)),
        "overload_multiple": float(contract.get("tipMultiple", 1.0)),
        "overload_window_us": int(contract.get("fallUs", 1_000_000)),
        "rejection_may_have_run": bool(contract.get("fullUnproven", False)),
        "key_cooldown_us": int(contract.get("keyQuietUs", 0)),
    }


def _goal(mix: dict[str, Any]) -> Goal:
    return Goal(
        overall=float(mix.get("whole", 1.0)),
        worst_window=float(mix.get("worstWindow", 0.0)),
        worst_class=float(mix.get("worstClass", 0.0)),
        worst_tenant=float(mix.get("worstTenant", 0.0)),
    )


def _prices(prices: dict[str, Any]) -> Prices:
    return Prices(**{name: float(prices.get(key, 0.0)) for name, key in PRICE_KEYS.items()})


def _request_class(raw_class: dict[str, Any]) -> RequestClass:
    if "giveUpUs" not in raw_class:
        raise ValueError("an entry of lanes lacks the required key giveUpUs")
    effect = str(raw_class.get("effect", "single_shot"))
    scope = str(raw_class.get("group", "all"))
    if effect not in EFFECTS:
        raise ValueError(f"effect '{effect}' is unknown; allowed are free, guarded and single_shot")
    if scope not in SCOPES:
        raise ValueError(f"group '{scope}' is unknown; allowed are all, zone and cell")
    return RequestClass(
        latency_objective_us=int(raw_class.get("aimUs", raw_class["giveUpUs"])),
        request_timeout_us=int(raw_class["giveUpUs"]),
        priority_weight=float(raw_class.get("value", 1.0)),
        late_priority_weight=float(raw_class.get("lateValue", 0.0)),
        effect=EFFECTS[effect],
        scope=SCOPES[scope],
        window_us=int(raw_class.get("windowUs", 0)),
        in_order=bool(raw_class.get("sequential", False)),
        latency_objective_stretch=float(raw_class.get("aimStretch", 0.0)),
        streams_responses=bool(raw_class.get("streamed", False)),
    )


def parse_load(text: str | None) -> LoadReport | None:
    """Parse a load report, such as `inflight:3,util:0.5`. Unknown keys are ignored.

    Returns:
        The report, or None if `text` is empty or `-`.

    Raises:
        ValueError: The value of a known key is not a number.
    """
    if not text or text == NO_REPORT:
        return None
    pairs = (part.partition(":") for part in text.split(","))
    return LoadReport(**{name: float(value) for name, _, value in pairs if name in REPORT_FIELDS})
