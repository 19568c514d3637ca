"""Settings that no decision can be made from are rejected."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sagetrack.policy.settings import RequestClass
from tests.helpers import SETTINGS, UNSAFE

NAN = float("nan")


@pytest.mark.parametrize(
    "bad",
    [
        {"latency_objective_us": 0},
        {"request_timeout_us": -1},
        {"window_us": -1},
        {"priority_weight": NAN},
        {"late_priority_weight": 1.5},
    ],
)
def test_classes_that_cannot_be_used_are_rejected(bad: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(bad))):
        RequestClass(**{"latency_objective_us": 1, "request_timeout_us": 1, **bad})  # type: ignore[arg-type]


@pytest.mark.parametrize(
    "bad",
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
def test_settings_that_cannot_be_used_are_rejected(bad: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(bad))):
        replace(SETTINGS, **bad)  # type: ignore[arg-type]


def test_unsafe_is_the_default_effect() -> None:
    assert RequestClass(latency_objective_us=1, request_timeout_us=1).effect is UNSAFE.effect
