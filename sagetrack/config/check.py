"""Reports all faults of the platform's configuration at once; the gateway itself stops at the first.

The structures declare the keys that this program reads, under the platform's names. Unknown keys are ignored:
the platform adds keys, and other programs read the same file.
"""

from __future__ import annotations

import json
import os
from collections.abc import Iterator, Mapping
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from sagetrack.config.errors import ConfigError, FileError
from sagetrack.config.platform import parse
from sagetrack.config.validation import Fault, read

HostPort = Annotated[str, Meta(pattern=r"^\S+:\d{1,5}$")]
Count = Annotated[int, Meta(ge=1)]
Microseconds = Annotated[int, Meta(ge=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]


class RequestClass(msgspec.Struct, frozen=True):
    """A request class: an entry of `settings.lanes`."""

    name: Annotated[str, Meta(min_length=1)]
    giveUpUs: Annotated[int, Meta(ge=1)]  # noqa: N815 - a key of the platform's file
    aimUs: Annotated[int, Meta(ge=1)] | None = None  # noqa: N815
    effect: Literal["free", "guarded", "single_shot"] = "single_shot"
    group: Literal["all", "zone", "cell"] = "all"
    windowUs: Microseconds = 0  # noqa: N815
    value: Annotated[float, Meta(ge=0)] = 1.0
    lateValue: Fraction = 0.0  # noqa: N815


class Limits(msgspec.Struct, frozen=True):
    """The machine resources that the gateway may use."""

    sockets: Annotated[int, Meta(ge=64)] = 1024
    memory_mb: Annotated[int, Meta(ge=16)] = 192
    cores: Annotated[float, Meta(gt=0)] = 1.0


class Endpoint(msgspec.Struct, frozen=True):
    """An entry of the endpoint list."""

    name: Annotated[str, Meta(min_length=1)]
    address: HostPort
    status: Literal["SERVING", "DRAINING", "DELETED"]
    weight: Annotated[float, Meta(gt=0)] = 1.0


class KnownEndpoints(msgspec.Struct, frozen=True):
    """The last endpoint list that the platform had when it wrote the file."""

    index: int | None = None
    endpoints: list[Endpoint] = msgspec.field(default_factory=list)


class PlatformSettings(msgspec.Struct, frozen=True):
    """The table `settings`: the settings of the load-balancing policy."""

    lanes: Annotated[list[RequestClass], Meta(min_length=1)]
    balancers: Count = 1
    index: Annotated[int, Meta(ge=0)] = 0
    membershipMode: Literal["pushed", "on_request"] = "pushed"  # noqa: N815
    caps: dict[str, Any] = msgspec.field(default_factory=dict)
    contract: dict[str, Any] = msgspec.field(default_factory=dict)


class Platform(msgspec.Struct, frozen=True):
    """The top level of the platform's configuration file."""

    listen: HostPort
    discovery: HostPort
    settings: PlatformSettings
    name: str = ""
    limits: Limits = msgspec.field(default_factory=Limits)
    known: KnownEndpoints = msgspec.field(default_factory=KnownEndpoints)
    admin: HostPort | None = None


def _cross_field_faults(platform: Platform) -> Iterator[Fault]:
    """Check the constraints between fields, which types cannot express."""
    settings = platform.settings
    if settings.index >= settings.balancers:
        message = (
            f"settings.index = {settings.index} must be less than settings.balancers = {settings.balancers}"
        )
        yield Fault(("settings", "index"), message)
    names = [request_class.name for request_class in settings.lanes]
    for number, name in enumerate(names):
        if name in names[:number]:
            path = ("settings", "lanes", number, "name")
            yield Fault(
                path, f"settings.lanes[{number + 1}].name = {name!r} is already the name of another class"
            )


def check(path: str, environment: Mapping[str, str] = os.environ) -> None:
    """Check a platform configuration against the types, and then parse it as the gateway does.

    Raises:
        FileError: the file is unreadable or invalid. `faults` lists every fault that the types reveal, or
            else the first fault that parsing finds.
    """
    read(path, Platform, _cross_field_faults)
    with open(path, "rb") as file:
        raw = json.load(file)
    try:
        parse(raw, environment)
    except ConfigError as error:
        raise FileError([f"{path}: {error}"]) from None
