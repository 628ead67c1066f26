"""Deferred imports: a deferred module is not loaded at the start, and is once it is used."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

PACKAGES = Path(__file__).parents[2] / "packages"


def output_words(program):
    # -S: nothing but what is asked, since a site's own additions may import anything
    paths = [*map(str, PACKAGES.iterdir()), *filter(None, sys.path)]
    found = subprocess.run(
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
    return found.stdout.split()


def test_trio_runs_without_the_deferred_modules():
    program = """
import sys, trio
from trio.to_thread import run_sync
trio.run(trio.sleep, 0)
print(trio.run(run_sync, len, "abc"))
import ssl, subprocess
print(*(type(sys.modules[name]).__name__ for name in deferred_imports.UNUSED))
print("_ssl" in sys.modules, "_hashlib" in sys.modules and sys.modules["_hashlib"] is None)
"""
    assert output_words(program) == ["3", *["DeferredModule"] * 4, "False", "True"]


def test_a_deferred_module_is_loaded_at_first_use():
    program = """
import ssl, ssl, ipaddress
print(ssl.create_default_context().check_hostname, ipaddress.ip_address("10.0.0.1").version)
print(type(ssl).__name__)
"""
    assert output_words(program) == ["True", "4", "module"]


def test_hashes_are_the_same_without_openssl():
    program = """
import hashlib, hmac
print(hashlib.sha256(b"a").hexdigest(), hmac.digest(b"k", b"a", "sha256").hex())
print(hmac.digest(b"k", b"a", hashlib.sha256).hex())
"""
    # as `openssl dgst -sha256` tells them, the second with `-hmac k`
    plain = "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb"
    keyed = "78da91511e675587f5b9df78bedebaf5560da2abb88162ee875dcdf744951d9e"
    found = output_words(program)
    assert found[0] == plain
    assert found[1] == found[2] == keyed


def test_a_loaded_module_is_left_alone():
    program = """
import sys, json
kept = sys.modules["json"]
deferred_imports.defer_import("json")
print(sys.modules["json"] is kept)
"""
    assert output_words(program) == ["True"]
