"""A real process that writes to a store on disk until it is killed.

Each batch follows from its number, so that who opens the store afterwards knows what it must hold.
"""

from __future__ import annotations

import os
import random
import select
import signal
import subprocess
import sys
import time
from pathlib import Path

from sagetrack.lab.fault_injection.store_states import Batch, State, state_after
from sagetrack.store.directory import DiskDirectory
from sagetrack.store.engine import Store
from sagetrack.store.format import Record
from sagetrack.store.options import StoreOptions

LARGE_STORE = StoreOptions(segment_bytes=64 * 1024, max_bytes=64_000_000)
COMPACT_EVERY_BATCHES = 200  # batches
OVERWRITTEN_AFTER_BATCHES = 400  # batches: by then each key was most likely written again
FIRST_BATCH_TIMEOUT_S = 10.0  # for the first batch
MAX_WRITING_S = 0.1  # after the first batch


def write_until_killed(folder: str) -> None:
    """Write batch after batch; print a batch's number to standard output once it is durable."""
    store = Store(DiskDirectory(folder), LARGE_STORE)
    sequence = store.open().sequence
    while True:
        sequence += 1
        store.write([numbered_batch(sequence)])
        store.sync()
        os.write(1, b"%d\n" % sequence)
        if store.compaction_due or sequence % COMPACT_EVERY_BATCHES == 0:
            for _ in store.compact(0):
                pass


def numbered_batch(sequence: int) -> Batch:
    """Batch n: eight of fifty keys, with values that follow from n."""
    rng = random.Random(sequence)
    return [Record("w", b"%d" % rng.randrange(50), b"%d:" % sequence + rng.randbytes(40)) for _ in range(8)]


def newest_values(sequence: int) -> State:
    """What the last batches up to this number left; keys that were written long ago are missing."""
    state: State = {}
    for batch_number in range(max(1, sequence - OVERWRITTEN_AFTER_BATCHES), sequence + 1):
        state = state_after(state, numbered_batch(batch_number))
    return state


def write_and_kill(folder: Path, rng: random.Random, last_batch: int) -> int:
    """Let a process write for a moment, and kill it.

    Args:
        folder: The directory of the store.
        rng: Decides how long the process may write after its first batch.
        last_batch: The last batch that was there before.

    Returns:
        The number of the last batch that the process reported to be durable.
    """
    module = write_until_killed.__module__
    code = f"from {module} import write_until_killed; write_until_killed({str(folder)!r})"
    process = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)
    assert process.stdout is not None
    os.set_blocking(process.stdout.fileno(), False)
    output = b""
    kill_at_s: float | None = None
    while kill_at_s is None or time.monotonic() < kill_at_s:
        timeout_s = FIRST_BATCH_TIMEOUT_S if kill_at_s is None else max(0.0, kill_at_s - time.monotonic())
        if not select.select([process.stdout], [], [], timeout_s)[0]:
            break
        output += process.stdout.read() or b""
        if kill_at_s is None:
            kill_at_s = time.monotonic() + rng.random() * MAX_WRITING_S
    process.send_signal(signal.SIGKILL)
    process.wait()
    output += process.stdout.read() or b""
    process.stdout.close()
    lines = output.split(b"\n")[:-1]
    return int(lines[-1]) if lines else last_batch
