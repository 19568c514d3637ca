"""Admission control in virtual time, in the operator's file and in a running gateway."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from sagetrack.config.errors import FileError
from sagetrack.config.operator import load as load_operator
from sagetrack.config.platform import ConfigError, parse
from sagetrack.lab.analysis.figures import figures
from sagetrack.lab.analysis.judges import judge
from sagetrack.lab.model.scenario import altered, load
from sagetrack.lab.virtual.simulation import play
from sagetrack.policy.rate_limit import Rate
from sagetrack.server.admission_settings import tenant_shares, with_admission
from sagetrack.server.reload import read_operator
from tests.sockets import configuration, on_loop, request, running

SCENARIOS = Path(__file__).resolve().parent.parent / "scenarios"


def test_a_flood_leaves_other_tenants_their_share_and_retry_after_holds_in_virtual_time() -> None:
    scenario = altered(load(SCENARIOS / "flood.toml"), {"seconds": 14})
    found = {}
    for use in (True, False):
        played = altered(scenario, {"door.use": use})
        records = play(played, 2)
        found[use] = figures(records, played, judge(records, played))
        assert not found[use].rules_broken
    assert found[True].expect_held and not found[False].expect_held
    assert found[True].advice_right > 0.8 > found[False].advice_right


def test_the_operators_file_names_tenants_and_classes_that_exist(tmp_path: Path) -> None:
    config = parse(configuration("127.0.0.1:9"))
    file = tmp_path / "operator.toml"
    file.write_text("[queues]\nuse = true\nshares = { zeta = 3.0 }\n[limits]\nclass_per_s = { hold = 5 }\n")
    made = with_admission(config, load_operator(str(file))).settings.admission
    assert made is not None and made.shares == (0.0, 3.0) and made.class_rates[1] == Rate(5.0, 10.0)
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


@on_loop
async def test_a_gateway_tells_clients_apart_by_header_and_exports_figures_of_each_tenant(
    tmp_path: Path,
) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(
        "[queues]\nuse = true\nwhole_seconds = true\n[limits]\nclient_per_s = 0.7\nclient_burst = 1\n"
    )
    config = configuration("127.0.0.1:9", retryAfter=True, maxRetryAfterUs=4_000_000)
    async with running(config, load_operator(str(file))) as gateway:
        told: list[Any] = []
        for name in ("a", "a", "b"):
            headers: dict[str, Any] = {"x_client": name}
            answer = await gateway.ask(request(**headers))
            told.append([value for key, value in answer.headers.items() if key.lower() == "retry-after"])
        assert told[1] in (["1"], ["2"])  # 1 to 1.43 s, rounded up
        shown = gateway.server.stats()
        assert "svc_member_acme_asked_total 3\n" in shown and "svc_door_refused_rate_total 1\n" in shown
