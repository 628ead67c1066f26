"""The exceptions of this package."""

from __future__ import annotations

from collections.abc import Sequence


class InvalidSettings(Exception):
    """The settings are invalid; the process was not started.

    :ivar errors: one message for each error, beginning with the path of the setting.
    """

    def __init__(self, errors: Sequence[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


class IncompleteSettings(InvalidSettings):
    """The settings can't be read, or lack something, but nothing in them is wrong.

    They may be on their way: a file that is written only now looks like this.
    """
