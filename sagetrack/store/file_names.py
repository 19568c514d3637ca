"""Names of the store's files on disk.

A log segment is `log-NUMBER` and a checkpoint `base-SEQUENCE`, with 16 hexadecimal digits each. A checkpoint
or manifest has the suffix `.new` until it is complete and renamed. Damaged files and damaged parts of files
are quarantined as `aside-…`.
"""

from __future__ import annotations

import re

MANIFEST = "MANIFEST"
LOCK = "LOCK"
UNFINISHED_SUFFIX = ".new"
_SEGMENT = re.compile(r"log-([0-9a-f]{16})")
_CHECKPOINT = re.compile(r"base-([0-9a-f]{16})")
_STORE_FILE = re.compile(r"(?:log|base)-[0-9a-f]{16}|MANIFEST|(?:base|MANIFEST)[-0-9a-f]*\.new|aside-.*|LOCK")


def segment_name(number: int) -> str:
    """Return the file name of a log segment."""
    return f"log-{number:016x}"


def segment_number(name: str) -> int | None:
    """Return the number of a log segment by its file name; None if the file is not a log segment."""
    match = _SEGMENT.fullmatch(name)
    return None if match is None else int(match[1], 16)


def checkpoint_name(sequence: int) -> str:
    """Return the file name of the checkpoint as of a sequence number."""
    return f"base-{sequence:016x}"


def checkpoint_sequence(name: str) -> int | None:
    """Return the sequence number of a checkpoint by its file name; None if it is not a checkpoint."""
    match = _CHECKPOINT.fullmatch(name)
    return None if match is None else int(match[1], 16)


def unfinished_name(name: str) -> str:
    """Return the temporary name of a file that is being written."""
    return name + UNFINISHED_SUFFIX


def quarantine_name(name: str, offset: int | None = None) -> str:
    """Return the quarantine name of a damaged file, or of its part from an offset on."""
    return f"aside-{name}" if offset is None else f"aside-{name}-{offset}"


def is_store_file(name: str) -> bool:
    """True if the name has the form of one of the store's own files."""
    return _STORE_FILE.fullmatch(name) is not None
