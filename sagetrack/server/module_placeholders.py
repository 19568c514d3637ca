"""Placeholders for modules that libraries import and this process does not use, which saves their memory."""

from __future__ import annotations

import sys
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from importlib import import_module
from types import ModuleType
from typing import Any


class PlaceholderModule(ModuleType):
    """Stands in for a module, which is loaded when a name is used that the placeholder does not have."""

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the module that this one stands in for."""
        if name.startswith("__") and name != "__path__":
            raise AttributeError(name)
        return getattr(self._load(), name)

    def _load(self) -> ModuleType:
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        return import_module(self.__name__)


@contextmanager
def placeholders(modules: Mapping[str, ModuleType | None]) -> Iterator[None]:
    """Let imports find these modules by name; None makes the import fail.

    Afterwards the names are free again, so that a later import loads the module itself. Modules that are
    already loaded are left alone.
    """
    loaded: dict[str, Any] = sys.modules
    added = {name: module for name, module in modules.items() if name not in loaded}
    loaded.update(added)
    try:
        yield
    finally:
        for name, module in added.items():
            if name in loaded and loaded[name] is module:
                del loaded[name]
