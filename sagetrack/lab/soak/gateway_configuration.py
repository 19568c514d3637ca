"""Builds the configuration files of the soak's gateways in the platform's format."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

from sagetrack.lab.soak.slow_start import OVERLOAD_MULTIPLE, START_CAPACITY, WARMUP_S

JsonObject = dict[str, Any]

MAX_SHUTDOWN_DEADLINE_S = 3.0  # longer deadlines count as this at a shutdown
KILL_GRACE_S = 0.7  # time after the deadline until the platform kills the process


@dataclass(slots=True)
class GatewayNetwork:
    """The listening addresses of a gateway and the addresses of its peers, each as HOST:PORT."""

    listen: str
    peer_listen: str
    peers: list[str] = field(default_factory=list)  # addresses of all gateways, in the order of their numbers


@dataclass(slots=True, frozen=True)
class GatewayLimits:
    """What the platform allows a gateway."""

    memory_mb: int = 96
    sockets: int = 512
    deadline_s: float = 2.5  # the longest time that a client waits

    @property
    def shutdown_s(self) -> float:
        """Time from SIGTERM until the platform kills the process, at the earliest."""
        return min(self.deadline_s, MAX_SHUTDOWN_DEADLINE_S) + KILL_GRACE_S


def gateway_configuration(
    number: int,
    gateway_count: int,
    network: GatewayNetwork,
    discovery: str,
    endpoints: JsonObject,
    limits: GatewayLimits,
) -> JsonObject:
    """Build the configuration of one gateway.

    Args:
        number: The gateway's number, from 0.
        gateway_count: The number of gateways in the run.
        network: The addresses of the gateway and its peers.
        discovery: The address of its discovery agent.
        endpoints: The endpoint list with which it starts.
        limits: Its resource limits and the longest deadline of its requests.
    """
    return {
        "name": f"g{number}",
        "listen": network.listen,
        "discovery": discovery,
        "seed": f"{number}/{time.monotonic_ns()}",
        "limits": {"sockets": limits.sockets, "memory_mb": limits.memory_mb},
        "known": endpoints,
        "peer_listen": network.peer_listen,
        "peers": network.peers,
        "settings": {
            "balancers": gateway_count,
            "index": number,
            "zones": ["a"],
            "shapes": ["m"],
            "tenants": [{"name": "acme"}],
            "membershipMode": "pushed",
            "caps": _capabilities(),
            "contract": _contract(),
            "lanes": _request_classes(limits.deadline_s),
        },
    }


@dataclass(slots=True, frozen=True)
class FrontPorts:
    """The ports of a gateway's fronts beside HTTP/1.1, and of a nameserver that is never there."""

    grpc_port: int
    dns_port: int
    nameserver_port: int


def operator_configuration(store_folder: str, fronts: FrontPorts | None) -> str:
    """Build the operator file of a gateway that keeps its store in `store_folder`."""
    store = f'[store]\nfolder = "{store_folder}"\nsync = "batch"\n'
    if fronts is None:
        return store
    return (
        f'{store}[newer]\nlisten = ["127.0.0.1:{fronts.grpc_port}"]\n'
        f'[dns]\nlisten = ["127.0.0.1:{fronts.dns_port}"]\n'
        f'upstreams = ["127.0.0.1:{fronts.nameserver_port}"]\n'
    )


def _capabilities() -> JsonObject:
    return {
        "maxAttempts": 4,
        "mayCancel": True,
        "peers": True,
        "connectTimeoutUs": 1_600_000,
        "keepaliveUs": 10_000_000,
        "secondCopies": True,
        "maxRetryAfterUs": 1_000_000,
    }


def _contract() -> JsonObject:
    return {
        "stopSendingWithinUs": 2_000_000,
        "mustAskInUs": 10_000_000,
        "startCapacity": START_CAPACITY,
        "warmAfterUs": int(WARMUP_S * 1e6),
        "tipMultiple": OVERLOAD_MULTIPLE,
        "fallUs": 3_000_000,
    }


def _request_classes(deadline_s: float) -> list[JsonObject]:
    """Build the request classes that the clients choose from; they cover every effect and key scope."""
    common = {"aimUs": 400_000, "giveUpUs": int(deadline_s * 1e6), "lateValue": 0.3, "value": 1.0}
    keyed = common | {"effect": "guarded", "windowUs": 2_000_000}
    return [
        common | {"name": "search", "effect": "free"},
        keyed | {"name": "hold", "group": "all"},
        keyed | {"name": "reserve", "group": "cell"},
        common | {"name": "transfer", "effect": "single_shot"},
    ]
