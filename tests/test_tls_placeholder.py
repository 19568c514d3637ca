"""A process without TLS does not load the TLS library; one with TLS has the real module everywhere."""

from __future__ import annotations

import subprocess
import sys

import pytest

from sagetrack.server.tls_placeholder import without_tls
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
