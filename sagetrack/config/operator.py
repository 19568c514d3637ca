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


class PeerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Messages between gateways."""

    use: Literal["off", "platform", "on"] = "platform"  # platform: where its configuration allows them
    listen: Annotated[str, Meta(pattern=r"^\S+:\d{1,5}$")] | None = None
    addresses: list[Annotated[str, Meta(pattern=r"^\S+:\d{1,5}$")]] = msgspec.field(default_factory=list)
    me: Annotated[int, Meta(ge=0, le=65_535)] | None = None  # its place among the addresses, from 0
    period_ms: Annotated[int, Meta(ge=100, le=60_000)] = 1000  # between pings
    timeout_ms: Annotated[int, Meta(ge=10, le=30_000)] = 300  # for an answer, before others are asked
    warm_start: bool = True  # ask the others what they know


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    log: LogSettings = msgspec.field(default_factory=LogSettings)
    peers: PeerSettings = msgspec.field(default_factory=PeerSettings)


def load(path: str) -> Operator:
    """Read the file; `checked.FileError` names everything that is wrong with it."""
    return read(path, Operator)


def path_in(environment: Mapping[str, str]) -> str | None:
    return environment.get(VARIABLE) or None
