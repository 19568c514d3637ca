"""Configuration files and environment variables of the gateways that benchmarks start."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import Any

from sagetrack.lab.model.platform_settings import platform_settings
from sagetrack.lab.model.scenario import Clients, Fleet, RequestClass, Scenario
from sagetrack.lab.repository import ROOT

GATEWAY_COMMAND = [sys.executable, "-m", "sagetrack"]
NEWER_TYPE = "newer"  # endpoint type of servers that use the newer protocol format, gRPC
NEWER_OPERATOR_SETTINGS = f'[newer]\ntypes = ["{NEWER_TYPE}"]\n'
SERVERS_PER_GROUP = 4


def gateway_configuration(
    port: int, server_ports: list[int], discovery_port: int, admin_port: int, server_type: str = "plain"
) -> dict[str, Any]:
    """Return the configuration of a loopback gateway whose endpoint list is complete from the start.

    It has a single request class, `lookup`, whose limits are too high for any benchmark to reach.
    """
    lookup = RequestClass(name="lookup", work_ms=1, latency_objective_ms=1000, deadline_ms=3000)
    fleet = Fleet(servers=len(server_ports), gateways=1)
    scenario = Scenario(name="throughput", fleet=fleet, classes=[lookup], clients=Clients())
    endpoints = [
        {
            "name": f"s-{number}",
            "address": f"127.0.0.1:{server_port}",
            "zone": "a",
            "type": server_type,
            "group": number // SERVERS_PER_GROUP,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": 0,
        }
        for number, server_port in enumerate(server_ports)
    ]
    return {
        "name": "g0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "1",
        "admin": f"127.0.0.1:{admin_port}",
        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 4096},
        "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
        "settings": platform_settings(scenario, 0),
    }


def gateway_environment(
    folder: Path, configuration: dict[str, Any], operator_settings: str = "", build: Path = ROOT
) -> dict[str, str]:
    """Write a gateway's configuration files and return the environment variables to start it with.

    Args:
        folder: where the files are written; also the gateway's directory for temporary files.
        configuration: platform configuration, see `gateway_configuration`.
        operator_settings: content of the operator's TOML file; if empty, no such file is written.
        build: source checkout from which the gateway runs.
    """
    configuration_file = folder / "config.json"
    configuration_file.write_text(json.dumps(configuration))
    environment = os.environ | {
        "LB_CONFIG": str(configuration_file),
        "PYTHONPATH": str(build),
        "TMPDIR": str(folder),
    }
    if operator_settings:
        operator_file = folder / "operator.toml"
        operator_file.write_text(operator_settings)
        environment["LB_OPERATOR"] = str(operator_file)
    return environment
