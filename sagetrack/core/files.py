"""Files that other processes read while they are replaced."""

from __future__ import annotations

import os

StrPath = str | os.PathLike[str]


def replace_file(path: StrPath, data: bytes) -> None:
    """Replace a file atomically: readers see the old or the new content, never a part of it.

    Raises:
        OSError: The file could not be written; the old one is left as it was.
    """
    temporary = f"{os.fspath(path)}.{os.getpid()}"
    with open(temporary, "wb") as file:
        file.write(data)
    os.replace(temporary, path)
