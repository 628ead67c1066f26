"""Deferred imports: a module is not loaded at the start, but at its first use."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

PACKAGES = Path(__file__).parents[2] / "packages"


def run_with_deferred_imports(program):
    """Run a program after `defer_unused_imports` and return the words of its output."""
    # -S: additions to the site may import any module
    paths = [*map(str, PACKAGES.iterdir()), *filter(None, sys.path)]
    result = subprocess.run(
        [
            sys.executable,
            "-S",
            "-c",
            f"from meadowdock.settings import deferred_imports\ndeferred_imports.defer_unused_imports()\n{program}",
        ],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
        capture_output=True,
        text=True,
        check=True,
    )
    return result.stdout.split()


def test_trio_runs_without_the_deferred_modules():
    program = """
import sys, trio
from trio.to_thread import run_sync
trio.run(trio.sleep, 0)
print(trio.run(run_sync, len, "abc"))
import ssl, subprocess
print(*(type(sys.modules[name]).__name__ for name in deferred_imports.DEFERRED))
print("_ssl" in sys.modules, "_hashlib" in sys.modules and sys.modules["_hashlib"] is None)
"""
    assert run_with_deferred_imports(program) == ["3", *["DeferredModule"] * 4, "False", "True"]


def test_a_deferred_module_is_loaded_at_its_first_use():
    program = """
import ssl, ssl, ipaddress
print(ssl.create_default_context().check_hostname, ipaddress.ip_address("10.0.0.1").version)
print(type(ssl).__name__)
"""
    assert run_with_deferred_imports(program) == ["True", "4", "module"]


def test_hashes_are_the_same_without_openssl():
    program = """
import hashlib, hmac
print(hashlib.sha256(b"a").hexdigest(), hmac.digest(b"k", b"a", "sha256").hex())
print(hmac.digest(b"k", b"a", hashlib.sha256).hex())
"""
    # computed with `openssl dgst -sha256`, the second with `-hmac k`
    sha256_digest = "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb"
    hmac_digest = "78da91511e675587f5b9df78bedebaf5560da2abb88162ee875dcdf744951d9e"
    result = run_with_deferred_imports(program)
    assert result[0] == sha256_digest
    assert result[1] == result[2] == hmac_digest


def test_a_module_that_is_already_loaded_is_not_deferred():
    program = """
import sys, json
kept = sys.modules["json"]
deferred_imports.defer_import("json")
print(sys.modules["json"] is kept)
"""
    assert run_with_deferred_imports(program) == ["True"]
