"""`sagetrack store …`: verify a store, print its values, compact it, repair it, crash-test one."""

from __future__ import annotations

import json
import sys
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from sagetrack.cli.lab_app import INTERRUPTED, exit_with, fail, progress_bar

if TYPE_CHECKING:
    from sagetrack.store.engine import Store
    from sagetrack.store.recovery import RecoveryReport

app = typer.Typer(help="A gateway's store on disk (docs/operators/store.md).", no_args_is_help=True)

Folder = Annotated[Path, typer.Argument(help="the store's directory")]


def open_store(folder: Path, stack: ExitStack, writes: bool) -> tuple[Store, RecoveryReport]:
    """Open the store of a directory until the stack closes; without `writes` nothing on disk changes.

    Returns:
        The store and what was recovered; if it cannot be opened, exit 2 with one line.
    """
    from sagetrack.store.directory import DiskDirectory, DryRunDirectory
    from sagetrack.store.engine import Store
    from sagetrack.store.errors import CorruptionError, NewerFormatError
    from sagetrack.store.options import StoreOptions

    if not folder.is_dir():
        raise fail(f"{folder}: no directory")
    try:
        files = DiskDirectory(folder, create=False) if writes else DryRunDirectory(folder)
        stack.callback(files.close)
        store = Store(files, StoreOptions(max_bytes=2**50), lambda line: print(line, file=sys.stderr))
        return store, store.open()
    except BlockingIOError:
        raise fail(f"{folder}: a gateway or another command has this store") from None
    except (OSError, NewerFormatError, CorruptionError) as error:
        raise fail(f"{folder}: {getattr(error, 'strerror', None) or error}") from None


@app.command("verify")
def verify(folder: Folder) -> None:
    """Read all of it, change nothing; exit 1 if anything is damaged."""
    with ExitStack() as stack:
        store, recovery = open_store(folder, stack, False)
        snapshot = store.snapshot()
        values = size = 0
        with progress_bar("verify", False) as progress:
            for op in snapshot.items():
                values += 1
                size += len(op.key) + len(op.value or b"")
                if values % 1000 == 0:
                    progress(min(1.0, size / max(1, store.bytes_used)))
        print(
            f"{folder}: batch {recovery.sequence} is the last; {values} values of {size} bytes in "
            f"{store.bytes_used} bytes; {len(recovery.quarantined)} parts damaged, "
            f"{recovery.lost_bytes} bytes"
        )
        raise exit_with(recovery.quarantined)


@app.command("dump")
def dump(folder: Folder, space: Annotated[str | None, typer.Option(help="this space alone")] = None) -> None:
    """Write every value as a line of JSON; what is no MessagePack as text of its bytes in base 16."""
    import msgspec

    with ExitStack() as stack:
        store, _ = open_store(folder, stack, False)
        for op in store.snapshot().items(space):
            value: object = (op.value or b"").hex()
            with suppress(msgspec.DecodeError, UnicodeDecodeError):
                value = msgspec.to_builtins(msgspec.msgpack.decode(op.value or b""))
            key = op.key.decode() if op.key.isascii() and op.key.decode().isprintable() else op.key.hex()
            print(json.dumps({"space": op.space, "key": key, "at_ms": op.at_ms, "value": value}))


@app.command("compact")
def compact(folder: Folder) -> None:
    """Write a new base, and remove what it replaces."""
    import time

    with ExitStack() as stack:
        store, recovery = open_store(folder, stack, True)
        before, records = store.bytes_used, max(1, recovery.records + store.uncompacted_keys)
        with progress_bar("compact", False) as progress:
            for step, _ in enumerate(store.compact(int(time.time() * 1000))):
                progress(min(1.0, step * 200 / records))
        print(f"{folder}: {before} bytes before, {store.bytes_used} now")


@app.command("repair")
def repair(
    folder: Folder,
    dry_run: Annotated[bool, typer.Option("--dry-run", help="report it, change nothing")] = False,
) -> None:
    """Put aside what is damaged, as a gateway does when it opens the store; exit 0 if it can be used then."""
    with ExitStack() as stack:
        _, recovery = open_store(folder, stack, not dry_run)
        would = "would be" if dry_run else "is"
        print(
            f"{folder}: batch {recovery.sequence} {would} the last; "
            f"{recovery.lost_bytes} bytes {would} put aside"
        )
        for line in recovery.quarantined:
            print(line)


@app.command("crash-test")
def crash_test(
    seconds: Annotated[float, typer.Option(help="about how long", min=1, max=86_400)] = 30.0,
    seed: Annotated[int, typer.Option(help="what is drawn follows from it", min=0)] = 1,
) -> None:
    """Cut and flip every byte of a store, crash it anywhere, kill a writer; exit 0 if all held."""
    from sagetrack.lab.fault_injection.crash_test import crash_test as run

    parts = {"bytes": (0.0, 0.6), "crashes": (0.6, 0.2), "kills": (0.8, 0.2)}  # begin and share of the time
    try:
        with progress_bar("crash-test", False) as progress:
            report = run(seconds, seed, lambda part, share: progress(parts[part][0] + parts[part][1] * share))
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    print(
        f"{report.truncations} cuts and {report.flipped_bits} flipped bits "
        f"({report.lossless_recoveries} of them lost nothing), "
        f"{report.crashes} crashes with {report.disk_errors} errors of the disk, "
        f"{report.kills} writers killed after {report.acknowledged_batches} batches: "
        f"{len(report.failures)} wrong"
    )
    raise exit_with(report.failures)


app.command("torture", hidden=True)(crash_test)  # the name of earlier versions
