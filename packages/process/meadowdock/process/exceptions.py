"""The errors after which a daemon carries on.

Nothing here is raised by this package: a background task that ends with one of these is logged and
started again, and a peer's malformed data is dropped. Any other exception ends the process.
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
