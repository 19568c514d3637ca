"""The operator's own file: TOML that `$LB_OPERATOR` or `--operator` names; what it does not set is off."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from sagetrack.config.checked import read

VARIABLE = "LB_OPERATOR"


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the program logs."""

    format: Literal["plain", "json", "console"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"
    burst: Annotated[float, Meta(ge=1, le=10_000)] = 20.0  # lines of one event at once
    rate: Annotated[float, Meta(gt=0, le=10_000)] = 5.0  # lines of one event a second, in the long run


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    log: LogSettings = msgspec.field(default_factory=LogSettings)


def load(path: str) -> Operator:
    """Read the file; `checked.FileError` names everything that is wrong with it."""
    return read(path, Operator)


def path_in(environment: Mapping[str, str]) -> str | None:
    return environment.get(VARIABLE) or None
