"""Translates a scenario into the settings of a gateway, in the names and units of the platform.

No other module of the model uses the platform's names.
"""

from __future__ import annotations

from typing import Any

from sagetrack.lab.model.scenario import RESPONSE_SLACK_US, RequestClass, Scenario

PLATFORM_EFFECTS = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
PLATFORM_SCOPES = {"all": "all", "zone": "zone", "rack": "cell"}


def platform_settings(scenario: Scenario, gateway: int) -> dict[str, Any]:
    """Return the settings object of the gateway with this number, in the platform's names and units."""
    fleet = scenario.fleet
    total_share = sum(tenant.share for tenant in scenario.tenants)
    return {
        "balancers": fleet.gateways,
        "index": gateway,
        "zone": gateway % len(fleet.zones),
        "zones": list(fleet.zones),
        "shapes": ["plain"],
        "membershipMode": "pushed",
        "lanes": [_platform_class(request_class) for request_class in scenario.classes],
        "tenants": [
            {"name": tenant.name, "fraction": tenant.share / total_share} for tenant in scenario.tenants
        ],
        "clients": {"marksRetry": scenario.clients.marks_retry},
        "objectiveMix": {"whole": 0.7, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.1},
        "overShareWorth": 1.0,
        "prices": {"crossZone": 0.02},
        "report": {"how": "silent", "fields": []},
        "caps": _platform_caps(scenario),
        "contract": _platform_contract(scenario),
    }


def _platform_class(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "effect": PLATFORM_EFFECTS[request_class.effect],
        "group": PLATFORM_SCOPES[request_class.scope],
        "aimUs": int(request_class.latency_objective_ms * 1000),
        "giveUpUs": int(request_class.deadline_ms * 1000),
        "windowUs": int(request_class.window_ms * 1000),
        "value": request_class.priority_weight,
        "lateValue": request_class.late_weight,
        "streamed": False,
    }


def _platform_caps(scenario: Scenario) -> dict[str, Any]:
    rules = scenario.gateways
    return {
        "maxAttempts": rules.max_attempts,
        "mayCancel": rules.may_cancel,
        "peers": scenario.peers.use,
        "probes": False,
        "secondCopies": rules.second_copies,
        "retryAfter": rules.max_retry_after_ms > 0,
        "multiplex": 1,
        "maxRetryAfterUs": int(rules.max_retry_after_ms * 1000),
        "connectTimeoutUs": int(scenario.network.connect_timeout_ms * 1000),
        "keepaliveUs": int(scenario.fleet.idle_s * 1e6),
        "cpuUsPerS": 0,
    }


def _platform_contract(scenario: Scenario) -> dict[str, Any]:
    fleet = scenario.fleet
    return {
        "answerSlackUs": RESPONSE_SLACK_US,
        "stopSendingWithinUs": int(scenario.gateways.drain_grace_ms * 1000),
        "mustAskInUs": 10_000_000,
        "startCapacity": fleet.cold_share,
        "warmAfterUs": int(fleet.cold_s * 1e6),
        "tipMultiple": fleet.fall_multiple,
        "fallUs": int(fleet.fall_s * 1e6),
    }
