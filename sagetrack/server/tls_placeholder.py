"""Keeps the TLS library out of the memory of a process that does not use TLS.

asyncio and uvloop import `ssl` only for the names of its classes, errors and constants, and `hashlib` loads
the same library although the hash functions that this program uses are built into the interpreter. While
they are imported, a module with these names stands in for `ssl`, and `_hashlib` cannot be imported.
"""

from __future__ import annotations

import sys
from contextlib import AbstractContextManager, nullcontext
from types import ModuleType

from sagetrack.server.module_placeholders import placeholders

TLS_MODULE = "ssl"
OPENSSL_HASH_MODULE = "_hashlib"
CLASS_NAMES = ("MemoryBIO", "SSLContext", "SSLObject", "SSLSocket")
ERROR_NAMES = (
    "CertificateError",
    "SSLError",
    "SSLSyscallError",
    "SSLWantReadError",
    "SSLWantWriteError",
    "SSLZeroReturnError",
)
# OpenSSL's numbers of the conditions that an SSLError reports.
CONSTANTS = {"SSL_ERROR_WANT_READ": 2, "SSL_ERROR_WANT_WRITE": 3, "SSL_ERROR_SYSCALL": 5}


class TlsUnavailableError(RuntimeError):
    """TLS was used in a process that was started without it."""


def without_tls() -> AbstractContextManager[None]:
    """Import asyncio, uvloop and hashlib without the TLS library; has no effect if it is already loaded."""
    if TLS_MODULE in sys.modules or OPENSSL_HASH_MODULE in sys.modules:
        return nullcontext()
    # Without the second module, hashlib falls back on the functions of the interpreter.
    return placeholders({TLS_MODULE: _placeholder(), OPENSSL_HASH_MODULE: None})


def _placeholder() -> ModuleType:
    """Return a module with the names of `ssl` that asyncio and uvloop ask for at their import."""
    module = ModuleType(TLS_MODULE)
    for name in CLASS_NAMES:
        setattr(module, name, type(name, (), {}))
    for name in ERROR_NAMES:
        setattr(module, name, type(name, (OSError,), {}))
    for name, value in CONSTANTS.items():
        setattr(module, name, value)
    module.create_default_context = _refuse  # type: ignore[attr-defined]
    return module


def _refuse(*args: object, **named: object) -> None:
    raise TlsUnavailableError("TLS is not loaded in this process")
