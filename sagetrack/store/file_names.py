"""Names of the store's files, as they are on disk.

A log segment is `log-NUMBER`, a checkpoint `base-SEQUENCE`, both in 16 hexadecimal digits. What is being
written ends in `.new` until it is renamed into place; damaged files and parts of files are kept as `aside-…`.
"""

from __future__ import annotations

import re

MANIFEST = "MANIFEST"
LOCK = "LOCK"
UNFINISHED_SUFFIX = ".new"
_SEGMENT = re.compile(r"log-([0-9a-f]{16})")
_CHECKPOINT = re.compile(r"base-([0-9a-f]{16})")
_OWN = re.compile(r"(?:log|base)-[0-9a-f]{16}|MANIFEST|(?:base|MANIFEST)[-0-9a-f]*\.new|aside-.*|LOCK")


def segment_name(number: int) -> str:
    """Name of a log segment."""
    return f"log-{number:016x}"


def segment_number(name: str) -> int | None:
    """Number of a log segment; None if the name is not that of one."""
    match = _SEGMENT.fullmatch(name)
    return None if match is None else int(match[1], 16)


def checkpoint_name(sequence: int) -> str:
    """Name of the checkpoint as of a sequence number."""
    return f"base-{sequence:016x}"


def checkpoint_sequence(name: str) -> int | None:
    """Sequence number of a checkpoint; None if the name is not that of one."""
    match = _CHECKPOINT.fullmatch(name)
    return None if match is None else int(match[1], 16)


def unfinished_name(name: str) -> str:
    """Name of a file while it is being written."""
    return name + UNFINISHED_SUFFIX


def quarantine_name(name: str, offset: int | None = None) -> str:
    """Name under which a damaged file, or its part from an offset on, is kept."""
    return f"aside-{name}" if offset is None else f"aside-{name}-{offset}"


def is_store_file(name: str) -> bool:
    """Whether the store writes files of this name."""
    return _OWN.fullmatch(name) is not None
