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
COMPACT_EVERY = 200  # batches
OVERWRITTEN_AFTER = 400  # batches: by then each key was most likely written again
START_S = 10.0  # for the first batch
MOST_WRITING_S = 0.1  # after the first batch


def write_until_killed(folder: str) -> None:
    """Write batch after batch; print a batch's number to standard output once it is durable."""
    store = Store(DiskDirectory(folder), LARGE_STORE)
    sequence = store.open().sequence
    while True:
        sequence += 1
        store.write([numbered_batch(sequence)])
        store.sync()
        os.write(1, b"%d\n" % sequence)
        if store.compaction_due or sequence % COMPACT_EVERY == 0:
            for _ in store.compact(0):
                pass


def numbered_batch(sequence: int) -> Batch:
    """Batch n: eight of fifty keys, with values that follow from n."""
    draw = random.Random(sequence)
    return [Record("w", b"%d" % draw.randrange(50), b"%d:" % sequence + draw.randbytes(40)) for _ in range(8)]


def newest_values(sequence: int) -> State:
    """What the last batches up to this number left; keys that were written long ago are missing."""
    state: State = {}
    for number in range(max(1, sequence - OVERWRITTEN_AFTER), sequence + 1):
        state = state_after(state, numbered_batch(number))
    return state


def write_and_kill(folder: Path, draw: random.Random, before: int) -> int:
    """Let a process write for a moment, and kill it.

    Args:
        folder: The directory of the store.
        draw: Decides how long the process may write after its first batch.
        before: The last batch that was there before.

    Returns:
        The number of the last batch that the process reported to be durable.
    """
    module = write_until_killed.__module__
    code = f"from {module} import write_until_killed; write_until_killed({str(folder)!r})"
    process = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)
    assert process.stdout is not None
    os.set_blocking(process.stdout.fileno(), False)
    output = b""
    end: float | None = None
    while end is None or time.monotonic() < end:
        left = START_S if end is None else max(0.0, end - time.monotonic())
        if not select.select([process.stdout], [], [], left)[0]:
            break
        output += process.stdout.read() or b""
        if end is None:
            end = time.monotonic() + draw.random() * MOST_WRITING_S
    process.send_signal(signal.SIGKILL)
    process.wait()
    output += process.stdout.read() or b""
    process.stdout.close()
    lines = output.split(b"\n")[:-1]
    return int(lines[-1]) if lines else before
