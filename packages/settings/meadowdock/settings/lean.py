"""A daemon's start without what it never uses: memory is paid for as long as a process runs.

`spare` comes before all other imports of a program, and is for whole programs only.
"""

from __future__ import annotations

import ctypes
import importlib.util
import sys
import types

# What trio and the standard library import for TLS, for names of hosts that aren't ASCII, for other
# programs and for URLs. Each is there once it is asked.
UNUSED = ("ssl", "idna", "subprocess", "ipaddress")
# Doubles of the hashes that hashlib has by itself, at the price of all of OpenSSL.
DOUBLES = ("_hashlib",)


class Later(types.ModuleType):
    """A module whose code runs once somebody asks for one of its names. importlib's LazyLoader
    doesn't do: Python 3.11 itself looks at the module when it is imported a second time."""

    def __getattr__(self, name: str) -> object:
        self.__class__ = types.ModuleType
        self.__spec__.loader.exec_module(self)
        return getattr(self, name)


def put_off(name: str) -> None:
    """Let a module be loaded when somebody asks for one of its names, if it isn't loaded yet."""
    spec = None if name in sys.modules else importlib.util.find_spec(name)
    if spec is not None:
        module = sys.modules[name] = importlib.util.module_from_spec(spec)
        module.__class__ = Later


def spare() -> None:
    """Put off or leave out the modules that no daemon needs."""
    for name in UNUSED:
        put_off(name)
    for name in DOUBLES:
        sys.modules.setdefault(name, None)  # its import fails, and hashlib takes its own
    if "ctypes.util" not in sys.modules:
        # trio asks it once, for the library that names threads: the true one would start other
        # programs to find it
        found = ctypes.util = sys.modules["ctypes.util"] = types.ModuleType("ctypes.util")
        found.find_library = lambda name: "libc.so.6" if name in ("c", "pthread") else None
