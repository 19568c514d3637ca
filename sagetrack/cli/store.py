"""`sagetrack store …`: verify, dump, compact or repair a store, and crash-test the store code."""

from __future__ import annotations

import json
import sys
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from sagetrack.cli.lab_app import INTERRUPTED, error_exit, failures_exit, progress_bar

if TYPE_CHECKING:
    from sagetrack.store.engine import Store
    from sagetrack.store.recovery import RecoveryReport

app = typer.Typer(help="A gateway's store on disk (docs/operators/store.md).", no_args_is_help=True)

Folder = Annotated[Path, typer.Argument(help="the store's directory")]


def open_store(folder: Path, stack: ExitStack, writes: bool) -> tuple[Store, RecoveryReport]:
    """Open the store of a directory; the stack closes it. Without `writes` nothing on disk changes.

    If the store cannot be opened, the command prints one line and exits with status 2.

    Returns:
        The store and the report of its recovery.
    """
    from sagetrack.store.directory import DiskDirectory, DryRunDirectory
    from sagetrack.store.engine import Store
    from sagetrack.store.errors import CorruptionError, NewerFormatError
    from sagetrack.store.options import StoreOptions

    if not folder.is_dir():
        raise error_exit(f"{folder}: not a directory")
    try:
        files = DiskDirectory(folder, create=False) if writes else DryRunDirectory(folder)
        stack.callback(files.close)
        store = Store(files, StoreOptions(max_bytes=2**50), lambda line: print(line, file=sys.stderr))
        return store, store.open()
    except BlockingIOError:
        raise error_exit(f"{folder}: a gateway or another command has this store") from None
    except (OSError, NewerFormatError, CorruptionError) as error:
        raise error_exit(f"{folder}: {getattr(error, 'strerror', None) or error}") from None


@app.command("verify")
def verify(folder: Folder) -> None:
    """Read the whole store without changing it; exit 1 if anything is damaged."""
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
        raise failures_exit(recovery.quarantined)


@app.command("dump")
def dump(
    folder: Folder, space: Annotated[str | None, typer.Option(help="dump only this key space")] = None
) -> None:
    """Print every value as a line of JSON; values that are not MessagePack are printed in hexadecimal."""
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
    """Write a new base file and remove the files that it replaces."""
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
    dry_run: Annotated[bool, typer.Option("--dry-run", help="only report; change nothing")] = False,
) -> None:
    """Move damaged parts aside, as a gateway does when it opens the store; exit 0 if the rest is usable."""
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
    seconds: Annotated[float, typer.Option(help="approximate duration", min=1, max=86_400)] = 30.0,
    seed: Annotated[int, typer.Option(help="seed of the random choices", min=0)] = 1,
) -> None:
    """Truncate and corrupt a store at every byte, crash it, kill its writer; exit 0 if all checks hold."""
    from sagetrack.lab.fault_injection.crash_test import crash_test as run

    # Start and length of each part, as shares of the whole test
    parts = {"bytes": (0.0, 0.6), "crashes": (0.6, 0.2), "kills": (0.8, 0.2)}
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
    raise failures_exit(report.failures)


app.command("torture", hidden=True)(crash_test)  # name in earlier versions
