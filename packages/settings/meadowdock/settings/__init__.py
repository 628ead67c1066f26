"""The settings of a process, from files and flags, and the command line of the daemons."""

from meadowdock.settings.command import build_command_line
from meadowdock.settings.exceptions import IncompleteSettings, InvalidSettings
from meadowdock.settings.loading import load_settings, shutdown_times
from meadowdock.settings.model import ProcessSettings, RetryBudgetSettings
from meadowdock.settings.schema import passes_checks, schema_errors
from meadowdock.settings.validation import validate_settings
from meadowdock.settings.version import VERSION
from meadowdock.settings.waiting import wait_for_settings

__all__ = [
    "VERSION",
    "IncompleteSettings",
    "InvalidSettings",
    "ProcessSettings",
    "RetryBudgetSettings",
    "build_command_line",
    "load_settings",
    "passes_checks",
    "schema_errors",
    "shutdown_times",
    "validate_settings",
    "wait_for_settings",
]
