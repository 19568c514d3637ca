"""Keeps `inspect`, `logging` and `subprocess` out of the memory of a process that hardly uses them.

asyncio, uvloop and dataclasses import them. The names that are used in service are defined here; with any
other one, the module itself is loaded.
"""

from __future__ import annotations

import traceback
from contextlib import AbstractContextManager
from functools import partial
from types import FunctionType, GeneratorType, MethodType, ModuleType
from typing import Any

from sagetrack.server.module_placeholders import PlaceholderModule, placeholders

COROUTINE_FLAG = 0x80  # CO_COROUTINE, of a code object
DEBUG_LEVEL = 10  # logging.DEBUG
PIPE, STDOUT, DEVNULL = -1, -2, -3  # of `subprocess`


def without_unused_modules() -> AbstractContextManager[None]:
    """Import asyncio, uvloop and dataclasses without these modules; those already loaded are left alone."""
    modules = (_inspect_placeholder(), _logging_placeholder(), _subprocess_placeholder())
    return placeholders({module.__name__: module for module in modules})


class LibraryLogger:
    """Writes the messages of libraries to the log of this program, in place of a `logging.Logger`."""

    def debug(self, message: str, *values: object, **options: Any) -> None:
        """Ignore the message."""

    info = debug

    def warning(self, message: str, *values: object, **options: Any) -> None:
        """Log a message, and the traceback that `exc_info` asks for."""
        self._write("warning", message, values, options.get("exc_info"))

    def error(self, message: str, *values: object, **options: Any) -> None:
        """Log a message, and the traceback that `exc_info` asks for."""
        self._write("error", message, values, options.get("exc_info"))

    critical = error

    def exception(self, message: str, *values: object, **options: Any) -> None:
        """Log a message and the traceback of the exception that is being handled."""
        self._write("error", message, values, True)

    def isEnabledFor(self, level: int) -> bool:  # noqa: N802 (a name of `logging`)
        """Return whether messages of this level are logged."""
        return level > DEBUG_LEVEL

    @staticmethod
    def _write(level: str, message: str, values: tuple[object, ...], exc_info: object) -> None:
        from sagetrack.core.log import log  # imports dataclasses, for which the placeholders have to exist

        text = message % values if values else message
        if exc_info is True:
            text += "\n" + traceback.format_exc()
        elif isinstance(exc_info, tuple):
            text += "\n" + "".join(traceback.format_exception(*exc_info))
        elif isinstance(exc_info, BaseException):
            text += "\n" + "".join(traceback.format_exception(exc_info))
        log(text.rstrip(), level)


def is_coroutine_function(function: object) -> bool:
    """Return whether a function, a method or a partial application is defined with `async def`."""
    while isinstance(function, MethodType | partial):
        function = function.__func__ if isinstance(function, MethodType) else function.func
    return isinstance(function, FunctionType) and bool(function.__code__.co_flags & COROUTINE_FLAG)


def is_generator(value: object) -> bool:
    """Return whether a value is a generator."""
    return isinstance(value, GeneratorType)


def _inspect_placeholder() -> ModuleType:
    module = PlaceholderModule("inspect")
    vars(module).update(iscoroutinefunction=is_coroutine_function, isgenerator=is_generator)
    return module


def _logging_placeholder() -> ModuleType:
    module = PlaceholderModule("logging")
    vars(module).update(DEBUG=DEBUG_LEVEL, getLogger=lambda name=None: LibraryLogger())
    return module


def _subprocess_placeholder() -> ModuleType:
    module = PlaceholderModule("subprocess")
    error = type("SubprocessError", (Exception,), {})
    vars(module).update(PIPE=PIPE, STDOUT=STDOUT, DEVNULL=DEVNULL, SubprocessError=error)
    return module
