"""Configuration errors. Each message states what is wrong, where, and which values are allowed."""

from __future__ import annotations

from os import PathLike


class ConfigurationError(ValueError):
    """Base class of this package's errors."""


class ConfigError(ConfigurationError):
    """The configuration is invalid. The one-line message describes the first fault only."""


class IncompleteConfigError(ConfigError):
    """The file is missing, unreadable or not valid JSON, as it is while it is being written."""


class FileError(ConfigurationError):
    """A configuration file is invalid; `faults` has a one-line message for each fault."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__(faults[0])
        self.faults = faults


class IncompleteFileError(FileError):
    """The file is unreadable or its syntax is invalid, as it is while it is being written."""


class UnreadableError(IncompleteFileError):
    """The file cannot be read because of the operating-system error `error`, so its content is unchecked."""

    def __init__(self, path: PathLike[str], error: OSError) -> None:
        super().__init__([f"{path}: {error.strerror}"])
        self.error = error
