"""Exit codes of the commands."""

from __future__ import annotations

#: The settings are invalid; the errors have been written to standard error.
BAD_SETTINGS = 2
#: The command was called with invalid arguments.
BAD_USAGE = 2
