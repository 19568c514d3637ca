"""Admission control: in a simulation, in the operator's file and in a running gateway."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from sagetrack.config.errors import FileError
from sagetrack.config.operator import load as load_operator
from sagetrack.config.platform import ConfigError, parse
from sagetrack.lab.analysis.figures import compute_figures
from sagetrack.lab.analysis.judges import find_violations
from sagetrack.lab.model.scenario import load_scenario, with_overrides
from sagetrack.lab.virtual.simulation import simulate
from sagetrack.policy.rate_limit import Rate
from sagetrack.server.admission_settings import tenant_shares, with_admission
from sagetrack.server.reload import read_operator
from tests.sockets import configuration, on_event_loop, request, running_gateway

SCENARIOS = Path(__file__).resolve().parent.parent / "scenarios"


def test_admission_control_keeps_tenant_shares_and_accurate_retry_after_in_a_simulated_flood() -> None:
    scenario = with_overrides(load_scenario(SCENARIOS / "flood.toml"), {"seconds": 14})
    results = {}
    for use_admission in (True, False):
        variant = with_overrides(scenario, {"door.use": use_admission})
        records = simulate(variant, 2)
        results[use_admission] = compute_figures(records, variant, find_violations(records, variant))
        assert not results[use_admission].rules_broken
    assert results[True].expect_held and not results[False].expect_held
    assert results[True].advice_right > 0.8 > results[False].advice_right


def test_the_operators_file_may_only_name_existing_tenants_and_classes(tmp_path: Path) -> None:
    config = parse(configuration("127.0.0.1:9"))
    file = tmp_path / "operator.toml"
    file.write_text("[queues]\nuse = true\nshares = { zeta = 3.0 }\n[limits]\nclass_per_s = { hold = 5 }\n")
    admission = with_admission(config, load_operator(str(file))).settings.admission
    assert (
        admission is not None
        and admission.shares == (0.0, 3.0)
        and admission.class_rates[1] == Rate(5.0, 10.0)
    )
    assert tenant_shares(config, read_operator(str(file))) == (0.0, 3.0)
    file.write_text("[queues]\nuse = true\nshares = { nobody = 1.0 }\n")
    with pytest.raises(ConfigError, match="no member 'nobody'; there are acme, zeta"):
        tenant_shares(config, load_operator(str(file)))
    file.write_text("[queues]\nuse = true\n[limits]\nclass_per_s = { none = 1.0 }\n")
    with pytest.raises(ConfigError, match="no class 'none'"):
        with_admission(config, load_operator(str(file)))
    file.write_text("[limits]\nrepeats = 0.5\n")
    with pytest.raises(FileError, match=r"limits needs queues.use = true"):
        load_operator(str(file))


@on_event_loop
async def test_a_gateway_distinguishes_clients_by_header_and_exports_metrics_of_each_tenant(
    tmp_path: Path,
) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(
        "[queues]\nuse = true\nwhole_seconds = true\n[limits]\nclient_per_s = 0.7\nclient_burst = 1\n"
    )
    config = configuration("127.0.0.1:9", retryAfter=True, maxRetryAfterUs=4_000_000)
    async with running_gateway(config, load_operator(str(file))) as gateway:
        retry_after: list[Any] = []
        for name in ("a", "a", "b"):
            headers: dict[str, Any] = {"x_client": name}
            response = await gateway.request(request(**headers))
            retry_after.append(
                [value for key, value in response.headers.items() if key.lower() == "retry-after"]
            )
        assert retry_after[1] in (["1"], ["2"])  # a delay from 1 to 1.43 s, rounded up
        metrics = gateway.listener.stats()
        assert "svc_member_acme_asked_total 3\n" in metrics and "svc_door_refused_rate_total 1\n" in metrics
