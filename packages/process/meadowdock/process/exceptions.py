"""The exceptions after which a daemon continues to run.

A background task that fails with one of them is logged and restarted, and malformed data from a
peer that causes one of them is dropped. Any other exception ends the process.
"""

from __future__ import annotations

RECOVERABLE_ERRORS = (
    OSError,
    ValueError,
    KeyError,
    TypeError,
    LookupError,
    RuntimeError,
    ArithmeticError,
)
