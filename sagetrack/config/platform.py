"""The platform's configuration: the JSON file that LB_CONFIG names, and the environment.

The keys are the platform's words; the fields here are the field's, and this module is where they meet.
"""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from sagetrack.config.errors import ConfigError
from sagetrack.policy.parsing import WireError, parse_settings
from sagetrack.policy.settings import Settings

__all__ = [
    "Address",
    "Config",
    "ConfigError",
    "NameIndices",
    "load",
    "parse",
    "parse_address",
    "read_file",
    "stable_hash",
]

Address = tuple[str, int]  # host and port
MAX_PORT = 65_535
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192


@dataclass(slots=True, frozen=True)
class NameIndices:
    """The numbers that the policy knows names by: places in the lists of the settings, from 0."""

    classes: dict[bytes, int]
    tenants: dict[bytes, int]
    zones: dict[str, int]
    kinds: dict[str, int]  # types of servers


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one gateway process."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # descriptors that all processes of the gateway may hold together
    memory_mb: int
    admin: Address | None  # the admin address
    accept_fd: int | None  # a listening socket that the platform holds
    shared_folder: str | None  # shared with other processes of this gateway
    known_endpoints: dict[str, Any]  # the endpoint list as the platform last knew it, in discovery's form
    settings: Settings
    names: NameIndices
    client_header: bytes = b""  # the header that names a client of a tenant, where fair queues are on
    whole_seconds: bool = False  # whether Retry-After is rounded up to whole seconds
    peer_listen: Address | None = None  # for datagrams of other gateways
    peers: tuple[Address, ...] = ()  # one for each gateway, in the order of their numbers


def stable_hash(text: str | bytes, size: int) -> int:
    """A hash of `size` bytes that is the same for a text at every gateway and after every restart."""
    data = text.encode() if isinstance(text, str) else text
    return int.from_bytes(hashlib.blake2b(data, digest_size=size).digest())


def read_file(path: str) -> bytes:
    """The content of a file; OSError if it cannot be read."""
    with open(path, "rb") as file:
        return file.read()


def load(environment: Mapping[str, str] = os.environ, read: Callable[[str], bytes] = read_file) -> Config:
    """Read the file that LB_CONFIG names.

    Args:
        environment: the environment variables.
        read: reads a file; it may repeat a read that fails.

    Raises:
        ConfigError: the variable is not set, or the file cannot be read or used.
    """
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        raw = json.loads(read(path))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path} is not JSON: {error}") from None
    return parse(raw, environment)


def parse(raw: object, environment: Mapping[str, str] | None = None) -> Config:
    """The configuration in a JSON value and the environment.

    Keys that this program does not know are ignored, as other programs read the same file.

    Raises:
        ConfigError: it cannot be used; the first fault alone is named.
    """
    environment = environment or {}
    if not isinstance(raw, dict):
        raise ConfigError("the configuration is not an object")
    settings = raw.get("settings")
    if not isinstance(settings, dict):
        raise ConfigError("the configuration has no settings")
    limits = raw.get("limits") or {}
    known = raw.get("known") or {}
    if not isinstance(limits, dict) or not isinstance(known, dict):
        raise ConfigError("limits or known is not an object")
    descriptor = _accept_descriptor(environment)
    try:
        return _build(raw, settings, limits, known, environment, descriptor)
    except WireError as error:
        raise ConfigError(str(error)) from None
    except ConfigError:
        raise
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise ConfigError(f"the configuration cannot be used: {error}") from None


def _build(
    raw: dict[str, Any],
    settings: dict[str, Any],
    limits: dict[str, Any],
    known: dict[str, Any],
    environment: Mapping[str, str],
    descriptor: str | None,
) -> Config:
    """The configuration in an object whose tables are objects; any fault in a value raises."""
    admin = raw.get("admin") or environment.get("LB_ADMIN") or None
    peer_listen = raw.get("peer_listen")
    return Config(
        name=str(raw.get("name", "")),
        listen=parse_address(raw.get("listen"), "listen"),
        discovery=parse_address(raw.get("discovery"), "discovery"),
        seed=stable_hash(str(raw.get("seed", "")), 8),
        sockets=int(limits.get("sockets", DEFAULT_SOCKETS)),
        memory_mb=int(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
        admin=parse_address(admin, "admin") if admin is not None else None,
        accept_fd=int(descriptor) if descriptor is not None else None,
        shared_folder=environment.get("TMPDIR") or None,
        known_endpoints=known,
        settings=parse_settings(json.dumps(settings)),
        names=_names(settings),
        peer_listen=parse_address(peer_listen, "peer_listen") if peer_listen else None,
        peers=tuple(parse_address(peer, "peers") for peer in raw.get("peers") or ()),
    )


def _accept_descriptor(environment: Mapping[str, str]) -> str | None:
    """The digits that name the listening socket which the platform hands down; None if there is none."""
    descriptor = environment.get("LB_ACCEPT_FD") or None
    if descriptor is not None and not (descriptor.isascii() and descriptor.isdigit()):
        raise ConfigError(f"LB_ACCEPT_FD is no descriptor: {descriptor!r}")
    return descriptor


def parse_address(text: object, what: str) -> Address:
    """Host and port of `host:port` or `[host]:port`.

    Args:
        text: the address.
        what: the key that it is from, for the message.

    Raises:
        ConfigError: it has another form.
    """
    host, mark, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not mark or not host or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ConfigError(f"{what} is no address of the form host:port")
    return host.strip("[]"), int(port)


def _names(settings: dict[str, Any]) -> NameIndices:
    def numbered(key: str) -> dict[str, int]:
        entries = settings.get(key, [])
        named = [entry["name"] if isinstance(entry, dict) else entry for entry in entries]
        return {str(name): number for number, name in enumerate(named)}

    def in_bytes(key: str) -> dict[bytes, int]:
        return {name.encode(): number for name, number in numbered(key).items()}

    return NameIndices(in_bytes("lanes"), in_bytes("tenants"), numbered("zones"), numbered("shapes"))
