"""A gateway restores its observations from the store after a restart, and records its traffic there."""

from __future__ import annotations

from pathlib import Path

import pytest

from sagetrack.config.errors import FileError
from sagetrack.config.operator import load as load_operator
from sagetrack.lab.analysis.judges import find_violations
from sagetrack.lab.model.scenario import load_scenario, with_overrides
from sagetrack.lab.stand_ins.scripted import scripted_server
from sagetrack.lab.virtual.gateway import VirtualGateway
from sagetrack.lab.virtual.simulation import simulate
from sagetrack.policy.events import Event, ObservationsReceived
from sagetrack.store.recorder import (
    decode_second,
)
from tests.sockets import configuration, on_event_loop, request, running_gateway

ROOT = Path(__file__).resolve().parent.parent


@on_event_loop
async def test_a_restarted_gateway_restores_observations_and_recorded_seconds(tmp_path: Path) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(f'[store]\nfolder = "{tmp_path}/{{gateway}}"\nsync = "batch"\n')
    async with scripted_server() as upstream:
        config = configuration(upstream)
        async with running_gateway(config, load_operator(str(file))) as gateway:
            for _ in range(8):
                assert (await gateway.request(request())).status == 200
            before = {s.server: s.weight for s in gateway.gateway.balancer.own_observations()[0]}
            assert gateway.assembly.persistence is not None and before
            # Both run at once, as during a hot restart: only the first has the store.
            async with running_gateway(config, load_operator(str(file))) as successor:
                assert (await successor.request(request())).status == 200
                assert "svc_store_failing 1" in successor.listener.stats()
        async with running_gateway(config, load_operator(str(file))) as gateway:
            received = gateway.gateway.balancer.gossip.received
            assert {server for server, _ in received} == set(before)
            assert "svc_store_failing 0" in gateway.listener.stats()
            store = gateway.assembly.persistence.writer.store  # type: ignore[union-attr]
            assert store is not None
            rows = [decode_second(record.value or b"") for record in store.snapshot().items("seconds")]
        assert sum(sum(row.answered) for row in rows) == 8 and rows[0].outcomes["ok"] == 8
    file.write_text("[store]\nmost_mb = 5.0\n")
    with pytest.raises(FileError, match="store needs folder"):
        load_operator(str(file))


def test_simulated_gateways_restore_observations_after_all_were_killed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No peer has survived, so all observations that the gateways receive come from their stores."""
    scenario = load_scenario(ROOT / "scenarios" / "all-killed.toml")
    received: dict[bool, int] = {True: 0, False: 0}
    handle = VirtualGateway.handle

    def counting_handle(gateway: VirtualGateway, event: Event) -> None:
        if isinstance(event, ObservationsReceived):
            received[use] += len(event.observations)
        handle(gateway, event)

    monkeypatch.setattr(VirtualGateway, "handle", counting_handle)
    for use in received:
        played = with_overrides(scenario, {"store.use": use, "seconds": 13.0})
        assert not find_violations(simulate(played, 1), played)
    assert received[True] >= 12 and not received[False]
