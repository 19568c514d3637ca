"""Formatting of result rows for JSON output and printed tables."""

from __future__ import annotations

from typing import Any


def rounded(row: dict[str, Any], digits: int) -> dict[str, Any]:
    """Return a copy of the row whose floats are rounded to `digits` decimal places."""
    return {key: round(value, digits) if isinstance(value, float) else value for key, value in row.items()}
