"""Everything that is wrong with the platform's configuration, for people; the gateway itself stops at the
first.

The structures here say what the keys that this program reads may be. Keys that it does not know are let pass:
the platform adds some, and other programs read the same file.
"""

from __future__ import annotations

import os
from collections.abc import Iterator, Mapping
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from sagetrack.config.platform import ConfigError, parse
from sagetrack.config.validation import Fault, read

Host = Annotated[str, Meta(pattern=r"^\S+:\d{1,5}$")]
Count = Annotated[int, Meta(ge=1)]
Microseconds = Annotated[int, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]


class Lane(msgspec.Struct, frozen=True):
    name: Annotated[str, Meta(min_length=1)]
    giveUpUs: Annotated[int, Meta(ge=1)]  # noqa: N815 - the platform's name
    aimUs: Annotated[int, Meta(ge=1)] | None = None  # noqa: N815
    effect: Literal["free", "guarded", "single_shot"] = "single_shot"
    group: Literal["all", "zone", "cell"] = "all"
    windowUs: Microseconds = 0  # noqa: N815
    value: Annotated[float, Meta(ge=0)] = 1.0
    lateValue: Share = 0.0  # noqa: N815


class Limits(msgspec.Struct, frozen=True):
    sockets: Annotated[int, Meta(ge=64)] = 1024
    memory_mb: Annotated[int, Meta(ge=16)] = 192
    cores: Annotated[float, Meta(gt=0)] = 1.0


class Endpoint(msgspec.Struct, frozen=True):
    name: Annotated[str, Meta(min_length=1)]
    address: Host
    status: Literal["SERVING", "DRAINING", "DELETED"]
    weight: Annotated[float, Meta(gt=0)] = 1.0


class Known(msgspec.Struct, frozen=True):
    index: int | None = None
    endpoints: list[Endpoint] = msgspec.field(default_factory=list)


class PlatformSettings(msgspec.Struct, frozen=True):
    lanes: Annotated[list[Lane], Meta(min_length=1)]
    balancers: Count = 1
    index: Annotated[int, Meta(ge=0)] = 0
    membershipMode: Literal["pushed", "on_request"] = "pushed"  # noqa: N815
    caps: dict[str, Any] = msgspec.field(default_factory=dict)
    contract: dict[str, Any] = msgspec.field(default_factory=dict)


class Platform(msgspec.Struct, frozen=True):
    listen: Host
    discovery: Host
    settings: PlatformSettings
    name: str = ""
    limits: Limits = msgspec.field(default_factory=Limits)
    known: Known = msgspec.field(default_factory=Known)
    admin: Host | None = None


def _across(value: Platform) -> Iterator[Fault]:
    """What no key tells alone."""
    settings = value.settings
    if settings.index >= settings.balancers:
        why = f"settings.index = {settings.index} is not below settings.balancers = {settings.balancers}"
        yield Fault(("settings", "index"), why)
    names = [lane.name for lane in settings.lanes]
    for number, name in enumerate(names):
        if name in names[:number]:
            place = ("settings", "lanes", number, "name")
            yield Fault(place, f"settings.lanes[{number + 1}].name = {name!r} is that of another class")


def check(path: str, environment: Mapping[str, str] = os.environ) -> None:
    """Read a gateway's configuration as the gateway would; `checked.FileError` names all faults."""
    read(path, Platform, _across)
    import json

    from sagetrack.config.validation import FileError

    with open(path, "rb") as file:
        raw = json.load(file)
    try:
        parse(raw, environment)
    except ConfigError as error:
        raise FileError([f"{path}: {error}"]) from None
