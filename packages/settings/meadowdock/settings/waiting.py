"""Waiting for settings that are written only after the process was started."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from typing import TypeVar

from meadowdock.settings.exceptions import IncompleteSettings

RETRY_DELAY_S = 0.05

T = TypeVar("T")


def wait_for_settings(load: Callable[[], T], report: Callable[[Sequence[str]], None]) -> T:
    """Call `load` until the settings are complete, and return its result.

    The process has no listener yet, so this blocks; a signal that ends the process still does.

    :param report: called with the errors whenever they have changed
    :raises InvalidSettings: something in the settings is wrong.
    """
    reported: Sequence[str] = ()
    while True:
        try:
            return load()
        except IncompleteSettings as incomplete:
            if incomplete.errors != reported:
                reported = incomplete.errors
                report(reported)
        time.sleep(RETRY_DELAY_S)
