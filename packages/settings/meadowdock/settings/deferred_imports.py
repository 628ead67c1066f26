"""Starts a daemon without the modules that it never uses: their memory is paid for as long as a
process runs.

`defer_unused_imports` comes before all other imports of a program, and is for whole programs only.
"""

from __future__ import annotations

import ctypes
import importlib.util
import sys
import types

# What trio and the standard library import for TLS, for host names that aren't ASCII, for other
# programs and for URLs. Each is loaded once one of its names is asked for.
UNUSED = ("ssl", "idna", "subprocess", "ipaddress")
# A second implementation of the hashes that hashlib has by itself, at the price of all of OpenSSL.
OMITTED = ("_hashlib",)


class DeferredModule(types.ModuleType):
    """A module whose code runs once one of its names is asked for.

    importlib's LazyLoader doesn't do: Python 3.11 itself looks at the module when it is imported a
    second time.
    """

    def __getattr__(self, name: str) -> object:
        self.__class__ = types.ModuleType  # type: ignore[assignment]
        spec = self.__spec__
        assert spec is not None and spec.loader is not None  # defer_import found it
        spec.loader.exec_module(self)
        return getattr(self, name)


def defer_import(name: str) -> None:
    """Load a module only when one of its names is asked for; nothing if it is loaded already."""
    spec = None if name in sys.modules else importlib.util.find_spec(name)
    if spec is not None:
        module = sys.modules[name] = importlib.util.module_from_spec(spec)
        module.__class__ = DeferredModule


def defer_unused_imports() -> None:
    """Defer or omit the modules that no daemon needs."""
    for name in UNUSED:
        defer_import(name)
    for name in OMITTED:
        # its import fails, and hashlib takes its own implementation
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
    if "ctypes.util" not in sys.modules:
        install_library_finder()


def install_library_finder() -> None:
    """A ctypes.util for trio, which asks it once for the library that names threads.

    The real one starts other programs to find it.
    """
    module = types.ModuleType("ctypes.util")
    module.find_library = find_library  # type: ignore[attr-defined]
    ctypes.util = module  # type: ignore[attr-defined]
    sys.modules["ctypes.util"] = module


def find_library(name: str) -> str | None:
    """The file name of the C library, or None for any other."""
    return "libc.so.6" if name in ("c", "pthread") else None
