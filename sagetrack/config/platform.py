"""The platform's configuration: the JSON file that LB_CONFIG names, and environment variables.

The file uses the platform's own key names; this module maps them to the usual terms of load balancing.
"""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from sagetrack.config.errors import ConfigError, IncompleteConfigError
from sagetrack.policy.parsing import ParseError, parse_settings
from sagetrack.policy.settings import Settings

__all__ = [
    "Address",
    "Config",
    "ConfigError",
    "IncompleteConfigError",
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
    """Maps names to the numbers that the policy uses for them: their indices in the lists of the settings."""

    classes: dict[bytes, int]
    tenants: dict[bytes, int]
    zones: dict[str, int]
    kinds: dict[str, int]  # server types


@dataclass(slots=True, frozen=True)
class Config:
    """The configuration of one gateway process."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # file descriptors that all processes of the gateway may have open in total
    memory_mb: int
    admin: Address | None  # listen address of the admin interface
    accept_fd: int | None  # descriptor of a listening socket inherited from the platform
    shared_folder: str | None  # directory shared with the other processes of this gateway
    known_endpoints: dict[str, Any]  # last endpoint list the platform had, in the format of discovery
    settings: Settings
    names: NameIndices
    client_header: bytes = b""  # header that identifies a client of a tenant, for fair queueing
    whole_seconds: bool = False  # round Retry-After up to whole seconds
    peer_listen: Address | None = None  # listen address for datagrams from other gateways
    peers: tuple[Address, ...] = ()  # addresses of all gateways, in the order of gateway_index


def stable_hash(text: str | bytes, size: int) -> int:
    """Return a hash of `size` bytes that is the same at every gateway and after every restart."""
    data = text.encode() if isinstance(text, str) else text
    return int.from_bytes(hashlib.blake2b(data, digest_size=size).digest())


def read_file(path: str) -> bytes:
    """Return the content of a file; raise OSError if it cannot be read."""
    with open(path, "rb") as file:
        return file.read()


def load(environment: Mapping[str, str] = os.environ) -> Config:
    """Read and parse the file that LB_CONFIG names.

    Raises:
        IncompleteConfigError: the file is missing, unreadable or not JSON, perhaps as it is being written.
        ConfigError: LB_CONFIG is not set, or the configuration is invalid.
    """
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        raw = json.loads(read_file(path))
    except OSError as error:
        raise IncompleteConfigError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise IncompleteConfigError(f"{path} is not JSON: {error}") from None
    return parse(raw, environment)


def parse(raw: object, environment: Mapping[str, str] | None = None) -> Config:
    """Parse the configuration from a decoded JSON value and environment variables.

    Unknown keys are ignored, as other programs read the same file.

    Raises:
        ConfigError: the configuration is invalid; the message describes the first fault only.
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
        raise ConfigError("limits and known must be JSON objects")
    descriptor = _accept_descriptor(environment)
    try:
        return _build(raw, settings, limits, known, environment, descriptor)
    except ParseError as error:
        raise ConfigError(str(error)) from None
    except ConfigError:
        raise
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise ConfigError(f"invalid configuration: {error}") from None


def _build(
    raw: dict[str, Any],
    settings: dict[str, Any],
    limits: dict[str, Any],
    known: dict[str, Any],
    environment: Mapping[str, str],
    descriptor: str | None,
) -> Config:
    """Build the configuration from objects of checked type; an invalid value raises an exception."""
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
    """Return LB_ACCEPT_FD, the descriptor of the inherited listening socket, as digits; None if unset."""
    descriptor = environment.get("LB_ACCEPT_FD") or None
    if descriptor is not None and not (descriptor.isascii() and descriptor.isdigit()):
        raise ConfigError(f"LB_ACCEPT_FD must be a descriptor number, not {descriptor!r}")
    return descriptor


def parse_address(text: object, what: str) -> Address:
    """Parse `host:port` or `[host]:port` into host and port.

    Args:
        text: the address.
        what: the key that holds the address, for the error message.

    Raises:
        ConfigError: the address has another form.
    """
    host, mark, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not mark or not host or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ConfigError(f"{what} must be an address of the form host:port")
    return host.strip("[]"), int(port)


def _names(settings: dict[str, Any]) -> NameIndices:
    def numbered(key: str) -> dict[str, int]:
        entries = settings.get(key, [])
        named = [entry["name"] if isinstance(entry, dict) else entry for entry in entries]
        return {str(name): number for number, name in enumerate(named)}

    def in_bytes(key: str) -> dict[bytes, int]:
        return {name.encode(): number for name, number in numbered(key).items()}

    return NameIndices(in_bytes("lanes"), in_bytes("tenants"), numbered("zones"), numbered("shapes"))
