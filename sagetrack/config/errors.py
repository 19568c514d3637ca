"""Errors of the configuration. Each message says what is wrong, where, and what is allowed."""

from __future__ import annotations

from pathlib import Path


class ConfigurationError(ValueError):
    """Base class of this package's errors."""


class ConfigError(ConfigurationError):
    """The configuration cannot be used; the message says why, in one line. The first fault alone is named."""


class FileError(ConfigurationError):
    """A file that cannot be used; `faults` has one plain line for each fault."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__(faults[0])
        self.faults = faults


class UnreadableError(FileError):
    """The file cannot be read at all, as `error` says; its content is not known."""

    def __init__(self, path: Path, error: OSError) -> None:
        super().__init__([f"{path}: {error.strerror}"])
        self.error = error
