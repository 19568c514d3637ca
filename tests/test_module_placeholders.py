"""A gateway does not load the modules that it does not use; they can be loaded afterwards."""

from __future__ import annotations

import inspect
import logging
import subprocess
import sys
from functools import partial

import pytest

from sagetrack.core import log as log_module
from sagetrack.server.tls_placeholder import without_tls
from sagetrack.server.unused_modules import LibraryLogger, is_coroutine_function, is_generator
from tests.test_gateway_process import ROOT

IMPORT_GATEWAY = "import sagetrack.config.platform, sagetrack.server.lifecycle, asyncio, uvloop, hashlib, sys"


def run_python(program: str) -> str:
    return subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, check=True, capture_output=True, text=True
    ).stdout


def test_a_process_without_tls_does_not_load_the_tls_library() -> None:
    program = f"""
from sagetrack.server.tls_placeholder import without_tls
with without_tls():
    {IMPORT_GATEWAY}
print("ssl" in sys.modules, "_ssl" in sys.modules, "_hashlib" in sys.modules)
print("libcrypto" in open("/proc/self/maps").read())
"""
    assert run_python(program).split() == ["False"] * 4


def test_hashes_are_the_same_without_the_tls_library() -> None:
    program = "from sagetrack.config.platform import stable_hash; print(stable_hash('s-1', 8))"
    guarded = f"from sagetrack.server.tls_placeholder import without_tls\nwith without_tls():\n    {program}"
    assert run_python(program) == run_python(guarded)


def test_tls_can_be_loaded_afterwards() -> None:
    program = f"""
from sagetrack.server.tls_placeholder import without_tls
with without_tls():
    {IMPORT_GATEWAY}
import ssl
print(ssl.create_default_context().check_hostname)
"""
    assert run_python(program).strip() == "True"


def test_a_loaded_tls_library_is_left_alone() -> None:
    ssl = pytest.importorskip("ssl")
    with without_tls():
        assert sys.modules["ssl"] is ssl
    assert sys.modules["ssl"] is ssl


UNUSED_MODULES = ("inspect", "logging", "subprocess", "pathlib", "urllib", "ast", "locale", "ipaddress")


# Guards against a process whose memory at rest leaves too little of the limit, picture (a).
def test_a_gateway_without_options_does_not_load_unused_modules() -> None:
    program = f"""
import os, sys
from sagetrack.server import process
os.environ["LB_CONFIG"] = "missing"
from sagetrack.core import transient_errors
transient_errors.RETRY_TIMEOUT_S = 0.0
assert process.main() == 2
from sagetrack.server.unused_modules import without_unused_modules
from sagetrack.server.tls_placeholder import without_tls
with without_unused_modules(), without_tls():
    {IMPORT_GATEWAY}
print([name for name in {UNUSED_MODULES} if name in sys.modules])
"""
    assert run_python(program).strip() == "[]"


def test_a_name_that_a_placeholder_lacks_is_that_of_the_module() -> None:
    program = """
from sagetrack.server.unused_modules import without_unused_modules
with without_unused_modules():
    import asyncio, dataclasses, logging as placeholder, sys
@dataclasses.dataclass
class Point:
    x: int
print(Point.__doc__, "inspect" in sys.modules)
import logging
print(logging is not placeholder, placeholder.Handler is logging.Handler)
"""
    assert run_python(program).split() == ["Point(x:", "int)", "True", "True", "True"]


def test_a_submodule_can_be_imported_beside_a_placeholder() -> None:
    program = """
from sagetrack.server.unused_modules import without_unused_modules
with without_unused_modules():
    import asyncio
    import logging.handlers
print(logging.handlers.QueueHandler.__name__)
"""
    assert run_python(program).strip() == "QueueHandler"


class Example:
    async def coroutine(self) -> None: ...

    def function(self) -> None: ...


def test_the_placeholder_of_inspect_decides_as_the_module_does() -> None:
    values = [
        Example.coroutine,
        Example().coroutine,
        Example.function,
        Example().function,
        partial(Example().coroutine),
        partial(partial(Example.function)),
        Example,
        print,
        (x for x in ""),
    ]
    for value in values:
        assert is_coroutine_function(value) == inspect.iscoroutinefunction(value)
        assert is_generator(value) == inspect.isgenerator(value)


def test_messages_of_libraries_go_to_the_log(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[tuple[str, str]] = []
    monkeypatch.setattr(log_module, "_sink", lambda level, event, fields: lines.append((level, event)))
    monkeypatch.setattr(log_module, "_rate_limit", log_module.LogRateLimit())
    logger = LibraryLogger()
    logger.info("not of interest")
    logger.warning("%s of %d", "one", 2)
    try:
        raise ValueError("broken")
    except ValueError as error:
        logger.exception("failed")
        logger.error("failed 2", exc_info=error)
        logger.error("failed 3", exc_info=(type(error), error, error.__traceback__))
    assert lines[0] == ("warning", "one of 2")
    assert [level for level, _ in lines[1:]] == ["error"] * 3
    assert all(event.endswith("ValueError: broken") for _, event in lines[1:])
    assert logger.isEnabledFor(logging.WARNING) and not logger.isEnabledFor(logging.DEBUG)
