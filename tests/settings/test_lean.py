"""A spared start: what is put off isn't loaded, and is there once it is asked."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

PACKAGES = Path(__file__).parents[2] / "packages"


def told(program):
    # -S: nothing but what is asked, since a site's own additions may import anything
    paths = [*map(str, PACKAGES.iterdir()), *filter(None, sys.path)]
    found = subprocess.run(
        [
            sys.executable,
            "-S",
            "-c",
            f"from meadowdock.settings import lean\nlean.spare()\n{program}",
        ],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
        capture_output=True,
        text=True,
        check=True,
    )
    return found.stdout.split()


def test_trio_runs_without_what_is_put_off():
    program = """
import sys, trio
from trio.to_thread import run_sync
trio.run(trio.sleep, 0)
print(trio.run(run_sync, len, "abc"))
import ssl, subprocess
print(*(type(sys.modules[name]).__name__ for name in lean.UNUSED))
print("_ssl" in sys.modules, "_hashlib" in sys.modules and sys.modules["_hashlib"] is None)
"""
    assert told(program) == ["3", *["Later"] * 4, "False", "True"]


def test_put_off_is_there_once_asked():
    program = """
import ssl, ssl, ipaddress
print(ssl.create_default_context().check_hostname, ipaddress.ip_address("10.0.0.1").version)
print(type(ssl).__name__)
"""
    assert told(program) == ["True", "4", "module"]


def test_hashes_are_the_same_without_openssl():
    program = """
import hashlib, hmac
print(hashlib.sha256(b"a").hexdigest(), hmac.digest(b"k", b"a", "sha256").hex())
print(hmac.digest(b"k", b"a", hashlib.sha256).hex())
"""
    # as `openssl dgst -sha256` tells them, the second with `-hmac k`
    plain = "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb"
    keyed = "78da91511e675587f5b9df78bedebaf5560da2abb88162ee875dcdf744951d9e"
    found = told(program)
    assert found[0] == plain
    assert found[1] == found[2] == keyed


def test_what_is_loaded_is_left_alone():
    program = """
import sys, json
kept = sys.modules["json"]
lean.put_off("json")
print(sys.modules["json"] is kept)
"""
    assert told(program) == ["True"]
