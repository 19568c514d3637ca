"""The commands of `sagetrack store` on a damaged store."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import msgspec

from sagetrack.lab.fault_injection.store_states import SMALL_STORE
from sagetrack.store.directory import DiskDirectory
from sagetrack.store.engine import Store
from sagetrack.store.format import FILE_HEADER, Record

ROOT = Path(__file__).resolve().parent.parent


def test_verify_reports_damage_and_repair_quarantines_it(tmp_path: Path) -> None:
    folder = tmp_path / "store"
    store = Store(DiskDirectory(folder), SMALL_STORE)
    store.open()
    for n in range(5):
        store.write([[Record("s", b"k%d" % n, msgspec.msgpack.encode({"n": n}), 7)]])
    store.close()
    (folder / "strange.txt").write_text("not ours")
    log = next(folder.glob("log-*"))
    log.write_bytes(log.read_bytes()[:-3])

    def command(*words: str) -> subprocess.CompletedProcess[str]:
        line = [sys.executable, "-m", "sagetrack", "store", *words]
        return subprocess.run(line, cwd=ROOT, text=True, capture_output=True, timeout=60)

    damaged = command("verify", str(folder))
    assert damaged.returncode == 1 and "batch 4 is the last; 4 values" in damaged.stdout
    rows = [json.loads(line) for line in command("dump", str(folder)).stdout.splitlines()]
    assert {"space": "s", "key": "k2", "at_ms": 7, "value": {"n": 2}} in rows and len(rows) == 4
    size = log.stat().st_size
    dry_run = command("repair", str(folder), "--dry-run")
    assert dry_run.returncode == 0 and log.stat().st_size == size and "would be put aside" in dry_run.stdout
    assert command("repair", str(folder)).returncode == 0 and log.stat().st_size < size
    assert command("verify", str(folder)).returncode == 0
    assert command("compact", str(folder)).returncode == 0
    missing = command("verify", str(tmp_path / "none"))
    assert missing.returncode == 2 and missing.stderr.count("\n") == 1
    assert (folder / "strange.txt").read_text() == "not ours" and FILE_HEADER.size == 22
