"""Deferred imports, which save a daemon the memory of modules that it never uses.

A program calls `defer_unused_imports` before all its other imports. Libraries must not call it.
"""

from __future__ import annotations

import ctypes
import importlib.util
import sys
import types

# Imported by trio and the standard library for TLS, non-ASCII host names, subprocesses and URLs.
# Each is loaded at the first access to one of its attributes.
DEFERRED = ("ssl", "idna", "subprocess", "ipaddress")
# Loads all of OpenSSL for hashes that hashlib also implements without it.
OMITTED = ("_hashlib",)


class DeferredModule(types.ModuleType):
    """A module that is executed at the first access to one of its attributes.

    importlib's LazyLoader is no alternative: Python 3.11 itself accesses an attribute of the module
    when it is imported a second time, which would load it.
    """

    def __getattr__(self, name: str) -> object:
        self.__class__ = types.ModuleType  # type: ignore[assignment]
        spec = self.__spec__
        assert spec is not None and spec.loader is not None  # defer_import found it
        spec.loader.exec_module(self)
        return getattr(self, name)


def defer_import(name: str) -> None:
    """Defer the loading of a module to its first use; a module that is already loaded stays."""
    spec = None if name in sys.modules else importlib.util.find_spec(name)
    if spec is not None:
        module = sys.modules[name] = importlib.util.module_from_spec(spec)
        module.__class__ = DeferredModule


def defer_unused_imports() -> None:
    """Defer or omit the modules that no daemon needs."""
    for name in DEFERRED:
        defer_import(name)
    for name in OMITTED:
        # None makes its import fail, so that hashlib falls back to its own implementation.
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
    if "ctypes.util" not in sys.modules:
        install_library_finder()


def install_library_finder() -> None:
    """Install a minimal ctypes.util for trio, which uses it once to find the C library.

    The original would start other programs for that.
    """
    module = types.ModuleType("ctypes.util")
    module.find_library = find_library  # type: ignore[attr-defined]
    ctypes.util = module  # type: ignore[attr-defined]
    sys.modules["ctypes.util"] = module


def find_library(name: str) -> str | None:
    """Return the file name of the C library, or None for any other library."""
    return "libc.so.6" if name in ("c", "pthread") else None
