"""Invalid settings and classes are rejected with an error that names the field."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sagetrack.policy.settings import RequestClass
from tests.helpers import SETTINGS, UNSAFE

NAN = float("nan")


@pytest.mark.parametrize(
    "invalid",
    [
        {"latency_objective_us": 0},
        {"request_timeout_us": -1},
        {"window_us": -1},
        {"priority_weight": NAN},
        {"late_priority_weight": 1.5},
    ],
)
def test_invalid_classes_are_rejected(invalid: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(invalid))):
        RequestClass(**{"latency_objective_us": 1, "request_timeout_us": 1, **invalid})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "invalid",
    [
        {"classes": ()},
        {"gateway_count": 0},
        {"gateway_index": 1},
        {"warm_after_us": -1},
        {"max_attempts": 0},
        {"overload_window_us": 0},
        {"overload_multiple": NAN},
        {"start_capacity": 1.2},
        {"key_cooldown_us": -1},
    ],
)
def test_invalid_settings_are_rejected(invalid: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(invalid))):
        replace(SETTINGS, **invalid)  # type: ignore[arg-type]


def test_the_default_effect_is_unsafe() -> None:
    assert RequestClass(latency_objective_us=1, request_timeout_us=1).effect is UNSAFE.effect
