"""The `standby` call, and a client that sends many requests at once on the connection that it keeps."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand_ins_2 import TROUBLE, BatchClient, Discovery, Gateway, Record, now, run_case, small_fleet, works

BATCH = 10  # requests that the client sends at once
BATCH_PERIOD_S = 0.75  # a batch takes longer, so that the connection always has open requests
DRAINED_S = 4.0  # after the call no connection may be held idle or with a request from the last 2 s
WATCHED_S = 9.0


async def case(record: Record, temporary: Path) -> list[str]:
    """Return the breaks of the rule."""
    discovery = Discovery()
    await small_fleet(record, discovery, works)
    gateway = Gateway(record, discovery, temporary=temporary)
    try:
        await gateway.wait_ready()
        await asyncio.sleep(1.5)
        client = BatchClient(record)
        await client.connect(gateway.host_port)
        client.send_batch(BATCH)
        await asyncio.sleep(BATCH_PERIOD_S)
        if TROUBLE:
            record(f"operator: standby, answer {(await gateway.command('standby')).strip()!r}")
        called_at = now()
        while now() < called_at + WATCHED_S and client.closed_at is None:
            client.send_batch(BATCH)
            await asyncio.sleep(BATCH_PERIOD_S)
        end_at = now() if client.closed_at is None else client.closed_at
        late = [
            f"{id_} (sent {sent_at - called_at:.2f} s after the call, answered {status})"
            for id_, sent_at, status in client.answers
            if sent_at > called_at + DRAINED_S
        ]
        record(f"client: its connection was open for {end_at - called_at:.2f} s after the call")
        client.close()
        if not TROUBLE or not late:
            return []
        return [
            f"the gateway held the connection for {end_at - called_at:.2f} s after `standby`, and answered"
            f" {len(late)} requests sent more than {DRAINED_S:g} s after the call, the last: {late[-1]}"
        ]
    finally:
        gateway.end()


run_case(Path(__file__).resolve().parent, case)
