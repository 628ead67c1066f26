"""The error of this package."""

from __future__ import annotations

from collections.abc import Sequence


class InvalidSettings(Exception):
    """Settings were rejected; nothing was started.

    errors: all that is wrong, one text each, which begins with the path of the setting.
    """

    def __init__(self, errors: Sequence[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors
