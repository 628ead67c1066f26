"""The settings of a process, from files and flags, and the command line of the daemons."""

from meadowdock.settings.command import command
from meadowdock.settings.exceptions import InvalidSettings
from meadowdock.settings.loading import load, stop_times
from meadowdock.settings.model import ProcessSettings, RetryBudgetSettings
from meadowdock.settings.schema import passes_checks, schema_errors
from meadowdock.settings.validation import checked
from meadowdock.settings.version import VERSION

__all__ = [
    "VERSION",
    "InvalidSettings",
    "ProcessSettings",
    "RetryBudgetSettings",
    "checked",
    "command",
    "load",
    "passes_checks",
    "schema_errors",
    "stop_times",
]
