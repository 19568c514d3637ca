"""Rows of results for JSON and printed tables."""

from __future__ import annotations

from typing import Any


def rounded(row: dict[str, Any], digits: int) -> dict[str, Any]:
    """Return the row with its floats rounded; other values stay as they are."""
    return {key: round(value, digits) if isinstance(value, float) else value for key, value in row.items()}
