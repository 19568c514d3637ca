"""Builds a gateway process's settings from the scenario: its JSON configuration and its operator file.

The keys are those of the platform's configuration and of the operator file.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

from sagetrack.lab.model.platform_settings import platform_settings
from sagetrack.lab.model.scenario import Scenario
from sagetrack.lab.model.world import World
from sagetrack.lab.processes.resource_usage import free_port
from sagetrack.lab.stand_ins.discovery_agent import DiscoveryAgent
from sagetrack.lab.stand_ins.dns_clients import DnsTraffic
from sagetrack.lab.stand_ins.peer_network import PeerNetwork


class GatewaySettings(NamedTuple):
    """The settings of one gateway process."""

    config: dict[str, Any]  # JSON configuration
    operator: str  # text of the operator file; empty if there is no such file


def admission_settings(scenario: Scenario) -> str:
    """Build the operator file's tables for gRPC servers, fair queues and rate limits."""
    admission = scenario.admission
    has_grpc_servers = scenario.fleet.new_share > 0 or scenario.fleet.roll_new
    text = '[newer]\ntypes = ["v2"]\n' if has_grpc_servers else ""
    if not admission.use:
        return text
    return text + (
        f"[queues]\nuse = true\npatience = {admission.max_wait_fraction:g}\n"
        f"memory_mb = {admission.memory_mb:g}\n"
        f"[limits]\nadaptive = {str(admission.adaptive).lower()}\nclient_per_s = {admission.client_per_s:g}\n"
        f"member_per_s = {admission.tenant_per_s:g}\n"
    )


def operator_settings(scenario: Scenario, gateway: int, folder: Path, dns: DnsTraffic | None) -> str:
    """Build the text of a gateway's operator file. If the scenario uses a store, it is kept in `folder`."""
    text = dns.operator_settings(gateway) if dns is not None else ""
    text += admission_settings(scenario)
    if scenario.store.use:
        text += f'[store]\nfolder = "{folder / "store"}"\nsync = "{scenario.store.sync}"\n'
    return text


def gateway_config(
    world: World,
    gateway: int,
    port: int,
    process_number: int,
    agent: DiscoveryAgent,
    peers: PeerNetwork | None,
) -> dict[str, Any]:
    """Build the JSON configuration of a gateway that listens for clients on `port`."""
    scenario = world.scenario
    peer_settings: dict[str, Any] = {}
    if peers is not None:
        peer_settings["peer_listen"] = peers.listen_address(gateway)
        peer_settings["peers"] = peers.peer_addresses(gateway)
    return peer_settings | {
        "name": f"g{gateway}",
        "listen": f"127.10.{gateway + 1}.1:{port}",
        "discovery": agent.listener.address,
        "admin": f"127.0.0.1:{free_port()}",
        "seed": f"{world.seed}/{gateway}/{process_number}",
        "limits": {
            "cores": 1.0,
            "memory_mb": scenario.gateways.memory_mb,
            "sockets": scenario.gateways.sockets,
        },
        "known": agent.full_list(),
        "settings": platform_settings(scenario, gateway),
    }
